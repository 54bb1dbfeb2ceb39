//! Load of each service by data centre, from what a gateway knows of the replicas.

use std::time;

use decisions::{remote_shares, replica_choice, units};

use crate::{catalog, remote_traffic, replica, replica_table};

impl replica_table::ReplicaTable {
    /// Loads of the services that have routes.
    pub(crate) fn service_loads(
        &self,
        current: &catalog::ConfigurationVersion,
        now: units::Timestamp,
    ) -> Vec<remote_traffic::ServiceLoad> {
        let services = current.services.iter();
        let loads = services.filter_map(|service| {
            let objective = shortest_objective(current, &service.name)?;
            Some(self.service_load(service, objective, now))
        });
        loads.collect()
    }

    fn service_load(
        &self,
        service: &catalog::ServiceEntry,
        objective: time::Duration,
        now: units::Timestamp,
    ) -> remote_traffic::ServiceLoad {
        let waits = self.waits(service, objective, now);
        let wait = |data_centre: &str| mean_wait(&waits, data_centre);
        let (engines_short, engines_known) = self.count_engines(&service.name, now);
        let others = self.remote.others();
        let others = others.map(|name| remote_shares::DataCentreLoad {
            wait: wait(name),
            delay: self.remote.delay(name, 1),
        });
        remote_traffic::ServiceLoad {
            service: service.name.clone(),
            objective,
            home_wait: wait(&self.data_centre),
            others: others.collect(),
            engines_short,
            engines_known,
        }
    }

    /// Number of engines short of adapter slots, and of those whose state is known.
    fn count_engines(&self, service: &str, now: units::Timestamp) -> (u32, u32) {
        let engines = self.replicas.iter().filter(|replica| {
            replica.record.service == service && replica.fresh_view(now).is_some()
        });
        engines.fold((0, 0), |(short, known), replica| {
            (
                short + u32::from(replica.is_short_of_places(now)),
                known + 1,
            )
        })
    }

    /// Data centre of each usable replica whose state is known, with the time until it would start
    /// another request.
    fn waits(
        &self,
        service: &catalog::ServiceEntry,
        objective: time::Duration,
        now: units::Timestamp,
    ) -> Vec<(&str, time::Duration)> {
        let replicas = self.candidates(&service.name, &[], now).into_iter();
        let reachable = replicas.filter(|replica| now >= replica.unreachable_until);
        let known = reachable.filter_map(|replica| {
            let wait = match service.engine {
                Some(_) => engine_wait(replica, now)?,
                None => plain_wait(replica, objective, now),
            };
            Some((replica.record.data_centre.as_str(), wait))
        });
        known.collect()
    }
}

/// Mean wait in a data centre; `None` if no replica is known there.
fn mean_wait(waits: &[(&str, time::Duration)], data_centre: &str) -> Option<time::Duration> {
    let own = waits.iter().filter(|(name, _)| *name == data_centre);
    let count = u32::try_from(own.clone().count()).ok()?;
    own.map(|(_, wait)| *wait)
        .sum::<time::Duration>()
        .checked_div(count)
}

/// Time until an engine would start a request whose adapter it lacks.
fn engine_wait(replica: &replica::Replica, now: units::Timestamp) -> Option<time::Duration> {
    let view = replica.fresh_view(now)?;
    Some(replica.backlog(now) + view.slot_wait)
}

fn plain_wait(
    replica: &replica::Replica,
    objective: time::Duration,
    now: units::Timestamp,
) -> time::Duration {
    let wait = replica.service_option(0.0, None, now).wait();
    replica_choice::usual_duration(objective).mul_f64(wait)
}

/// Shortest latency objective of the routes to a service.
fn shortest_objective(
    current: &catalog::ConfigurationVersion,
    service: &str,
) -> Option<time::Duration> {
    let routes = current.routes.iter();
    let leading = routes.filter(|route| route.services.iter().any(|to| to.service == service));
    leading.map(|route| route.objective).min()
}

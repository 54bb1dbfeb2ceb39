//! Choice of a replica from the table for one attempt at a request.
//!
//! The best replica of each data centre is found first; the policy then decides between them.

use std::time;

use decisions::{
    adapter_pooling, data_centre_choice, distance, relative_speed, replica_choice, service_choice,
    software_version, units,
};
use xxhash_rust::xxh3;

use crate::{plan, protocol, replica, replica_ranking, replica_table};

/// Number of a service's engines in the own data centre below which the adaptive policy acts as even.
const MIN_HOME_ENGINES: usize = 8;
/// Round trips of a generation: the permit and the request.
const ENGINE_ROUND_TRIPS: u32 = 2;
/// Round trips of a request to a plain service.
const SERVICE_ROUND_TRIPS: u32 = 1;

/// What the choice of a data centre needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionTerms<'a> {
    pub service: &'a str,
    pub request_hash: u64,
    /// Latency objective.
    pub objective: time::Duration,
    pub objective_left: time::Duration,
    /// Time until the caller leaves.
    pub deadline_left: time::Duration,
    pub size: distance::TransferSize,
    /// Software version that the request must run at.
    pub software: Option<&'a software_version::SoftwareVersion>,
    /// Adapter of the request, with the data centre of the replica that ranks first for it.
    pub adapter: Option<AdapterOwner<'a>>,
}

/// Adapter, with the data centre of the replica that ranks first for it.
#[derive(Clone, Copy, Debug)]
pub struct AdapterOwner<'a> {
    pub adapter_hash: u64,
    pub data_centre: &'a str,
}

impl<'a> From<&'a plan::RequestPlan> for SelectionTerms<'a> {
    fn from(plan: &'a plan::RequestPlan) -> Self {
        let generation = plan.request.generation.as_ref();
        let response_tokens =
            generation.map_or(0, protocol::GenerationRequest::expected_output_tokens);
        let deadline_left = if plan.is_stream() {
            plan.time_left().min(plan.first_event_time_left())
        } else {
            plan.time_left()
        };
        Self {
            service: &plan.service,
            request_hash: xxh3::xxh3_64(plan.request.id.as_bytes()),
            objective: plan.route.objective,
            objective_left: plan.objective_left(),
            deadline_left,
            size: distance::TransferSize {
                request_bytes: u64::try_from(plan.body.len()).unwrap_or(u64::MAX),
                response_tokens,
            },
            software: plan.software.as_ref(),
            adapter: None,
        }
    }
}

/// Reason why a request gets no replica of a plain service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceRefusal {
    NoReplica,
    /// No replica could start the request before its deadline.
    Full {
        /// Time until one could.
        retry_after: time::Duration,
    },
}

/// Replica that can take a request.
struct RatedReplica<'a> {
    replica: &'a replica::Replica,
    /// Expected time until it would start the request, with the distance.
    cost: time::Duration,
    rank: u32,
    adapter: replica_choice::AdapterLocation,
    /// Its backlog is known.
    is_known: bool,
}

impl RatedReplica<'_> {
    fn data_centre(&self) -> &str {
        &self.replica.record.data_centre
    }
}

impl replica_table::ReplicaTable {
    /// Chooses a replica for a generation, except the excluded ids.
    #[must_use]
    pub fn choose_engine(
        &self,
        plan: &plan::RequestPlan,
        excluded: &[String],
        now: units::Timestamp,
    ) -> Option<replica::ChosenReplica> {
        let candidates = self.suitable(&plan.service, plan.software.as_ref(), excluded, now);
        let ranks = self.rendezvous_ranks(&candidates, plan);
        let speeds = self.fleet_speeds(&plan.service, now);
        let affinities = self.length_affinities(&candidates, plan, &speeds, now);
        let size = plan.generation_size();
        let rated: Vec<_> = candidates
            .into_iter()
            .zip(ranks.into_iter().zip(affinities))
            .map(|(replica, (rank, affinity))| {
                let work = speeds.work(replica.token_times(now), size);
                let option = self.build_option(replica, plan, rank, affinity, work, now);
                RatedReplica {
                    replica,
                    cost: option.cost(),
                    rank,
                    adapter: option.adapter,
                    is_known: replica.fresh_view(now).is_some(),
                }
            })
            .collect();
        let terms = SelectionTerms {
            adapter: adapter_owner(&rated, plan),
            ..plan.into()
        };
        let best = self.select(&rated, &terms, !excluded.is_empty())?;
        let mut chosen = best.replica.to_chosen(now);
        chosen.version = best.replica.loaded_version(plan, now);
        chosen.is_loaded = best.adapter == replica_choice::AdapterLocation::Loaded;
        chosen.expected_wait = best.cost;
        Some(chosen)
    }

    /// Chooses a replica of a plain service, except the excluded ids.
    ///
    /// # Errors
    /// [`ServiceRefusal`] when there is none, or none could start the request in time.
    pub fn choose_service(
        &self,
        terms: &SelectionTerms<'_>,
        excluded: &[String],
        now: units::Timestamp,
    ) -> Result<replica::ChosenReplica, ServiceRefusal> {
        let candidates = self.suitable(terms.service, terms.software, excluded, now);
        let options = self.service_options(&candidates, terms.objective, now);
        // The upper half of the hash decides on the data centre.
        let seed = terms.request_hash.rotate_left(32);
        let decide = |options: &[replica_choice::ServiceOption]| {
            service_choice::decide(options, terms.deadline_left, seed)
        };
        match decide(&options) {
            service_choice::ServiceDecision::Send(_) => {}
            service_choice::ServiceDecision::Refuse { retry_after } => {
                return Err(ServiceRefusal::Full { retry_after });
            }
            service_choice::ServiceDecision::NoReplica => return Err(ServiceRefusal::NoReplica),
        }
        let (candidates, options): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .zip(options)
            .filter(|(_, option)| option.queue_wait() <= terms.deadline_left)
            .unzip();
        let best = self.select_service(&candidates, &options, terms, !excluded.is_empty());
        let best = candidates[best.ok_or(ServiceRefusal::NoReplica)?];
        let policy = self.remote_policy(terms.service);
        let group = Self::group(policy, best);
        let (near, options): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .zip(options)
            .filter(|(replica, _)| Self::group(policy, replica) == group)
            .unzip();
        let chosen = match decide(&options) {
            service_choice::ServiceDecision::Send(position) => near[position],
            _ => best,
        };
        Ok(chosen.to_chosen(now))
    }

    /// Position of the best replica of a plain service by the policy for requests to other data centres.
    fn select_service(
        &self,
        candidates: &[&replica::Replica],
        options: &[replica_choice::ServiceOption],
        terms: &SelectionTerms<'_>,
        is_retry: bool,
    ) -> Option<usize> {
        let usual = replica_choice::usual_duration(terms.objective);
        let rated: Vec<_> = candidates
            .iter()
            .zip(options)
            .map(|(replica, option)| RatedReplica {
                replica,
                cost: usual.mul_f64(option.cost()),
                rank: 0,
                adapter: replica_choice::AdapterLocation::Loaded,
                is_known: true,
            })
            .collect();
        let best = self.select(&rated, terms, is_retry)?;
        rated
            .iter()
            .position(|rated| std::ptr::eq(rated.replica, best.replica))
    }

    /// Replicas of a plain service as options for a request.
    fn service_options(
        &self,
        candidates: &[&replica::Replica],
        objective: time::Duration,
        now: units::Timestamp,
    ) -> Vec<replica_choice::ServiceOption> {
        let usual = replica_choice::usual_duration(objective);
        let usual_s = usual.as_secs_f64().max(f64::MIN_POSITIVE);
        let work_times = candidates
            .iter()
            .filter_map(|replica| replica.work_time(now));
        let usual_work = relative_speed::median(work_times.collect());
        let options = candidates.iter().map(|replica| {
            let delay = self.distance(replica, SERVICE_ROUND_TRIPS);
            replica.service_option(delay.as_secs_f64() / usual_s, usual_work, now)
        });
        options.collect()
    }

    /// Best replica by the policy for requests to other data centres.
    fn select<'a>(
        &self,
        rated: &'a [RatedReplica<'a>],
        terms: &SelectionTerms<'_>,
        is_retry: bool,
    ) -> Option<&'a RatedReplica<'a>> {
        let home = best_in(rated, &self.data_centre);
        let anywhere = || best_of(rated.iter());
        let policy = self.remote_policy(terms.service);
        let (best, reason) = match (policy, home) {
            (_, None) => (anywhere(), data_centre_choice::RemoteReason::NoReplica),
            (data_centre_choice::RemotePolicy::Off, home) => {
                (home, data_centre_choice::RemoteReason::NoReplica)
            }
            (data_centre_choice::RemotePolicy::Even, _) => {
                (anywhere(), data_centre_choice::RemoteReason::Even)
            }
            (data_centre_choice::RemotePolicy::Adaptive, _) if is_retry => {
                (anywhere(), data_centre_choice::RemoteReason::Retry)
            }
            (data_centre_choice::RemotePolicy::Adaptive, Some(home)) => {
                return Some(self.select_adaptive(home, rated, terms));
            }
        };
        let best = best?;
        if best.data_centre() != self.data_centre {
            self.remote.record_choice(reason);
        }
        Some(best)
    }

    fn select_adaptive<'a>(
        &self,
        home: &'a RatedReplica<'a>,
        rated: &'a [RatedReplica<'a>],
        terms: &SelectionTerms<'_>,
    ) -> &'a RatedReplica<'a> {
        let others: Vec<_> = self
            .remote
            .others()
            .map(|name| best_in(rated, name))
            .collect();
        let option = |rated: &RatedReplica, common_gap| data_centre_choice::DataCentreOption {
            cost: rated.cost,
            adapter: rated.adapter,
            common_gap,
        };
        let options: Vec<_> = others
            .iter()
            .enumerate()
            .map(|(position, best)| {
                let common_gap = self.remote.common_gap(terms.service, position);
                // An engine without a recent view only seems to be idle.
                best.filter(|best| best.is_known || !home.is_known)
                    .map(|best| option(best, common_gap))
            })
            .collect();
        let home_option = option(home, time::Duration::ZERO);
        let terms = self.remote.request_terms(terms);
        let choice = data_centre_choice::choose(Some(&home_option), &options, &terms);
        let Some((position, reason)) = choice else {
            return home;
        };
        self.remote.record_choice(reason);
        others[position].unwrap_or(home)
    }

    /// Time that the way to a replica adds to a request.
    fn distance(&self, replica: &replica::Replica, round_trips: u32) -> time::Duration {
        self.remote.delay(&replica.record.data_centre, round_trips)
    }

    /// Whether pooled adapters may be loaded at a replica.
    pub(crate) fn is_near(&self, replica: &replica::Replica) -> bool {
        adapter_pooling::pays(self.distance(replica, 1))
    }

    /// Policy for the requests to a service. With few engines at home there are slots for few of the
    /// adapters in use, so the engines of all data centres are used alike.
    pub(crate) fn remote_policy(&self, service: &str) -> data_centre_choice::RemotePolicy {
        let policy = self.remote.policy();
        let home_engines = self.replicas.iter().filter(|replica| {
            replica.is_engine()
                && replica.record.service == service
                && replica.record.data_centre == self.data_centre
        });
        let is_few = (1..MIN_HOME_ENGINES).contains(&home_engines.count());
        if is_few && policy == data_centre_choice::RemotePolicy::Adaptive {
            return data_centre_choice::RemotePolicy::Even;
        }
        policy
    }

    /// Replicas of one group share the ranking of adapters and the places for long responses: those of a
    /// data centre, or all if distance does not count.
    pub(crate) fn group(
        policy: data_centre_choice::RemotePolicy,
        replica: &replica::Replica,
    ) -> &str {
        match policy {
            data_centre_choice::RemotePolicy::Even => "",
            _ => &replica.record.data_centre,
        }
    }

    pub(crate) fn candidates(
        &self,
        service: &str,
        excluded: &[String],
        now: units::Timestamp,
    ) -> Vec<&replica::Replica> {
        self.suitable(service, None, excluded, now)
    }

    /// Replicas of a service, and of a software version if one is needed, that can be sent requests.
    fn suitable(
        &self,
        service: &str,
        software: Option<&software_version::SoftwareVersion>,
        excluded: &[String],
        now: units::Timestamp,
    ) -> Vec<&replica::Replica> {
        let usable = |replica: &&replica::Replica| {
            replica.record.service == service
                && software.is_none_or(|needed| replica.record.software == *needed)
                && self.is_usable(replica, now)
                && !excluded.contains(&replica.record.id)
                && !self.is_superseded(replica)
        };
        let all: Vec<&replica::Replica> = self.replicas.iter().filter(usable).collect();
        let reachable: Vec<&replica::Replica> = all
            .iter()
            .copied()
            .filter(|replica| now >= replica.unreachable_until)
            .collect();
        if reachable.is_empty() { all } else { reachable }
    }

    /// Whether a newer replica has the same address.
    fn is_superseded(&self, replica: &replica::Replica) -> bool {
        self.replicas.iter().any(|other| {
            other.record.address == replica.record.address
                && other.record.incarnation > replica.record.incarnation
        })
    }

    fn build_option(
        &self,
        replica: &replica::Replica,
        plan: &plan::RequestPlan,
        rank: u32,
        length_affinity: replica_choice::LengthAffinity,
        work: relative_speed::WorkEstimate,
        now: units::Timestamp,
    ) -> replica_choice::ReplicaOption {
        let view = replica.fresh_view(now);
        let adapter = replica.adapter_location(plan, now);
        replica_choice::ReplicaOption {
            adapter,
            readiness: replica.readiness(plan, now),
            length_affinity,
            slot_wait: view.map_or(time::Duration::ZERO, |view| view.slot_wait),
            backlog: replica.backlog(now),
            work,
            distance: self.distance(replica, ENGINE_ROUND_TRIPS),
            failures: replica.failures.rate(now),
            rank,
        }
    }
}

/// Data centre of the replica that ranks first for the request's adapter in all data centres.
fn adapter_owner<'a>(
    rated: &'a [RatedReplica<'a>],
    plan: &plan::RequestPlan,
) -> Option<AdapterOwner<'a>> {
    let (_, adapter) = plan.adapter()?;
    let adapter_hash = xxh3::xxh3_64(adapter.as_bytes());
    // The first one of all is also the first one of its data centre.
    let leaders = rated.iter().filter(|rated| rated.rank == 0);
    let first = leaders
        .min_by_key(|rated| replica_ranking::rendezvous_hash(rated.replica, adapter_hash))?;
    Some(AdapterOwner {
        adapter_hash,
        data_centre: first.data_centre(),
    })
}

/// Best replica of a data centre.
fn best_in<'a>(rated: &'a [RatedReplica<'a>], data_centre: &str) -> Option<&'a RatedReplica<'a>> {
    best_of(
        rated
            .iter()
            .filter(|rated| rated.data_centre() == data_centre),
    )
}

/// Replica with the lowest cost; ties go to the lower rank.
fn best_of<'a>(rated: impl Iterator<Item = &'a RatedReplica<'a>>) -> Option<&'a RatedReplica<'a>> {
    rated.min_by_key(|rated| (rated.cost, rated.rank))
}

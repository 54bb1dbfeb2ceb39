//! Detection of crashed replicas by the requests that were lost there.
//!
//! A gateway that loses a request checks at once whether the replica still accepts connections. If
//! a replica of a plain service refuses them, the requests that were open there are the suspects of a
//! crash, and the gateways tell each other through the brokers of a few engines. The crash of an engine
//! is reported by its broker, with the requests of all gateways; the gateway that lost a request takes
//! that request for a suspect before, so that its repeat meets the verdict.

use std::{sync::Arc, time};

use decisions::{crash_relay, lost_requests};
use telemetry::events;
use xxhash_rust::xxh3;

use crate::{connections, dispatch, heartbeats, plan, replica};

/// Time for the check of an engine, by which the repeat of the lost request is delayed at most.
const ENGINE_CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(20);

impl dispatch::Dispatcher {
    /// Records a request whose connection ended without a complete response. Its replica is checked
    /// unless it was leaving.
    pub async fn record_lost_request(self: &Arc<Self>, plan: &plan::RequestPlan, replica: &str) {
        let now = self.now();
        let found = self.replicas.lock().find_available(replica, now);
        let Some(replica) = found else {
            return;
        };
        if plan.engine.is_some() {
            self.check_engine(plan, &replica).await;
            return;
        }
        let start = replica_start(&replica);
        let action = self
            .lost_requests
            .lock()
            .record(start, plan.content_id(), now);
        match action {
            lost_requests::LossAction::Wait => {}
            lost_requests::LossAction::ReportCrash => self.report_crash(&replica.id, start),
            lost_requests::LossAction::Check => {
                let dispatcher = Arc::clone(self);
                // Ends by itself after the connection timeout.
                tokio::spawn(async move { dispatcher.check_replica(&replica, start).await });
            }
        }
    }

    /// Opens a connection to an engine; if it is refused, the request is a suspect of the crash.
    async fn check_engine(&self, plan: &plan::RequestPlan, replica: &replica::ChosenReplica) {
        if replica.incarnation == 0 {
            // Its crash could not be told from the one that its broker reports.
            return;
        }
        let opening = connections::ReplicaConnection::open(
            replica.address,
            &replica.id,
            ENGINE_CHECK_TIMEOUT,
        );
        match opening.await {
            Err(error) if error.is_refused() => {
                let now = self.now();
                let crash = plan.engine_crash(replica.incarnation, now);
                let broker = replica.broker.address();
                let changes = self
                    .quarantine
                    .lock()
                    .record_crashes(broker, vec![crash], now);
                self.log_quarantine(&changes);
            }
            // The broker reports what becomes of the engine.
            Err(_) => {}
            Ok(connection) => self.pool.put(connection, None),
        }
    }

    /// Opens a connection to a replica, and reports a crash if it is refused.
    async fn check_replica(
        &self,
        replica: &replica::ChosenReplica,
        start: lost_requests::ReplicaStart,
    ) {
        let opening = connections::ReplicaConnection::open(
            replica.address,
            &replica.id,
            dispatch::CONNECT_TIMEOUT,
        );
        match opening.await {
            Err(error) if error.is_refused() => self.report_crash(&replica.id, start),
            Err(_) => self.lost_requests.lock().dismiss(start),
            Ok(connection) => {
                self.lost_requests.lock().dismiss(start);
                self.pool.put(connection, None);
            }
        }
    }

    fn report_crash(&self, replica: &str, start: lost_requests::ReplicaStart) {
        let Some(crash) = self.lost_requests.lock().confirm_crash(start) else {
            return;
        };
        let suspects = crash.suspects.iter();
        let suspects: Vec<_> = suspects
            .map(|suspect| format!("{:x}", suspect.part))
            .collect();
        slog::warn!(self.request_logger.logger(), "a replica crashed";
            "event" => events::REPLICA_CRASHED.number, "name" => events::REPLICA_CRASHED.name,
            "replica" => replica, "suspects" => suspects.join(" "));
        let found = crash_relay::ReplicaCrash {
            address: start.address,
            crash,
        };
        let now = self.now();
        let changes = self.quarantine.lock().record_observed_crashes([found], now);
        self.log_quarantine(&changes);
        self.crash_observed.notify_one();
    }
}

/// Tells the relaying brokers of crashes as soon as they are observed, until the task is dropped.
pub async fn share_crashes(dispatcher: Arc<dispatch::Dispatcher>) {
    loop {
        dispatcher.crash_observed.notified().await;
        heartbeats::call_relays(&dispatcher).await;
    }
}

fn replica_start(replica: &replica::ChosenReplica) -> lost_requests::ReplicaStart {
    // Some records lack the start; the id changes with most starts.
    let incarnation = xxh3::xxh3_64_with_seed(replica.id.as_bytes(), replica.incarnation);
    lost_requests::ReplicaStart {
        address: replica.address,
        incarnation,
    }
}

//! Choice of the replica for an attempt, with a permit from its broker if it is an engine.

use std::time;

use broker::message;
use decisions::{quota_owner, units};
use tokio::time::Instant;

use crate::{
    attempts, broker_permit, catalog, dispatch, local_reply, plan, replica, replica_selection,
    replica_table,
};

/// Time from the start of a request at an engine to its first event at the caller.
const FIRST_EVENT_LATENCY: time::Duration = time::Duration::from_millis(60);
/// Maximum number of engines asked for a permit.
const MAX_PERMIT_REQUESTS: usize = 3;
/// Maximum number of engines found to be replaced, which are asked in addition. After an outage many
/// records are out of date at once.
const MAX_REPLACED_ENGINES: usize = 5;

/// Replica for an attempt, with a permit if it is an engine with a reachable broker.
pub struct AssignedReplica {
    pub replica: replica::ChosenReplica,
    pub permit: Option<broker_permit::BrokerPermit>,
    /// Loaded version of the adapter, which the replica must use.
    pub version: Option<u32>,
}

/// Reason why an engine's broker granted no permit.
enum PermitFailure {
    /// The broker did not reply, or the engine is draining.
    Unavailable,
    /// The engine has restarted under another id.
    Replaced,
    Refused(local_reply::LocalReply),
}

impl dispatch::Dispatcher {
    /// Chooses a replica and, if it is an engine, gets a permit.
    ///
    /// # Errors
    /// [`attempts::AttemptError::Refused`] with the local reply when there is no replica or permit.
    pub async fn assign_replica(
        &self,
        plan: &plan::RequestPlan,
        history: &attempts::AttemptHistory,
    ) -> Result<AssignedReplica, attempts::AttemptError> {
        let Some(engine) = &plan.engine else {
            let chosen = self.choose_service_replica(plan, history);
            let replica = chosen.map_err(attempts::AttemptError::Refused)?;
            return Ok(AssignedReplica {
                replica,
                permit: None,
                version: None,
            });
        };
        let mut excluded = history.excluded().to_vec();
        let no_replica = missing_replica(&self.replicas.lock(), plan, self.now());
        let mut refusal = no_replica;
        let (mut asked_count, mut replaced_count) = (0, 0);
        while asked_count < MAX_PERMIT_REQUESTS && replaced_count < MAX_REPLACED_ENGINES {
            let now = self.now();
            let chosen = self.replicas.lock().choose_engine(plan, &excluded, now);
            let Some(replica) = chosen else { break };
            excluded.push(replica.id.clone());
            match self.request_permit(plan, engine, replica).await {
                Ok(placed) => return Ok(placed),
                Err(PermitFailure::Replaced) => {
                    replaced_count += 1;
                    if refusal == no_replica {
                        refusal = local_reply::LocalReply::ENGINE_REPLACED;
                    }
                }
                Err(PermitFailure::Unavailable) => asked_count += 1,
                Err(PermitFailure::Refused(reply)) => {
                    asked_count += 1;
                    refusal = reply;
                }
            }
            if !plan.has_time_left() {
                break;
            }
        }
        Err(attempts::AttemptError::Refused(refusal))
    }

    /// Chooses a replica of a plain service; fails with the local reply if there is none.
    fn choose_service_replica(
        &self,
        plan: &plan::RequestPlan,
        history: &attempts::AttemptHistory,
    ) -> Result<replica::ChosenReplica, local_reply::LocalReply> {
        let now = self.now();
        let replicas = self.replicas.lock();
        let chosen = replicas.choose_service(&plan.into(), history.excluded(), now);
        chosen.map_err(|refusal| match refusal {
            replica_selection::ServiceRefusal::NoReplica => missing_replica(&replicas, plan, now),
            replica_selection::ServiceRefusal::Full { retry_after } => {
                local_reply::LocalReply::replicas_full(retry_after)
            }
        })
    }

    /// Requests a permit from an engine's broker.
    async fn request_permit(
        &self,
        plan: &plan::RequestPlan,
        engine: &catalog::EngineLimits,
        replica: replica::ChosenReplica,
    ) -> Result<AssignedReplica, PermitFailure> {
        let permit = broker_permit::BrokerPermit::new(&replica.broker, self.next_permit());
        let call = self.permit_call(plan, &replica, engine, permit.number());
        let asked = Instant::now();
        let reply = match replica.broker.request_permit(call, self.now()).await {
            Ok(reply) => reply,
            // Without its broker, an engine still serves the adapters that it has loaded.
            Err(error) if replica.is_loaded && !error.is_unresponsive() => {
                return Ok(AssignedReplica {
                    version: replica.version,
                    replica,
                    permit: None,
                });
            }
            Err(error) => {
                if error.is_unresponsive() {
                    self.replicas
                        .lock()
                        .mark_unavailable(&replica.id, self.now());
                }
                let reason = error.to_string();
                self.request_logger
                    .log_failed_attempt(plan, &replica.id, &reason, true);
                return Err(PermitFailure::Unavailable);
            }
        };
        self.metrics.record_permit_wait(asked.elapsed());
        self.record_view(&replica.id, reply.view);
        let now = self.now();
        let mut replicas = self.replicas.lock();
        match reply.decision {
            message::PermitDecision::Granted { version }
                if replicas.has_software(&replica.id, &replica.software, now) =>
            {
                Ok(AssignedReplica {
                    replica,
                    permit: Some(permit),
                    version,
                })
            }
            // The replica started to drain, or anew with other software, while the request waited
            // for its adapter.
            message::PermitDecision::Granted { .. } => {
                self.request_logger
                    .log_failed_attempt(plan, &replica.id, "leaving", true);
                Err(PermitFailure::Unavailable)
            }
            message::PermitDecision::Refused {
                reason,
                retry_after,
            } => {
                let label = reason.label();
                self.request_logger
                    .log_failed_attempt(plan, &replica.id, label, true);
                if reason == message::RefusalReason::EngineReplaced {
                    replicas.mark_unavailable(&replica.id, now);
                    self.request_replica_read();
                    return Err(PermitFailure::Replaced);
                }
                if reason == message::RefusalReason::EngineUnreachable {
                    // A lost engine has no backlog and would be asked first.
                    replicas.mark_unavailable(&replica.id, now);
                }
                let reply = local_reply::LocalReply::no_permit(reason, retry_after);
                Err(PermitFailure::Refused(reply))
            }
        }
    }

    fn permit_call(
        &self,
        plan: &plan::RequestPlan,
        replica: &replica::ChosenReplica,
        engine: &catalog::EngineLimits,
        number: u64,
    ) -> message::PermitCall {
        let generation = plan.request.generation.clone().unwrap_or_default();
        let output_tokens = generation.expected_output_tokens();
        message::PermitCall {
            entry: self.incarnation,
            number,
            engine: replica::engine_spec(replica, engine, &generation.model),
            adapter: generation.adapter.map(|name| message::AdapterRequirement {
                name,
                version: plan.adapter_version,
            }),
            request: plan.request.id.clone(),
            priority: plan.route.priority,
            organisation: plan
                .organisation
                .as_ref()
                .map(|organisation| quota_owner::hash_name(&organisation.name)),
            suspects: plan.suspects.clone(),
            prompt_tokens: generation.prompt_tokens,
            output_tokens,
            objective: plan.objective_left().saturating_sub(FIRST_EVENT_LATENCY),
            start_deadline: plan
                .first_event_time_left()
                .saturating_sub(FIRST_EVENT_LATENCY),
            deadline: plan.time_left(),
            released: Vec::new(),
            known_adapters: replica.adapters_hash,
        }
    }

    fn next_permit(&self) -> u64 {
        let mut newest = self.newest_permit.lock();
        *newest += 1;
        *newest
    }
}

/// Local reply to a request for which there is no replica.
fn missing_replica(
    replicas: &replica_table::ReplicaTable,
    plan: &plan::RequestPlan,
    now: units::Timestamp,
) -> local_reply::LocalReply {
    let software = plan.software.as_ref();
    let is_listed = |needed| replicas.lists_software(&plan.service, needed, now);
    if !software.is_none_or(is_listed) {
        return local_reply::LocalReply::SOFTWARE_GONE;
    }
    let pause = replicas.shortest_pause(&plan.service, software, now);
    local_reply::LocalReply::no_replica(pause)
}

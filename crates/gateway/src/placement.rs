//! Choice of the replica for an attempt, with a place from its broker if it is an engine.

use std::{sync::Arc, time};

use broker::{client, message};
use tokio::time::Instant;

use crate::{answers, attempts, catalog, dispatch, plan, replica};

/// Time from the begin of a request at an engine to its first event at the caller.
const FIRST_EVENT_TIME: time::Duration = time::Duration::from_millis(60);
/// Engines that are asked for a place.
const MAX_PLACES: usize = 3;

/// Place that is asked for or held, and given up when dropped. It exists from before the request
/// for it, because the caller may leave before the broker's answer is seen.
pub struct HeldPlace {
    broker: Arc<client::BrokerClient>,
    number: u64,
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        self.broker.release(self.number);
    }
}

/// Replica for an attempt, with a place if it is an engine with a broker.
pub struct PlacedReplica {
    pub replica: replica::ChosenReplica,
    pub place: Option<HeldPlace>,
    /// Held version of the adapter, which the replica must run.
    pub version: Option<u32>,
}

impl dispatch::Dispatcher {
    /// Chooses a replica, with a place if it is an engine.
    ///
    /// # Errors
    /// [`dispatch::AttemptError`] with the answer to a request that gets no place.
    pub async fn place(
        &self,
        plan: &plan::RequestPlan,
        history: &attempts::AttemptHistory,
    ) -> Result<PlacedReplica, dispatch::AttemptError> {
        let Some(engine) = &plan.engine else {
            let members = self.members.lock();
            let chosen = members.choose_service(&plan.service, history.excluded(), self.now());
            let replica = chosen.ok_or(dispatch::AttemptError::Refused(
                answers::OwnAnswer::NO_REPLICA,
            ))?;
            return Ok(PlacedReplica {
                replica,
                place: None,
                version: None,
            });
        };
        let mut excluded = history.excluded().to_vec();
        let mut refusal = answers::OwnAnswer::NO_REPLICA;
        for _ in 0..MAX_PLACES {
            let now = self.now();
            let chosen = self.members.lock().choose_engine(plan, &excluded, now);
            let Some(replica) = chosen else { break };
            excluded.push(replica.id.clone());
            match self.ask_place(plan, engine, replica).await {
                Ok(placed) => return Ok(placed),
                Err(answer) => refusal = answer.unwrap_or(refusal),
            }
            if !plan.has_time() {
                break;
            }
        }
        Err(dispatch::AttemptError::Refused(refusal))
    }

    /// Asks the broker of an engine for a place; fails with the answer that its refusal calls for.
    async fn ask_place(
        &self,
        plan: &plan::RequestPlan,
        engine: &catalog::EngineLimits,
        replica: replica::ChosenReplica,
    ) -> Result<PlacedReplica, Option<answers::OwnAnswer>> {
        let place = HeldPlace {
            broker: Arc::clone(&replica.broker),
            number: self.next_place(),
        };
        let call = self.place_call(plan, &replica, engine, place.number);
        let asked = Instant::now();
        let reply = match replica.broker.place(call, self.now()).await {
            Ok(reply) => reply,
            // Without its broker, an engine serves the adapters that it holds.
            Err(error) if replica.is_held && !error.is_silent() => {
                return Ok(PlacedReplica {
                    version: replica.version,
                    replica,
                    place: None,
                });
            }
            Err(error) => {
                if error.is_silent() {
                    self.members.lock().set_aside(&replica.id, self.now());
                }
                let reason = error.to_string();
                self.journal.retried(plan, &replica.id, &reason, true);
                return Err(None);
            }
        };
        self.metrics.placed(asked.elapsed());
        let now = self.now();
        let mut members = self.members.lock();
        members.viewed(&replica.id, reply.view, now);
        match reply.answer {
            message::PlaceAnswer::Granted { version } if members.takes_requests(&replica.id) => {
                Ok(PlacedReplica {
                    replica,
                    place: Some(place),
                    version,
                })
            }
            // The replica has left while the request waited for its adapter.
            message::PlaceAnswer::Granted { .. } => {
                self.journal.retried(plan, &replica.id, "leaving", true);
                Err(None)
            }
            message::PlaceAnswer::Refused {
                reason,
                retry_after,
            } => {
                if reason == message::RefusalReason::OtherEngine {
                    members.set_aside(&replica.id, now);
                }
                let label = reason.label();
                self.journal.retried(plan, &replica.id, label, true);
                Err(Some(answers::OwnAnswer::no_place(reason, retry_after)))
            }
        }
    }

    fn place_call(
        &self,
        plan: &plan::RequestPlan,
        replica: &replica::ChosenReplica,
        engine: &catalog::EngineLimits,
        number: u64,
    ) -> message::PlaceCall {
        let need = plan.request.generation.clone().unwrap_or_default();
        let output_tokens = need.expected_output_tokens();
        message::PlaceCall {
            entry: self.incarnation,
            number,
            engine: replica::engine_setup(replica, engine, need.model),
            adapter: need.adapter.map(|name| message::NeededAdapter {
                name,
                version: plan.adapter_version,
            }),
            request: plan.request.id.clone(),
            priority: plan.route.priority,
            prompt_tokens: need.prompt_tokens,
            output_tokens,
            objective: plan.objective_left().saturating_sub(FIRST_EVENT_TIME),
            begin_limit: plan.patience_left().saturating_sub(FIRST_EVENT_TIME),
            deadline: plan.time_left(),
            released: Vec::new(),
        }
    }

    fn next_place(&self) -> u64 {
        let mut places = self.places.lock();
        *places += 1;
        *places
    }
}

//! Loads of adapters into one engine.

use std::sync::Arc;

use decisions::{slots, units};
use endpoints::client::EndpointError;
use peers::message;

use crate::{replica::ReplicaDriver, replica_state::ReplicaState};

/// Failed loads in a row after which the waiting requests are sent elsewhere.
const LOAD_ATTEMPTS: u32 = 3;
/// Status with which an engine refuses a load for lack of a slot.
const NO_SLOT: u16 = 409;
/// Status with which an engine refuses to unload what it does not hold.
const NOT_LOADED: u16 = 404;

impl ReplicaDriver {
    /// Starts the loads that the budget and the slots allow.
    pub(crate) fn start_loads(self: &Arc<Self>, state: &mut ReplicaState, now: units::Timestamp) {
        let Some(fencing) = state.fencing else { return };
        while state.slots.waiting_loads() > 0 && self.context.budget.try_start(now) {
            let ReplicaState { slots, rng, .. } = state;
            let Some(plan) = slots.next_load(now, rng) else {
                self.context.budget.give_back();
                return;
            };
            tokio::spawn(Arc::clone(self).load(plan, fencing));
        }
    }

    async fn load(self: Arc<Self>, plan: slots::LoadPlan, fencing: u64) {
        let started = self.context.clock.now();
        let result = {
            let _commands = self.commands.read().await;
            self.command_load(&plan, fencing).await
        };
        let now = self.context.clock.now();
        self.context.budget.finish(now.since(started), now);
        self.context.metrics.load(result.is_ok());
        let logger = &self.context.logger;
        match result {
            Ok(()) => {
                let mut state = self.state.lock();
                let name = state.name(plan.adapter);
                state.slots.loaded(&plan, now);
                state.trim_names();
                drop(state);
                let name = name.map(|name| name.to_string()).unwrap_or_default();
                let message = format!("replica {} loaded {name}", self.replica);
                telemetry::logs::info(logger, telemetry::events::ADAPTER_LOADED, &message);
            }
            Err(error) => {
                telemetry::logs::warn(
                    logger,
                    telemetry::events::ADAPTER_LOAD_FAILED,
                    &error.to_string(),
                );
                self.fail_load(&plan, fencing, &error).await;
            }
        }
        self.changed.notify_one();
    }

    async fn command_load(
        &self,
        plan: &slots::LoadPlan,
        fencing: u64,
    ) -> Result<(), EndpointError> {
        let names = |id| self.state.lock().name(id);
        if let Some(victim) = plan.evict.and_then(names) {
            let unloading = self.engine.unload_adapter(&victim, fencing).await;
            match unloading {
                Ok(())
                | Err(EndpointError::Refused {
                    status: NOT_LOADED, ..
                }) => {}
                Err(error) => return Err(error),
            }
            self.context.metrics.evict();
            telemetry::logs::info(
                &self.context.logger,
                telemetry::events::ADAPTER_EVICTED,
                &format!("replica {} evicted {victim}", self.replica),
            );
        }
        let Some(adapter) = names(plan.adapter) else {
            return Ok(());
        };
        self.engine.load_adapter(&adapter, fencing).await
    }

    async fn fail_load(&self, plan: &slots::LoadPlan, fencing: u64, error: &EndpointError) {
        if matches!(error, EndpointError::Fenced { .. }) {
            self.supersede();
        }
        let now = self.context.clock.now();
        let failures = {
            let mut state = self.state.lock();
            let ReplicaState { slots, rng, .. } = &mut *state;
            slots.load_failed(plan, now, rng);
            slots.failures(plan.adapter)
        };
        if matches!(
            error,
            EndpointError::Refused {
                status: NO_SLOT,
                ..
            }
        ) {
            self.unload_strays(fencing).await;
        }
        if failures >= LOAD_ATTEMPTS {
            let reason = message::FailureReason::AdapterUnavailable;
            self.fail_waiting(|id| id == plan.adapter, reason, &error.to_string());
        }
    }

    /// Unloads adapters that the engine holds without a slot here, which happens when the reply
    /// to a load or an unload was lost.
    async fn unload_strays(&self, fencing: u64) {
        let _commands = self.commands.write().await;
        let Ok(status) = self.engine.status().await else {
            return;
        };
        for name in &status.adapters {
            let Ok(adapter) = name.parse::<decisions::ids::AdapterRef>() else {
                continue;
            };
            let id = adapter.id();
            let has_slot = {
                let state = self.state.lock();
                let resident = state.slots.resident();
                let loading = state.slots.loading();
                resident.binary_search(&id).is_ok() || loading.binary_search(&id).is_ok()
            };
            if !has_slot {
                let _ = self.engine.unload_adapter(&adapter, fencing).await;
            }
        }
    }
}

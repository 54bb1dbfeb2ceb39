//! Adapter loads and evictions on one engine.

use std::sync::Arc;

use decisions::{adapter_cache, units};
use endpoints::client::EndpointError;
use peers::message;

use crate::{replica::ReplicaDriver, replica_state::ReplicaState};

/// Consecutive failed loads after which waiting requests fail, so that entries send them elsewhere.
const MAX_LOAD_ATTEMPTS: u32 = 3;
/// HTTP status of an engine that has no free slot for a load.
const NO_SLOT_STATUS: u16 = 409;
/// HTTP status of an engine asked to unload an adapter that it has not loaded.
const NOT_LOADED_STATUS: u16 = 404;

impl ReplicaDriver {
    /// Starts the loads that the budget and the slots allow.
    pub(crate) fn start_loads(self: &Arc<Self>, state: &mut ReplicaState, now: units::Timestamp) {
        let Some(fencing) = state.fencing else { return };
        while state.slots.waiting_loads() > 0 && self.context.budget.try_start_load(now) {
            let ReplicaState { slots, rng, .. } = state;
            let Some(plan) = slots.next_load(now, rng) else {
                self.context.budget.refund_start();
                return;
            };
            tokio::spawn(Arc::clone(self).run_load(plan, fencing));
        }
    }

    async fn run_load(self: Arc<Self>, plan: adapter_cache::LoadPlan, fencing: u64) {
        let started = self.context.clock.now();
        let result = {
            let _load_guard = self.load_lock.read().await;
            self.send_load_commands(&plan, fencing).await
        };
        let now = self.context.clock.now();
        self.context.budget.record_load_end(now.since(started), now);
        self.context.metrics.record_load(result.is_ok());
        let logger = &self.context.logger;
        match result {
            Ok(()) => {
                let mut state = self.state.lock();
                let name = state.adapter_name(plan.adapter);
                state.slots.loaded(&plan, now);
                state.remove_unused_names();
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
                self.handle_load_failure(&plan, fencing, &error).await;
            }
        }
        self.schedule_wake.notify_one();
    }

    async fn send_load_commands(
        &self,
        plan: &adapter_cache::LoadPlan,
        fencing: u64,
    ) -> Result<(), EndpointError> {
        let adapter_name = |id| self.state.lock().adapter_name(id);
        if let Some(evicted) = plan.evict.and_then(adapter_name) {
            let unloading = self.engine.unload_adapter(&evicted, fencing).await;
            match unloading {
                Ok(())
                | Err(EndpointError::Refused {
                    status: NOT_LOADED_STATUS,
                    ..
                }) => {}
                Err(error) => return Err(error),
            }
            self.context.metrics.record_eviction();
            telemetry::logs::info(
                &self.context.logger,
                telemetry::events::ADAPTER_EVICTED,
                &format!("replica {} evicted {evicted}", self.replica),
            );
        }
        let Some(adapter) = adapter_name(plan.adapter) else {
            return Ok(());
        };
        self.engine.load_adapter(&adapter, fencing).await
    }

    async fn handle_load_failure(
        &self,
        plan: &adapter_cache::LoadPlan,
        fencing: u64,
        error: &EndpointError,
    ) {
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
                status: NO_SLOT_STATUS,
                ..
            }
        ) {
            self.unload_untracked(fencing).await;
        }
        if failures >= MAX_LOAD_ATTEMPTS {
            let reason = message::FailureReason::AdapterUnavailable;
            self.fail_waiting_requests(|id| id == plan.adapter, reason, &error.to_string());
        }
    }

    /// Unloads adapters that the engine has loaded but that have no slot here, which happens when
    /// the reply to a load or an unload was lost.
    async fn unload_untracked(&self, fencing: u64) {
        let _load_guard = self.load_lock.write().await;
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

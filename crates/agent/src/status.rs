//! Status polls of one engine: detection of cold restarts and of fencing by another agent.

use decisions::ids;
use endpoints::client::EngineStatus;
use peers::message;

use crate::replica::ReplicaDriver;

impl ReplicaDriver {
    /// Refuses new requests and fails waiting ones because another agent commands the engine.
    pub(crate) fn supersede(&self) {
        let was_superseded = std::mem::replace(&mut self.state.lock().is_superseded, true);
        if was_superseded {
            return;
        }
        let message = "another agent controls the engine";
        telemetry::logs::error(
            &self.context.logger,
            telemetry::events::AGENT_SUPERSEDED,
            message,
        );
        let reason = message::FailureReason::EndpointRefused;
        self.fail_waiting_requests(|_| true, reason, message);
    }

    /// Reads the engine's status once.
    pub async fn read_status(&self) {
        let Ok(status) = self.engine.status().await else {
            let was_ready = std::mem::replace(&mut self.state.lock().is_ready, false);
            if was_ready {
                telemetry::logs::warn(
                    &self.context.logger,
                    telemetry::events::ENGINE_UNREACHABLE,
                    "engine status request failed",
                );
            }
            return;
        };
        if self.apply_status(&status) {
            self.supersede();
        }
        self.schedule_wake.notify_one();
    }

    /// Applies a status; true when it shows that another agent commands the engine. An adapter
    /// missing from the status stays in its slot, because the status may be older than its load.
    fn apply_status(&self, status: &EngineStatus) -> bool {
        let now = self.context.clock.now();
        let mut state = self.state.lock();
        state.is_ready = status.base_model == self.settings.base_model;
        let is_first = state.fencing.is_none();
        let own = *state
            .fencing
            .get_or_insert(status.fencing.saturating_add(1));
        if !is_first && status.epoch != state.epoch {
            state.slots.reset(usize::from(self.settings.adapter_slots));
            // The restart reset the fencing number, and this agent may be the first to send one.
            telemetry::logs::warn(
                &self.context.logger,
                telemetry::events::ENGINE_RESTARTED,
                "engine restarted without adapters",
            );
        }
        if is_first || status.epoch != state.epoch {
            state.epoch = status.epoch;
            let adapters = status.adapters.iter();
            let adapters: Vec<ids::AdapterRef> =
                adapters.filter_map(|name| name.parse().ok()).collect();
            for adapter in &adapters {
                state.add_adapter_name(adapter);
            }
            let adapters: Vec<_> = adapters.iter().map(ids::AdapterRef::id).collect();
            state.slots.adopt(&adapters, now);
        }
        self.settings.checks_fencing && status.fencing > own
    }
}

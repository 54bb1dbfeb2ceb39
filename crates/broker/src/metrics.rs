//! Counters and histograms of a broker.

use std::time;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use telemetry::metrics;

use crate::{engine, message};

/// Instruments of one broker.
pub struct BrokerMetrics {
    registry: metrics::MetricsRegistry,
    permits: Counter<u64>,
    refusals: Counter<u64>,
    commands: Counter<u64>,
    crashes: Counter<u64>,
    quota_decisions: Counter<u64>,
    waits: Histogram<f64>,
}

impl BrokerMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// [`metrics::MetricsError`] when the exporter cannot be built.
    pub fn new() -> Result<Self, metrics::MetricsError> {
        let registry = metrics::MetricsRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            permits: meter.u64_counter("broker_places").build(),
            refusals: meter.u64_counter("broker_refusals").build(),
            commands: meter.u64_counter("broker_orders").build(),
            crashes: meter.u64_counter("broker_engine_crashes").build(),
            quota_decisions: meter.u64_counter("broker_quota_decisions").build(),
            waits: metrics::seconds_histogram(&meter, "broker_place_wait_seconds"),
            registry,
        })
    }

    /// Records the decision on a request for a permit.
    pub fn record_decision(&self, decision: &message::PermitDecision, waited: time::Duration) {
        match decision {
            message::PermitDecision::Granted { .. } => {
                self.permits.add(1, &[]);
                self.waits.record(waited.as_secs_f64(), &[]);
            }
            message::PermitDecision::Refused { reason, .. } => {
                let reason = KeyValue::new("reason", reason.label());
                self.refusals.add(1, &[reason]);
            }
        }
    }

    /// Counts a command to the engine by its outcome.
    pub fn record_command(&self, reply: &Result<engine::CommandReply, engine::EngineError>) {
        let outcome = match reply {
            Ok(engine::CommandReply::Accepted) => "accepted",
            Ok(engine::CommandReply::Refused { .. }) => "refused",
            Ok(engine::CommandReply::OtherEngine) => "other_engine",
            Err(_) => "unknown",
        };
        self.commands.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a crash of the engine.
    pub fn record_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counter of decisions on charges to quotas, by outcome.
    #[must_use]
    pub fn quota_decisions(&self) -> Counter<u64> {
        self.quota_decisions.clone()
    }

    /// Metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

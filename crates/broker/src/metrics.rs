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
    places: Counter<u64>,
    refusals: Counter<u64>,
    orders: Counter<u64>,
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
            places: meter.u64_counter("broker_places").build(),
            refusals: meter.u64_counter("broker_refusals").build(),
            orders: meter.u64_counter("broker_orders").build(),
            waits: metrics::seconds_histogram(&meter, "broker_place_wait_seconds"),
            registry,
        })
    }

    /// Records the answer to a request for a place.
    pub fn answered(&self, answer: &message::PlaceAnswer, waited: time::Duration) {
        match answer {
            message::PlaceAnswer::Granted { .. } => {
                self.places.add(1, &[]);
                self.waits.record(waited.as_secs_f64(), &[]);
            }
            message::PlaceAnswer::Refused { reason, .. } => {
                let reason = KeyValue::new("reason", reason.label());
                self.refusals.add(1, &[reason]);
            }
        }
    }

    /// Counts an order to the engine by its outcome.
    pub fn ordered(&self, reply: &Result<engine::OrderReply, engine::EngineError>) {
        let outcome = match reply {
            Ok(engine::OrderReply::Accepted) => "accepted",
            Ok(engine::OrderReply::Refused { .. }) => "refused",
            Ok(engine::OrderReply::OtherEngine) => "other_engine",
            Err(_) => "unknown",
        };
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

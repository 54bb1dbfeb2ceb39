//! Metrics registry of one process.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Reason why the registry cannot be set up.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    #[snafu(display("cannot set up the metrics exporter: {source}"))]
    Exporter {
        source: opentelemetry_sdk::error::OTelSdkError,
    },
}

/// Meter with its Prometheus exporter.
#[derive(Debug)]
pub struct MetricsRegistry {
    provider: SdkMeterProvider,
    registry: prometheus::Registry,
}

impl MetricsRegistry {
    /// Creates an empty registry.
    ///
    /// # Errors
    /// [`MetricsError`] when the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(ExporterSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Meter on which instruments are created.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("cowslipdeal")
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        if encoder.encode(&self.registry.gather(), &mut text).is_err() {
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use opentelemetry::KeyValue;

    use super::*;

    // Guards against counters that are recorded but not exported.
    #[test]
    fn counter_with_reason_is_rendered() {
        let registry = MetricsRegistry::new().unwrap();
        let counter = registry.meter().u64_counter("refusals").build();
        counter.add(2, &[KeyValue::new("reason", "queue_full")]);
        let text = registry.render();
        let line = text.lines().find(|line| line.starts_with("refusals"));
        let line = line.unwrap_or_default();
        assert!(
            line.contains("reason=\"queue_full\"") && line.ends_with(" 2"),
            "{text}"
        );
    }
}

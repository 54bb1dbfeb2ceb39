//! Metrics registry of one process.

use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Bucket bounds of time histograms, in seconds. They are closest around the targets: 54 ms between
/// tokens and 1.2 s to the first token.
const SECONDS_BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.054, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0, 10.0, 30.0,
];

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

    /// Meter that creates the instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("cowslipdeal")
    }

    /// Renders all metrics in the Prometheus text format.
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

/// Histogram of times in seconds. Its name ends in `_seconds` already, so the instrument has no
/// unit: the exporter would append the unit again.
#[must_use]
pub fn seconds_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(SECONDS_BUCKETS.to_vec())
        .build()
}

#[cfg(test)]
mod tests {
    use opentelemetry::KeyValue;

    use super::*;

    // Guards against bounds in milliseconds, with which all times fall into one bucket.
    #[test]
    fn token_times_fall_into_different_buckets() {
        let registry = MetricsRegistry::new().unwrap();
        let histogram = seconds_histogram(&registry.meter(), "gap_seconds");
        histogram.record(0.05, &[]);
        histogram.record(0.06, &[]);
        let text = registry.render();
        assert!(text.contains("\ngap_seconds_count"), "{text}");
        let bucket = |bound: &str| {
            let wanted = format!("le=\"{bound}\"");
            let line = text.lines().find(|line| line.contains(&wanted));
            line.and_then(|line| line.rsplit_once(' '))
                .map(|(_, count)| count.to_owned())
        };
        assert_eq!(bucket("0.054").as_deref(), Some("1"), "{text}");
        assert_eq!(bucket("0.08").as_deref(), Some("2"), "{text}");
    }

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

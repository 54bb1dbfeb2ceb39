//! Metrics of an entry.

use std::time;

use callers::error;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, UpDownCounter},
};
use serde::Serialize;
use telemetry::metrics;

/// Instruments of one entry.
pub struct EntryMetrics {
    registry: metrics::MetricsRegistry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    outcomes: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    open_streams: UpDownCounter<i64>,
    sessions: UpDownCounter<i64>,
}

/// Reason for which a request is sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// An agent refused the request.
    Refused,
    /// No connection to the chosen agent.
    Unconnected,
    /// A tombstone prevents the earlier attempt.
    Tombstone,
    /// The stream failed before its first part.
    Failed,
}

impl EntryMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// [`metrics::MetricsError`] when the exporter cannot be set up.
    pub fn new() -> Result<Self, metrics::MetricsError> {
        let registry = metrics::MetricsRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            requests: meter.u64_counter("entry_requests").build(),
            refusals: meter.u64_counter("entry_refusals").build(),
            retries: meter.u64_counter("entry_retries").build(),
            outcomes: meter.u64_counter("entry_outcomes").build(),
            first_token: meter.f64_histogram("entry_first_token_seconds").build(),
            between_tokens: meter.f64_histogram("entry_between_tokens_seconds").build(),
            open_streams: meter.i64_up_down_counter("entry_open_streams").build(),
            sessions: meter.i64_up_down_counter("entry_sessions").build(),
            registry,
        })
    }

    /// Counts a request of a caller.
    pub fn requested(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a request that ended with an error before its answer began.
    pub fn refused(&self, error: &error::CallerError) {
        let code = KeyValue::new("reason", label(&error.code));
        let outcome = KeyValue::new("outcome", label(&error.outcome));
        self.refusals.add(1, &[code, outcome.clone()]);
        self.outcomes.add(1, &[outcome]);
    }

    /// Counts an answer that ended.
    pub fn ended(&self, outcome: &'static str) {
        self.outcomes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a repeated attempt.
    pub fn retried(&self, reason: RetryReason) {
        let reason = KeyValue::new("reason", label(&reason));
        self.retries.add(1, &[reason]);
    }

    /// Records the time to the first token.
    pub fn first_token(&self, time: time::Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens.
    pub fn between_tokens(&self, time: time::Duration) {
        self.between_tokens.record(time.as_secs_f64(), &[]);
    }

    /// Changes the number of open streams.
    pub fn streams(&self, change: i64) {
        self.open_streams.add(change, &[]);
    }

    /// Changes the number of connected sessions.
    pub fn sessions(&self, change: i64) {
        self.sessions.add(change, &[]);
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

/// Name of a fieldless variant as serialized.
fn label(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

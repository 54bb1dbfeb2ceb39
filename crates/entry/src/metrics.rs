//! Metrics of an entry.

use std::time;

use callers::error;
use decisions::retries;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, UpDownCounter},
};
use serde::Serialize;
use telemetry::metrics;

use crate::admissions;

/// Instruments of one entry.
pub struct EntryMetrics {
    registry: metrics::MetricsRegistry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    outcomes: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    open_streams: UpDownCounter<i64>,
    sessions: UpDownCounter<i64>,
    backlog_predicted_wait: Gauge<f64>,
    backlog_late: Gauge<u64>,
    backlog_waiting: Gauge<u64>,
}

/// Outcome of a hedge.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HedgeOutcome {
    Started,
    /// The hedge produced the first part before the other attempts.
    Won,
    /// Not started, since the hedge budget is exhausted.
    NoBudget,
    /// Not started, since no other endpoint accepts the request.
    NoEndpoint,
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
            hedges: meter.u64_counter("entry_hedges").build(),
            outcomes: meter.u64_counter("entry_outcomes").build(),
            first_token: metrics::seconds_histogram(&meter, "entry_first_token_seconds"),
            between_tokens: metrics::seconds_histogram(&meter, "entry_between_tokens_seconds"),
            open_streams: meter.i64_up_down_counter("entry_open_streams").build(),
            sessions: meter.i64_up_down_counter("entry_sessions").build(),
            backlog_predicted_wait: meter.f64_gauge("entry_backlog_wait_seconds").build(),
            backlog_late: meter.u64_gauge("entry_backlog_late").build(),
            backlog_waiting: meter.u64_gauge("entry_backlog_waiting").build(),
            registry,
        })
    }

    /// Counts a request from a caller.
    pub fn record_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a request that failed before its response began.
    pub fn record_refusal(&self, error: &error::CallerError) {
        let code = KeyValue::new("reason", label(&error.code));
        let outcome = KeyValue::new("outcome", label(&error.outcome));
        self.refusals.add(1, &[code, outcome.clone()]);
        self.outcomes.add(1, &[outcome]);
    }

    /// Counts a response that ended.
    pub fn record_outcome(&self, outcome: &'static str) {
        self.outcomes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: retries::RetryReason) {
        let reason = KeyValue::new("reason", retry_label(reason));
        self.retries.add(1, &[reason]);
    }

    /// Counts the outcome of a hedge.
    pub fn record_hedge(&self, outcome: HedgeOutcome) {
        let outcome = KeyValue::new("outcome", label(&outcome));
        self.hedges.add(1, &[outcome]);
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, time: time::Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens.
    pub fn record_between_tokens(&self, time: time::Duration) {
        self.between_tokens.record(time.as_secs_f64(), &[]);
    }

    /// Changes the number of open streams.
    pub fn add_open_streams(&self, change: i64) {
        self.open_streams.add(change, &[]);
    }

    /// Changes the number of connected sessions.
    pub fn add_sessions(&self, change: i64) {
        self.sessions.add(change, &[]);
    }

    /// Records the backlog by priority. Adapters are reported in `status` only, since one time
    /// series per adapter would be too many.
    pub fn record_backlog(&self, report: &admissions::BacklogReport) {
        for entry in &report.priorities {
            let priority = [KeyValue::new("priority", entry.name.clone())];
            let wait = u32::try_from(entry.predicted_wait_ms).unwrap_or(u32::MAX);
            self.backlog_predicted_wait
                .record(f64::from(wait) / 1000.0, &priority);
            self.backlog_late.record(entry.late.into(), &priority);
            self.backlog_waiting.record(entry.waiting.into(), &priority);
        }
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

/// Serialized name of a fieldless variant.
fn label(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Name of a retry reason in metrics and log records.
#[must_use]
pub fn retry_label(reason: retries::RetryReason) -> &'static str {
    match reason {
        retries::RetryReason::AdapterUnavailable => "adapter_unavailable",
        retries::RetryReason::ConnectFailed => "connect_failed",
        retries::RetryReason::EndpointFailed => "endpoint_failed",
        retries::RetryReason::EndpointLost => "endpoint_lost",
        retries::RetryReason::Leaving => "leaving",
        retries::RetryReason::Overloaded => "overloaded",
        retries::RetryReason::SessionClosed => "session_closed",
    }
}

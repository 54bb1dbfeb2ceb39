//! Metrics of the agent role.

use std::time;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use peers::message;
use serde::Serialize;

/// Label values of the priorities in the order of [`message::ReplicaReport::wait_millis`].
const PRIORITY_LABELS: [&str; 3] = ["low", "normal", "high"];

/// Metric instruments of one agent process.
pub struct AgentMetrics {
    refusals: Counter<u64>,
    failures: Counter<u64>,
    loads: Counter<u64>,
    load_failures: Counter<u64>,
    evictions: Counter<u64>,
    load_stall: Histogram<f64>,
    queued_requests: Gauge<u64>,
    predicted_wait: Gauge<f64>,
    batch_requests: Gauge<u64>,
    batch_adapters: Gauge<u64>,
    open_sessions: Gauge<u64>,
    open_streams: Gauge<u64>,
}

/// Load of one replica at the time of a report.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSample {
    pub replica: u16,
    pub queued_requests: usize,
    /// Predicted wait by priority from low to high, in milliseconds.
    pub wait_millis: [u32; 3],
    pub batch_requests: usize,
    pub batch_adapters: usize,
}

impl AgentMetrics {
    /// Creates the instruments on a meter.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        Self {
            refusals: meter.u64_counter("agent_refusals").build(),
            failures: meter.u64_counter("agent_failures").build(),
            loads: meter.u64_counter("agent_adapter_loads").build(),
            load_failures: meter.u64_counter("agent_adapter_load_failures").build(),
            evictions: meter.u64_counter("agent_adapter_evictions").build(),
            load_stall: telemetry::metrics::seconds_histogram(meter, "agent_load_stall_seconds"),
            queued_requests: meter.u64_gauge("agent_queued_requests").build(),
            predicted_wait: meter.f64_gauge("agent_predicted_wait_seconds").build(),
            batch_requests: meter.u64_gauge("agent_batch_requests").build(),
            batch_adapters: meter.u64_gauge("agent_batch_adapters").build(),
            open_sessions: meter.u64_gauge("agent_sessions").build(),
            open_streams: meter.u64_gauge("agent_open_streams").build(),
        }
    }

    /// Counts a refused dispatch.
    pub fn record_refusal(&self, reason: message::RefusalReason) {
        self.refusals.add(1, &[label("reason", reason)]);
    }

    /// Counts the final part of a stream if it is a failure.
    pub fn record_stream_end(&self, last: &message::StreamPart) {
        let message::StreamPart::Failed(failure) = last else {
            return;
        };
        let labels = [
            label("reason", failure.reason),
            label("outcome", failure.outcome),
        ];
        self.failures.add(1, &labels);
    }

    /// Counts a completed or failed load.
    pub fn record_load(&self, is_loaded: bool) {
        let counter = if is_loaded {
            &self.loads
        } else {
            &self.load_failures
        };
        counter.add(1, &[]);
    }

    /// Counts an evicted adapter.
    pub fn record_eviction(&self) {
        self.evictions.add(1, &[]);
    }

    /// Records how long a request waited for its adapter.
    pub fn record_load_stall(&self, waited: time::Duration) {
        self.load_stall.record(waited.as_secs_f64(), &[]);
    }

    /// Records the load of a replica.
    pub fn record_replica(&self, sample: &ReplicaSample) {
        let replica = KeyValue::new("replica", i64::from(sample.replica));
        let labels = std::slice::from_ref(&replica);
        self.queued_requests
            .record(sample.queued_requests as u64, labels);
        self.batch_requests
            .record(sample.batch_requests as u64, labels);
        self.batch_adapters
            .record(sample.batch_adapters as u64, labels);
        for (name, millis) in PRIORITY_LABELS.iter().zip(sample.wait_millis) {
            let labels = [replica.clone(), KeyValue::new("priority", *name)];
            self.predicted_wait
                .record(f64::from(millis) / 1000.0, &labels);
        }
    }

    /// Records the number of sessions and of open streams.
    pub fn record_open_counts(&self, sessions: usize, streams: usize) {
        self.open_sessions.record(sessions as u64, &[]);
        self.open_streams.record(streams as u64, &[]);
    }
}

/// Label whose value is the serialized name of `value`.
fn label(key: &'static str, value: impl Serialize) -> KeyValue {
    let value = serde_json::to_value(value).unwrap_or_default();
    KeyValue::new(key, value.as_str().unwrap_or_default().to_owned())
}

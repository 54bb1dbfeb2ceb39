//! Metrics of the agent role.

use std::time;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use peers::message;
use serde::Serialize;

/// Names of the priorities in the order of [`message::ReplicaReport::wait_millis`].
const PRIORITIES: [&str; 3] = ["low", "normal", "high"];

/// Instruments of one agent process.
pub struct AgentMetrics {
    refusals: Counter<u64>,
    failures: Counter<u64>,
    loads: Counter<u64>,
    load_failures: Counter<u64>,
    evictions: Counter<u64>,
    load_stall: Histogram<f64>,
    queued: Gauge<u64>,
    predicted_wait: Gauge<f64>,
    batch: Gauge<u64>,
    batch_adapters: Gauge<u64>,
    sessions: Gauge<u64>,
    streams: Gauge<u64>,
}

/// Load of one replica at one time.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSample {
    pub replica: u16,
    pub queued: usize,
    /// Predicted wait by priority from low to high, in milliseconds.
    pub wait_millis: [u32; 3],
    pub batch: usize,
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
            queued: meter.u64_gauge("agent_queued_requests").build(),
            predicted_wait: meter.f64_gauge("agent_predicted_wait_seconds").build(),
            batch: meter.u64_gauge("agent_batch_requests").build(),
            batch_adapters: meter.u64_gauge("agent_batch_adapters").build(),
            sessions: meter.u64_gauge("agent_sessions").build(),
            streams: meter.u64_gauge("agent_open_streams").build(),
        }
    }

    /// Counts a refused dispatch.
    pub fn refuse(&self, reason: message::RefusalReason) {
        self.refusals.add(1, &[label("reason", reason)]);
    }

    /// Counts the last part of a stream if it is a failure.
    pub fn end(&self, last: &message::StreamPart) {
        let message::StreamPart::Failed(failure) = last else {
            return;
        };
        let labels = [
            label("reason", failure.reason),
            label("outcome", failure.outcome),
        ];
        self.failures.add(1, &labels);
    }

    /// Counts the end of a load.
    pub fn load(&self, is_loaded: bool) {
        let counter = if is_loaded {
            &self.loads
        } else {
            &self.load_failures
        };
        counter.add(1, &[]);
    }

    /// Counts an evicted adapter.
    pub fn evict(&self) {
        self.evictions.add(1, &[]);
    }

    /// Records the time that a request waited for its adapter.
    pub fn stall(&self, stall: time::Duration) {
        self.load_stall.record(stall.as_secs_f64(), &[]);
    }

    /// Records the load of a replica.
    pub fn sample(&self, sample: &ReplicaSample) {
        let replica = KeyValue::new("replica", i64::from(sample.replica));
        let labels = std::slice::from_ref(&replica);
        self.queued.record(sample.queued as u64, labels);
        self.batch.record(sample.batch as u64, labels);
        self.batch_adapters
            .record(sample.batch_adapters as u64, labels);
        for (name, millis) in PRIORITIES.iter().zip(sample.wait_millis) {
            let labels = [replica.clone(), KeyValue::new("priority", *name)];
            self.predicted_wait
                .record(f64::from(millis) / 1000.0, &labels);
        }
    }

    /// Records the number of sessions and of open streams.
    pub fn count(&self, sessions: usize, streams: usize) {
        self.sessions.record(sessions as u64, &[]);
        self.streams.record(streams as u64, &[]);
    }
}

/// Label with the name that the value has in messages.
fn label(key: &'static str, value: impl Serialize) -> KeyValue {
    let value = serde_json::to_value(value).unwrap_or_default();
    KeyValue::new(key, value.as_str().unwrap_or_default().to_owned())
}

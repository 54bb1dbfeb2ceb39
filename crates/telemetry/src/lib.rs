//! Metrics and logs of a process.
//!
//! Metrics are `OpenTelemetry` instruments, exported in the Prometheus text format. Log records
//! are JSON lines; each carries the number of its event in [`events`].

pub mod events;
pub mod exposition;
pub mod labels;
pub mod limiter;
pub mod logs;
pub mod metrics;

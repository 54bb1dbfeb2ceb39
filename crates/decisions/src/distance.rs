//! Cost of serving a request in another data centre.
//!
//! Distance costs time, which the caller waits, and bytes, which operators pay for. Time is compared
//! with the waits as it is. Bytes require a gain: a request leaves only if its caller gets the response
//! noticeably sooner, measured by the latency objective, and by more if more bytes go along.

use std::time;

/// Round trip that is assumed until it has been measured.
const UNKNOWN_ROUND_TRIP: time::Duration = time::Duration::from_millis(5);
/// Least gain as a share of the latency objective, for a request without bytes.
const MIN_GAIN: f64 = 0.02;
/// Bytes that double the least gain.
const BYTES_PER_MIN_GAIN: f64 = 64.0 * 1024.0;
/// Bytes of a response for each token, with the framing of its events.
const BYTES_PER_TOKEN: u64 = 32;

/// Size of a request and of its expected response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TransferSize {
    pub request_bytes: u64,
    pub response_tokens: u32,
}

impl TransferSize {
    /// Expected bytes in both directions.
    #[must_use]
    pub fn total_bytes(self) -> u64 {
        let response_bytes = u64::from(self.response_tokens) * BYTES_PER_TOKEN;
        self.request_bytes.saturating_add(response_bytes)
    }
}

/// Time that the way to another data centre adds to a request.
#[must_use]
pub fn delay(
    there: Option<time::Duration>,
    home: Option<time::Duration>,
    round_trips: u32,
) -> time::Duration {
    let there = there.unwrap_or(UNKNOWN_ROUND_TRIP);
    there.saturating_sub(home.unwrap_or_default()) * round_trips
}

/// Least gain for which a request leaves its data centre.
#[must_use]
pub fn min_gain(objective: time::Duration, size: TransferSize) -> time::Duration {
    #[expect(
        clippy::cast_precision_loss,
        reason = "bodies are far below 2^52 bytes"
    )]
    let weight = 1.0 + size.total_bytes() as f64 / BYTES_PER_MIN_GAIN;
    // Bounded, because a gain above the objective would keep requests that home serves late.
    objective.mul_f64((MIN_GAIN * weight).min(1.0))
}

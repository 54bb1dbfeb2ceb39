//! Quantiles of recent latencies.
//!
//! Two histograms alternate, so that old latencies leave the window after one to two spans without
//! being stored individually.

use std::{mem, time};

use hdrhistogram::Histogram;

use crate::units;

/// Time that one histogram covers.
const HISTOGRAM_SPAN: time::Duration = time::Duration::from_secs(10);
/// Upper bound of recorded latencies, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Significant digits of the recorded latencies; two keep a window at about 40 KiB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Histograms of recent latencies.
#[derive(Debug)]
pub struct LatencyWindow {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    started: units::Timestamp,
}

impl LatencyWindow {
    /// Empty window.
    #[must_use]
    pub fn new(now: units::Timestamp) -> Self {
        Self {
            current: empty_histogram(),
            previous: empty_histogram(),
            started: now,
        }
    }

    /// Records one latency.
    pub fn record(&mut self, latency: time::Duration, now: units::Timestamp) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros.max(1));
    }

    /// Latency that the given share does not exceed; `None` with fewer than `samples` latencies.
    ///
    /// The histogram with more samples is used, so that a new span does not start with few.
    #[must_use]
    pub fn quantile(
        &self,
        share: f64,
        samples: u64,
        now: units::Timestamp,
    ) -> Option<time::Duration> {
        if now.since(self.started) >= HISTOGRAM_SPAN * 2 {
            return None;
        }
        let source = if self.current.len() >= self.previous.len() {
            &self.current
        } else {
            &self.previous
        };
        if source.len() < samples {
            return None;
        }
        let micros = source.value_at_quantile(share);
        Some(time::Duration::from_micros(micros))
    }

    fn rotate(&mut self, now: units::Timestamp) {
        let age = now.since(self.started);
        if age < HISTOGRAM_SPAN {
            return;
        }
        if age >= HISTOGRAM_SPAN * 2 {
            self.current.reset();
        }
        mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.started = now;
    }
}

fn empty_histogram() -> Histogram<u64> {
    // The bounds are constants for which the constructor cannot fail.
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a quantile that keeps old values after the latency has changed.
    #[test]
    fn old_latencies_leave_the_window() {
        let start = units::Timestamp(0);
        let mut window = LatencyWindow::new(start);
        for round in 0..4_u32 {
            let now = start + HISTOGRAM_SPAN * round;
            let millis = if round == 0 { 500 } else { 50 };
            for _ in 0..100 {
                window.record(time::Duration::from_millis(millis), now);
            }
        }
        let now = start + HISTOGRAM_SPAN * 3;
        let quantile = window.quantile(0.95, 50, now).unwrap();
        assert!(quantile < time::Duration::from_millis(52), "{quantile:?}");
        assert!(
            window
                .quantile(0.95, 50, now + HISTOGRAM_SPAN * 2)
                .is_none()
        );
    }
}

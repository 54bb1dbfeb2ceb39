//! Part of the recent requests to a replica that failed.
//!
//! The part falls by itself while nothing is sent, so that a replica that has recovered is tried
//! again without probes.

use std::time;

use crate::units;

/// Weight of one more outcome.
const WEIGHT: f64 = 0.25;
/// Time in which the part falls to a half.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Failures of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    rate: f64,
    changed_at: units::Timestamp,
}

impl FailureRate {
    /// Counts one outcome.
    pub fn observe(&mut self, has_failed: bool, now: units::Timestamp) {
        let outcome = if has_failed { 1.0 } else { 0.0 };
        self.rate = self.rate(now) * (1.0 - WEIGHT) + WEIGHT * outcome;
        self.changed_at = now;
    }

    /// Part that failed, 0 to 1.
    #[must_use]
    pub fn rate(&self, now: units::Timestamp) -> f64 {
        let lives = now.since(self.changed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(lives)
    }
}

//! Failure rate of recent requests to a replica.
//!
//! The rate decays while nothing is sent, so that a recovered replica is tried again without
//! probes.

use std::time;

use crate::units;

/// Weight of a new outcome in the moving average.
const WEIGHT: f64 = 0.25;
/// Half-life of the rate without outcomes.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Failure rate of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    rate: f64,
    changed_at: units::Timestamp,
}

impl FailureRate {
    /// Records one outcome.
    pub fn observe(&mut self, has_failed: bool, now: units::Timestamp) {
        let outcome = if has_failed { 1.0 } else { 0.0 };
        self.rate = self.rate(now) * (1.0 - WEIGHT) + WEIGHT * outcome;
        self.changed_at = now;
    }

    /// Failure rate from 0 to 1.
    #[must_use]
    pub fn rate(&self, now: units::Timestamp) -> f64 {
        let half_lives = now.since(self.changed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(half_lives)
    }
}

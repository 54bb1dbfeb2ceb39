//! Expected time of an adapter load, estimated from the loads that the entry has seen.
//!
//! The weight store slows down with the loads in flight and admits a limited number per second.
//! The estimate follows both, so that a saturated store makes resident adapters more attractive.

use std::time;

use crate::units;

/// Capacity of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Time of one load while the store is not saturated.
    pub load_time: time::Duration,
    /// Loads in flight across all replicas beyond which each takes longer.
    pub parallel_loads: u32,
    /// Loads that the store admits per second.
    pub loads_per_second: f64,
}

impl Default for StoreLimits {
    /// Limits of the deployments in section 1.2 of the design.
    fn default() -> Self {
        Self {
            load_time: time::Duration::from_millis(250),
            parallel_loads: 8,
            loads_per_second: 4.5,
        }
    }
}

/// Estimate of the time that a new load takes.
#[derive(Debug)]
pub struct LoadEstimate {
    limits: StoreLimits,
    /// Time at which the store will have admitted all loads started so far.
    admitted_at: units::Timestamp,
}

impl LoadEstimate {
    /// Estimate for an idle store.
    #[must_use]
    pub fn new(limits: StoreLimits) -> Self {
        Self {
            limits,
            admitted_at: units::Timestamp::default(),
        }
    }

    /// Counts a load that the store has to admit.
    pub fn started(&mut self, now: units::Timestamp) {
        let interval = time::Duration::from_secs_f64(1.0 / self.limits.loads_per_second);
        self.admitted_at = self.admitted_at.max(now) + interval;
    }

    /// Time that a load takes when it starts now, with `in_flight` others across all replicas.
    #[must_use]
    pub fn estimate(&self, in_flight: u32, now: units::Timestamp) -> time::Duration {
        let parallel = f64::from(self.limits.parallel_loads.max(1));
        let contention = (f64::from(in_flight.saturating_add(1)) / parallel).max(1.0);
        // Loads within the parallel limit start at once; only the excess waits for the rate.
        let burst = time::Duration::from_secs_f64(parallel / self.limits.loads_per_second);
        let delay = self.admitted_at.since(now).saturating_sub(burst);
        self.limits.load_time.mul_f64(contention) + delay
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against new copies being made while the store is saturated.
    #[test]
    fn estimate_grows_with_saturation_and_recovers() {
        let now = units::Timestamp(0);
        let mut estimate = LoadEstimate::new(StoreLimits::default());
        assert_eq!(estimate.estimate(0, now), time::Duration::from_millis(250));
        for _ in 0..16 {
            estimate.started(now);
        }
        assert!(estimate.estimate(16, now) > time::Duration::from_secs(2));
        let later = now + time::Duration::from_secs(4);
        assert_eq!(
            estimate.estimate(0, later),
            time::Duration::from_millis(250)
        );
    }
}

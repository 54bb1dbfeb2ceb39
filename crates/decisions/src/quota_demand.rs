//! Demand of an organisation at one gateway, by which its leases are sized.

use std::time;

use crate::units;

/// Interval in which the demand is measured.
const DEMAND_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Units asked for in the present interval and the one before.
#[derive(Debug, Default)]
pub struct RecentDemand {
    starts_at: units::Timestamp,
    current: f64,
    previous: f64,
}

impl RecentDemand {
    /// Records a request.
    pub fn record(&mut self, cost: f64, now: units::Timestamp) {
        let elapsed = now.since(self.starts_at);
        if elapsed >= DEMAND_INTERVAL {
            let is_next = elapsed < DEMAND_INTERVAL * 2;
            self.previous = if is_next { self.current } else { 0.0 };
            self.current = 0.0;
            self.starts_at = now;
        }
        self.current += cost;
    }

    /// Units that will be asked for in a time.
    #[must_use]
    pub fn expected(&self, time: time::Duration) -> f64 {
        self.current.max(self.previous) * time.div_duration_f64(DEMAND_INTERVAL)
    }
}

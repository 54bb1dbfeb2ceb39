//! Time for which replicas without a record are kept after an outage of the store.
//!
//! Records expire while the store is unavailable, and live replicas publish them again soon after
//! its recovery. Without a grace period an entry would lose most replicas at that moment. A replica
//! that has really left must still get no more requests once the leave time has passed since the entry
//! found its record missing, whatever the interval between two reads is.

use std::time;

use crate::units;

/// Time after an outage within which live replicas publish their records again.
const RELISTING_TIME: time::Duration = time::Duration::from_millis(2500);
/// Share of the leave time for which a missing replica may be kept. The rest allows for a request
/// that was sent in the last moment.
const KEPT_SHARE: f64 = 0.85;

/// Grace period after the most recent outage.
#[derive(Clone, Copy, Debug)]
pub struct RelistingPeriod {
    leave_time: time::Duration,
    ends_at: Option<units::Timestamp>,
}

impl RelistingPeriod {
    /// No grace period yet. After `leave_time` a replica that left must get no more requests.
    #[must_use]
    pub fn new(leave_time: time::Duration) -> Self {
        Self {
            leave_time,
            ends_at: None,
        }
    }

    /// Records the first response of the store after an outage.
    pub fn record_recovery(&mut self, now: units::Timestamp) {
        self.ends_at = Some(now + RELISTING_TIME);
    }

    /// Time until which a replica that is found missing now is kept; `None` if it has left.
    #[must_use]
    pub fn keep_until(&self, now: units::Timestamp) -> Option<units::Timestamp> {
        let ends_at = self.ends_at.filter(|end| now < *end)?;
        Some(ends_at.min(now + self.leave_time.mul_f64(KEPT_SHARE)))
    }
}

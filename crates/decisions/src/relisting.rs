//! Time for which replicas without a record are kept after an outage of the store.
//!
//! Records expire while the store is unavailable, and live replicas publish them again soon after
//! its recovery. Without a grace period an entry would lose most replicas at that moment.
//!
//! An entry cannot tell an expired record from one that was removed, nor an outage of the store from
//! one of its own connection. A replica that has really left must get no more requests once the
//! leave time has passed since its record was removed, unless the entry was disrupted within the
//! settling time:
//!
//! - A record that was there at one read and is missing at the next was removed after the start of
//!   the first of them, so the leave time counts from there.
//! - A record that is missing at the first read after an outage may have been removed at any time
//!   during it. Its replica is kept at most until the entry has settled. The outage did not end before
//!   the start of the last read that failed.
//! - A store that has returned from an older copy lacks the records that were written since. The last
//!   read before the return counts as the last one that failed.

use std::time;

use crate::units;

/// Time after an outage within which live replicas publish their records again.
const RELISTING_TIME: time::Duration = time::Duration::from_millis(2500);
/// Share of the leave time for which a missing replica may be kept. The rest allows for a request
/// that was sent in the last moment.
const KEPT_SHARE: f64 = 0.85;
/// Time by which a missing replica is dropped before the entry has settled, for the same reason.
const SETTLING_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Limits that the platform sets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelistingLimits {
    /// Time after which a replica that left must get no more requests.
    pub leave_time: time::Duration,
    /// Time after a disruption of the entry from which on the leave time must be kept again.
    pub settling_time: time::Duration,
}

/// Successful read of the replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaRead {
    pub started_at: units::Timestamp,
    pub ended_at: units::Timestamp,
}

/// Grace period after the most recent outage.
#[derive(Clone, Copy, Debug)]
pub struct RelistingPeriod {
    limits: RelistingLimits,
    /// Start of the newest successful read.
    last_read_at: units::Timestamp,
    ends_at: Option<units::Timestamp>,
    /// The store has returned from an older copy since the newest successful read.
    is_replaced: bool,
}

impl RelistingPeriod {
    /// No grace period yet.
    #[must_use]
    pub fn new(limits: RelistingLimits) -> Self {
        Self {
            limits,
            last_read_at: units::Timestamp::default(),
            ends_at: None,
            is_replaced: false,
        }
    }

    /// Records that the store has returned from an older copy.
    pub fn record_replaced_history(&mut self) {
        self.is_replaced = true;
    }

    /// Records a read. `failed_since` is the start of the last failed read if this is the first
    /// successful one after an outage.
    ///
    /// Returns the time until which replicas that the read shows to be missing are kept; `None` if
    /// they have left.
    pub fn record_read(
        &mut self,
        read: ReplicaRead,
        failed_since: Option<units::Timestamp>,
    ) -> Option<units::Timestamp> {
        let earlier_read_at = std::mem::replace(&mut self.last_read_at, read.started_at);
        let replaced_since = std::mem::take(&mut self.is_replaced).then_some(earlier_read_at);
        let failed_since = failed_since.or(replaced_since);
        let limits = self.limits;
        let kept_time = limits.leave_time.mul_f64(KEPT_SHARE);
        let limit = match failed_since {
            Some(failed_since) => {
                self.ends_at = Some(read.ended_at + RELISTING_TIME);
                let settling_time = limits.settling_time.saturating_sub(SETTLING_MARGIN);
                let settled_at = failed_since + settling_time;
                settled_at.min(read.ended_at + kept_time)
            }
            None => earlier_read_at + kept_time,
        };
        let until = limit.min(self.ends_at?);
        (read.ended_at < until).then_some(until)
    }

    /// Whether records that expired during an outage may still be published again.
    #[must_use]
    pub fn is_active(&self, now: units::Timestamp) -> bool {
        self.ends_at.is_some_and(|end| now < end)
    }
}

//! Batch places that are kept for high priority.

use std::time;

use crate::units;

/// One batch place in this many is kept for high priority.
const RESERVED_PART: usize = 16;
/// Time for which places are kept after the last high-priority request. Requests hold a place for
/// seconds, so places that are kept only once high priority waits become free too late.
const RESERVE_LIFE: time::Duration = time::Duration::from_secs(30);

/// Places that lower priorities leave free while high priority is in use.
#[must_use]
pub fn reserved_places(batch_limit: usize) -> usize {
    batch_limit / RESERVED_PART
}

/// Reserve of one replica's batch, empty until a high-priority request arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BatchReserve {
    /// Last time at which a high-priority request waited.
    high_seen: Option<units::Timestamp>,
    is_active: bool,
}

impl BatchReserve {
    pub(crate) fn update(&mut self, is_high_waiting: bool, now: units::Timestamp) {
        if is_high_waiting {
            self.high_seen = Some(now);
        }
        self.is_active = self
            .high_seen
            .is_some_and(|seen| now.since(seen) < RESERVE_LIFE);
    }

    /// Places that a request of this priority may not take now.
    pub(crate) fn places(&self, priority: units::Priority, batch_limit: usize) -> usize {
        if !self.is_active || priority == units::Priority::High {
            return 0;
        }
        reserved_places(batch_limit)
    }
}

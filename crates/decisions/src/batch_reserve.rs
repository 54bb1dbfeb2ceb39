//! Batch slots reserved for high priority.

use std::time;

use crate::units;

/// One of this many batch slots is reserved for high priority.
const SLOTS_PER_RESERVED: usize = 16;
/// Time for which slots stay reserved after the last high-priority request. Requests occupy a slot
/// for seconds, so slots reserved only while high priority waits would become free too late.
const RESERVE_DURATION: time::Duration = time::Duration::from_secs(30);

/// Batch slots reserved while high priority is in use.
#[must_use]
pub fn reserved_slots(batch_limit: usize) -> usize {
    batch_limit / SLOTS_PER_RESERVED
}

/// Reservation in one replica's batch, inactive until a high-priority request arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BatchReserve {
    /// Last time a high-priority request waited.
    last_high: Option<units::Timestamp>,
    is_active: bool,
}

impl BatchReserve {
    pub(crate) fn update(&mut self, is_high_waiting: bool, now: units::Timestamp) {
        if is_high_waiting {
            self.last_high = Some(now);
        }
        self.is_active = self
            .last_high
            .is_some_and(|seen| now.since(seen) < RESERVE_DURATION);
    }

    /// Batch slots that a request of this priority may not use now.
    pub(crate) fn unavailable_slots(&self, priority: units::Priority, batch_limit: usize) -> usize {
        if !self.is_active || priority == units::Priority::High {
            return 0;
        }
        reserved_slots(batch_limit)
    }
}

//! Limit on the records of events that may happen once per request.
//!
//! An overload refuses thousands of requests a second; one record per event, reason and interval
//! states how many more there were.

use std::time;

use crate::events;

/// Time between two records of the same event and reason.
const INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Pairs of event and reason that are kept; reasons are a closed set, so more are a fault.
const MAX_SLOTS: usize = 256;

/// Limiter of one process.
#[derive(Debug, Default)]
pub struct EventLimiter {
    /// Sorted by event and reason.
    slots: Vec<EventSlot>,
}

#[derive(Debug)]
struct EventSlot {
    number: u16,
    reason: String,
    written_at: time::Duration,
    suppressed: u64,
}

impl EventLimiter {
    /// Whether a record is written at this time since the start of the process; returns the number
    /// of records left out since the last one.
    pub fn admit(
        &mut self,
        event: events::LogEvent,
        reason: &str,
        now: time::Duration,
    ) -> Option<u64> {
        let wanted = (event.number, reason);
        let found = self
            .slots
            .binary_search_by(|slot| (slot.number, slot.reason.as_str()).cmp(&wanted));
        match found {
            Ok(position) => self.slots[position].admit(now),
            Err(_) if self.slots.len() >= MAX_SLOTS => None,
            Err(position) => {
                let slot = EventSlot {
                    number: event.number,
                    reason: reason.to_owned(),
                    written_at: now,
                    suppressed: 0,
                };
                self.slots.insert(position, slot);
                Some(0)
            }
        }
    }
}

impl EventSlot {
    fn admit(&mut self, now: time::Duration) -> Option<u64> {
        if now.saturating_sub(self.written_at) < INTERVAL {
            self.suppressed += 1;
            return None;
        }
        self.written_at = now;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against an overload that writes one record per refusal, and against one that hides how
    // many there were or the reasons beside the first.
    #[test]
    fn one_record_per_reason_and_interval() {
        let mut limiter = EventLimiter::default();
        let mut admit = |reason, millis| {
            let now = time::Duration::from_millis(millis);
            limiter.admit(events::REQUEST_REFUSED, reason, now)
        };
        assert_eq!(admit("overloaded", 0), Some(0));
        for millis in 1..=1000 {
            assert_eq!(admit("overloaded", millis), None);
        }
        assert_eq!(admit("no_endpoint", 1000), Some(0));
        assert_eq!(admit("overloaded", 10_000), Some(1000));
        assert_eq!(admit("overloaded", 20_000), Some(0));
    }
}

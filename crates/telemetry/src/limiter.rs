//! Rate limit of log records on events that may happen once per request.
//!
//! An overload refuses thousands of requests per second. One record per event, reason and interval
//! is written, with the number of suppressed ones.

use std::time;

use crate::events;

/// Time between two records of the same event and reason.
const INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Largest number of pairs of event and reason. Reasons are a closed set, so that more pairs are a
/// bug; their records are dropped.
const MAX_EVENT_REASONS: usize = 256;

/// Rate limiter of one process.
#[derive(Debug, Default)]
pub struct EventLimiter {
    /// Sorted by event and reason.
    limits: Vec<ReasonLimit>,
}

#[derive(Debug)]
struct ReasonLimit {
    number: u16,
    reason: String,
    last_written: time::Duration,
    suppressed: u64,
}

impl EventLimiter {
    /// Returns the number of records suppressed since the last written one if a record may be
    /// written now, and none if it is suppressed. `now` is the time since the start of the process.
    pub fn admit(
        &mut self,
        event: events::LogEvent,
        reason: &str,
        now: time::Duration,
    ) -> Option<u64> {
        let wanted = (event.number, reason);
        let found = self
            .limits
            .binary_search_by(|limit| (limit.number, limit.reason.as_str()).cmp(&wanted));
        match found {
            Ok(position) => self.limits[position].admit(now),
            Err(_) if self.limits.len() >= MAX_EVENT_REASONS => None,
            Err(position) => {
                let limit = ReasonLimit {
                    number: event.number,
                    reason: reason.to_owned(),
                    last_written: now,
                    suppressed: 0,
                };
                self.limits.insert(position, limit);
                Some(0)
            }
        }
    }
}

impl ReasonLimit {
    fn admit(&mut self, now: time::Duration) -> Option<u64> {
        if now.saturating_sub(self.last_written) < INTERVAL {
            self.suppressed += 1;
            return None;
        }
        self.last_written = now;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against an overload that writes one record per refusal, and against limits that hide
    // the number of refusals or any reason but the first.
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

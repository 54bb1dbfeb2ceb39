//! Age of a process's copy of the published configuration, and whether it may still be relied on.
//!
//! Answers the load of requests at a process that has lost touch with the store: it must refuse what a
//! newer configuration may forbid, but not earlier than needed. The copy is as old as the sending
//! of the newest read that succeeded, because a linearizable read returns all that was acknowledged
//! before it was sent, and nothing more is certain. All times are those of a clock that also counts
//! the time for which the process was frozen or suspended.

use std::time;

use crate::units;

/// Part of the bound by which it is shortened, because clocks differ in their rate.
const CLOCK_DRIFT_DIVISOR: u32 = 1_000;
/// Duration of a waiting read as a ratio of the bound. When one is lost, the copy is as old as two
/// of them, which leaves half of the bound for the outage.
const POLL_RATIO: f64 = 0.25;
/// Time in which load balancers turn callers to other processes.
const ROTATION_TIME: time::Duration = time::Duration::from_secs(2);

/// Age of the copy against its bound.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CopyAge {
    /// `None` if a copy of any age may be relied on.
    bound: Option<time::Duration>,
    /// Sending of the newest read that succeeded.
    confirmed_at: Option<units::Timestamp>,
    /// A read has failed since then.
    has_failed: bool,
}

impl CopyAge {
    /// Age of a copy that has not been read yet.
    #[must_use]
    pub fn new(bound: Option<time::Duration>) -> Self {
        Self {
            bound: bound.map(|bound| bound.saturating_sub(bound / CLOCK_DRIFT_DIVISOR)),
            confirmed_at: None,
            has_failed: false,
        }
    }

    /// Records a read that returned all changes up to its sending at `sent_at`. The copy must have
    /// been changed before.
    pub fn record_read(&mut self, sent_at: units::Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.has_failed = false;
    }

    /// Records a read that failed.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Age of the copy; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: units::Timestamp) -> Option<time::Duration> {
        Some(now.since(self.confirmed_at?))
    }

    /// Whether requests that were received by `now` may be decided by the copy.
    #[must_use]
    pub fn is_reliable(&self, now: units::Timestamp) -> bool {
        self.is_within(now, self.bound)
    }

    /// Whether the copy will be reliable for as long as load balancers need to turn callers to
    /// another process, or for half of its bound if that is shorter.
    #[must_use]
    pub fn is_lasting(&self, now: units::Timestamp) -> bool {
        let limit = |bound: time::Duration| bound.saturating_sub(ROTATION_TIME).max(bound / 2);
        self.is_within(now, self.bound.map(limit))
    }

    /// Whether the copy must be read anew without waiting for a change, because it is old or the last
    /// read failed.
    #[must_use]
    pub fn needs_read(&self, now: units::Timestamp) -> bool {
        let has_failed = self.has_failed && self.bound.is_some();
        has_failed || !self.is_within(now, self.bound.map(|bound| bound / 2))
    }

    /// Longest time for which the next read may wait for a change.
    #[must_use]
    pub fn read_wait(&self, now: units::Timestamp) -> time::Duration {
        if self.needs_read(now) {
            return time::Duration::ZERO;
        }
        let limit = |bound: time::Duration| bound.mul_f64(POLL_RATIO);
        self.bound.map_or(time::Duration::MAX, limit)
    }

    fn is_within(&self, now: units::Timestamp, limit: Option<time::Duration>) -> bool {
        let Some(limit) = limit else {
            return true;
        };
        self.age(now).is_some_and(|age| age <= limit)
    }
}

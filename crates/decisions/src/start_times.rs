//! Time in which an engine begins one request after the other.
//!
//! The time is measured from the engine's reports, so that it holds for any model, for prompts that
//! are partly cached and for an engine that is slowed by its neighbours.

use std::time;

use crate::units;

/// Time assumed before the first measurement.
const FIRST_INTERVAL: time::Duration = time::Duration::from_millis(90);
/// Shortest and longest time that a measurement can give.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(5);
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Weight of one more started request.
const WEIGHT: f64 = 0.1;

/// Requests of one engine that have made no event.
#[derive(Debug)]
pub struct StartTimes {
    unstarted: u32,
    /// Places granted since the newest report.
    granted: u32,
    reported_at: units::Timestamp,
    /// Time with unstarted requests since the last one that started.
    busy: time::Duration,
    interval: time::Duration,
}

impl Default for StartTimes {
    fn default() -> Self {
        Self {
            unstarted: 0,
            granted: 0,
            reported_at: units::Timestamp::default(),
            busy: time::Duration::ZERO,
            interval: FIRST_INTERVAL,
        }
    }
}

impl StartTimes {
    /// Takes the number of unstarted requests from a report.
    pub fn observe(&mut self, unstarted: u32, now: units::Timestamp) {
        if self.unstarted > 0 {
            self.busy += now.since(self.reported_at);
        }
        let known = self.unstarted.saturating_add(self.granted);
        let started = known.saturating_sub(unstarted);
        if started > 0 && !self.busy.is_zero() {
            let interval = (self.busy / started).clamp(MIN_INTERVAL, MAX_INTERVAL);
            let weight = (WEIGHT * f64::from(started)).min(1.0);
            self.interval = self.interval.mul_f64(1.0 - weight) + interval.mul_f64(weight);
            self.busy = time::Duration::ZERO;
        }
        self.unstarted = unstarted;
        self.granted = 0;
        self.reported_at = now;
    }

    /// Counts a place that was granted.
    pub fn granted(&mut self) {
        self.granted += 1;
    }

    /// Requests that have not begun, as far as known.
    #[must_use]
    pub fn unstarted(&self) -> u32 {
        self.unstarted.saturating_add(self.granted)
    }

    /// Time between the starts of two requests while there are some.
    #[must_use]
    pub fn interval(&self) -> time::Duration {
        self.interval
    }
}

//! Round trip to a peer, estimated from calls that also take time at the peer.
//!
//! Queueing only adds to a call, so the shortest call of the last windows is nearest to the round
//! trip. A link that becomes slower shows after two windows.

use std::time;

use crate::units;

const WINDOW: time::Duration = time::Duration::from_secs(2);

/// Shortest call of the current and of the previous window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoundTripEstimate {
    current: Option<time::Duration>,
    previous: Option<time::Duration>,
    window_started: units::Timestamp,
}

impl RoundTripEstimate {
    /// Records the duration of a call.
    pub fn record(&mut self, elapsed: time::Duration, now: units::Timestamp) {
        if now.since(self.window_started) >= WINDOW {
            self.previous = self.current.take();
            self.window_started = now;
        }
        let shortest = self.current.map_or(elapsed, |known| known.min(elapsed));
        self.current = Some(shortest);
    }

    /// Estimated round trip; `None` without calls.
    #[must_use]
    pub fn value(&self) -> Option<time::Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}

//! Monotonic clock of one process.

use decisions::units;
use tokio::time::Instant;

/// Time at the start of a process: a day, longer than any event is remembered. Messages tell the ages
/// of events, which may be older than the process that reads them, and their times must stay apart.
const START: units::Timestamp = units::Timestamp(24 * 60 * 60 * 1_000_000);

/// Clock that starts with the process and reads the Tokio clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Present time. Instants of up to a day before the start have times as well.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        START + self.started.elapsed()
    }
}

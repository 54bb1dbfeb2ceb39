//! Clock of one entry, in the form that the decision modules take.

use decisions::units;
use tokio::time;

/// Time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct EntryClock {
    started: time::Instant,
}

impl Default for EntryClock {
    fn default() -> Self {
        Self {
            started: time::Instant::now(),
        }
    }
}

impl EntryClock {
    /// Current time.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        units::Timestamp(0) + self.started.elapsed()
    }
}

//! Monotonic clock of an entry, in the form used by the decision modules.

use decisions::units;
use tokio::time;

/// Clock that starts at the creation of the entry.
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

//! Monotonic clock of one agent process.

use decisions::units;
use tokio::time;

/// Clock that starts with the process and reads the Tokio clock.
#[derive(Clone, Copy, Debug)]
pub struct AgentClock {
    started: time::Instant,
}

impl AgentClock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: time::Instant::now(),
        }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        units::Timestamp(0) + self.started.elapsed()
    }
}

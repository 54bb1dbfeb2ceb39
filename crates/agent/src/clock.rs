//! Time of one agent process.

use decisions::units;
use tokio::time;

/// Clock that starts with the process and follows the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct AgentClock {
    started: time::Instant,
}

impl AgentClock {
    /// Clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: time::Instant::now(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        units::Timestamp(0) + self.started.elapsed()
    }
}

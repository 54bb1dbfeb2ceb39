//! Phases of a gateway's planned shutdown, and the requests that are still sent to replicas.

use tokio::{sync::watch, time::Instant};

/// Phase of a gateway's lifecycle.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServingPhase {
    Serving,
    /// Not ready; connections are still accepted, because the load balancer may not know yet.
    Draining,
    /// No new connections; open requests are finished.
    Closing,
    /// Requests that are still open get a last response.
    Ending,
}

#[derive(Clone, Copy, Debug)]
struct DrainState {
    phase: ServingPhase,
    /// Start of the last phase; `None` while serving.
    ends_at: Option<Instant>,
}

/// Owner of the phase.
pub struct DrainControl {
    state: watch::Sender<DrainState>,
}

/// Reader of the phase.
#[derive(Clone)]
pub struct DrainMonitor {
    state: watch::Receiver<DrainState>,
}

/// Creates the owner and a reader of a phase that begins as serving.
#[must_use]
pub fn channel() -> (DrainControl, DrainMonitor) {
    let serving = DrainState {
        phase: ServingPhase::Serving,
        ends_at: None,
    };
    let (sender, receiver) = watch::channel(serving);
    let monitor = DrainMonitor { state: receiver };
    (DrainControl { state: sender }, monitor)
}

impl DrainControl {
    /// Begins the shutdown, whose last phase starts at `ends_at`.
    pub fn start(&self, ends_at: Instant) {
        self.state.send_replace(DrainState {
            phase: ServingPhase::Draining,
            ends_at: Some(ends_at),
        });
    }

    /// Enters a later phase.
    pub fn enter(&self, phase: ServingPhase) {
        self.state.send_modify(|state| state.phase = phase);
    }
}

impl DrainMonitor {
    /// Whether no shutdown has begun.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state.borrow().phase == ServingPhase::Serving
    }

    /// Whether a request with a deadline may still be sent to a replica. Once no new connections are
    /// accepted, only those that end before the last phase are.
    #[must_use]
    pub fn admits(&self, deadline: Instant) -> bool {
        let state = *self.state.borrow();
        state.phase < ServingPhase::Closing || state.ends_at.is_none_or(|end| deadline <= end)
    }

    /// Waits for a phase or a later one. It is never reached once the owner is gone.
    pub async fn wait_for(&mut self, phase: ServingPhase) {
        let is_reached = |state: &DrainState| state.phase >= phase;
        let is_reached = self.state.wait_for(is_reached).await.is_ok();
        if !is_reached {
            std::future::pending::<()>().await;
        }
    }
}

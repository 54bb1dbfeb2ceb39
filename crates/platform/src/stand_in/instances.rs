//! In-memory instance list with fault injection.

use std::{collections::VecDeque, time};

use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::instances::{Instance, InstanceList, InstanceListError, InstanceListing};

/// Maximum number of changes that are not visible yet.
const MAX_PENDING: usize = 1_024;

/// In-memory instance list whose changes become visible after a lag.
#[derive(Default)]
pub struct MemoryInstances {
    state: Mutex<ListState>,
}

#[derive(Default)]
struct ListState {
    visible: Vec<Instance>,
    pending: VecDeque<PendingList>,
    lag: time::Duration,
    delay: time::Duration,
    down_until: Option<Instant>,
}

struct PendingList {
    visible_at: Instant,
    list: Vec<Instance>,
}

impl MemoryInstances {
    /// Replaces the list; the change is visible after the lag.
    pub fn set(&self, mut list: Vec<Instance>) {
        list.sort_unstable();
        let mut state = self.state.lock();
        let visible_at = Instant::now() + state.lag;
        if state.pending.len() >= MAX_PENDING {
            state.pending.pop_front();
        }
        state.pending.push_back(PendingList { visible_at, list });
    }

    /// Sets the time after which later changes become visible.
    pub fn set_lag(&self, lag: time::Duration) {
        self.state.lock().lag = lag;
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: time::Duration) {
        self.state.lock().delay = delay;
    }

    /// Fails every call for the given time.
    pub fn set_down(&self, duration: time::Duration) {
        self.state.lock().down_until = Some(Instant::now() + duration);
    }
}

impl InstanceList for MemoryInstances {
    fn list(&self) -> BoxFuture<'_, Result<InstanceListing, InstanceListError>> {
        Box::pin(async move {
            let delay = self.state.lock().delay;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let now = Instant::now();
            let mut state = self.state.lock();
            if state.down_until.is_some_and(|until| now < until) {
                return Err(InstanceListError::Unavailable {
                    message: "stand-in outage".to_owned(),
                });
            }
            while state
                .pending
                .front()
                .is_some_and(|next| next.visible_at <= now)
            {
                if let Some(next) = state.pending.pop_front() {
                    state.visible = next.list;
                }
            }
            Ok(InstanceListing {
                instances: state.visible.clone(),
                unreadable: 0,
            })
        })
    }
}

//! Answer of a keyed request that several callers of one entry read.
//!
//! The agent sends a stream to one reader of a session, so a task takes the parts and every caller
//! reads them from the start. The parts are kept until the last of these callers is done.

use std::sync::{Arc, OnceLock, Weak};

use parking_lot::Mutex;
use peers::message;
use tokio::{runtime, sync, task};

use crate::attempts;

/// Parts taken ahead of the fastest caller; keeps the agent's window as the bound of the stream.
const AHEAD_PARTS: usize = 256;

/// Answer that callers share.
pub struct SharedResponse {
    /// Hash of route and body of the request.
    body_hash: u128,
    state: Mutex<BufferedParts>,
    changed: Arc<sync::Notify>,
    /// Task that takes the parts; it ends with the answer.
    pump: OnceLock<task::AbortHandle>,
}

#[derive(Default)]
struct BufferedParts {
    parts: Vec<message::StreamPart>,
    /// Parts that the fastest caller has read.
    read: usize,
}

/// One caller's position in a shared answer.
pub struct ResponseReader {
    answer: Arc<SharedResponse>,
    next: usize,
}

impl SharedResponse {
    /// Starts to take the parts of an attempt.
    #[must_use]
    pub fn start(
        attempt: attempts::OpenAttempt,
        body_hash: u128,
        runtime: &runtime::Handle,
    ) -> Arc<Self> {
        let answer = Arc::new(Self {
            body_hash,
            state: Mutex::default(),
            changed: Arc::default(),
            pump: OnceLock::new(),
        });
        let changed = Arc::clone(&answer.changed);
        let pump = runtime.spawn(pump(Arc::downgrade(&answer), changed, attempt));
        let _ = answer.pump.set(pump.abort_handle());
        answer
    }

    /// Hash of route and body of the request.
    #[must_use]
    pub fn body_hash(&self) -> u128 {
        self.body_hash
    }

    /// Reader at the first part.
    #[must_use]
    pub fn reader(self: &Arc<Self>) -> ResponseReader {
        ResponseReader {
            answer: Arc::clone(self),
            next: 0,
        }
    }

    /// Stores a part unless the callers are too far behind.
    fn store(&self, part: &message::StreamPart) -> bool {
        let mut state = self.state.lock();
        if state.parts.len() >= state.read + AHEAD_PARTS {
            return false;
        }
        state.parts.push(part.clone());
        drop(state);
        self.changed.notify_waiters();
        true
    }
}

impl Drop for SharedResponse {
    fn drop(&mut self) {
        if let Some(pump) = self.pump.get() {
            pump.abort();
        }
    }
}

impl ResponseReader {
    /// Next part; the last one is `Finished` or `Failed`, after which none follows.
    pub async fn next(&mut self) -> message::StreamPart {
        let signal = Arc::clone(&self.answer.changed);
        loop {
            let changed = signal.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(part) = self.take() {
                signal.notify_waiters();
                return part;
            }
            changed.await;
        }
    }

    fn take(&mut self) -> Option<message::StreamPart> {
        let mut state = self.answer.state.lock();
        let part = state.parts.get(self.next)?.clone();
        self.next += 1;
        state.read = state.read.max(self.next);
        Some(part)
    }
}

async fn pump(
    answer: Weak<SharedResponse>,
    changed: Arc<sync::Notify>,
    mut attempt: attempts::OpenAttempt,
) {
    loop {
        let part = attempt.next().await;
        loop {
            let changed = changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let Some(answer) = answer.upgrade() else {
                return;
            };
            if answer.store(&part) {
                break;
            }
            drop(answer);
            changed.await;
        }
        let is_end = matches!(
            part,
            message::StreamPart::Finished { .. } | message::StreamPart::Failed(_)
        );
        if is_end {
            return;
        }
    }
}

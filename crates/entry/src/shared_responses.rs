//! Response to a request with an idempotency key, shared by several callers of one entry.
//!
//! The agent sends a stream to one reader per session, so a task buffers the parts and every caller
//! reads them from the start. The parts are kept until the last caller is done.

use std::sync::{Arc, OnceLock, Weak};

use parking_lot::Mutex;
use peers::message;
use tokio::{runtime, sync, task};

use crate::attempts;

/// Maximum parts buffered ahead of the fastest caller, so that the agent's window still bounds the
/// stream.
const MAX_AHEAD_PARTS: usize = 256;

/// Response that callers share.
pub struct SharedResponse {
    /// Hash of the route and body of the request.
    body_hash: u128,
    state: Mutex<BufferedParts>,
    changed: Arc<sync::Notify>,
    /// Task that buffers the parts; aborted when the response is dropped.
    task: OnceLock<task::AbortHandle>,
}

#[derive(Default)]
struct BufferedParts {
    parts: Vec<message::StreamPart>,
    /// Number of parts that the fastest caller has read.
    read_count: usize,
}

/// One caller's position in a shared response.
pub struct ResponseReader {
    response: Arc<SharedResponse>,
    next_index: usize,
}

impl SharedResponse {
    /// Starts buffering the parts of an attempt.
    #[must_use]
    pub fn start(
        attempt: attempts::OpenAttempt,
        body_hash: u128,
        runtime: &runtime::Handle,
    ) -> Arc<Self> {
        let response = Arc::new(Self {
            body_hash,
            state: Mutex::default(),
            changed: Arc::default(),
            task: OnceLock::new(),
        });
        let changed = Arc::clone(&response.changed);
        let task = runtime.spawn(buffer_parts(Arc::downgrade(&response), changed, attempt));
        let _ = response.task.set(task.abort_handle());
        response
    }

    /// Hash of the route and body of the request.
    #[must_use]
    pub fn body_hash(&self) -> u128 {
        self.body_hash
    }

    /// Returns a reader at the first part.
    #[must_use]
    pub fn reader(self: &Arc<Self>) -> ResponseReader {
        ResponseReader {
            response: Arc::clone(self),
            next_index: 0,
        }
    }

    /// Stores a part; returns `false` if the callers are too far behind.
    fn try_store(&self, part: &message::StreamPart) -> bool {
        let mut state = self.state.lock();
        if state.parts.len() >= state.read_count + MAX_AHEAD_PARTS {
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
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }
}

impl ResponseReader {
    /// Next part; the last one is `Finished` or `Failed`, after which none follows.
    pub async fn next(&mut self) -> message::StreamPart {
        let signal = Arc::clone(&self.response.changed);
        loop {
            let changed = signal.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(part) = self.take_next() {
                signal.notify_waiters();
                return part;
            }
            changed.await;
        }
    }

    fn take_next(&mut self) -> Option<message::StreamPart> {
        let mut state = self.response.state.lock();
        let part = state.parts.get(self.next_index)?.clone();
        self.next_index += 1;
        state.read_count = state.read_count.max(self.next_index);
        Some(part)
    }
}

async fn buffer_parts(
    response: Weak<SharedResponse>,
    changed: Arc<sync::Notify>,
    mut attempt: attempts::OpenAttempt,
) {
    loop {
        let part = attempt.next().await;
        loop {
            let changed = changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let Some(response) = response.upgrade() else {
                return;
            };
            if response.try_store(&part) {
                break;
            }
            drop(response);
            changed.await;
        }
        let is_last = matches!(
            part,
            message::StreamPart::Finished { .. } | message::StreamPart::Failed(_)
        );
        if is_last {
            return;
        }
    }
}

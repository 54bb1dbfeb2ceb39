//! Graceful shutdown: tracks open requests and refuses new ones.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use callers::error::CallerError;
use tokio::sync;

use crate::caller_errors;

/// Number of open requests, and whether new ones are refused.
#[derive(Default)]
pub struct DrainState {
    is_draining: AtomicBool,
    open: AtomicUsize,
    idle: sync::Notify,
}

/// Counts one request as open until it is dropped.
pub struct OpenRequest(Arc<DrainState>);

impl DrainState {
    /// Starts refusing new requests.
    pub fn start(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Number of open requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until no request is open.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.open_requests() == 0 {
                return;
            }
            idle.await;
        }
    }

    /// Counts a new request as open.
    ///
    /// # Errors
    /// [`CallerError`] with `draining` once the drain has started.
    pub fn begin_request(self: &Arc<Self>) -> Result<OpenRequest, CallerError> {
        // Counted before the check, so that a concurrently started drain waits for the request.
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenRequest(Arc::clone(self));
        if self.is_draining() {
            return Err(caller_errors::entry_draining());
        }
        Ok(open)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.0.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

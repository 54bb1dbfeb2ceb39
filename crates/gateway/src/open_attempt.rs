//! Attempt whose request was sent to a replica.

use std::sync::Arc;

use http::response;
use hyper::body::Incoming;

use crate::{broker_permit, connections, dispatch, replica};

/// Request that was sent, with the head of its response.
pub struct OpenAttempt {
    pub replica: replica::ChosenReplica,
    pub head: response::Parts,
    pub body: Incoming,
    pub connection: connections::ReplicaConnection,
    pub guard: AttemptGuard,
}

/// Records the end of an attempt and releases its permit.
pub struct AttemptGuard {
    dispatcher: Arc<dispatch::Dispatcher>,
    replica: String,
    /// Released when the guard is dropped.
    _permit: Option<broker_permit::BrokerPermit>,
}

impl AttemptGuard {
    /// Records the start of an attempt at a replica.
    #[must_use]
    pub fn new(
        dispatcher: &Arc<dispatch::Dispatcher>,
        replica: &str,
        permit: Option<broker_permit::BrokerPermit>,
    ) -> Self {
        dispatcher.replicas.lock().record_send(replica);
        Self {
            dispatcher: Arc::clone(dispatcher),
            replica: replica.to_owned(),
            _permit: permit,
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.dispatcher.replicas.lock().record_end(&self.replica);
    }
}

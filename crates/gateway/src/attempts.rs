//! Failed attempts at a request, and the final outcome that is consistent with all of them.

use std::time;

use bytes::Bytes;
use http::response;

use crate::{local_reply, open_attempt, plan};

/// Complete response of a replica.
pub struct BufferedResponse {
    pub head: response::Parts,
    pub body: Bytes,
}

/// Whether the request of a failed attempt ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// No byte of the request reached a replica.
    NotSent,
    NotRun,
    Unknown,
    /// The request ran and the replica responded with a failure.
    Ran,
}

/// Attempt without a usable response.
pub struct AttemptFailure {
    pub replica: String,
    pub execution: ExecutionStatus,
    pub reason: &'static str,
    /// Failure response of the replica, passed on if there is no further attempt.
    pub response: Option<BufferedResponse>,
    /// The retry was already taken from the budget.
    pub has_reserved_retry: bool,
    /// The replica's connection ended before its response was complete.
    pub is_connection_lost: bool,
}

/// Attempts at one request so far.
#[derive(Default)]
pub struct AttemptHistory {
    excluded: Vec<String>,
    /// Sends on an open connection.
    pub sent_count: u32,
    pub connect_failures: usize,
    /// At least one attempt ran or may have run.
    pub may_have_run: bool,
    /// An attempt has shown that the request does not crash replicas.
    pub is_proven: bool,
    /// The request tries a blocked prompt part.
    pub is_trial: bool,
}

impl AttemptFailure {
    /// Failure without a response, for whose retry no budget was taken.
    #[must_use]
    pub fn new(replica: &str, execution: ExecutionStatus, reason: &'static str) -> Self {
        Self {
            replica: replica.to_owned(),
            execution,
            reason,
            response: None,
            has_reserved_retry: false,
            is_connection_lost: false,
        }
    }
}

impl AttemptHistory {
    /// History of a stream that is to be resumed at another replica.
    #[must_use]
    pub fn resumed(replica: &str, sent_count: u32, is_proven: bool) -> Self {
        Self {
            excluded: vec![replica.to_owned()],
            sent_count,
            connect_failures: 0,
            may_have_run: true,
            is_proven,
            is_trial: false,
        }
    }

    /// Whether the request tries a blocked prompt part and has not been sent yet. A trial is not
    /// repeated, because it may crash a second engine.
    #[must_use]
    pub fn may_make_trial(&self) -> bool {
        self.is_trial && self.sent_count == 0
    }

    /// Excludes a replica from further attempts.
    pub fn exclude(&mut self, replica: &str) {
        self.excluded.push(replica.to_owned());
    }

    /// Replicas that are excluded from further attempts.
    #[must_use]
    pub fn excluded(&self) -> &[String] {
        &self.excluded
    }

    /// Local reply to a request whose attempts are abandoned because the gateway stops.
    #[must_use]
    pub fn abandoned_reply(&self) -> local_reply::LocalReply {
        if self.sent_count > 0 {
            local_reply::LocalReply::OUTCOME_UNKNOWN
        } else {
            local_reply::LocalReply::STOPPING
        }
    }

    /// Local reply that is true for all attempts.
    #[must_use]
    pub fn final_reply(&self, reply: local_reply::LocalReply) -> local_reply::LocalReply {
        if self.may_have_run && reply.is_not_run() {
            local_reply::LocalReply::OUTCOME_UNKNOWN
        } else {
            reply
        }
    }

    /// Final outcome after the last failure.
    #[must_use]
    pub fn outcome(&self, plan: &plan::RequestPlan, failure: AttemptFailure) -> DispatchOutcome {
        if let Some(response) = failure.response {
            return DispatchOutcome::Buffered {
                replica: failure.replica,
                response,
            };
        }
        if self.may_have_run {
            let is_late = !plan.has_time_left();
            return DispatchOutcome::Local(if is_late {
                local_reply::LocalReply::TIMEOUT
            } else {
                local_reply::LocalReply::OUTCOME_UNKNOWN
            });
        }
        let retry_after = time::Duration::from_millis(100);
        DispatchOutcome::Local(local_reply::LocalReply::not_run(
            failure.reason,
            retry_after,
        ))
    }
}

/// Outcome of all attempts at a request.
pub enum DispatchOutcome {
    Buffered {
        replica: String,
        response: BufferedResponse,
    },
    /// Stream that has started, with the number of sends so far.
    Stream(Box<open_attempt::OpenAttempt>, u32),
    Local(local_reply::LocalReply),
}

/// Reason why an attempt has no usable response.
pub enum AttemptError {
    /// No replica or no permit.
    Refused(local_reply::LocalReply),
    Failed(AttemptFailure),
}

impl AttemptError {
    /// Failure of an attempt that sent nothing.
    #[must_use]
    pub fn not_sent(replica: &str, reason: &'static str) -> Self {
        Self::Failed(AttemptFailure::new(
            replica,
            ExecutionStatus::NotSent,
            reason,
        ))
    }
}

impl From<AttemptFailure> for AttemptError {
    fn from(failure: AttemptFailure) -> Self {
        Self::Failed(failure)
    }
}

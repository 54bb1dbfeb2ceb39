//! Attempts at one request: what is known of them, and the answer that is true for all.

use std::time;

use crate::{dispatch, local_reply, plan};

/// What is known of a failed attempt's run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// Nothing reached a replica.
    NotSent,
    NotExecuted,
    Unknown,
    /// The replica ran it and answered with a failure.
    Executed,
}

/// Attempt without a good answer.
pub struct AttemptFailure {
    pub replica: String,
    pub execution: ExecutionStatus,
    pub reason: &'static str,
    /// Failure of the replica, to be passed on if there is no other attempt.
    pub answer: Option<dispatch::BufferedResponse>,
    /// A repeat was taken from the budget already.
    pub has_reserved_retry: bool,
}

/// Attempts at one request so far.
#[derive(Default)]
pub struct AttemptHistory {
    excluded: Vec<String>,
    /// Sends that reached a replica.
    pub sent_count: u32,
    pub connect_failures: usize,
    /// One of them may have run or ran.
    pub may_have_executed: bool,
}

impl AttemptFailure {
    /// Failure without a response, for whose retry no budget was taken.
    #[must_use]
    pub fn new(replica: &str, execution: ExecutionStatus, reason: &'static str) -> Self {
        Self {
            replica: replica.to_owned(),
            execution,
            reason,
            answer: None,
            has_reserved_retry: false,
        }
    }
}

impl AttemptHistory {
    /// History of a stream that goes on at another replica.
    #[must_use]
    pub fn resumed(replica: &str, sent_count: u32) -> Self {
        Self {
            excluded: vec![replica.to_owned()],
            sent_count,
            connect_failures: 0,
            may_have_executed: true,
        }
    }

    /// Leaves out a replica from further attempts.
    pub fn exclude(&mut self, replica: &str) {
        self.excluded.push(replica.to_owned());
    }

    /// Replicas that further attempts leave out.
    #[must_use]
    pub fn excluded(&self) -> &[String] {
        &self.excluded
    }

    /// Own answer that is true for all attempts.
    #[must_use]
    pub fn final_reply(&self, answer: local_reply::LocalReply) -> local_reply::LocalReply {
        if self.may_have_executed && answer.is_not_executed() {
            local_reply::LocalReply::OUTCOME_UNKNOWN
        } else {
            answer
        }
    }

    /// Final outcome after the last failure.
    #[must_use]
    pub fn outcome(
        &self,
        plan: &plan::RequestPlan,
        failure: AttemptFailure,
    ) -> dispatch::DispatchOutcome {
        if let Some(answer) = failure.answer {
            return dispatch::DispatchOutcome::Buffered {
                replica: failure.replica,
                answer,
            };
        }
        if self.may_have_executed {
            let is_late = !plan.has_time_left();
            return dispatch::DispatchOutcome::Local(if is_late {
                local_reply::LocalReply::TIMEOUT
            } else {
                local_reply::LocalReply::OUTCOME_UNKNOWN
            });
        }
        let pause = time::Duration::from_millis(100);
        dispatch::DispatchOutcome::Local(local_reply::LocalReply::not_executed(
            failure.reason,
            pause,
        ))
    }
}

//! Attempts at one request: what is known of them, and the answer that is true for all.

use std::time;

use crate::{answers, dispatch, plan};

/// What is known of a failed attempt's run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunKnowledge {
    /// Nothing reached a replica.
    Unsent,
    NotRun,
    Unknown,
    /// The replica ran it and answered with a failure.
    Ran,
}

/// Attempt without a good answer.
pub struct Setback {
    pub replica: String,
    pub knowledge: RunKnowledge,
    pub reason: &'static str,
    /// Failure of the replica, to be passed on if there is no other attempt.
    pub answer: Option<dispatch::WholeAnswer>,
    /// A repeat was taken from the budget already.
    pub is_paid: bool,
}

/// Attempts at one request so far.
#[derive(Default)]
pub struct AttemptHistory {
    excluded: Vec<String>,
    /// Sends that reached a replica.
    pub arrivals: u32,
    pub unreachable: usize,
    /// One of them may have run or ran.
    pub may_have_run: bool,
}

impl Setback {
    /// Setback without an answer, whose repeat is not paid for.
    #[must_use]
    pub fn new(replica: &str, knowledge: RunKnowledge, reason: &'static str) -> Self {
        Self {
            replica: replica.to_owned(),
            knowledge,
            reason,
            answer: None,
            is_paid: false,
        }
    }
}

impl AttemptHistory {
    /// History of a stream that goes on at another replica.
    #[must_use]
    pub fn resumed(replica: &str, arrivals: u32) -> Self {
        Self {
            excluded: vec![replica.to_owned()],
            arrivals,
            unreachable: 0,
            may_have_run: true,
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
    pub fn last_answer(&self, answer: answers::OwnAnswer) -> answers::OwnAnswer {
        if self.may_have_run && answer.is_not_run() {
            answers::OwnAnswer::LOST
        } else {
            answer
        }
    }

    /// Final outcome after the last setback.
    #[must_use]
    pub fn outcome(&self, plan: &plan::RequestPlan, setback: Setback) -> dispatch::Outcome {
        if let Some(answer) = setback.answer {
            return dispatch::Outcome::Whole {
                replica: setback.replica,
                answer,
            };
        }
        if self.may_have_run {
            let is_late = !plan.has_time();
            return dispatch::Outcome::Own(if is_late {
                answers::OwnAnswer::TIMEOUT
            } else {
                answers::OwnAnswer::LOST
            });
        }
        let pause = time::Duration::from_millis(100);
        dispatch::Outcome::Own(answers::OwnAnswer::not_run(setback.reason, pause))
    }
}

//! Retries and hedges of requests.
//!
//! A retry follows an attempt that ended without a response; a hedge runs in parallel to an attempt
//! whose first token is late. Each takes a token from a bucket that first attempts fill, so that
//! they add at most a fixed share of work when many attempts fail at once.

use std::time;

use snafu::Snafu;

use crate::{latency_window, units};

/// Retries per first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Hedges per first attempt; fewer, since hedges also run without a failure.
const HEDGES_PER_REQUEST: f64 = 0.05;
/// Capacity of the retry bucket; covers the requests in flight on one lost endpoint.
const RETRY_CAPACITY: f64 = 64.0;
/// Capacity of the hedge bucket.
const HEDGE_CAPACITY: f64 = 8.0;
/// Maximum number of attempts per request, hedges included.
const MAX_ATTEMPTS: u32 = 3;
/// Quantile of the first-token times that sets the hedge delay.
const HEDGE_QUANTILE: f64 = 0.95;
/// Minimum hedge delay; with a shorter one, a hedge cannot beat a normal first token.
const MIN_HEDGE_DELAY: time::Duration = time::Duration::from_millis(50);
/// Hedge delay until enough first tokens were observed.
const DEFAULT_HEDGE_DELAY: time::Duration = time::Duration::from_millis(600);
/// First tokens required for a quantile of 0.95.
const MIN_HEDGE_SAMPLES: u64 = 40;

/// Reason why an attempt ended without a response.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The endpoint could not load the adapter.
    AdapterUnavailable,
    /// The agent could not be reached.
    ConnectFailed,
    /// The endpoint failed while the request ran.
    EndpointFailed,
    /// The agent was lost during the request.
    EndpointLost,
    /// The agent is draining.
    Leaving,
    /// The agent had no capacity or could not meet the deadline.
    Overloaded,
    /// The session was closed before the dispatch.
    SessionClosed,
}

/// Whether an attempt that ended was executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// The agent reported that it has not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, at least in part.
    Ran,
}

/// Request whose last attempt ended without a response.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    pub reason: RetryReason,
    pub execution: ExecutionStatus,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether part of the response was already relayed to the caller.
    pub answer_started: bool,
    /// Number of attempts so far, hedges included.
    pub attempts: u32,
    /// Time left until the deadline.
    pub time_left: time::Duration,
}

/// Reason for refusing a retry or a hedge.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Snafu)]
pub enum RetryRefusal {
    #[snafu(display("part of the answer was already sent; repeat the request"))]
    AnswerStarted,
    #[snafu(display("the request may have run; repeat it only if that is harmless"))]
    MayHaveRun,
    #[snafu(display("the request was tried too often; repeat it later"))]
    AttemptLimit,
    #[snafu(display("no time is left before the deadline; repeat it with a later one"))]
    DeadlinePassed,
    #[snafu(display("too many requests are sent again at present; repeat it later"))]
    BudgetExhausted,
}

/// Request without a first token that may be hedged.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCandidate {
    pub repeatable: bool,
    pub answer_started: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time since the first dispatch.
    pub waited: time::Duration,
    /// Wait predicted at the dispatch.
    pub predicted_wait: time::Duration,
    /// Time left until the deadline.
    pub time_left: time::Duration,
}

/// Whether to start a parallel attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDecision {
    Hedge,
    /// Decide again after this time.
    Wait(time::Duration),
    Never(RetryRefusal),
}

/// Token bucket that first attempts fill and further attempts drain.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    tokens_per_request: f64,
    capacity: f64,
}

/// Retry and hedge policy of one entry.
#[derive(Debug)]
pub struct RetryPolicy {
    retries: TokenBucket,
    hedges: TokenBucket,
    first_tokens: latency_window::LatencyWindow,
}

impl RetryPolicy {
    /// Policy with full buckets and no first-token times.
    #[must_use]
    pub fn new(now: units::Timestamp) -> Self {
        Self {
            retries: TokenBucket::new(RETRIES_PER_REQUEST, RETRY_CAPACITY),
            hedges: TokenBucket::new(HEDGES_PER_REQUEST, HEDGE_CAPACITY),
            first_tokens: latency_window::LatencyWindow::new(now),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        self.retries.deposit();
        self.hedges.deposit();
    }

    /// Records a first-token time, excluding the predicted wait.
    pub fn record_first_token(&mut self, taken: time::Duration, now: units::Timestamp) {
        self.first_tokens.record(taken, now);
    }

    /// Takes a retry from the bucket.
    ///
    /// # Errors
    /// [`RetryRefusal`] if the request must not be sent again.
    pub fn retry(&mut self, failed: &FailedAttempt) -> Result<(), RetryRefusal> {
        if failed.answer_started {
            return Err(RetryRefusal::AnswerStarted);
        }
        if failed.execution != ExecutionStatus::NotRun && !failed.repeatable {
            return Err(RetryRefusal::MayHaveRun);
        }
        check_limits(failed.attempts, failed.time_left)?;
        self.retries.withdraw()
    }

    /// Delay after which a request without a first token is hedged.
    #[must_use]
    pub fn hedge_delay(&self, now: units::Timestamp) -> time::Duration {
        self.first_tokens
            .quantile(HEDGE_QUANTILE, MIN_HEDGE_SAMPLES, now)
            .unwrap_or(DEFAULT_HEDGE_DELAY)
            .max(MIN_HEDGE_DELAY)
    }

    /// Decides on a hedge and takes it from the bucket.
    pub fn hedge(&mut self, late: &HedgeCandidate, now: units::Timestamp) -> HedgeDecision {
        if late.answer_started {
            return HedgeDecision::Never(RetryRefusal::AnswerStarted);
        }
        if !late.repeatable {
            return HedgeDecision::Never(RetryRefusal::MayHaveRun);
        }
        if let Err(refusal) = check_limits(late.attempts, late.time_left) {
            return HedgeDecision::Never(refusal);
        }
        let delay = late.predicted_wait + self.hedge_delay(now) * late.attempts;
        let left = delay.saturating_sub(late.waited);
        if !left.is_zero() {
            return HedgeDecision::Wait(left);
        }
        match self.hedges.withdraw() {
            Ok(()) => HedgeDecision::Hedge,
            Err(refusal) => HedgeDecision::Never(refusal),
        }
    }
}

impl TokenBucket {
    fn new(tokens_per_request: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            tokens_per_request,
            capacity,
        }
    }

    fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(self.capacity);
    }

    fn withdraw(&mut self) -> Result<(), RetryRefusal> {
        if self.tokens < 1.0 {
            return Err(RetryRefusal::BudgetExhausted);
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

fn check_limits(attempts: u32, time_left: time::Duration) -> Result<(), RetryRefusal> {
    if attempts >= MAX_ATTEMPTS {
        return Err(RetryRefusal::AttemptLimit);
    }
    if time_left.is_zero() {
        return Err(RetryRefusal::DeadlinePassed);
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    use super::*;

    const NOW: units::Timestamp = units::Timestamp(0);
    const SECOND: time::Duration = time::Duration::from_secs(1);

    fn failed(execution: ExecutionStatus, repeatable: bool) -> FailedAttempt {
        FailedAttempt {
            reason: RetryReason::EndpointLost,
            execution,
            repeatable,
            answer_started: false,
            attempts: 1,
            time_left: SECOND,
        }
    }

    // Guards against a second run of a request that must not be repeated (invariant I5).
    #[test_case(ExecutionStatus::NotRun, false, Ok(()))]
    #[test_case(ExecutionStatus::Unknown, false, Err(RetryRefusal::MayHaveRun))]
    #[test_case(ExecutionStatus::Ran, false, Err(RetryRefusal::MayHaveRun))]
    #[test_case(ExecutionStatus::Unknown, true, Ok(()))]
    #[test_case(ExecutionStatus::Ran, true, Ok(()))]
    fn retry_requires_not_run_or_repeatable(
        execution: ExecutionStatus,
        repeatable: bool,
        expected: Result<(), RetryRefusal>,
    ) {
        let mut policy = RetryPolicy::new(NOW);
        assert_eq!(policy.retry(&failed(execution, repeatable)), expected);
    }

    // Guards against a response that combines the output of two runs (invariant I3).
    #[test]
    fn started_response_is_not_retried() {
        let mut policy = RetryPolicy::new(NOW);
        let mut failed = failed(ExecutionStatus::Ran, true);
        failed.answer_started = true;
        assert_eq!(policy.retry(&failed), Err(RetryRefusal::AnswerStarted));
    }

    // Guards against retries that multiply the load when everything fails.
    #[test]
    fn retries_are_a_share_of_first_attempts() {
        let mut policy = RetryPolicy::new(NOW);
        let mut retried = 0;
        for _ in 0..10_000 {
            policy.record_first_attempt();
            let outcome = policy.retry(&failed(ExecutionStatus::NotRun, true));
            retried += u32::from(outcome.is_ok());
        }
        assert!((1_000..1_100).contains(&retried), "{retried}");
    }

    // Guards against hedges of requests that are not late or not repeatable.
    #[test]
    fn hedge_waits_for_the_observed_delay() {
        let mut policy = RetryPolicy::new(NOW);
        for millis in 1..=100 {
            policy.record_first_token(time::Duration::from_millis(millis * 2), NOW);
        }
        let mut late = HedgeCandidate {
            repeatable: true,
            answer_started: false,
            attempts: 1,
            waited: time::Duration::from_millis(180),
            predicted_wait: time::Duration::ZERO,
            time_left: SECOND,
        };
        assert!(matches!(policy.hedge(&late, NOW), HedgeDecision::Wait(_)));
        late.waited = time::Duration::from_millis(200);
        assert_eq!(policy.hedge(&late, NOW), HedgeDecision::Hedge);
        late.repeatable = false;
        let never = HedgeDecision::Never(RetryRefusal::MayHaveRun);
        assert_eq!(policy.hedge(&late, NOW), never);
    }
}

//! Hedged attempts: a request whose first token is late is also sent to another endpoint.
//!
//! The attempt that produces the first part provides the response. The others are dropped, which
//! cancels them at their agents; none of their parts is relayed.

use std::time;

use decisions::{ids, retries};
use futures::{StreamExt, stream};
use peers::message;

use crate::{
    admissions, attempts, caller_errors,
    dispatcher::{AttemptFailure, RequestDispatcher, ResponseSource, StartedResponse},
    metrics::HedgeOutcome,
    plans,
};

/// Result of one of several concurrent attempts.
struct AttemptResult {
    is_hedge: bool,
    outcome: Result<StartedResponse, AttemptFailure>,
}

/// Time at which a request may be hedged.
struct HedgeTimer {
    started_at: tokio::time::Instant,
    predicted_wait: time::Duration,
    /// Next evaluation of the hedge policy; `None` if no further hedge is started.
    next_check: Option<tokio::time::Instant>,
}

impl RequestDispatcher {
    /// Makes an attempt, and concurrent ones at other endpoints while its first token is late.
    /// Adds the endpoints of hedges to `tried`.
    pub(crate) async fn run_hedged(
        &self,
        plan: &plans::RequestPlan,
        target: attempts::AttemptTarget,
        backlog_guard: Option<admissions::BacklogGuard>,
        tried: &mut Vec<ids::EndpointId>,
    ) -> Result<StartedResponse, AttemptFailure> {
        let mut timer = HedgeTimer::new(plan, backlog_guard.as_ref());
        let start_attempt = |target, backlog_guard, is_hedge| async move {
            let outcome = self.run_attempt(plan, target, backlog_guard).await;
            AttemptResult { is_hedge, outcome }
        };
        let mut pending = stream::FuturesUnordered::new();
        pending.push(start_attempt(target, backlog_guard, false));
        loop {
            let result = tokio::select! {
                Some(result) = pending.next() => result,
                () = timer.wait() => {
                    if let Some((target, backlog_guard)) = self.try_hedge(plan, &mut timer, tried) {
                        pending.push(start_attempt(target, backlog_guard, true));
                    }
                    continue;
                }
            };
            let is_last = pending.is_empty();
            match result.outcome {
                Ok(response) => {
                    if result.is_hedge {
                        self.context.metrics.record_hedge(HedgeOutcome::Won);
                    }
                    return Ok(response);
                }
                Err(failure) if is_last => return Err(failure),
                // The remaining attempts may still succeed.
                Err(_) => {}
            }
        }
    }

    /// Evaluates the hedge policy and chooses an endpoint if it allows a hedge.
    fn try_hedge(
        &self,
        plan: &plans::RequestPlan,
        timer: &mut HedgeTimer,
        tried: &mut Vec<ids::EndpointId>,
    ) -> Option<(attempts::AttemptTarget, Option<admissions::BacklogGuard>)> {
        let candidate = retries::HedgeCandidate {
            repeatable: plan.repeatable && plan.key.is_none(),
            answer_started: false,
            attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            waited: timer.started_at.elapsed(),
            predicted_wait: timer.predicted_wait,
            time_left: plan.time_left(),
        };
        let now = self.context.directory.now();
        timer.next_check = None;
        let decision = self.retries.lock().hedge(&candidate, now);
        match decision {
            retries::HedgeDecision::Wait(left) => {
                timer.next_check = Some(tokio::time::Instant::now() + left);
                return None;
            }
            retries::HedgeDecision::Never(retries::RetryRefusal::BudgetExhausted) => {
                self.context.metrics.record_hedge(HedgeOutcome::NoBudget);
                return None;
            }
            retries::HedgeDecision::Never(_) => return None,
            retries::HedgeDecision::Hedge => {}
        }
        let Ok((target, backlog_guard)) = self.choose_target(plan, tried) else {
            self.context.metrics.record_hedge(HedgeOutcome::NoEndpoint);
            return None;
        };
        tried.push(target.endpoint);
        self.context.metrics.record_hedge(HedgeOutcome::Started);
        timer.next_check = Some(tokio::time::Instant::now());
        Some((target, backlog_guard))
    }

    /// Makes one attempt and waits for its first part.
    async fn run_attempt(
        &self,
        plan: &plans::RequestPlan,
        target: attempts::AttemptTarget,
        backlog_guard: Option<admissions::BacklogGuard>,
    ) -> Result<StartedResponse, AttemptFailure> {
        match attempts::dispatch(&self.context, target, plan).await {
            attempts::DispatchOutcome::Open(mut attempt) => {
                let first = attempt.next().await;
                if let message::StreamPart::Failed(failure) = &first {
                    return Err(AttemptFailure {
                        reason: retries::RetryReason::EndpointFailed,
                        execution: caller_errors::execution_status(failure),
                        error: caller_errors::stream_error(failure),
                    });
                }
                if let Some(backlog_guard) = backlog_guard {
                    let excess = backlog_guard.excess_wait();
                    let now = self.context.directory.now();
                    self.retries.lock().record_first_token(excess, now);
                    backlog_guard.record_first_token(!plan.time_left().is_zero());
                }
                let source = ResponseSource::Attempt(attempt);
                Ok(StartedResponse { source, first })
            }
            attempts::DispatchOutcome::NotRun(reason) => Err(AttemptFailure {
                reason: caller_errors::retry_reason(reason),
                execution: retries::ExecutionStatus::NotRun,
                error: caller_errors::not_run_error(reason),
            }),
            attempts::DispatchOutcome::Unknown => Err(AttemptFailure {
                reason: retries::RetryReason::EndpointLost,
                execution: retries::ExecutionStatus::Unknown,
                error: caller_errors::unknown_outcome(),
            }),
        }
    }
}

impl HedgeTimer {
    /// Only completions are hedged: the hedge delay is derived from first-token latencies, which do
    /// not apply to plain services.
    fn new(plan: &plans::RequestPlan, backlog_guard: Option<&admissions::BacklogGuard>) -> Self {
        let started_at = tokio::time::Instant::now();
        let is_completion = matches!(plan.target, plans::PlanTarget::Adapter { .. });
        Self {
            started_at,
            predicted_wait: backlog_guard.map_or(
                time::Duration::ZERO,
                admissions::BacklogGuard::predicted_wait,
            ),
            next_check: is_completion.then_some(started_at),
        }
    }

    async fn wait(&self) {
        match self.next_check {
            Some(next_check) => tokio::time::sleep_until(next_check).await,
            None => std::future::pending().await,
        }
    }
}

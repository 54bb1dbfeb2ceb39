//! Attempts up to their first part, and hedges beside a late one.
//!
//! The first attempt with a first part answers the caller. Dropping the others cancels them at
//! their agents, and none of their parts is relayed.

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

/// Attempt of a race with the endpoint that makes it.
struct AttemptResult {
    is_hedge: bool,
    outcome: Result<StartedResponse, AttemptFailure>,
}

/// When the race of one request may get another attempt.
struct HedgeTimer {
    started: tokio::time::Instant,
    predicted_wait: time::Duration,
    /// Next time to ask the policy; `None` when no hedge follows.
    due: Option<tokio::time::Instant>,
}

impl RequestDispatcher {
    /// Makes an attempt, and further ones beside it at other endpoints while its first token is
    /// late. The endpoints of hedges are added to `tried`.
    pub(crate) async fn attempt_hedged(
        &self,
        plan: &plans::RequestPlan,
        target: attempts::AttemptTarget,
        waiting: Option<admissions::BacklogGuard>,
        tried: &mut Vec<ids::EndpointId>,
    ) -> Result<StartedResponse, AttemptFailure> {
        let mut timer = HedgeTimer::new(plan, waiting.as_ref());
        let race = |target, waiting, is_hedge| async move {
            let outcome = self.attempt(plan, target, waiting).await;
            AttemptResult { is_hedge, outcome }
        };
        let mut racing = stream::FuturesUnordered::new();
        racing.push(race(target, waiting, false));
        loop {
            let end = tokio::select! {
                Some(end) = racing.next() => end,
                () = timer.wait() => {
                    if let Some((target, waiting)) = self.hedge(plan, &mut timer, tried) {
                        racing.push(race(target, waiting, true));
                    }
                    continue;
                }
            };
            let is_last = racing.is_empty();
            match end.outcome {
                Ok(answer) => {
                    if end.is_hedge {
                        self.context.metrics.hedged(HedgeOutcome::Won);
                    }
                    return Ok(answer);
                }
                Err(setback) if is_last => return Err(setback),
                // The attempts that still race may answer.
                Err(_) => {}
            }
        }
    }

    /// Asks the policy for a hedge and chooses its endpoint.
    fn hedge(
        &self,
        plan: &plans::RequestPlan,
        timer: &mut HedgeTimer,
        tried: &mut Vec<ids::EndpointId>,
    ) -> Option<(attempts::AttemptTarget, Option<admissions::BacklogGuard>)> {
        let late = retries::HedgeCandidate {
            repeatable: plan.repeatable && plan.key.is_none(),
            answer_started: false,
            attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            waited: timer.started.elapsed(),
            predicted_wait: timer.predicted_wait,
            time_left: plan.time_left(),
        };
        let now = self.context.directory.now();
        timer.due = None;
        let decision = self.retries.lock().hedge(&late, now);
        match decision {
            retries::HedgeDecision::Wait(left) => {
                timer.due = Some(tokio::time::Instant::now() + left);
                return None;
            }
            retries::HedgeDecision::Never(retries::RetryRefusal::BudgetExhausted) => {
                self.context.metrics.hedged(HedgeOutcome::NoBudget);
                return None;
            }
            retries::HedgeDecision::Never(_) => return None,
            retries::HedgeDecision::Hedge => {}
        }
        let Ok((target, waiting)) = self.choose(plan, tried) else {
            self.context.metrics.hedged(HedgeOutcome::NoEndpoint);
            return None;
        };
        tried.push(target.endpoint);
        self.context.metrics.hedged(HedgeOutcome::Started);
        timer.due = Some(tokio::time::Instant::now());
        Some((target, waiting))
    }

    /// Makes one attempt up to its first part.
    async fn attempt(
        &self,
        plan: &plans::RequestPlan,
        target: attempts::AttemptTarget,
        waiting: Option<admissions::BacklogGuard>,
    ) -> Result<StartedResponse, AttemptFailure> {
        match attempts::dispatch(&self.context, target, plan).await {
            attempts::DispatchOutcome::Open(mut attempt) => {
                let first = attempt.next().await;
                if let message::StreamPart::Failed(failure) = &first {
                    return Err(AttemptFailure {
                        reason: retries::RetryReason::EndpointFailed,
                        knowledge: caller_errors::knowledge(failure),
                        error: caller_errors::stream_error(failure),
                    });
                }
                if let Some(waiting) = waiting {
                    let taken = waiting.unpredicted_time();
                    let now = self.context.directory.now();
                    self.retries.lock().record_first_token(taken, now);
                    waiting.answered(!plan.time_left().is_zero());
                }
                let source = ResponseSource::Attempt(attempt);
                Ok(StartedResponse { source, first })
            }
            attempts::DispatchOutcome::NotRun(reason) => Err(AttemptFailure {
                reason: caller_errors::retry_reason(reason),
                knowledge: retries::ExecutionStatus::NotRun,
                error: caller_errors::not_run(reason),
            }),
            attempts::DispatchOutcome::Unknown => Err(AttemptFailure {
                reason: retries::RetryReason::EndpointLost,
                knowledge: retries::ExecutionStatus::Unknown,
                error: caller_errors::unknown(),
            }),
        }
    }
}

impl HedgeTimer {
    /// Timer of a request. Only completions are hedged: the delay comes from first tokens and says
    /// nothing about plain services.
    fn new(plan: &plans::RequestPlan, waiting: Option<&admissions::BacklogGuard>) -> Self {
        let started = tokio::time::Instant::now();
        let is_completion = matches!(plan.target, plans::PlanTarget::Adapter { .. });
        Self {
            started,
            predicted_wait: waiting.map_or(
                time::Duration::ZERO,
                admissions::BacklogGuard::predicted_wait,
            ),
            due: is_completion.then_some(started),
        }
    }

    async fn wait(&self) {
        match self.due {
            Some(due) => tokio::time::sleep_until(due).await,
            None => std::future::pending().await,
        }
    }
}

//! Requests with an idempotency key, which run at most once for all entries.
//!
//! `decisions::claim_attempt` decides each step; this module carries it out.

use std::{
    collections::BTreeMap,
    sync::{Arc, Weak},
    time,
};

use callers::error::{CallerError, ErrorCode, RequestOutcome};
use decisions::{
    claim_attempt::{self, ClaimAction, ClaimEvent},
    claims, ids, routing,
};
use parking_lot::Mutex;
use peers::{message, service};
use telemetry::{events, logs};
use tokio::sync;
use xxhash_rust::xxh3;

use crate::{attempts, caller_errors, claim_log, plans, shared_responses};

const CALL_LIMIT: time::Duration = time::Duration::from_secs(2);
const WAIT_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after the deadline in which a tombstone may still be left.
const GIVE_UP_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Requests with keys at one entry.
pub struct IdempotentRequests {
    log: claim_log::ClaimLog,
    logger: slog::Logger,
    /// A session has one reader per request, so one caller claims and the others share its answer.
    turns: Mutex<BTreeMap<claims::ClaimKey, Weak<KeyLock>>>,
}

/// Held by the caller that claims a key; contains the answer that others share.
type KeyLock = sync::Mutex<Weak<shared_responses::SharedResponse>>;

/// Answer of a keyed request as one of its callers reads it.
pub struct IdempotentResponse {
    reader: shared_responses::ResponseReader,
    /// Lets later callers find the shared answer.
    _turn: Arc<KeyLock>,
}

impl IdempotentResponse {
    /// Next part of the answer.
    pub async fn next(&mut self) -> message::StreamPart {
        self.reader.next().await
    }
}

/// What one keyed request uses.
pub struct IdempotentRequest<'a> {
    pub context: &'a attempts::AttemptContext,
    pub plan: &'a plans::RequestPlan,
    pub key: claims::ClaimKey,
    /// Chooses the agent and the id of a further attempt.
    pub next: &'a (dyn Fn() -> Result<attempts::AttemptTarget, CallerError> + Send + Sync),
}

impl IdempotentRequests {
    /// Keyed requests over the claim streams of a log.
    #[must_use]
    pub fn new(log: claim_log::ClaimLog, logger: slog::Logger) -> Self {
        Self {
            log,
            logger,
            turns: Mutex::default(),
        }
    }

    /// Claims the key and returns the stream of the request that won it.
    ///
    /// # Errors
    /// [`CallerError`] that says whether the request of the key ran.
    pub async fn run(
        &self,
        run: &IdempotentRequest<'_>,
    ) -> Result<IdempotentResponse, CallerError> {
        let turn = self.turn(&run.key);
        let mut slot = tokio::time::timeout_at(run.plan.due, turn.lock())
            .await
            .map_err(|_| caller_errors::unknown())?;
        let body_hash = body_hash(&run.plan.work);
        let reader = match slot.upgrade() {
            Some(answer) if answer.body_hash() != body_hash => {
                return Err(claim_error(claim_attempt::ClaimFailure::KeyReused));
            }
            Some(answer) => answer.reader(),
            None => {
                let attempt = self.claim_once(run).await?;
                let runtime = &run.context.runtime;
                let answer = shared_responses::SharedResponse::start(attempt, body_hash, runtime);
                *slot = Arc::downgrade(&answer);
                answer.reader()
            }
        };
        drop(slot);
        Ok(IdempotentResponse {
            reader,
            _turn: turn,
        })
    }

    async fn claim_once(
        &self,
        run: &IdempotentRequest<'_>,
    ) -> Result<attempts::OpenAttempt, CallerError> {
        let mut targets = Vec::new();
        let outcome = self.claim(run, &mut targets).await;
        let relayed = outcome.as_ref().ok().map(attempts::OpenAttempt::request);
        for target in targets {
            if Some(target.request) != relayed {
                let attempt = routing::Attempt {
                    request: target.request,
                    endpoint: target.endpoint,
                };
                let end = routing::AttemptEnd::NotRun;
                let directory = &run.context.directory;
                directory.observe(|routing, now| routing.ended(attempt, end, now));
            }
        }
        outcome
    }

    async fn claim(
        &self,
        run: &IdempotentRequest<'_>,
        targets: &mut Vec<attempts::AttemptTarget>,
    ) -> Result<attempts::OpenAttempt, CallerError> {
        let stream = self.log.stream(&run.key);
        let outcome = self.first_read(stream, run).await?;
        let target = (run.next)()?;
        let record = claims::ClaimRecord {
            key: run.key.clone(),
            attempt: 0,
            supersedes: None,
            request: target.request,
            agent: target.endpoint.agent,
            body_hash: body_hash(&run.plan.work),
            claimed_at: claim_log::wall_time(),
        };
        let (mut attempt, mut action) =
            claim_attempt::ClaimAttempt::begin(record, outcome.as_ref());
        targets.push(target);
        let mut open = None;
        let mut is_deadline_told = false;
        loop {
            if let ClaimAction::Relay(_) = action {
                return open.ok_or_else(caller_errors::unknown);
            }
            if let ClaimAction::Fail(answer) = action {
                return Err(claim_error(answer));
            }
            if run.plan.time_left().is_zero() && !std::mem::replace(&mut is_deadline_told, true) {
                // An attempt that is being abandoned already carries on.
                match attempt.step(ClaimEvent::DeadlinePassed) {
                    ClaimAction::Ignore => {}
                    next => action = next,
                }
                continue;
            }
            let latest = run.plan.due + GIVE_UP_LIMIT;
            let step = self.carry_out(&action, stream, run, targets, &mut open);
            let Ok(event) = tokio::time::timeout_at(latest, step).await else {
                return Err(caller_errors::unknown());
            };
            action = attempt.step(event?);
        }
    }

    async fn carry_out(
        &self,
        action: &ClaimAction,
        stream: &claim_log::ClaimStream,
        run: &IdempotentRequest<'_>,
        targets: &mut Vec<attempts::AttemptTarget>,
        open: &mut Option<attempts::OpenAttempt>,
    ) -> Result<ClaimEvent, CallerError> {
        Ok(match action {
            ClaimAction::Append(record) => stream.append(record).await,
            ClaimAction::ReadToEnd => match stream.read(&run.key).await {
                Ok(outcome) => ClaimEvent::Read(outcome),
                Err(error) => {
                    let message = error.to_string();
                    logs::warn(&self.logger, events::CLAIM_FAILED, &message);
                    ClaimEvent::LogUnavailable
                }
            },
            ClaimAction::WaitForLog => {
                tokio::time::sleep(WAIT_INTERVAL).await;
                ClaimEvent::LogAvailable
            }
            ClaimAction::Dispatch(claimed) => {
                let target = targets
                    .iter()
                    .find(|target| target.request == claimed.request);
                let Some(target) = target.cloned() else {
                    return Err(caller_errors::unknown());
                };
                let (event, attempt) = send(run, target).await;
                *open = attempt;
                event
            }
            ClaimAction::Attach(claimed) => {
                let (event, attempt) = attach(run, *claimed, targets).await;
                *open = attempt;
                event
            }
            ClaimAction::InsertTombstone(claimed) => cancel(run, *claimed, targets).await?,
            ClaimAction::Relay(_) | ClaimAction::Fail(_) | ClaimAction::Ignore => {
                return Err(caller_errors::unknown());
            }
        })
    }

    /// Reads the stream before the first append; retries while the log is down.
    async fn first_read(
        &self,
        stream: &claim_log::ClaimStream,
        run: &IdempotentRequest<'_>,
    ) -> Result<Option<claims::ClaimRecord>, CallerError> {
        loop {
            match tokio::time::timeout_at(run.plan.due, stream.read(&run.key)).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(_)) if run.plan.time_left() > WAIT_INTERVAL => {
                    tokio::time::sleep(WAIT_INTERVAL).await;
                }
                _ => return Err(claim_error(claim_attempt::ClaimFailure::NotRun)),
            }
        }
    }

    fn turn(&self, key: &claims::ClaimKey) -> Arc<KeyLock> {
        let mut turns = self.turns.lock();
        if let Some(turn) = turns.get(key).and_then(Weak::upgrade) {
            return turn;
        }
        turns.retain(|_, turn| turn.strong_count() > 0);
        let turn = Arc::<KeyLock>::default();
        turns.insert(key.clone(), Arc::downgrade(&turn));
        turn
    }
}

async fn send(
    run: &IdempotentRequest<'_>,
    target: attempts::AttemptTarget,
) -> (ClaimEvent, Option<attempts::OpenAttempt>) {
    let Some(connection) = target.channel.connection() else {
        tokio::time::sleep(WAIT_INTERVAL).await;
        return (ClaimEvent::AgentUnreachable, None);
    };
    if connection.agent != target.endpoint.agent {
        return (ClaimEvent::IncarnationChanged, None);
    }
    let attempt = attempts::OpenAttempt::kept(run.context, target.clone());
    let message = run
        .plan
        .dispatch(connection.session, target.endpoint, target.request);
    let call = service::deadline(CALL_LIMIT);
    let event = match connection.client.dispatch(call, message).await {
        Ok(message::DispatchReply::Accepted) => return (ClaimEvent::Accepted, Some(attempt)),
        // Parts that were sent before are sent to this attempt only after it has attached.
        Ok(message::DispatchReply::AlreadyKnown) => {
            let call = service::deadline(CALL_LIMIT);
            let (agent, request) = (connection.agent, target.request);
            let attach = connection
                .client
                .attach(call, connection.session, agent, request);
            match attach.await {
                Ok(message::CancelReply::Running) => return (ClaimEvent::Accepted, Some(attempt)),
                Ok(message::CancelReply::NotRun) => ClaimEvent::RefusedCancelled,
                Ok(_) => ClaimEvent::IncarnationChanged,
                Err(_) => ClaimEvent::DispatchLost,
            }
        }
        Ok(message::DispatchReply::Refused { reason, .. }) => match reason {
            message::RefusalReason::Cancelled => ClaimEvent::RefusedCancelled,
            message::RefusalReason::WrongIncarnation => ClaimEvent::IncarnationChanged,
            _ => ClaimEvent::Refused,
        },
        Err(_) => ClaimEvent::DispatchLost,
    };
    (event, None)
}

async fn attach(
    run: &IdempotentRequest<'_>,
    claimed: claim_attempt::ClaimedRequest,
    targets: &[attempts::AttemptTarget],
) -> (ClaimEvent, Option<attempts::OpenAttempt>) {
    let Some((target, connection)) = locate(run, claimed) else {
        tokio::time::sleep(WAIT_INTERVAL).await;
        return (ClaimEvent::AgentUnreachable, None);
    };
    let own = targets.iter().find(|own| own.request == claimed.request);
    let attempt = match own {
        Some(own) => attempts::OpenAttempt::kept(run.context, own.clone()),
        None => attempts::OpenAttempt::attached(run.context, target),
    };
    let call = service::deadline(CALL_LIMIT);
    let reply = connection
        .client
        .attach(call, connection.session, claimed.agent, claimed.request);
    match reply.await {
        Ok(message::CancelReply::Running) => (ClaimEvent::Attached, Some(attempt)),
        Ok(message::CancelReply::NotRun) => (ClaimEvent::RequestUnknown, None),
        // An answer that is no longer kept is as lost as one of an earlier incarnation.
        Ok(message::CancelReply::Finished | message::CancelReply::WrongIncarnation) => {
            (ClaimEvent::IncarnationChanged, None)
        }
        Err(_) => (ClaimEvent::AgentUnreachable, None),
    }
}

async fn cancel(
    run: &IdempotentRequest<'_>,
    claimed: claim_attempt::ClaimedRequest,
    targets: &mut Vec<attempts::AttemptTarget>,
) -> Result<ClaimEvent, CallerError> {
    let Some((_, connection)) = locate(run, claimed) else {
        tokio::time::sleep(WAIT_INTERVAL).await;
        return Ok(ClaimEvent::AgentUnreachable);
    };
    let is_own = targets
        .iter()
        .any(|target| target.request == claimed.request);
    let scope = if is_own {
        message::CancelScope::Own
    } else {
        message::CancelScope::Unseen
    };
    let call = service::deadline(CALL_LIMIT);
    let reply = connection
        .client
        .cancel(call, claimed.agent, claimed.request, scope);
    Ok(match reply.await {
        Ok(message::CancelReply::NotRun) => {
            let target = (run.next)()?;
            let next = claim_attempt::NextAttempt {
                request: target.request,
                agent: target.endpoint.agent,
                claimed_at: claim_log::wall_time(),
            };
            targets.push(target);
            ClaimEvent::TombstoneInserted { next }
        }
        Ok(message::CancelReply::Running | message::CancelReply::Finished) => {
            ClaimEvent::AlreadyStarted
        }
        Ok(message::CancelReply::WrongIncarnation) => ClaimEvent::IncarnationChanged,
        Err(_) => ClaimEvent::AgentUnreachable,
    })
}

fn locate(
    run: &IdempotentRequest<'_>,
    claimed: claim_attempt::ClaimedRequest,
) -> Option<(attempts::AttemptTarget, crate::channels::AgentConnection)> {
    let channel = run.context.directory.channel(claimed.agent)?;
    let connection = channel.connection()?;
    // Only the entry that dispatched the request knows its replica.
    let endpoint = ids::EndpointId {
        agent: claimed.agent,
        replica: 0,
    };
    let target = attempts::AttemptTarget {
        request: claimed.request,
        endpoint,
        channel,
    };
    Some((target, connection))
}

fn body_hash(work: &message::Work) -> u128 {
    match work {
        message::Work::Completion {
            route,
            adapter,
            body,
            ..
        } => {
            let head = format!("{route:?} {adapter} ");
            xxh3::xxh3_128(&[head.as_bytes(), body].concat())
        }
        message::Work::Service {
            service,
            method,
            path,
            body,
            ..
        } => {
            let head = format!("{method} {service} {path} ");
            xxh3::xxh3_128(&[head.as_bytes(), body].concat())
        }
    }
}

fn claim_error(answer: claim_attempt::ClaimFailure) -> CallerError {
    match answer {
        claim_attempt::ClaimFailure::NotRun => {
            let message = "the key could not be claimed in time; send the request again with it";
            CallerError::not_run(ErrorCode::LogUnavailable, message)
                .retry_after(time::Duration::from_secs(1))
        }
        claim_attempt::ClaimFailure::Unknown => CallerError {
            code: ErrorCode::OutcomeUnknown,
            outcome: RequestOutcome::Unknown,
            message: "the request of this key may have run and its answer is lost".into(),
            retry_after: None,
        },
        claim_attempt::ClaimFailure::KeyReused => {
            let message = "the key was used with another request; use a new key";
            CallerError::not_run(ErrorCode::KeyReused, message)
        }
    }
}

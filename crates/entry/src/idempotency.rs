//! Requests with an idempotency key, which run at most once across all entries.
//!
//! `decisions::claim_attempt` decides each step; this module executes it.

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

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Interval and maximum number of further attempts to attach to a claimed request that its agent does
/// not know yet.
const ATTACH_INTERVAL: time::Duration = time::Duration::from_millis(100);
const MAX_ATTACH_RETRIES: u32 = 10;
/// Time after the deadline in which a tombstone may still be inserted.
const TOMBSTONE_GRACE: time::Duration = time::Duration::from_secs(5);

/// Handles requests with idempotency keys at one entry.
pub struct IdempotentRequests {
    log: claim_log::ClaimLog,
    logger: slog::Logger,
    /// A session has one reader per request, so one caller per key claims it and the others share
    /// its response.
    locks: Mutex<BTreeMap<claims::ClaimKey, Weak<KeyLock>>>,
}

/// Held while a caller claims a key; contains the response that later callers share.
type KeyLock = sync::Mutex<Weak<shared_responses::SharedResponse>>;

/// Response to a request with an idempotency key, as read by one of its callers.
pub struct IdempotentResponse {
    reader: shared_responses::ResponseReader,
    /// Keeps the shared response available to later callers.
    _lock: Arc<KeyLock>,
}

impl IdempotentResponse {
    /// Next part of the response.
    pub async fn next(&mut self) -> message::StreamPart {
        self.reader.next().await
    }
}

/// Request with an idempotency key and the state that it uses.
pub struct IdempotentRequest<'a> {
    pub context: &'a attempts::AttemptContext,
    pub plan: &'a plans::RequestPlan,
    pub key: claims::ClaimKey,
    /// Chooses the agent and the request id of a new attempt.
    pub next_target: &'a (dyn Fn() -> Result<attempts::AttemptTarget, CallerError> + Send + Sync),
}

impl IdempotentRequests {
    /// Creates a handler that claims keys in a log.
    #[must_use]
    pub fn new(log: claim_log::ClaimLog, logger: slog::Logger) -> Self {
        Self {
            log,
            logger,
            locks: Mutex::default(),
        }
    }

    /// Claims the key and returns the response to the request that won it.
    ///
    /// # Errors
    /// [`CallerError`] with the outcome of the request.
    pub async fn run(
        &self,
        request: &IdempotentRequest<'_>,
    ) -> Result<IdempotentResponse, CallerError> {
        let key_lock = self.key_lock(&request.key);
        let mut shared = tokio::time::timeout_at(request.plan.deadline, key_lock.lock())
            .await
            .map_err(|_| caller_errors::unknown_outcome())?;
        let body_hash = body_hash(&request.plan.work);
        let reader = match shared.upgrade() {
            Some(response) if response.body_hash() != body_hash => {
                return Err(claim_error(claim_attempt::ClaimFailure::KeyReused));
            }
            Some(response) => response.reader(),
            None => {
                let attempt = self.claim_and_release(request).await?;
                let runtime = &request.context.runtime;
                let response = shared_responses::SharedResponse::start(attempt, body_hash, runtime);
                *shared = Arc::downgrade(&response);
                response.reader()
            }
        };
        drop(shared);
        Ok(IdempotentResponse {
            reader,
            _lock: key_lock,
        })
    }

    async fn claim_and_release(
        &self,
        request: &IdempotentRequest<'_>,
    ) -> Result<attempts::OpenAttempt, CallerError> {
        let mut targets = Vec::new();
        let outcome = self.claim(request, &mut targets).await;
        let relayed_request = outcome.as_ref().ok().map(attempts::OpenAttempt::request);
        for target in targets {
            if Some(target.request) != relayed_request {
                let attempt = routing::Attempt {
                    request: target.request,
                    endpoint: target.endpoint,
                };
                let end = routing::AttemptEnd::NotRun;
                let directory = &request.context.directory;
                directory.update_routing(|routing, now| routing.ended(attempt, end, now));
            }
        }
        outcome
    }

    async fn claim(
        &self,
        request: &IdempotentRequest<'_>,
        targets: &mut Vec<attempts::AttemptTarget>,
    ) -> Result<attempts::OpenAttempt, CallerError> {
        let stream = self.log.stream(&request.key);
        let outcome = self.initial_read(stream, request).await?;
        let target = (request.next_target)()?;
        let record = claims::ClaimRecord {
            key: request.key.clone(),
            attempt: 0,
            supersedes: None,
            request: target.request,
            agent: target.endpoint.agent,
            body_hash: body_hash(&request.plan.work),
            claimed_at: claim_log::wall_time(),
        };
        let (mut attempt, mut action) =
            claim_attempt::ClaimAttempt::begin(record, outcome.as_ref());
        targets.push(target);
        let mut open_attempt = None;
        let mut is_deadline_reported = false;
        loop {
            if let ClaimAction::Relay(_) = action {
                return open_attempt.ok_or_else(caller_errors::unknown_outcome);
            }
            if let ClaimAction::Fail(failure) = action {
                return Err(claim_error(failure));
            }
            if request.plan.time_left().is_zero()
                && !std::mem::replace(&mut is_deadline_reported, true)
            {
                // `Ignore` means that the attempt is already being abandoned.
                match attempt.step(ClaimEvent::DeadlinePassed) {
                    ClaimAction::Ignore => {}
                    next => action = next,
                }
                continue;
            }
            let cutoff = request.plan.deadline + TOMBSTONE_GRACE;
            let step = self.execute_action(&action, stream, request, targets, &mut open_attempt);
            let Ok(event) = tokio::time::timeout_at(cutoff, step).await else {
                return Err(caller_errors::unknown_outcome());
            };
            action = attempt.step(event?);
        }
    }

    async fn execute_action(
        &self,
        action: &ClaimAction,
        stream: &claim_log::ClaimStream,
        request: &IdempotentRequest<'_>,
        targets: &mut Vec<attempts::AttemptTarget>,
        open_attempt: &mut Option<attempts::OpenAttempt>,
    ) -> Result<ClaimEvent, CallerError> {
        Ok(match action {
            ClaimAction::Append(record) => stream.append(record).await,
            ClaimAction::ReadToEnd => match stream.read(&request.key).await {
                Ok(outcome) => ClaimEvent::Read(outcome),
                Err(error) => {
                    let message = error.to_string();
                    logs::warn(&self.logger, events::CLAIM_FAILED, &message);
                    ClaimEvent::LogUnavailable
                }
            },
            ClaimAction::WaitForLog => {
                tokio::time::sleep(RETRY_INTERVAL).await;
                ClaimEvent::LogAvailable
            }
            ClaimAction::Dispatch(claimed) => {
                let target = targets
                    .iter()
                    .find(|target| target.request == claimed.request);
                let Some(target) = target.cloned() else {
                    return Err(caller_errors::unknown_outcome());
                };
                let (event, attempt) = dispatch_claimed(request, target).await;
                *open_attempt = attempt;
                event
            }
            ClaimAction::Attach(claimed) => {
                let (event, attempt) = attach_claimed(request, *claimed, targets).await;
                *open_attempt = attempt;
                event
            }
            ClaimAction::InsertTombstone(claimed) => {
                cancel_claimed(request, *claimed, targets).await?
            }
            ClaimAction::Relay(_) | ClaimAction::Fail(_) | ClaimAction::Ignore => {
                return Err(caller_errors::unknown_outcome());
            }
        })
    }

    /// Reads the stream before the first append; retries while the log is unavailable.
    async fn initial_read(
        &self,
        stream: &claim_log::ClaimStream,
        request: &IdempotentRequest<'_>,
    ) -> Result<Option<claims::ClaimRecord>, CallerError> {
        loop {
            match tokio::time::timeout_at(request.plan.deadline, stream.read(&request.key)).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(_)) if request.plan.time_left() > RETRY_INTERVAL => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                _ => return Err(claim_error(claim_attempt::ClaimFailure::NotRun)),
            }
        }
    }

    fn key_lock(&self, key: &claims::ClaimKey) -> Arc<KeyLock> {
        let mut locks = self.locks.lock();
        if let Some(lock) = locks.get(key).and_then(Weak::upgrade) {
            return lock;
        }
        locks.retain(|_, lock| lock.strong_count() > 0);
        let lock = Arc::<KeyLock>::default();
        locks.insert(key.clone(), Arc::downgrade(&lock));
        lock
    }
}

async fn dispatch_claimed(
    request: &IdempotentRequest<'_>,
    target: attempts::AttemptTarget,
) -> (ClaimEvent, Option<attempts::OpenAttempt>) {
    let Some(connection) = target.channel.connection() else {
        tokio::time::sleep(RETRY_INTERVAL).await;
        return (ClaimEvent::AgentUnreachable, None);
    };
    if connection.agent != target.endpoint.agent {
        return (ClaimEvent::IncarnationChanged, None);
    }
    let attempt = attempts::OpenAttempt::retained(request.context, target.clone());
    let message =
        request
            .plan
            .dispatch_message(connection.session, target.endpoint, target.request);
    let call = service::context_with_timeout(CALL_TIMEOUT);
    let event = match connection.client.dispatch(call, message).await {
        Ok(message::DispatchReply::Accepted) => return (ClaimEvent::Accepted, Some(attempt)),
        // The agent resends earlier parts only after this attempt has attached.
        Ok(message::DispatchReply::AlreadyKnown) => {
            let call = service::context_with_timeout(CALL_TIMEOUT);
            let (agent, request_id) = (connection.agent, target.request);
            let attach = connection
                .client
                .attach(call, connection.session, agent, request_id);
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

/// Attaches to the request of another entry's claim. That entry reads its claim at about the same
/// time and dispatches only then, so an unknown request is asked for again before it is superseded:
/// otherwise the entries supersede each other until their attempts are used up.
async fn attach_claimed(
    request: &IdempotentRequest<'_>,
    claimed: claim_attempt::ClaimedRequest,
    targets: &[attempts::AttemptTarget],
) -> (ClaimEvent, Option<attempts::OpenAttempt>) {
    let Some((target, connection)) = find_connection(request, claimed) else {
        tokio::time::sleep(RETRY_INTERVAL).await;
        return (ClaimEvent::AgentUnreachable, None);
    };
    let own_target = targets.iter().find(|own| own.request == claimed.request);
    let attempt = match own_target {
        Some(own_target) => attempts::OpenAttempt::retained(request.context, own_target.clone()),
        None => attempts::OpenAttempt::attached(request.context, target),
    };
    let mut retries = 0;
    let reply = loop {
        let call = service::context_with_timeout(CALL_TIMEOUT);
        let reply =
            connection
                .client
                .attach(call, connection.session, claimed.agent, claimed.request);
        let reply = reply.await;
        let is_unknown = matches!(reply, Ok(message::CancelReply::NotRun));
        if !is_unknown || retries == MAX_ATTACH_RETRIES {
            break reply;
        }
        retries += 1;
        tokio::time::sleep(ATTACH_INTERVAL).await;
    };
    match reply {
        Ok(message::CancelReply::Running) => (ClaimEvent::Attached, Some(attempt)),
        Ok(message::CancelReply::NotRun) => (ClaimEvent::RequestUnknown, None),
        // A response that is no longer retained is lost, as after a change of incarnation.
        Ok(message::CancelReply::Finished | message::CancelReply::WrongIncarnation) => {
            (ClaimEvent::IncarnationChanged, None)
        }
        Err(_) => (ClaimEvent::AgentUnreachable, None),
    }
}

async fn cancel_claimed(
    request: &IdempotentRequest<'_>,
    claimed: claim_attempt::ClaimedRequest,
    targets: &mut Vec<attempts::AttemptTarget>,
) -> Result<ClaimEvent, CallerError> {
    let Some((_, connection)) = find_connection(request, claimed) else {
        tokio::time::sleep(RETRY_INTERVAL).await;
        return Ok(ClaimEvent::AgentUnreachable);
    };
    let is_own = targets
        .iter()
        .any(|target| target.request == claimed.request);
    let scope = if is_own {
        message::CancelScope::Own
    } else {
        message::CancelScope::UnknownOnly
    };
    let call = service::context_with_timeout(CALL_TIMEOUT);
    let reply = connection
        .client
        .cancel(call, claimed.agent, claimed.request, scope);
    Ok(match reply.await {
        Ok(message::CancelReply::NotRun) => {
            let target = (request.next_target)()?;
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

fn find_connection(
    request: &IdempotentRequest<'_>,
    claimed: claim_attempt::ClaimedRequest,
) -> Option<(attempts::AttemptTarget, crate::channels::AgentConnection)> {
    let channel = request.context.directory.channel(claimed.agent)?;
    let connection = channel.connection()?;
    // Only the entry that dispatched the request knows its replica; 0 is a placeholder.
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

fn body_hash(work: &message::DispatchWork) -> u128 {
    match work {
        message::DispatchWork::Completion {
            route,
            adapter,
            body,
            ..
        } => {
            let prefix = format!("{route:?} {adapter} ");
            xxh3::xxh3_128(&[prefix.as_bytes(), body].concat())
        }
        message::DispatchWork::Service {
            service,
            method,
            path,
            body,
            ..
        } => {
            let prefix = format!("{method} {service} {path} ");
            xxh3::xxh3_128(&[prefix.as_bytes(), body].concat())
        }
    }
}

fn claim_error(failure: claim_attempt::ClaimFailure) -> CallerError {
    match failure {
        claim_attempt::ClaimFailure::NotRun => {
            let message =
                "the idempotency key could not be claimed in time; retry with the same key";
            CallerError::not_run(ErrorCode::LogUnavailable, message)
                .retry_after(time::Duration::from_secs(1))
        }
        claim_attempt::ClaimFailure::Unknown => CallerError {
            code: ErrorCode::OutcomeUnknown,
            outcome: RequestOutcome::Unknown,
            message: "a request with this idempotency key may have run; its response is lost"
                .into(),
            retry_after: None,
        },
        claim_attempt::ClaimFailure::KeyReused => {
            let message = "the idempotency key was used with another request; use a new key";
            CallerError::not_run(ErrorCode::KeyReused, message)
        }
    }
}

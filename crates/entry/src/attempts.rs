//! One attempt at a request: dispatch, recovery from lost replies and the response stream.
//!
//! A dispatch has one of three outcomes: the request did not run and never will, it may have run,
//! or its stream is open. Only after the first may a request that is not repeatable be sent to
//! another agent.

use std::{sync::Arc, time};

use decisions::{ids, routing};
use peers::{message, service};
use tokio::runtime;

use crate::{channels, directory, metrics, plans, streams};

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Interval between two queries to an agent, in which its connection may be replaced.
const QUERY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Shared state of the entry that attempts use.
#[derive(Clone)]
pub struct AttemptContext {
    pub directory: Arc<directory::AgentDirectory>,
    pub metrics: Arc<metrics::EntryMetrics>,
    pub runtime: runtime::Handle,
}

/// Destination and request id of an attempt.
#[derive(Clone)]
pub struct AttemptTarget {
    pub request: ids::RequestId,
    pub endpoint: ids::EndpointId,
    pub channel: Arc<channels::AgentChannel>,
}

/// Outcome of dispatching an attempt.
pub enum DispatchOutcome {
    /// The agent knows the request; its stream is open.
    Open(OpenAttempt),
    /// The request did not run at this agent and never will.
    NotRun(NotRunReason),
    /// The request may be running or have run at this agent.
    Unknown,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    Refused {
        reason: message::RefusalReason,
        retry_after: time::Duration,
    },
    /// The agent is not connected; nothing was sent.
    NotConnected,
    /// The agent stores a tombstone, which prevents a later start.
    Tombstone,
}

/// Attempt whose stream is open. Dropping it closes the stream and cancels the request.
pub struct OpenAttempt {
    target: AttemptTarget,
    context: AttemptContext,
    reader: streams::StreamReader,
    started_at: tokio::time::Instant,
    last_part_at: Option<tokio::time::Instant>,
    is_ended: bool,
    /// Whether the request continues after its caller disconnects.
    is_retained: bool,
    /// Whether the attempt is reported to the routing policy and the metrics.
    is_tracked: bool,
}

/// Sends a request to its endpoint. If the reply is lost, queries the agent for the outcome.
pub async fn dispatch(
    context: &AttemptContext,
    target: AttemptTarget,
    plan: &plans::RequestPlan,
) -> DispatchOutcome {
    let Some(connection) = connection_to(&target) else {
        return DispatchOutcome::NotRun(NotRunReason::NotConnected);
    };
    let attempt = OpenAttempt::new(context, target);
    let target = attempt.target.clone();
    let message = plan.dispatch_message(connection.session, target.endpoint, target.request);
    let call = service::context_with_timeout(CALL_TIMEOUT);
    match connection.client.dispatch(call, message).await {
        Ok(message::DispatchReply::Accepted | message::DispatchReply::AlreadyKnown) => {
            DispatchOutcome::Open(attempt)
        }
        Ok(message::DispatchReply::Refused {
            reason,
            retry_after,
        }) => {
            attempt.finish(routing::AttemptEnd::NotRun);
            DispatchOutcome::NotRun(NotRunReason::Refused {
                reason,
                retry_after,
            })
        }
        Err(_) => resolve_lost_reply(attempt, plan).await,
    }
}

/// Queries the agent until it tells the outcome of a dispatch whose reply was lost.
async fn resolve_lost_reply(attempt: OpenAttempt, plan: &plans::RequestPlan) -> DispatchOutcome {
    loop {
        match query_agent(&attempt.target).await {
            // All parts of a finished stream were sent to this session.
            Some(message::CancelReply::Running | message::CancelReply::Finished) => {
                return DispatchOutcome::Open(attempt);
            }
            Some(message::CancelReply::NotRun) => {
                attempt.finish(routing::AttemptEnd::NotRun);
                return DispatchOutcome::NotRun(NotRunReason::Tombstone);
            }
            Some(message::CancelReply::WrongIncarnation) => {
                attempt.finish(routing::AttemptEnd::Failed);
                return DispatchOutcome::Unknown;
            }
            // A repeatable request need not wait for this agent; the drop cancels it there.
            None if plan.repeatable || plan.time_left().is_zero() => {
                return DispatchOutcome::Unknown;
            }
            None => tokio::time::sleep(QUERY_INTERVAL).await,
        }
    }
}

/// Attaches to the stream if the agent knows the request and inserts a tombstone otherwise. `None`
/// if the agent does not reply.
async fn query_agent(target: &AttemptTarget) -> Option<message::CancelReply> {
    let connection = target.channel.connection()?;
    let agent = target.endpoint.agent;
    if connection.agent != agent {
        return Some(message::CancelReply::WrongIncarnation);
    }
    let call = service::context_with_timeout(CALL_TIMEOUT);
    let attach = connection
        .client
        .attach(call, connection.session, agent, target.request);
    match attach.await.ok()? {
        message::CancelReply::NotRun => {
            let call = service::context_with_timeout(CALL_TIMEOUT);
            let cancel =
                connection
                    .client
                    .cancel(call, agent, target.request, message::CancelScope::Own);
            cancel.await.ok()
        }
        reply => Some(reply),
    }
}

fn connection_to(target: &AttemptTarget) -> Option<channels::AgentConnection> {
    let connection = target.channel.connection()?;
    (connection.agent == target.endpoint.agent).then_some(connection)
}

impl OpenAttempt {
    fn new(context: &AttemptContext, target: AttemptTarget) -> Self {
        let reader = target.channel.streams.open(target.request);
        context.metrics.add_open_streams(1);
        Self {
            context: context.clone(),
            reader,
            target,
            started_at: tokio::time::Instant::now(),
            last_part_at: None,
            is_ended: false,
            is_retained: false,
            is_tracked: true,
        }
    }

    /// Attempt whose response the agent retains for other callers of its idempotency key.
    #[must_use]
    pub fn retained(context: &AttemptContext, target: AttemptTarget) -> Self {
        let mut attempt = Self::new(context, target);
        attempt.is_retained = true;
        attempt
    }

    /// Attempt at a request that another entry dispatched. Its replica and start time are unknown
    /// here, so it is not reported to the routing policy.
    #[must_use]
    pub fn attached(context: &AttemptContext, target: AttemptTarget) -> Self {
        let mut attempt = Self::retained(context, target);
        attempt.is_tracked = false;
        attempt
    }

    /// Request id of this attempt.
    #[must_use]
    pub fn request(&self) -> ids::RequestId {
        self.target.request
    }

    /// Next part of the response; a lost stream ends with a failure of unknown outcome.
    pub async fn next(&mut self) -> message::StreamPart {
        let part = self.reader.next().await.unwrap_or_else(interrupted_part);
        let now = tokio::time::Instant::now();
        match &part {
            message::StreamPart::Finished { .. } => self.report_end(routing::AttemptEnd::Finished),
            message::StreamPart::Failed(failure) => self.report_end(match failure.outcome {
                message::RunOutcome::NotRun => routing::AttemptEnd::NotRun,
                _ => routing::AttemptEnd::Failed,
            }),
            _ => self.record_latency(now),
        }
        self.last_part_at = Some(now);
        part
    }

    /// Ends an attempt without cancelling it, since the agent does not run it.
    fn finish(mut self, end: routing::AttemptEnd) {
        self.report_end(end);
    }

    fn record_latency(&self, now: tokio::time::Instant) {
        if !self.is_tracked {
            return;
        }
        let attempt = self.attempt();
        let directory = &self.context.directory;
        match self.last_part_at {
            None => {
                self.context
                    .metrics
                    .record_first_token(now - self.started_at);
                directory.update_routing(|routing, now| routing.first_token(attempt, now));
            }
            Some(last) => {
                self.context.metrics.record_between_tokens(now - last);
                directory.update_routing(|routing, now| routing.between_token(attempt, now));
            }
        }
    }

    fn report_end(&mut self, end: routing::AttemptEnd) {
        if std::mem::replace(&mut self.is_ended, true) || !self.is_tracked {
            return;
        }
        let attempt = self.attempt();
        let directory = &self.context.directory;
        directory.update_routing(|routing, now| routing.ended(attempt, end, now));
    }

    fn attempt(&self) -> routing::Attempt {
        routing::Attempt {
            request: self.target.request,
            endpoint: self.target.endpoint,
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.target.channel.streams.close(self.target.request);
        self.context.metrics.add_open_streams(-1);
        if self.is_ended {
            return;
        }
        self.report_end(routing::AttemptEnd::Failed);
        if self.is_retained {
            return;
        }
        let target = self.target.clone();
        self.context.runtime.spawn(async move {
            // Without a connection, the agent cancels the request when it closes the session.
            if let Some(connection) = connection_to(&target) {
                let call = service::context_with_timeout(CALL_TIMEOUT);
                let agent = target.endpoint.agent;
                let _ = connection
                    .client
                    .cancel(call, agent, target.request, message::CancelScope::Own)
                    .await;
            }
        });
    }
}

fn interrupted_part() -> message::StreamPart {
    message::StreamPart::Failed(message::StreamFailure {
        outcome: message::RunOutcome::Unknown,
        reason: message::FailureReason::EndpointFailed,
        message: "the response stream was interrupted; the request may have run".into(),
    })
}

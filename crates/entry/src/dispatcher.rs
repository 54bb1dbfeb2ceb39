//! Dispatch of requests to agents and relay of their answers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time,
};

use callers::{
    completion,
    error::{CallerError, ErrorCode, RequestOutcome},
    handler::{self, AnswerPart},
};
use decisions::ids;
use futures::{StreamExt, future, stream};
use peers::{message, service};
use tokio::runtime;

use crate::{relay, sessions, settings};

const DISPATCH_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Dispatcher of one entry.
pub struct RequestDispatcher {
    settings: settings::EntrySettings,
    incarnation: ids::Incarnation,
    sequence: AtomicU64,
    channels: Vec<Arc<sessions::AgentChannel>>,
    runtime: runtime::Handle,
}

impl RequestDispatcher {
    /// Creates a dispatcher over the channels to all agents.
    #[must_use]
    pub fn new(
        settings: settings::EntrySettings,
        incarnation: ids::Incarnation,
        channels: Vec<Arc<sessions::AgentChannel>>,
        runtime: runtime::Handle,
    ) -> Self {
        Self {
            settings,
            incarnation,
            sequence: AtomicU64::new(0),
            channels,
            runtime,
        }
    }

    async fn dispatch_completion(
        &self,
        completion: completion::CompletionRequest,
    ) -> Result<handler::AnswerStream, CallerError> {
        let adapter = resolve(&completion.model)?;
        let channel = self.choose()?;
        let Some(connection) = channel.connection() else {
            return Err(no_endpoint());
        };
        let request = self.next_request();
        let reader = channel.streams.open(request);
        let guard = StreamGuard {
            request,
            channel: Arc::clone(&channel),
            runtime: self.runtime.clone(),
            ended: false,
        };
        let route = match completion.kind {
            completion::CompletionKind::Completion => message::CompletionRoute::Completions,
            completion::CompletionKind::Chat => message::CompletionRoute::ChatCompletions,
        };
        let options = completion.options;
        let dispatch = message::Dispatch {
            session: connection.session,
            agent: connection.agent,
            request,
            replica: 0,
            priority: options.priority.unwrap_or_default(),
            operator: String::new(),
            operator_weight: 1,
            prefix: 0,
            time_left: options.deadline.unwrap_or(self.settings.default_deadline),
            repeatable: true,
            keep_answer: false,
            work: message::Work::Completion {
                route,
                base_model: self.settings.base_model.clone(),
                adapter,
                body: completion.body,
            },
        };
        let call = service::deadline(DISPATCH_LIMIT);
        match connection.client.dispatch(call, dispatch).await {
            Ok(message::DispatchReply::Accepted | message::DispatchReply::AlreadyKnown) => {
                Ok(answer(reader, guard))
            }
            Ok(message::DispatchReply::Refused {
                reason,
                retry_after,
            }) => Err(refused(reason).retry_after(retry_after)),
            Err(error) => Err(CallerError {
                code: ErrorCode::OutcomeUnknown,
                outcome: RequestOutcome::Unknown,
                message: format!("the agent did not answer: {error}"),
                retry_after: None,
            }),
        }
    }

    fn choose(&self) -> Result<Arc<sessions::AgentChannel>, CallerError> {
        let start = usize::try_from(self.sequence.load(Ordering::Relaxed)).unwrap_or(0);
        let count = self.channels.len();
        let candidates = (0..count).map(|step| &self.channels[(start + step) % count]);
        let mut connected = candidates.filter(|channel| channel.connection().is_some());
        connected.next().map(Arc::clone).ok_or_else(no_endpoint)
    }

    fn next_request(&self) -> ids::RequestId {
        ids::RequestId {
            entry: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}

impl handler::RequestHandler for RequestDispatcher {
    fn complete(
        &self,
        request: completion::CompletionRequest,
    ) -> future::BoxFuture<'_, Result<handler::AnswerStream, CallerError>> {
        Box::pin(self.dispatch_completion(request))
    }

    fn call_service(
        &self,
        call: handler::ServiceCall,
    ) -> future::BoxFuture<'_, Result<handler::AnswerStream, CallerError>> {
        let message = format!("no service `{}`; publish it first", call.service);
        let error = CallerError::not_run(ErrorCode::UnknownService, message);
        Box::pin(future::ready(Err(error)))
    }

    fn is_ready(&self) -> bool {
        let mut channels = self.channels.iter();
        channels.any(|channel| channel.connection().is_some())
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn status(&self) -> serde_json::Value {
        serde_json::json!({ "entry": self.incarnation.to_string() })
    }
}

/// Closes the stream when the caller is gone and cancels a request that has not ended.
struct StreamGuard {
    request: ids::RequestId,
    channel: Arc<sessions::AgentChannel>,
    runtime: runtime::Handle,
    ended: bool,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.channel.streams.close(self.request);
        if self.ended {
            return;
        }
        let Some(connection) = self.channel.connection() else {
            return;
        };
        let request = self.request;
        self.runtime.spawn(async move {
            let call = service::deadline(DISPATCH_LIMIT);
            let _ = connection
                .client
                .cancel(call, connection.agent, request)
                .await;
        });
    }
}

fn answer(reader: relay::StreamReader, guard: StreamGuard) -> handler::AnswerStream {
    stream::unfold(Some((reader, guard)), |state| async move {
        let (mut reader, mut guard) = state?;
        let part = reader.next().await;
        let part = part.map_or_else(|| AnswerPart::Failed(interrupted()), answer_part);
        if matches!(part, AnswerPart::Finished { .. } | AnswerPart::Failed(_)) {
            guard.ended = true;
            return Some((part, None));
        }
        Some((part, Some((reader, guard))))
    })
    .boxed()
}

fn answer_part(part: message::StreamPart) -> AnswerPart {
    match part {
        message::StreamPart::Head {
            status,
            content_type,
        } => AnswerPart::Head {
            status,
            content_type,
        },
        message::StreamPart::Text { text, .. } => AnswerPart::Text(text),
        message::StreamPart::Bytes(bytes) => AnswerPart::Bytes(bytes),
        message::StreamPart::Finished {
            finish_reason,
            prompt_tokens,
            completion_tokens,
        } => AnswerPart::Finished {
            finish_reason,
            prompt_tokens,
            completion_tokens,
        },
        message::StreamPart::Failed(failure) => AnswerPart::Failed(stream_error(&failure)),
    }
}

fn stream_error(failure: &message::StreamFailure) -> CallerError {
    let code = match failure.reason {
        message::FailureReason::AdapterUnavailable => ErrorCode::AdapterUnavailable,
        message::FailureReason::Cancelled => ErrorCode::Cancelled,
        message::FailureReason::DeadlineUnreachable => ErrorCode::DeadlineUnreachable,
        message::FailureReason::EndpointFailed | message::FailureReason::EndpointRefused => {
            ErrorCode::EndpointFailed
        }
        message::FailureReason::WrongAdapter => ErrorCode::WrongAdapter,
    };
    let outcome = match failure.outcome {
        message::RunOutcome::NotRun => RequestOutcome::NotRun,
        message::RunOutcome::Unknown => RequestOutcome::Unknown,
        message::RunOutcome::Failed => RequestOutcome::Failed,
    };
    CallerError {
        code,
        outcome,
        message: failure.message.clone(),
        retry_after: None,
    }
}

fn resolve(model: &str) -> Result<ids::AdapterRef, CallerError> {
    let (name, version) = ids::split_model(model)
        .map_err(|error| CallerError::not_run(ErrorCode::UnknownModel, error.to_string()))?;
    Ok(ids::AdapterRef {
        name: name.to_owned(),
        version: version.unwrap_or(1),
    })
}

fn refused(reason: message::RefusalReason) -> CallerError {
    let code = match reason {
        message::RefusalReason::DeadlineUnreachable => ErrorCode::DeadlineUnreachable,
        message::RefusalReason::QueueFull => ErrorCode::Overloaded,
        message::RefusalReason::UnknownService => ErrorCode::UnknownService,
        message::RefusalReason::AdapterUnavailable | message::RefusalReason::WrongBaseModel => {
            ErrorCode::AdapterUnavailable
        }
        message::RefusalReason::Cancelled => ErrorCode::Cancelled,
        message::RefusalReason::Draining
        | message::RefusalReason::SessionClosed
        | message::RefusalReason::Superseded
        | message::RefusalReason::WrongIncarnation => ErrorCode::NoEndpoint,
    };
    CallerError::not_run(code, format!("the agent refused the request: {reason:?}"))
}

fn no_endpoint() -> CallerError {
    let message = "no endpoint is connected; send the request again later";
    CallerError::not_run(ErrorCode::NoEndpoint, message).retry_after(time::Duration::from_secs(1))
}

fn interrupted() -> CallerError {
    CallerError {
        code: ErrorCode::OutcomeUnknown,
        outcome: RequestOutcome::Unknown,
        message: "the answer was interrupted; the request may have run".into(),
        retry_after: None,
    }
}

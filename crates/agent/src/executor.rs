//! Execution of one request on one engine.

use std::sync::Arc;

use decisions::ids;
use endpoints::client::{self, EndpointError, ModelEngine};
use futures::StreamExt;
use peers::message;

use crate::{adapters, settings, streams};

/// Engine with its adapter slots.
pub struct ReplicaWorker {
    pub replica: u16,
    pub settings: settings::ReplicaSettings,
    pub engine: Arc<dyn ModelEngine>,
    pub slots: Arc<adapters::AdapterSlots>,
    pub fencing: u64,
}

/// Completion that a worker runs.
pub struct CompletionTask {
    pub request: ids::RequestId,
    pub route: message::CompletionRoute,
    pub adapter: ids::AdapterRef,
    pub priority: decisions::units::Priority,
    pub body: Vec<u8>,
}

impl ReplicaWorker {
    /// Runs a completion and returns the last part of its stream. `start` decides whether the
    /// request may still run; `produced` is called after each part.
    pub async fn run(
        &self,
        task: CompletionTask,
        stream: &streams::OutputStream,
        start: impl FnOnce() -> bool,
        produced: impl Fn(),
    ) -> message::StreamPart {
        let pinning = adapters::AdapterSlots::pin(&self.slots, &task.adapter, self.fencing);
        let _pin = tokio::select! {
            pin = pinning => match pin {
                Ok(pin) => pin,
                Err(error) => return not_run(message::FailureReason::AdapterUnavailable, &error),
            },
            () = stream.wait_cancelled() => return cancelled(message::RunOutcome::NotRun),
        };
        if !start() {
            return cancelled(message::RunOutcome::NotRun);
        }
        tokio::select! {
            part = self.relay(task, stream, produced) => part,
            () = stream.wait_cancelled() => cancelled(message::RunOutcome::Failed),
        }
    }

    async fn relay(
        &self,
        task: CompletionTask,
        stream: &streams::OutputStream,
        produced: impl Fn(),
    ) -> message::StreamPart {
        let generation = client::Generation {
            request: task.request,
            path: route_path(task.route),
            adapter: task.adapter,
            priority: task.priority,
            body: task.body,
        };
        let mut tokens = match self.engine.generate(generation).await {
            Ok(tokens) => tokens,
            Err(error) => return failed(&error),
        };
        while let Some(event) = tokens.next().await {
            match event {
                Ok(client::TokenEvent::Text { text, tokens }) => {
                    if !stream
                        .push(message::StreamPart::Text { text, tokens })
                        .await
                    {
                        return cancelled(message::RunOutcome::Failed);
                    }
                    produced();
                }
                Ok(client::TokenEvent::Finished {
                    finish_reason,
                    prompt_tokens,
                    completion_tokens,
                }) => {
                    return message::StreamPart::Finished {
                        finish_reason,
                        prompt_tokens,
                        completion_tokens,
                    };
                }
                Err(error) => return failed(&error),
            }
        }
        let message = "the engine ended its answer without a finish reason";
        failure(
            message::RunOutcome::Failed,
            message::FailureReason::EndpointFailed,
            message,
        )
    }
}

fn route_path(route: message::CompletionRoute) -> &'static str {
    match route {
        message::CompletionRoute::Completions => "/v1/completions",
        message::CompletionRoute::ChatCompletions => "/v1/chat/completions",
    }
}

fn failed(error: &EndpointError) -> message::StreamPart {
    let reason = match error {
        EndpointError::WrongAdapter { .. } => message::FailureReason::WrongAdapter,
        EndpointError::Refused { .. } => message::FailureReason::EndpointRefused,
        _ => message::FailureReason::EndpointFailed,
    };
    let outcome = if error.is_not_run() {
        message::RunOutcome::NotRun
    } else {
        message::RunOutcome::Failed
    };
    failure(outcome, reason, &error.to_string())
}

fn not_run(reason: message::FailureReason, error: &EndpointError) -> message::StreamPart {
    failure(message::RunOutcome::NotRun, reason, &error.to_string())
}

fn cancelled(outcome: message::RunOutcome) -> message::StreamPart {
    let reason = message::FailureReason::Cancelled;
    failure(outcome, reason, "the request was cancelled")
}

fn failure(
    outcome: message::RunOutcome,
    reason: message::FailureReason,
    message: &str,
) -> message::StreamPart {
    message::StreamPart::Failed(message::StreamFailure {
        outcome,
        reason,
        message: message.to_owned(),
    })
}

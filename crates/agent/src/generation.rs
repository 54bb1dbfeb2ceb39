//! One generation on an engine, continued on a new connection when the stream is lost.

use std::time;

use endpoints::client::{EndpointError, Generation, ModelEngine, TokenEvent, TokenStream};
use futures::StreamExt;
use peers::message;
use tokio::sync::watch;

use crate::{failures, streams};

/// Attempts to continue a stream without a new token in between.
const MAX_RESUME_ATTEMPTS: u32 = 3;
/// Pause between two attempts.
const RESUME_DELAY: time::Duration = time::Duration::from_millis(200);

/// Finish reason of an answer that the engine stopped; it is not complete.
const ABORT_REASON: &str = "abort";

/// Runs a generation and returns the last part of its stream. `on_tokens` is called after every
/// part with the tokens in it.
pub async fn run(
    engine: &dyn ModelEngine,
    generation: &Generation,
    stream: &streams::OutputStream,
    is_preempted: watch::Receiver<bool>,
    on_tokens: impl Fn(u32),
) -> message::StreamPart {
    let part = tokio::select! {
        // First, so that a request cancelled just before its start is not sent to the engine.
        biased;
        () = stream.wait_cancelled() => failures::cancelled_part(message::RunOutcome::Failed),
        part = relay_tokens(engine, generation, stream, is_preempted, on_tokens) => part,
    };
    // An engine continues a generation that no one reads, so every early end is told to it.
    let needs_cancel = matches!(&part, message::StreamPart::Failed(failure)
        if failure.outcome != message::RunOutcome::NotRun);
    if needs_cancel {
        let _ = engine.cancel(generation.request).await;
    }
    part
}

async fn relay_tokens(
    engine: &dyn ModelEngine,
    generation: &Generation,
    stream: &streams::OutputStream,
    mut is_preempted: watch::Receiver<bool>,
    on_tokens: impl Fn(u32),
) -> message::StreamPart {
    let mut can_preempt = true;
    let mut received = 0;
    let mut tokens = match engine.generate(generation.clone()).await {
        Ok(tokens) => tokens,
        Err(error) if error.is_lost() => match resume_stream(engine, generation, 0).await {
            Ok(tokens) => tokens,
            Err(_) => return failures::start_error_part(&error),
        },
        Err(error) => return failures::start_error_part(&error),
    };
    let mut attempts = 0;
    loop {
        let event = tokio::select! {
            event = tokens.next() => event,
            true = wait_for_preemption(&mut is_preempted), if can_preempt => {
                // An engine that cannot pause a generation goes on with it.
                can_preempt = engine.park(generation.request).await.is_ok();
                if can_preempt && is_preempted.wait_for(|is_preempted| !*is_preempted).await.is_ok() {
                    match resume_stream(engine, generation, received).await {
                        Ok(resumed) => tokens = resumed,
                        Err(error) => return failures::error_part(&error, interrupted_outcome(received)),
                    }
                }
                continue;
            }
        };
        match event {
            Some(Ok(TokenEvent::Text { text, tokens })) => {
                received += 1;
                attempts = 0;
                if !stream
                    .push(message::StreamPart::Text { text, tokens })
                    .await
                {
                    return failures::cancelled_part(message::RunOutcome::Failed);
                }
                on_tokens(tokens);
            }
            Some(Ok(TokenEvent::Finished { finish_reason, .. }))
                if finish_reason.as_deref() == Some(ABORT_REASON) =>
            {
                return failures::failed_part(
                    message::RunOutcome::Failed,
                    message::FailureReason::EndpointFailed,
                    "the engine stopped the answer before its end",
                );
            }
            Some(Ok(TokenEvent::Finished {
                finish_reason,
                prompt_tokens,
                completion_tokens,
            })) => {
                return message::StreamPart::Finished {
                    finish_reason,
                    prompt_tokens,
                    completion_tokens,
                };
            }
            Some(Err(error)) if error.is_lost() && attempts < MAX_RESUME_ATTEMPTS => {
                attempts += 1;
                match resume_stream(engine, generation, received).await {
                    Ok(resumed) => tokens = resumed,
                    Err(_) => return failures::error_part(&error, interrupted_outcome(received)),
                }
            }
            Some(Err(error)) => return failures::error_part(&error, interrupted_outcome(received)),
            None => {
                return failures::failed_part(
                    interrupted_outcome(received),
                    message::FailureReason::EndpointFailed,
                    "the engine ended its answer without a finish reason",
                );
            }
        }
    }
}

/// Waits for the preemption of the request; false when it can no longer be preempted.
async fn wait_for_preemption(is_preempted: &mut watch::Receiver<bool>) -> bool {
    is_preempted
        .wait_for(|is_preempted| *is_preempted)
        .await
        .is_ok()
}

async fn resume_stream(
    engine: &dyn ModelEngine,
    generation: &Generation,
    from: u64,
) -> Result<TokenStream, EndpointError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match engine.resume(generation, from).await {
            Ok(tokens) => return Ok(tokens),
            Err(error) if attempts >= MAX_RESUME_ATTEMPTS || !is_retryable(&error) => {
                return Err(error);
            }
            Err(_) => tokio::time::sleep(RESUME_DELAY).await,
        }
    }
}

fn is_retryable(error: &EndpointError) -> bool {
    error.is_lost() || matches!(error, EndpointError::Unreachable { .. })
}

/// A request with output ran for certain; without output it may not have started.
fn interrupted_outcome(received: u64) -> message::RunOutcome {
    if received > 0 {
        message::RunOutcome::Failed
    } else {
        message::RunOutcome::Unknown
    }
}

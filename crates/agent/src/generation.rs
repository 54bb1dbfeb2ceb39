//! Generation on an engine, resumed on a new connection after the stream is lost.

use std::time;

use endpoints::client::{EndpointError, GenerationCall, ModelEngine, TokenEvent, TokenStream};
use futures::StreamExt;
use peers::message;
use tokio::sync::watch;

use crate::{failures, streams};

/// Consecutive attempts to resume a stream without a new token.
const MAX_RESUME_ATTEMPTS: u32 = 3;
/// Delay between two attempts.
const RESUME_DELAY: time::Duration = time::Duration::from_millis(200);

/// Finish reason of a response that the engine aborted and that is incomplete.
const ABORT_REASON: &str = "abort";

/// Runs a generation and returns the final part of its stream. Calls `on_tokens` after every part
/// with its number of tokens.
pub async fn run(
    engine: &dyn ModelEngine,
    generation: &GenerationCall,
    stream: &streams::OutputStream,
    preemption: watch::Receiver<bool>,
    on_tokens: impl Fn(u32),
) -> message::StreamPart {
    let part = tokio::select! {
        // Check for cancellation first, so that a cancelled request is not sent to the engine.
        biased;
        () = stream.wait_cancelled() => failures::cancelled_part(message::RunOutcome::Failed),
        part = relay_tokens(engine, generation, stream, preemption, on_tokens) => part,
    };
    // An engine continues a generation without a reader, so cancel it after any early end.
    let needs_cancel = matches!(&part, message::StreamPart::Failed(failure)
        if failure.outcome != message::RunOutcome::NotRun);
    if needs_cancel {
        let _ = engine.cancel(generation.request).await;
    }
    part
}

async fn relay_tokens(
    engine: &dyn ModelEngine,
    generation: &GenerationCall,
    stream: &streams::OutputStream,
    mut preemption: watch::Receiver<bool>,
    on_tokens: impl Fn(u32),
) -> message::StreamPart {
    let mut can_preempt = true;
    let mut received = 0;
    let mut tokens = match engine.generate(generation.clone()).await {
        Ok(tokens) => tokens,
        Err(error) if error.is_connection_lost() => {
            match resume_stream(engine, generation, 0).await {
                Ok(tokens) => tokens,
                Err(_) => return failures::start_error_part(&error),
            }
        }
        Err(error) => return failures::start_error_part(&error),
    };
    let mut attempts = 0;
    loop {
        let event = tokio::select! {
            event = tokens.next() => event,
            true = wait_for_preemption(&mut preemption), if can_preempt => {
                // An engine that cannot pause the generation continues it.
                can_preempt = engine.preempt(generation.request).await.is_ok();
                if can_preempt
                    && preemption.wait_for(|is_preempted| !*is_preempted).await.is_ok()
                {
                    match resume_stream(engine, generation, received).await {
                        Ok(resumed) => tokens = resumed,
                        Err(error) => {
                            return failures::error_part(&error, interrupted_outcome(received));
                        }
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
                    "the engine aborted the generation",
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
            Some(Err(error)) if error.is_connection_lost() && attempts < MAX_RESUME_ATTEMPTS => {
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
                    "the engine closed the stream without a finish reason",
                );
            }
        }
    }
}

/// Waits for the preemption of the request; false when it can no longer be preempted.
async fn wait_for_preemption(preemption: &mut watch::Receiver<bool>) -> bool {
    preemption
        .wait_for(|is_preempted| *is_preempted)
        .await
        .is_ok()
}

async fn resume_stream(
    engine: &dyn ModelEngine,
    generation: &GenerationCall,
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
    error.is_connection_lost() || matches!(error, EndpointError::Unreachable { .. })
}

/// Outcome of a lost stream: a request with output has run, one without may not have started.
fn interrupted_outcome(received: u64) -> message::RunOutcome {
    if received > 0 {
        message::RunOutcome::Failed
    } else {
        message::RunOutcome::Unknown
    }
}

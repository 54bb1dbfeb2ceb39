//! One generation on an engine, continued on a new connection when the stream is lost.

use std::time;

use endpoints::client::{EndpointError, Generation, ModelEngine, TokenEvent, TokenStream};
use futures::StreamExt;
use peers::message;
use tokio::sync::watch;

use crate::{failures, streams};

/// Attempts to continue a stream without a new token in between.
const RESUME_LIMIT: u32 = 3;
/// Pause between two attempts.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Finish reason of an answer that the engine stopped; it is not complete.
const ABORTED: &str = "abort";

/// Runs a generation and returns the last part of its stream. `produced` is called after every
/// part with the tokens in it.
pub async fn run(
    engine: &dyn ModelEngine,
    generation: &Generation,
    stream: &streams::OutputStream,
    parked: watch::Receiver<bool>,
    produced: impl Fn(u32),
) -> message::StreamPart {
    let part = tokio::select! {
        // First, so that a request cancelled just before its start is not sent to the engine.
        biased;
        () = stream.wait_cancelled() => failures::cancelled(message::RunOutcome::Failed),
        part = relay(engine, generation, stream, parked, produced) => part,
    };
    // An engine continues a generation that no one reads, so every early end is told to it.
    let needs_cancel = matches!(&part, message::StreamPart::Failed(failure)
        if failure.outcome != message::RunOutcome::NotRun);
    if needs_cancel {
        let _ = engine.cancel(generation.request).await;
    }
    part
}

async fn relay(
    engine: &dyn ModelEngine,
    generation: &Generation,
    stream: &streams::OutputStream,
    mut parked: watch::Receiver<bool>,
    produced: impl Fn(u32),
) -> message::StreamPart {
    let mut may_park = true;
    let mut received = 0;
    let mut tokens = match engine.generate(generation.clone()).await {
        Ok(tokens) => tokens,
        Err(error) if error.is_lost() => match resume(engine, generation, 0).await {
            Ok(tokens) => tokens,
            Err(_) => return failures::from_start_error(&error),
        },
        Err(error) => return failures::from_start_error(&error),
    };
    let mut attempts = 0;
    loop {
        let event = tokio::select! {
            event = tokens.next() => event,
            true = is_parked(&mut parked), if may_park => {
                // An engine that cannot pause a generation goes on with it.
                may_park = engine.park(generation.request).await.is_ok();
                if may_park && parked.wait_for(|parked| !*parked).await.is_ok() {
                    match resume(engine, generation, received).await {
                        Ok(resumed) => tokens = resumed,
                        Err(error) => return failures::from_error(&error, lost_outcome(received)),
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
                    return failures::cancelled(message::RunOutcome::Failed);
                }
                produced(tokens);
            }
            Some(Ok(TokenEvent::Finished { finish_reason, .. }))
                if finish_reason.as_deref() == Some(ABORTED) =>
            {
                return failures::failure(
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
            Some(Err(error)) if error.is_lost() && attempts < RESUME_LIMIT => {
                attempts += 1;
                match resume(engine, generation, received).await {
                    Ok(resumed) => tokens = resumed,
                    Err(_) => return failures::from_error(&error, lost_outcome(received)),
                }
            }
            Some(Err(error)) => return failures::from_error(&error, lost_outcome(received)),
            None => {
                return failures::failure(
                    lost_outcome(received),
                    message::FailureReason::EndpointFailed,
                    "the engine ended its answer without a finish reason",
                );
            }
        }
    }
}

/// Waits until the request is to be parked; false when it never is.
async fn is_parked(parked: &mut watch::Receiver<bool>) -> bool {
    parked.wait_for(|parked| *parked).await.is_ok()
}

async fn resume(
    engine: &dyn ModelEngine,
    generation: &Generation,
    from: u64,
) -> Result<TokenStream, EndpointError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match engine.resume(generation, from).await {
            Ok(tokens) => return Ok(tokens),
            Err(error) if attempts >= RESUME_LIMIT || !is_passing(&error) => return Err(error),
            Err(_) => tokio::time::sleep(RESUME_PAUSE).await,
        }
    }
}

fn is_passing(error: &EndpointError) -> bool {
    error.is_lost() || matches!(error, EndpointError::Unreachable { .. })
}

/// A request with output ran for certain; without output it may not have started.
fn lost_outcome(received: u64) -> message::RunOutcome {
    if received > 0 {
        message::RunOutcome::Failed
    } else {
        message::RunOutcome::Unknown
    }
}

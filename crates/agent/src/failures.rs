//! Final parts of streams that end without a complete response.

use endpoints::client::EndpointError;
use peers::message::{FailureReason, RunOutcome, StreamFailure, StreamPart};

/// Final part with an outcome and a reason.
#[must_use]
pub fn failed_part(outcome: RunOutcome, reason: FailureReason, message: &str) -> StreamPart {
    StreamPart::Failed(StreamFailure {
        outcome,
        reason,
        message: message.to_owned(),
    })
}

/// Final part of a cancelled request.
#[must_use]
pub fn cancelled_part(outcome: RunOutcome) -> StreamPart {
    failed_part(
        outcome,
        FailureReason::Cancelled,
        "the request was cancelled",
    )
}

/// Final part for an endpoint error, with the outcome given by the caller.
#[must_use]
pub fn error_part(error: &EndpointError, outcome: RunOutcome) -> StreamPart {
    let reason = match error {
        EndpointError::WrongAdapter { .. } => FailureReason::WrongAdapter,
        EndpointError::Refused { .. } | EndpointError::Fenced { .. } => {
            FailureReason::EndpointRefused
        }
        _ => FailureReason::EndpointFailed,
    };
    failed_part(outcome, reason, &error.to_string())
}

/// Final part for an error of the call that starts the work; `NotRun` if the error rules out that
/// it ran.
#[must_use]
pub fn start_error_part(error: &EndpointError) -> StreamPart {
    let outcome = if error.is_not_run() {
        RunOutcome::NotRun
    } else {
        RunOutcome::Unknown
    };
    error_part(error, outcome)
}

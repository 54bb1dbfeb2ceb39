//! Last parts of streams that end without a complete answer.

use endpoints::client::EndpointError;
use peers::message::{FailureReason, RunOutcome, StreamFailure, StreamPart};

/// Last part with an outcome and a reason.
#[must_use]
pub fn failed_part(outcome: RunOutcome, reason: FailureReason, message: &str) -> StreamPart {
    StreamPart::Failed(StreamFailure {
        outcome,
        reason,
        message: message.to_owned(),
    })
}

/// Last part of a cancelled request.
#[must_use]
pub fn cancelled_part(outcome: RunOutcome) -> StreamPart {
    failed_part(
        outcome,
        FailureReason::Cancelled,
        "the request was cancelled",
    )
}

/// Last part after the error of an endpoint. `outcome` applies unless the error states that the
/// work did not start.
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

/// Last part when the call that starts the work failed.
#[must_use]
pub fn start_error_part(error: &EndpointError) -> StreamPart {
    let outcome = if error.is_not_run() {
        RunOutcome::NotRun
    } else {
        RunOutcome::Unknown
    };
    error_part(error, outcome)
}

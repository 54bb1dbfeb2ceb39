//! Maps refusals and failures of agents to errors for callers.

use std::time;

use callers::error::{CallerError, ErrorCode, RequestOutcome};
use decisions::{retries, routing};
use peers::message;

use crate::attempts;

const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Error for a failed stream.
#[must_use]
pub fn stream_error(failure: &message::StreamFailure) -> CallerError {
    let outcome = match failure.outcome {
        message::RunOutcome::NotRun => RequestOutcome::NotRun,
        message::RunOutcome::Unknown => RequestOutcome::Unknown,
        message::RunOutcome::Failed => RequestOutcome::Failed,
    };
    let code = match failure.reason {
        _ if outcome == RequestOutcome::Unknown => ErrorCode::OutcomeUnknown,
        message::FailureReason::AdapterUnavailable => ErrorCode::AdapterUnavailable,
        message::FailureReason::Cancelled => ErrorCode::Cancelled,
        message::FailureReason::DeadlineUnreachable => ErrorCode::DeadlineUnreachable,
        message::FailureReason::EndpointFailed | message::FailureReason::EndpointRefused => {
            ErrorCode::EndpointFailed
        }
        message::FailureReason::WrongAdapter => ErrorCode::WrongAdapter,
    };
    CallerError {
        code,
        outcome,
        message: failure.message.clone(),
        retry_after: None,
    }
}

/// Error for a request that did not run at the last agent tried.
#[must_use]
pub fn not_run_error(reason: attempts::NotRunReason) -> CallerError {
    match reason {
        attempts::NotRunReason::Refused {
            reason,
            retry_after,
        } => {
            let message = format!("the agent refused the request: {reason:?}");
            CallerError::not_run(refusal_code(reason), message).retry_after(retry_after)
        }
        attempts::NotRunReason::NotConnected | attempts::NotRunReason::Tombstone => no_endpoint(),
    }
}

/// Error for a request that may have run.
#[must_use]
pub fn unknown_outcome() -> CallerError {
    CallerError {
        code: ErrorCode::OutcomeUnknown,
        outcome: RequestOutcome::Unknown,
        message: "the agent cannot be reached to learn the outcome; the request may have run"
            .into(),
        retry_after: None,
    }
}

/// Error for a request that routing found no endpoint for.
#[must_use]
pub fn routing_refused(refusal: routing::Refusal) -> CallerError {
    CallerError::not_run(ErrorCode::NoEndpoint, refusal.to_string()).retry_after(RETRY_DELAY)
}

/// Error for a request whose endpoint is not connected.
#[must_use]
pub fn no_endpoint() -> CallerError {
    let message = "no endpoint is connected; retry later";
    CallerError::not_run(ErrorCode::NoEndpoint, message).retry_after(RETRY_DELAY)
}

/// Error for an idempotency key at an entry without a log.
#[must_use]
pub fn keys_unsupported() -> CallerError {
    let message = "idempotency keys need a log; set `log` in the settings of this entry";
    CallerError::not_run(ErrorCode::LogUnavailable, message)
}

/// Error for a request that arrives while the entry is draining.
#[must_use]
pub fn entry_draining() -> CallerError {
    let message = "this entry is shutting down; retry at another entry";
    CallerError::not_run(ErrorCode::Draining, message).retry_after(time::Duration::ZERO)
}

/// Retry reason for a request that did not run.
#[must_use]
pub fn retry_reason(reason: attempts::NotRunReason) -> retries::RetryReason {
    let attempts::NotRunReason::Refused { reason, .. } = reason else {
        return match reason {
            attempts::NotRunReason::NotConnected => retries::RetryReason::ConnectFailed,
            _ => retries::RetryReason::EndpointLost,
        };
    };
    match reason {
        message::RefusalReason::AdapterUnavailable => retries::RetryReason::AdapterUnavailable,
        message::RefusalReason::Draining | message::RefusalReason::Superseded => {
            retries::RetryReason::Leaving
        }
        message::RefusalReason::DeadlineUnreachable | message::RefusalReason::QueueFull => {
            retries::RetryReason::Overloaded
        }
        message::RefusalReason::SessionClosed | message::RefusalReason::WrongIncarnation => {
            retries::RetryReason::SessionClosed
        }
        message::RefusalReason::Cancelled
        | message::RefusalReason::UnknownService
        | message::RefusalReason::WrongBaseModel => retries::RetryReason::EndpointFailed,
    }
}

/// Execution status that a failed stream implies.
#[must_use]
pub fn execution_status(failure: &message::StreamFailure) -> retries::ExecutionStatus {
    match failure.outcome {
        message::RunOutcome::NotRun => retries::ExecutionStatus::NotRun,
        message::RunOutcome::Unknown => retries::ExecutionStatus::Unknown,
        message::RunOutcome::Failed => retries::ExecutionStatus::Ran,
    }
}

fn refusal_code(reason: message::RefusalReason) -> ErrorCode {
    match reason {
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
    }
}

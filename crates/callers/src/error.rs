//! Errors returned to callers.
//!
//! The body has the usual form `{"error": {...}}` with a stable `code` and the field `outcome`,
//! which tells whether the request ran: `not_run`, `unknown` or `failed`.

use std::time;

use serde::Serialize;
use snafu::Snafu;

/// Whether the request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    NotRun,
    Unknown,
    Failed,
}

/// Stable error code.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    AdapterUnavailable,
    BodyTooLarge,
    Cancelled,
    ConfigurationMissing,
    DeadlineUnreachable,
    Draining,
    EndpointFailed,
    InvalidRequest,
    KeyReused,
    LogUnavailable,
    NoEndpoint,
    OutcomeUnknown,
    Overloaded,
    Unauthorized,
    UnknownModel,
    UnknownRoute,
    UnknownService,
    WrongAdapter,
}

/// Error returned to a caller.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct CallerError {
    pub code: ErrorCode,
    pub outcome: RequestOutcome,
    pub message: String,
    pub retry_after: Option<time::Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: ErrorCode,
    outcome: RequestOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl CallerError {
    /// Error for a request that did not run.
    #[must_use]
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome: RequestOutcome::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Adds the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// HTTP status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self.code {
            ErrorCode::InvalidRequest => 400,
            ErrorCode::Unauthorized => 401,
            ErrorCode::UnknownModel | ErrorCode::UnknownRoute | ErrorCode::UnknownService => 404,
            ErrorCode::KeyReused => 422,
            ErrorCode::BodyTooLarge => 413,
            ErrorCode::DeadlineUnreachable | ErrorCode::Overloaded => 429,
            ErrorCode::Cancelled => 499,
            ErrorCode::EndpointFailed | ErrorCode::OutcomeUnknown | ErrorCode::WrongAdapter => 502,
            ErrorCode::AdapterUnavailable
            | ErrorCode::ConfigurationMissing
            | ErrorCode::Draining
            | ErrorCode::LogUnavailable
            | ErrorCode::NoEndpoint => 503,
        }
    }

    /// JSON body.
    #[must_use]
    pub fn body(&self) -> String {
        let kind = if self.status() < 500 {
            "invalid_request_error"
        } else {
            "server_error"
        };
        let retry_after = self.retry_after.map(|delay| delay.as_millis());
        let body = ErrorBody {
            error: ErrorFields {
                message: &self.message,
                kind,
                code: self.code,
                outcome: self.outcome,
                retry_after_ms: retry_after.and_then(|millis| u64::try_from(millis).ok()),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}

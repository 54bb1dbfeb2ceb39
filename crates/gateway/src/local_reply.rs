//! Answers that the gateway gives itself.

use std::time;

use broker::message;

/// Answer of the gateway, with the reason for the log and the counters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalReply {
    pub status: u16,
    pub reason: &'static str,
    /// When the caller should come back; only for requests that did not run.
    pub retry_after: Option<time::Duration>,
}

/// Pause for a caller that meets a process without a configuration or replica.
const STARTUP_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// Shortest and longest pause that a caller is told.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

impl LocalReply {
    pub const NO_CONFIGURATION: Self = Self::not_executed("no_configuration", STARTUP_RETRY_DELAY);
    pub const NO_REPLICA: Self = Self::not_executed("no_replica", STARTUP_RETRY_DELAY);
    pub const NO_ROUTE: Self = Self::refused(404, "no_route");
    pub const BAD_REQUEST: Self = Self::refused(400, "bad_request");
    pub const BODY_TOO_LARGE: Self = Self::refused(413, "body_too_large");
    /// The request may have run and has no answer.
    pub const OUTCOME_UNKNOWN: Self = Self::refused(502, "outcome_unknown");
    /// The request was sent and had no answer before its deadline.
    pub const TIMEOUT: Self = Self::refused(504, "timeout");

    const fn refused(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Answer to a request that did not run and never will.
    #[must_use]
    pub const fn not_executed(reason: &'static str, retry_after: time::Duration) -> Self {
        Self {
            status: 503,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Answer to a request for which brokers had no place.
    #[must_use]
    pub fn no_permit(reason: message::RefusalReason, retry_after: time::Duration) -> Self {
        Self::not_executed(
            reason.label(),
            retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        )
    }

    /// Whether the answer states that the request did not run.
    #[must_use]
    pub fn is_not_executed(&self) -> bool {
        self.retry_after.is_some()
    }
}

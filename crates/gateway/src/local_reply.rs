//! Local replies: responses that the gateway generates itself.

use std::time;

use broker::message;

use crate::uploads;

/// Response of the gateway itself, with the reason for logs and counters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalReply {
    pub status: u16,
    pub reason: &'static str,
    /// Time after which the caller should retry; only for requests that did not run.
    pub retry_after: Option<time::Duration>,
}

/// Retry delay while there is no configuration or replica.
const STARTUP_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// Retry delay until the replicas have been read again.
const REPLICA_READ_DELAY: time::Duration = time::Duration::from_millis(600);
/// Retry delay while buffered responses use almost all memory.
const BUFFER_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Retry delay while the copy of the configuration is too old. Other gateways may take the request
/// at once.
const COPY_READ_DELAY: time::Duration = time::Duration::from_millis(200);
/// Bounds of the retry delay that a caller is sent.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

impl LocalReply {
    pub const NO_CONFIGURATION: Self = Self::not_run("no_configuration", STARTUP_RETRY_DELAY);
    pub const NO_REPLICA: Self = Self::not_run("no_replica", STARTUP_RETRY_DELAY);
    /// Buffered requests or responses use almost all memory that is meant for them.
    pub const BUFFERS_FULL: Self = Self::not_run("buffers_full", BUFFER_RETRY_DELAY);
    /// All engines that were asked have restarted under other ids.
    pub const ENGINE_REPLACED: Self = Self::not_run("engine_replaced", REPLICA_READ_DELAY);
    /// Nobody knows the software version that began the stream. The caller may begin it anew.
    pub const STREAM_ORIGIN_UNKNOWN: Self =
        Self::not_run("stream_origin_unknown", STARTUP_RETRY_DELAY);
    /// No replica of the software version that began the stream is left. The caller may begin it anew.
    pub const SOFTWARE_GONE: Self = Self::not_run("software_gone", STARTUP_RETRY_DELAY);
    /// The copy of the configuration is too old to decide by the caller's key.
    pub const COPY_OUTDATED: Self = Self::not_run("copy_outdated", COPY_READ_DELAY);
    /// The caller's organisation changed while the request was admitted.
    pub const CONFIGURATION_CHANGED: Self = Self::not_run("configuration_changed", MIN_RETRY_DELAY);
    /// The gateway stops before the request could end; other gateways take it at once.
    pub const STOPPING: Self = Self::not_run("stopping", MIN_RETRY_DELAY);
    /// The caller's key was removed while the request waited.
    pub const KEY_REMOVED: Self = Self::unauthorised("key_removed");
    pub const NO_ROUTE: Self = Self::refused(404, "no_route");
    pub const BAD_REQUEST: Self = Self::refused(400, "bad_request");
    pub const BODY_TOO_LARGE: Self = Self::refused(413, "body_too_large");
    /// The request may have run and has no response.
    pub const OUTCOME_UNKNOWN: Self = Self::refused(502, "outcome_unknown");
    /// The request was sent and had no response before its deadline.
    pub const TIMEOUT: Self = Self::refused(504, "timeout");

    const fn refused(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Reply to a request that did not run and will not run.
    #[must_use]
    pub const fn not_run(reason: &'static str, retry_after: time::Duration) -> Self {
        Self {
            status: 503,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Reply to a request without a valid key.
    #[must_use]
    pub const fn unauthorised(reason: &'static str) -> Self {
        Self::refused(401, reason)
    }

    /// Reply to a request beyond the quota of its organisation.
    #[must_use]
    pub const fn over_quota(reason: &'static str, retry_after: time::Duration) -> Self {
        Self {
            status: 429,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Reply to a request without a replica that could take it. `pause` is the time until one wants
    /// requests again, if that is known.
    #[must_use]
    pub fn no_replica(pause: Option<time::Duration>) -> Self {
        pause.map_or(Self::NO_REPLICA, |pause| {
            Self::not_run("replicas_paused", pause)
        })
    }

    /// Reply to a request that no replica of a plain service could start in time.
    #[must_use]
    pub fn replicas_full(retry_after: time::Duration) -> Self {
        let retry_after = retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        Self::not_run("replicas_full", retry_after)
    }

    /// Reply to a request whose body was not read.
    #[must_use]
    pub fn unread_body(error: uploads::UploadError) -> Self {
        match error {
            uploads::UploadError::TooLong => Self::BODY_TOO_LARGE,
            uploads::UploadError::Broken => Self::BAD_REQUEST,
            uploads::UploadError::NoMemory => Self::BUFFERS_FULL,
        }
    }

    /// Reply to a request that got no permit from any broker.
    #[must_use]
    pub fn no_permit(reason: message::RefusalReason, retry_after: time::Duration) -> Self {
        Self::not_run(
            reason.label(),
            retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        )
    }

    /// Whether the reply states that the request did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.retry_after.is_some()
    }
}

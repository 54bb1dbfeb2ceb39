//! Refusal of a caller for its key, its organisation's quota or the age of the configuration.

use std::time;

use telemetry::events;

use crate::{local_reply, organisations, quota, route_match};

/// Reason why a request is refused on a route that is not public.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AuthenticationRefusal {
    /// The copy of the configuration may lack the removal of the key.
    CopyOutdated {
        age: Option<time::Duration>,
    },
    MissingKey,
    /// The header is repeated, empty or not text.
    MalformedKey,
    UnknownKey {
        key: organisations::KeyDigest,
    },
}

impl AuthenticationRefusal {
    /// Label for logs and counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::CopyOutdated { .. } => "copy_outdated",
            Self::MissingKey => "key_missing",
            Self::MalformedKey => "key_malformed",
            Self::UnknownKey { .. } => "key_unknown",
        }
    }
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    Key(AuthenticationRefusal),
    Quota(QuotaDenial),
}

/// Request that its organisation's quota does not allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaDenial {
    pub refusal: quota::QuotaRefusal,
    /// Units that the request would have cost.
    pub cost: u64,
}

/// Refused caller, for the log, the counters and the local reply. It never holds a key.
#[derive(Clone, Debug, PartialEq)]
pub struct AccessRefusal {
    pub cause: RefusalCause,
    pub route: String,
    /// Version of the configuration that decided.
    pub configuration: u64,
    /// Name of the organisation, if the key is known.
    pub organisation: Option<String>,
    /// Digest of the key, if it is unknown or its organisation's quota refused the request.
    pub key: Option<organisations::KeyDigest>,
}

impl AccessRefusal {
    /// Refusal of a request by its key.
    #[must_use]
    pub fn of_key(matched: &route_match::RouteMatch, refusal: AuthenticationRefusal) -> Self {
        let key = match refusal {
            AuthenticationRefusal::UnknownKey { key } => Some(key),
            _ => None,
        };
        Self {
            cause: RefusalCause::Key(refusal),
            route: matched.route.name.clone(),
            configuration: matched.configuration,
            organisation: None,
            key,
        }
    }

    /// Refusal of a request by the quota of its caller's organisation.
    #[must_use]
    pub fn of_quota(
        matched: &route_match::RouteMatch,
        caller: Option<&organisations::KnownCaller>,
        denial: QuotaDenial,
    ) -> Self {
        Self {
            cause: RefusalCause::Quota(denial),
            route: matched.route.name.clone(),
            configuration: matched.configuration,
            organisation: caller.map(|caller| caller.organisation.name.clone()),
            key: caller.map(|caller| caller.key),
        }
    }

    /// Label for logs and counters.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self.cause {
            RefusalCause::Key(refusal) => refusal.label(),
            RefusalCause::Quota(denial) => denial.refusal.label(),
        }
    }

    /// Event of the log record.
    #[must_use]
    pub fn event(&self) -> events::LogEvent {
        match self.cause {
            RefusalCause::Key(AuthenticationRefusal::CopyOutdated { .. }) => {
                events::CONFIGURATION_OUTDATED
            }
            RefusalCause::Key(_) => events::REQUEST_UNAUTHORISED,
            RefusalCause::Quota(_) => events::QUOTA_REFUSED,
        }
    }

    /// Age of the copy of the configuration, if that is the cause.
    #[must_use]
    pub fn copy_age(&self) -> Option<time::Duration> {
        match self.cause {
            RefusalCause::Key(AuthenticationRefusal::CopyOutdated { age }) => age,
            _ => None,
        }
    }

    /// Reply to the caller.
    #[must_use]
    pub fn reply(&self) -> local_reply::LocalReply {
        let reason = self.label();
        match self.cause {
            RefusalCause::Key(AuthenticationRefusal::CopyOutdated { .. }) => {
                local_reply::LocalReply::COPY_OUTDATED
            }
            RefusalCause::Key(_) => local_reply::LocalReply::unauthorised(reason),
            RefusalCause::Quota(denial) => match denial.refusal {
                quota::QuotaRefusal::Exceeded { retry_after } => {
                    local_reply::LocalReply::over_quota(reason, retry_after)
                }
                quota::QuotaRefusal::Unconfirmed { retry_after } => {
                    local_reply::LocalReply::not_run(reason, retry_after)
                }
            },
        }
    }
}

//! Requests for permits at an engine and what becomes of them.

use std::time;

use crate::units;

/// Place of one request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PermitId {
    /// Incarnation of the entry.
    pub entry: u64,
    pub number: u64,
}

/// Adapter with the lowest version that will do.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AdapterRequirement {
    pub name: String,
    /// 0 for any version.
    pub version: u32,
}

/// Request for a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitRequest {
    pub id: PermitId,
    /// Name of the request in the engine's reports.
    pub request: String,
    pub adapter: Option<AdapterRequirement>,
    /// 0 is the most urgent.
    pub priority: u8,
    pub prompt_tokens: u32,
    /// Expected length of the answer.
    pub output_tokens: u32,
    /// The request is on time if it begins by then.
    pub objective: units::Timestamp,
    /// The caller leaves if the request has not begun by then.
    pub start_deadline: units::Timestamp,
    /// The request is of no use to its caller if it ends later.
    pub deadline: units::Timestamp,
}

/// Reason why there is no permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitRefusal {
    /// The prompts ahead take longer than the request can wait.
    Backlog,
    /// All slots are taken by adapters in use.
    Slots,
    /// The adapter did not arrive in time.
    Late,
    /// The engine restarted or cannot be reached.
    Engine,
}

/// Outcome of a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitOutcome {
    /// The adapter's version in the slot, if the request names an adapter.
    Granted { version: Option<u32> },
    Refused {
        reason: PermitRefusal,
        retry_after: time::Duration,
    },
}

impl PermitOutcome {
    /// Refusal with the time after which the caller should come back.
    #[must_use]
    pub const fn refused(reason: PermitRefusal, retry_after: time::Duration) -> Self {
        Self::Refused {
            reason,
            retry_after,
        }
    }
}

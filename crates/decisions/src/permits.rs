//! Requests for permits at an engine and their outcomes.
//!
//! A permit allows one request to start at the engine and pins its adapter there.

use std::time;

use crate::units;

/// Identity of the permit of one request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PermitId {
    /// Incarnation of the entry.
    pub entry: u64,
    pub number: u64,
}

/// Adapter and the minimum version that a request needs.
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
    /// Identifier of the request in the engine's reports.
    pub request: String,
    pub adapter: Option<AdapterRequirement>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Hash of the name of the caller's organisation, if callers have one.
    pub organisation: Option<u64>,
    /// Ids of its prompt parts that other requests may share, and of the request itself, in this
    /// order.
    pub suspects: Vec<u64>,
    pub prompt_tokens: u32,
    /// Expected length of the response.
    pub output_tokens: u32,
    /// Latency target: the request is on time if it starts by then.
    pub objective: units::Timestamp,
    /// The caller disconnects if the request has not started by then.
    pub start_deadline: units::Timestamp,
    /// A response that ends later is of no use to the caller.
    pub deadline: units::Timestamp,
}

/// Reason why a permit was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitRefusal {
    /// The prefill of the prompts ahead takes longer than the request can wait.
    Backlog,
    /// All adapter slots hold pinned adapters.
    Slots,
    /// The adapter was not loaded in time.
    Late,
    /// The engine restarted or cannot be reached.
    Engine,
    /// The base model will be loaded too late.
    Model,
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
    /// Refusal with the time after which the caller should retry.
    #[must_use]
    pub const fn refused(reason: PermitRefusal, retry_after: time::Duration) -> Self {
        Self::Refused {
            reason,
            retry_after,
        }
    }
}

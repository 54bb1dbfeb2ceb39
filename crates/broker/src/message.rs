//! Messages between entries and brokers.

use std::time;

use decisions::permits;
use serde::{Deserialize, Serialize};

/// Incarnation of an engine as the store lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineIdentity {
    pub id: String,
    /// Start of the engine, in Unix milliseconds.
    pub incarnation: u64,
}

/// Size of an engine, from the configuration in force at the entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCapacity {
    pub adapter_slots: u32,
    pub batch_slots: u32,
}

/// Adapter that a request needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterRequirement {
    pub name: String,
    /// Lowest version that will do; 0 for any.
    pub version: u32,
}

/// Engine with what it is to hold, as the configuration in force at the entry says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineSpec {
    pub identity: EngineIdentity,
    pub capacity: EngineCapacity,
    /// Base model.
    pub model: String,
}

/// Request for a place at an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitCall {
    /// Incarnation of the entry.
    pub entry: u64,
    pub number: u64,
    pub engine: EngineSpec,
    /// Name of the request in the engine's reports.
    pub request: String,
    pub adapter: Option<AdapterRequirement>,
    /// 0 is the most urgent.
    pub priority: u8,
    pub prompt_tokens: u32,
    /// Expected length of the answer.
    pub output_tokens: u32,
    /// Time by which the request must begin to be on time.
    pub objective: time::Duration,
    /// Time by which it must begin, because its caller leaves otherwise.
    pub start_deadline: time::Duration,
    /// Time by which its answer must have ended.
    pub deadline: time::Duration,
    /// Places that the entry gives up.
    pub released: Vec<u64>,
}

/// Reason why there is no place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    Backlog,
    AdapterSlots,
    AdapterLate,
    EngineUnreachable,
    /// The broker stands beside another incarnation of the engine.
    EngineReplaced,
}

/// Answer to a request for a place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitDecision {
    Granted {
        /// Version of the adapter in its slot.
        version: Option<u32>,
    },
    Refused {
        reason: RefusalReason,
        retry_after: time::Duration,
    },
}

/// State of an engine, with the places that are taken at it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineView {
    pub incarnation: u64,
    /// The engine holds its base model.
    pub has_model: bool,
    /// Name and version of the adapters in slots.
    pub loaded: Vec<(String, u32)>,
    /// Names of adapters on their way into slots.
    pub loading: Vec<String>,
    /// Names of adapters that the engine held recently.
    pub recent: Vec<String>,
    /// Time until a slot can take a further adapter.
    pub slot_wait: time::Duration,
    /// Time until the engine would begin another prompt.
    pub backlog: time::Duration,
    pub running: u32,
    /// Entries that use this broker.
    pub entries: u32,
}

/// Reply to a request for a place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitReply {
    pub decision: PermitDecision,
    pub view: EngineView,
}

/// Heartbeat of an entry, which also gives up places.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatCall {
    pub entry: u64,
    pub engine: EngineSpec,
    pub released: Vec<u64>,
}

impl RefusalReason {
    /// Label in logs and counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Backlog => "backlog",
            Self::AdapterSlots => "adapter_slots",
            Self::AdapterLate => "adapter_late",
            Self::EngineUnreachable => "engine_unreachable",
            Self::EngineReplaced => "engine_replaced",
        }
    }
}

impl From<permits::PermitRefusal> for RefusalReason {
    fn from(reason: permits::PermitRefusal) -> Self {
        match reason {
            permits::PermitRefusal::Backlog => Self::Backlog,
            permits::PermitRefusal::Slots => Self::AdapterSlots,
            permits::PermitRefusal::Late => Self::AdapterLate,
            permits::PermitRefusal::Engine => Self::EngineUnreachable,
        }
    }
}

impl From<permits::PermitOutcome> for PermitDecision {
    fn from(outcome: permits::PermitOutcome) -> Self {
        match outcome {
            permits::PermitOutcome::Granted { version } => Self::Granted { version },
            permits::PermitOutcome::Refused {
                reason,
                retry_after,
            } => Self::Refused {
                reason: reason.into(),
                retry_after,
            },
        }
    }
}

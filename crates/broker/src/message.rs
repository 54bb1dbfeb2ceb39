//! Messages between entries and brokers.

use std::{net, time};

use decisions::{crash_log, crash_relay, engine_speed, permits, prompt_quarantine, units};
use serde::{Deserialize, Serialize};

/// Id and incarnation of an engine, as listed in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineIdentity {
    pub id: String,
    /// Start of the engine, in Unix milliseconds.
    pub incarnation: u64,
}

impl EngineIdentity {
    /// Whether it is known to be of an earlier incarnation. A record may lack the incarnation.
    #[must_use]
    pub fn is_older_than(&self, incarnation: u64) -> bool {
        self.incarnation != 0 && self.incarnation < incarnation
    }
}

/// Capacity of an engine, from the current configuration of the entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCapacity {
    pub adapter_slots: u32,
    pub batch_slots: u32,
}

/// Adapter that a request needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterRequirement {
    pub name: String,
    /// Minimum version; 0 for any.
    pub version: u32,
}

/// Engine with its capacity and base model, from the current configuration of the entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineSpec {
    pub identity: EngineIdentity,
    pub capacity: EngineCapacity,
    /// Base model.
    pub model: String,
    /// Usual time in which an engine loads it, if known.
    pub model_load_time: Option<time::Duration>,
}

/// Request for a permit to start a request at an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitCall {
    /// Incarnation of the entry.
    pub entry: u64,
    pub number: u64,
    pub engine: EngineSpec,
    /// Id of the request in the engine's reports.
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
    /// Time until the request must start to meet its latency objective.
    pub objective: time::Duration,
    /// Time until it must start, because its caller disconnects otherwise.
    pub start_deadline: time::Duration,
    /// Time until its response must be complete.
    pub deadline: time::Duration,
    /// Permits that the entry releases.
    pub released: Vec<u64>,
    /// Hash of the engine's adapters that the entry knows.
    pub known_adapters: Option<u64>,
}

impl PermitCall {
    /// Request for the permit `id`, received at `now`.
    #[must_use]
    pub fn into_request(
        self,
        id: permits::PermitId,
        now: units::Timestamp,
    ) -> permits::PermitRequest {
        permits::PermitRequest {
            id,
            adapter: self.adapter.map(|adapter| permits::AdapterRequirement {
                name: adapter.name,
                version: adapter.version,
            }),
            request: self.request,
            priority: self.priority,
            organisation: self.organisation,
            suspects: self.suspects,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            objective: now + self.objective,
            start_deadline: now + self.start_deadline,
            deadline: now + self.deadline,
        }
    }
}

/// Reason why a permit is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    Backlog,
    AdapterSlots,
    AdapterLate,
    EngineUnreachable,
    /// The broker serves a newer incarnation of the engine.
    EngineReplaced,
    /// The base model will be loaded too late.
    ModelLate,
}

/// Decision on a request for a permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitDecision {
    Granted {
        /// Version of the adapter that is loaded.
        version: Option<u32>,
    },
    Refused {
        reason: RefusalReason,
        retry_after: time::Duration,
    },
}

/// Adapters of an engine. They change with each load, much less often than the rest of its state.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct EngineAdapters {
    /// Name and version of the loaded adapters.
    pub loaded: Vec<(String, u32)>,
    /// Names of adapters that are being loaded.
    pub loading: Vec<String>,
    /// Names of adapters that were loaded recently.
    pub recent: Vec<String>,
}

/// Crash of the engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Incarnation that crashed.
    pub incarnation: u64,
    pub age: time::Duration,
    /// Parts of the prompts that the engine was about to start.
    pub suspects: Vec<crash_log::SuspectPart>,
}

/// Suspects of a crash that have started at other engines since.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClearedSuspects {
    /// Incarnation that crashed.
    pub incarnation: u64,
    pub parts: Vec<u64>,
}

/// State of an engine, with its active permits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineView {
    pub incarnation: u64,
    /// The base model is loaded or expected; the backlog includes the wait for it.
    pub has_model: bool,
    /// Hash of the adapters.
    pub adapters_hash: u64,
    /// Omitted if the entry knows the adapters of this hash.
    pub adapters: Option<EngineAdapters>,
    /// Time until a slot is free for another adapter.
    pub slot_wait: time::Duration,
    /// Time until the engine could start another prompt.
    pub backlog: time::Duration,
    /// Speed of the engine, apart from its load.
    pub token_times: engine_speed::TokenTimes,
    pub running: u32,
    /// Entries that use this broker.
    pub entries: u32,
    pub evidence: CrashEvidence,
}

/// What entries need in order to find the cause of crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashEvidence {
    /// Recent crashes of the broker's engine.
    pub crashes: Vec<CrashReport>,
    /// Requests and prompt parts that other entries keep from replicas.
    pub blocked_parts: Vec<u64>,
    /// Recent crashes of replicas without a broker, as entries have reported.
    pub observed_crashes: Vec<ObservedCrash>,
}

impl CrashEvidence {
    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Crash of a replica without a broker, as an entry knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservedCrash {
    pub address: net::SocketAddr,
    /// Number that differs between the starts at an address.
    pub incarnation: u64,
    pub age: time::Duration,
    /// Requests that were open at the replica.
    pub suspects: Vec<crash_log::SuspectPart>,
}

impl ObservedCrash {
    /// Message about a crash.
    #[must_use]
    pub fn new(found: &crash_relay::ReplicaCrash, now: units::Timestamp) -> Self {
        Self {
            address: found.address,
            incarnation: found.crash.incarnation,
            age: now.since(found.crash.at),
            suspects: found.crash.suspects.clone(),
        }
    }

    /// Crash that the message is about.
    #[must_use]
    pub fn into_crash(self, now: units::Timestamp) -> crash_relay::ReplicaCrash {
        crash_relay::ReplicaCrash {
            address: self.address,
            crash: crash_log::EngineCrash {
                incarnation: self.incarnation,
                at: now.saturating_sub(self.age),
                suspects: self.suspects,
            },
        }
    }
}

/// Reply to a request for a permit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitReply {
    pub decision: PermitDecision,
    pub view: EngineView,
}

/// Heartbeat of an entry, which also releases permits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatCall {
    pub entry: u64,
    pub engine: EngineSpec,
    pub released: Vec<u64>,
    /// Hash of the engine's adapters that the entry knows.
    pub known_adapters: Option<u64>,
    pub quarantine: QuarantineReport,
}

/// What an entry has found out about crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineReport {
    /// Suspects of the engine's crashes that the entry knows to be sound.
    pub cleared: Vec<ClearedSuspects>,
    /// Requests and prompt parts that the entry keeps from replicas because of the crashes that it
    /// knows.
    pub blocked_parts: Vec<u64>,
    /// Recent crashes of replicas without a broker.
    pub observed_crashes: Vec<ObservedCrash>,
}

impl From<prompt_quarantine::ClearedSuspects> for ClearedSuspects {
    fn from(cleared: prompt_quarantine::ClearedSuspects) -> Self {
        Self {
            incarnation: cleared.incarnation,
            parts: cleared.parts,
        }
    }
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
            Self::ModelLate => "model_late",
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
            permits::PermitRefusal::Model => Self::ModelLate,
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

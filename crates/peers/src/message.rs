//! Messages between entries and agents.

use std::{net, time};

use decisions::{ids, units};
use serde::{Deserialize, Serialize};

use crate::report_update;

/// Version of the messages; peers with different versions refuse each other's sessions.
pub const PROTOCOL_VERSION: u32 = 3;
/// Longest time that an agent holds a poll without output.
pub const MAX_POLL_WAIT: time::Duration = time::Duration::from_millis(500);
/// Time without a message after which a connection is replaced and a session is suspended. A
/// suspended session accepts no dispatch until its entry polls again.
pub const SESSION_SUSPEND_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time without a poll after which a session is closed and its streams are cancelled.
pub const SESSION_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Unconsumed stream parts at which the agent stops reading from the engine.
pub const STREAM_WINDOW: u64 = 256;

/// First message of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    pub protocol: u32,
    pub entry: ids::Incarnation,
    pub data_centre: String,
}

/// Reply to [`Hello`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HelloReply {
    Welcome(Welcome),
    /// The agent has another protocol version.
    ProtocolMismatch {
        agent_protocol: u32,
    },
    /// The agent is draining and accepts no new sessions.
    Draining,
}

/// Session granted by an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Welcome {
    pub agent: ids::Incarnation,
    pub session: ids::SessionId,
    pub data_centre: String,
    pub report: LoadReport,
}

/// Kind of work in a dispatch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum DispatchWork {
    /// Body of a completion or chat request in JSON; the agent sets `model` and `stream`.
    Completion {
        route: CompletionRoute,
        base_model: String,
        adapter: ids::AdapterRef,
        body: Vec<u8>,
    },
    /// Call of a plain service.
    Service {
        service: String,
        method: String,
        path: String,
        content_type: Option<String>,
        body: Vec<u8>,
    },
}

/// `OpenAI` route of a completion.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CompletionRoute {
    Completions,
    ChatCompletions,
}

/// One request sent to an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Dispatch {
    pub session: ids::SessionId,
    pub agent: ids::Incarnation,
    pub request: ids::RequestId,
    /// Replica behind the agent that the entry chose.
    pub replica: u16,
    pub priority: units::Priority,
    pub operator: String,
    /// Weight of the operator relative to others of the same priority.
    pub operator_weight: u32,
    /// Hash of the start of the prompt, to group requests with the same cached prefix.
    pub prefix: u64,
    /// Time left until the first token or the service's response is due.
    pub time_left: time::Duration,
    /// Whether the work is safe to run more than once.
    pub repeatable: bool,
    /// Keeps the complete response for 10 min, for callers that repeat an idempotency key.
    pub keep_response: bool,
    pub work: DispatchWork,
}

/// Reply to [`Dispatch`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum DispatchReply {
    Accepted,
    /// The request did not run and will not.
    Refused {
        reason: RefusalReason,
        retry_after: time::Duration,
    },
    /// The id was already dispatched; its stream continues.
    AlreadyKnown,
}

/// Reason why an agent refuses a request; the request has not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    AdapterUnavailable,
    Cancelled,
    DeadlineUnreachable,
    Draining,
    QueueFull,
    SessionClosed,
    Superseded,
    UnknownService,
    WrongBaseModel,
    WrongIncarnation,
}

/// Progress of an entry on one stream. Both numbers are the index of the next part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamAck {
    pub request: ids::RequestId,
    /// Next part that the entry has not received.
    pub received: u64,
    /// Next part that the caller has not consumed; advances the stream's window.
    pub consumed: u64,
    /// Whether the caller has disconnected, so that the stream no longer waits for it.
    pub is_closed: bool,
}

/// Heartbeat of an entry that fetches the output of its streams.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Poll {
    pub session: ids::SessionId,
    pub acks: Vec<StreamAck>,
    pub wait: time::Duration,
    /// Sequence of the load report that the entry holds, the base of the next update.
    pub base_report: u64,
    /// Shortest time between two load reports that the entry requests.
    pub report_interval: time::Duration,
    pub configuration_version: u64,
    /// Load demand of the other agents, as this entry knows it.
    pub demand: PeerDemand,
}

/// Adapter loads that are waiting at other agents, as known to one entry.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerDemand {
    /// Adapters waiting for a load at all other agents.
    pub waiting: u32,
    /// Agents that the entry knows, including the polled one.
    pub agents: u32,
    /// Age of the oldest report in `waiting`.
    pub age: time::Duration,
}

/// Reply to [`Poll`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PollReply {
    Events {
        events: Vec<StreamEvent>,
        report: Option<report_update::ReportUpdate>,
        configuration_version: u64,
    },
    /// The session is unknown or closed; a new `hello` is needed.
    SessionClosed,
}

/// One part of one stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamEvent {
    pub request: ids::RequestId,
    /// Position of the part in its stream, from 0.
    pub index: u64,
    pub part: StreamPart,
}

/// Part of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamPart {
    /// Status and content type of a service's response.
    Head {
        status: u16,
        content_type: Option<String>,
    },
    /// Generated text.
    Text { text: String, tokens: u32 },
    /// Bytes of a service's response.
    Bytes(Vec<u8>),
    /// End of the response.
    Finished {
        finish_reason: Option<String>,
        prompt_tokens: u32,
        completion_tokens: u32,
    },
    /// The response ended early.
    Failed(StreamFailure),
}

/// Failure of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamFailure {
    pub outcome: RunOutcome,
    pub reason: FailureReason,
    pub message: String,
}

/// Whether a failed request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    NotRun,
    Unknown,
    Failed,
}

/// Reason for a failed stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    AdapterUnavailable,
    Cancelled,
    DeadlineUnreachable,
    EndpointFailed,
    EndpointRefused,
    WrongAdapter,
}

/// Requests that a cancel may stop.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CancelScope {
    /// The sender's own request, in any state.
    Own,
    /// A request of another entry's claim. It gets a tombstone only if the agent does not know it,
    /// because an accepted one already has a caller that reads its response.
    UnknownOnly,
}

/// Reply to a cancel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CancelReply {
    /// A tombstone prevents a later start.
    NotRun,
    Running,
    Finished,
    /// The agent has another incarnation than the one addressed.
    WrongIncarnation,
}

/// Load of all replicas behind one agent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Increases with every report of one incarnation.
    pub sequence: u64,
    pub leaving: bool,
    pub replicas: Vec<ReplicaReport>,
    pub services: Vec<String>,
    /// Adapters waiting for a load at this agent.
    pub waiting_loads: u32,
}

/// Load of one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaReport {
    pub replica: u16,
    pub base_model: String,
    pub ready: bool,
    pub adapter_slots: u16,
    /// Largest batch of the engine, in requests.
    pub batch_limit: u16,
    pub running: u16,
    /// Requests waiting for a batch slot or for a load.
    pub queued: u16,
    /// Predicted wait of a new request by priority from low to high, in milliseconds.
    pub wait_millis: [u32; 3],
    /// Adapters that are loaded, sorted.
    pub adapters: Vec<ids::AdapterId>,
    /// Adapters that are being loaded or wait for their load, sorted.
    pub loading: Vec<ids::AdapterId>,
}

/// Configuration for a peer that starts while the log is unavailable.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigurationImage {
    pub version: u64,
    /// Offset of the first record that the image does not include.
    pub as_of: u64,
    /// Serialized state of the `operators` package, in JSON.
    pub state: Vec<u8>,
}

/// Address of an agent as an entry knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AgentAddress(pub net::SocketAddr);

//! Interface to the HTTP protocol between callers, gateway and replicas.

use std::{net, time};

use http::{HeaderMap, request, response};
use snafu::Snafu;

use crate::organisations;

/// Parameters of a text generation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GenerationRequest {
    pub model: String,
    pub adapter: Option<String>,
    /// Ids of the prompt parts that other requests may share, in order
    /// ([`decisions::suspects::prompt_part`]).
    pub prompt_parts: Vec<u64>,
    /// Hash of the whole prompt, also of the parts that belong to the request alone; `None` if it is
    /// not stated.
    pub prompt_hash: Option<u64>,
    pub prompt_tokens: u32,
    pub max_output_tokens: u32,
    /// Caller's estimate of the response length, often wrong.
    pub expected_tokens: Option<u32>,
}

impl GenerationRequest {
    /// Expected length of the response.
    #[must_use]
    pub fn expected_output_tokens(&self) -> u32 {
        let expected = self.expected_tokens.unwrap_or(self.max_output_tokens);
        expected.min(self.max_output_tokens)
    }
}

/// Key of a caller, which is kept as its digest only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallerCredential {
    #[default]
    Missing,
    /// The header is repeated, empty or not text.
    Malformed,
    Key(organisations::KeyDigest),
}

/// Caller's request, decoded from its head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// Id of this attempt of the caller.
    pub id: String,
    pub host: String,
    /// Time from now until the caller stops waiting.
    pub deadline: Option<time::Duration>,
    pub generation: Option<GenerationRequest>,
    /// Id of the event after which a stream is resumed.
    pub resume_after: Option<u64>,
    /// Attempt of the caller that brought the first event of the stream that it takes up.
    pub origin: Option<String>,
    pub credential: CallerCredential,
    /// Tokens of prompt and response together, if the caller declares them.
    pub declared_tokens: Option<u64>,
}

/// Error in the head of a request.
#[derive(Debug, Snafu)]
pub enum HeadError {
    #[snafu(display("the request has no id; send one with each attempt"))]
    MissingId,
    #[snafu(display("the request has no host; send one Host header"))]
    MissingHost,
    #[snafu(display("the header {name} is invalid or repeated; send one valid value"))]
    Invalid { name: String },
}

/// Values that the gateway adds to a request to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardOptions<'a> {
    /// Replica that must execute the request; any other one must refuse it.
    pub replica: &'a str,
    pub time_left: time::Duration,
    /// Version of the adapter that must be used.
    pub adapter_version: Option<u32>,
    /// 0 is the most urgent.
    pub priority: Option<u8>,
    pub resume_after: Option<u64>,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
}

/// Classification of a replica's response by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// Signed success of the replica.
    Succeeded,
    /// Failure reported by the replica.
    Failed,
    /// The replica states that the request did not run.
    NotRun,
    /// Another replica has the address, or the adapter's version differs.
    Misdirected,
    /// The response belongs to another request or does not come from a replica.
    Unverified,
}

/// Load that a replica reports with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSample {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Current duration of work, in percent of the usual duration.
    pub slowdown_percent: u32,
}

/// What a replica says about itself with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaNotice {
    pub is_leaving: bool,
    /// Time for which it wants no requests from this gateway.
    pub pause: Option<time::Duration>,
}

/// Encoding of requests and responses as HTTP headers.
pub trait WireProtocol: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// [`HeadError`] when a header is missing, repeated or invalid.
    fn decode(&self, head: &request::Parts) -> Result<CallerRequest, HeadError>;

    /// Headers of a request to a replica.
    fn forwarded_headers(&self, caller: &HeaderMap, options: &ForwardOptions<'_>) -> HeaderMap;

    /// Classifies the response to a request.
    fn classify(&self, head: &response::Parts, request: &str) -> ResponseClass;

    /// Load that a response reports.
    fn load(&self, head: &HeaderMap) -> Option<LoadSample>;

    /// What the replica says about itself with a response.
    fn notice(&self, head: &response::Parts) -> ReplicaNotice;

    /// Headers of a replica's response to the caller.
    fn returned_headers(&self, replica: &HeaderMap) -> HeaderMap;

    /// Headers of a response that the gateway generates itself.
    fn local_reply_headers(&self, request: &str, retry_after: Option<time::Duration>) -> HeaderMap;

    /// Whether a path on the readiness listener is the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;
}

/// Address of a replica's broker, on the same host.
#[must_use]
pub fn broker_address(replica: net::SocketAddr, port: u16) -> net::SocketAddr {
    net::SocketAddr::new(replica.ip(), port)
}

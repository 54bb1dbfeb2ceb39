//! What the gateway needs to know of the wire between callers and replicas.

use std::{net, time};

use http::{HeaderMap, request, response};
use snafu::Snafu;

/// Request for generated text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GenerationRequest {
    pub model: String,
    pub adapter: Option<String>,
    pub prompt_tokens: u32,
    pub max_output_tokens: u32,
    /// Length of the answer that the caller expects, often wrong.
    pub expected_tokens: Option<u32>,
}

impl GenerationRequest {
    /// Expected length of the answer.
    #[must_use]
    pub fn expected_output_tokens(&self) -> u32 {
        let expected = self.expected_tokens.unwrap_or(self.max_output_tokens);
        expected.min(self.max_output_tokens)
    }
}

/// Caller's request, decoded from its head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// Id of this attempt of the caller.
    pub id: String,
    pub host: String,
    /// Time that the caller will wait from now.
    pub deadline: Option<time::Duration>,
    pub generation: Option<GenerationRequest>,
    /// Event after which the caller resumes a stream.
    pub resume_after: Option<u64>,
}

/// Reason why a head cannot be decoded.
#[derive(Debug, Snafu)]
pub enum HeadError {
    #[snafu(display("the request has no id; send one in each attempt"))]
    MissingId,
    #[snafu(display("the request names no host; send one Host header"))]
    MissingHost,
    #[snafu(display("the header {name} cannot be read; send a valid value once"))]
    Invalid { name: String },
}

/// What the gateway adds to a request that it sends to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardOptions<'a> {
    /// Replica that is to run the request; any other one must refuse it.
    pub replica: &'a str,
    pub time_left: time::Duration,
    /// Version of the adapter that must run it.
    pub adapter_version: Option<u32>,
    /// 0 is the most urgent.
    pub priority: Option<u8>,
    pub resume_after: Option<u64>,
}

/// What the head of a replica's answer says of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The answer is the replica's and signed, with a success.
    Succeeded,
    /// The answer is the replica's and signed, with a failure.
    Failed,
    /// The replica states that the request did not run.
    NotExecuted,
    /// Another replica has the address, or the adapter's version is another one.
    Misdirected,
    /// The answer belongs to another request or is not one of a replica.
    Unverified,
}

/// Load that a replica tells with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSample {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Duration of work now, in hundredths of the usual one.
    pub slowdown_percent: u32,
}

/// Names and values on the wire.
pub trait WireProtocol: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// [`HeadError`] when the head lacks a part or has an unreadable one.
    fn decode(&self, head: &request::Parts) -> Result<CallerRequest, HeadError>;

    /// Headers of a request as it is sent to a replica.
    fn forwarded_headers(&self, caller: &HeaderMap, options: &ForwardOptions<'_>) -> HeaderMap;

    /// What an answer says of the run of a request.
    fn classify(&self, head: &response::Parts, request: &str) -> ResponseClass;

    /// Load that an answer tells.
    fn load(&self, head: &HeaderMap) -> Option<LoadSample>;

    /// Headers of an answer as the caller gets them.
    fn returned_headers(&self, replica: &HeaderMap) -> HeaderMap;

    /// Headers of an answer of the gateway itself.
    fn local_reply_headers(&self, request: &str, retry_after: Option<time::Duration>) -> HeaderMap;

    /// Whether a request on the readiness address asks for the readiness.
    fn is_readiness_path(&self, path: &str) -> bool;
}

/// Address of a replica's broker.
#[must_use]
pub fn broker_address(replica: net::SocketAddr, port: u16) -> net::SocketAddr {
    net::SocketAddr::new(replica.ip(), port)
}

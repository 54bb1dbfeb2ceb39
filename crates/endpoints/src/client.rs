//! Interface between an agent and a model engine.

use std::time;

use decisions::{ids, units};
use futures::{future, stream};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Stream of generated tokens.
pub type TokenStream = stream::BoxStream<'static, Result<TokenEvent, EndpointError>>;

/// Reason why a call to an endpoint failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EndpointError {
    #[snafu(display(
        "cannot connect to {endpoint}: {message}; check that the endpoint is running"
    ))]
    Unreachable { endpoint: String, message: String },
    #[snafu(display(
        "connection to {endpoint} was lost before the response was complete: {message}"
    ))]
    Interrupted { endpoint: String, message: String },
    #[snafu(display("{endpoint} refused the call with status {status}: {message}"))]
    Refused {
        endpoint: String,
        status: u16,
        message: String,
    },
    #[snafu(display(
        "{endpoint} has seen fencing number {current}; another agent has replaced this one"
    ))]
    Fenced { endpoint: String, current: u64 },
    #[snafu(display("invalid data in the exchange with {endpoint}: {message}"))]
    Malformed { endpoint: String, message: String },
    #[snafu(display("{endpoint} used another adapter: {message}; the response is discarded"))]
    WrongAdapter { endpoint: String, message: String },
    #[snafu(display("{endpoint} did not respond within {limit:?}"))]
    Timeout {
        endpoint: String,
        limit: time::Duration,
    },
}

impl EndpointError {
    /// Whether the connection was lost; the response may be resumed on a new one.
    #[must_use]
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Interrupted { .. } | Self::Timeout { .. })
    }

    /// Whether the endpoint certainly did not execute the call.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Fenced { .. } => true,
            // Among the server errors, only 503 states that the call was not accepted. A status below
            // 300 is no refusal.
            Self::Refused { status, .. } => matches!(status, 300..500 | 503),
            Self::Interrupted { .. }
            | Self::Malformed { .. }
            | Self::Timeout { .. }
            | Self::WrongAdapter { .. } => false,
        }
    }
}

/// Call that generates text with one adapter of an engine.
#[derive(Clone, Debug)]
pub struct GenerationCall {
    pub request: ids::RequestId,
    /// Path below the engine's address, for example `/v1/completions`.
    pub path: &'static str,
    pub adapter: ids::AdapterRef,
    pub priority: units::Priority,
    /// Caller's JSON object; `model` and `stream` are replaced.
    pub body: Vec<u8>,
}

/// Part of an engine's response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenEvent {
    /// Text of the next `tokens` tokens.
    Text { text: String, tokens: u32 },
    /// End of the response.
    Finished {
        finish_reason: Option<String>,
        prompt_tokens: u32,
        completion_tokens: u32,
    },
}

/// State that an engine reports; it may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Changes when the engine restarts.
    pub epoch: u64,
    pub base_model: String,
    pub running: u16,
    pub queued: u16,
    /// Highest fencing number seen.
    pub fencing: u64,
    /// Names of loaded adapters.
    pub adapters: Vec<String>,
}

/// One model engine.
pub trait ModelEngine: Send + Sync {
    /// Fetches the reported state.
    fn status(&self) -> future::BoxFuture<'_, Result<EngineStatus, EndpointError>>;

    /// Commands the engine to load an adapter version.
    fn load_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>>;

    /// Commands the engine to unload an adapter version.
    fn unload_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>>;

    /// Starts a generation. When the stream is dropped, it continues until [`Self::cancel`] or
    /// until it has had no reader for the engine's timeout.
    fn generate(
        &self,
        generation: GenerationCall,
    ) -> future::BoxFuture<'_, Result<TokenStream, EndpointError>>;

    /// Resumes the stream of a started generation at text event `from`.
    fn resume<'a>(
        &'a self,
        generation: &'a GenerationCall,
        from: u64,
    ) -> future::BoxFuture<'a, Result<TokenStream, EndpointError>>;

    /// Pauses a generation: its batch slot becomes free and its state is kept until
    /// [`Self::resume`] or [`Self::cancel`].
    fn preempt(&self, request: ids::RequestId) -> future::BoxFuture<'_, Result<(), EndpointError>>;

    /// Cancels a generation.
    fn cancel(&self, request: ids::RequestId) -> future::BoxFuture<'_, Result<(), EndpointError>>;
}

//! Interface of a model engine, as its agent uses it.

use std::time;

use decisions::{ids, units};
use futures::{future, stream};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Stream of generated tokens.
pub type TokenStream = stream::BoxStream<'static, Result<TokenEvent, EndpointError>>;

/// Reason why an endpoint did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EndpointError {
    #[snafu(display("cannot reach {endpoint}: {message}; check that the endpoint runs"))]
    Unreachable { endpoint: String, message: String },
    #[snafu(display("{endpoint} broke off its answer: {message}"))]
    Interrupted { endpoint: String, message: String },
    #[snafu(display("{endpoint} refused with status {status}: {message}"))]
    Refused {
        endpoint: String,
        status: u16,
        message: String,
    },
    #[snafu(display(
        "{endpoint} holds fencing number {current}; another agent has replaced this one"
    ))]
    Fenced { endpoint: String, current: u64 },
    #[snafu(display("{endpoint} answered in an unknown form: {message}"))]
    Malformed { endpoint: String, message: String },
    #[snafu(display("{endpoint} used another adapter: {message}; the answer is dropped"))]
    WrongAdapter { endpoint: String, message: String },
    #[snafu(display("{endpoint} gave no answer within {limit:?}"))]
    Timeout {
        endpoint: String,
        limit: time::Duration,
    },
}

impl EndpointError {
    /// Whether the connection was lost, so that the answer may continue on a new one.
    #[must_use]
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Interrupted { .. } | Self::Timeout { .. })
    }

    /// Whether the endpoint certainly did not start the work.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Fenced { .. } => true,
            // Only 503 among the server errors states that the work was not accepted.
            Self::Refused { status, .. } => *status < 500 || *status == 503,
            Self::Interrupted { .. }
            | Self::Malformed { .. }
            | Self::Timeout { .. }
            | Self::WrongAdapter { .. } => false,
        }
    }
}

/// Work for an engine.
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

/// Part of an engine's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenEvent {
    /// Text of `tokens` tokens.
    Text { text: String, tokens: u32 },
    /// End of the answer.
    Finished {
        finish_reason: Option<String>,
        prompt_tokens: u32,
        completion_tokens: u32,
    },
}

/// State that an engine reports, possibly late.
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
    /// Reads the reported state.
    fn status(&self) -> future::BoxFuture<'_, Result<EngineStatus, EndpointError>>;

    /// Orders the engine to load an adapter version.
    fn load_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>>;

    /// Orders the engine to drop an adapter version.
    fn unload_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>>;

    /// Starts a generation. It continues when the stream is dropped, until [`Self::cancel`] or
    /// until the engine gives up waiting for a reader.
    fn generate(
        &self,
        generation: GenerationCall,
    ) -> future::BoxFuture<'_, Result<TokenStream, EndpointError>>;

    /// Continues the stream of a started generation at text event `from`.
    fn resume<'a>(
        &'a self,
        generation: &'a GenerationCall,
        from: u64,
    ) -> future::BoxFuture<'a, Result<TokenStream, EndpointError>>;

    /// Pauses a generation: its place in the batch becomes free and its state is kept until
    /// [`Self::resume`] or [`Self::cancel`].
    fn preempt(&self, request: ids::RequestId) -> future::BoxFuture<'_, Result<(), EndpointError>>;

    /// Stops a generation.
    fn cancel(&self, request: ids::RequestId) -> future::BoxFuture<'_, Result<(), EndpointError>>;
}

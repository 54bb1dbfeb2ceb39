//! Engine as its broker sees it.

use decisions::engine_status;
use futures::future::BoxFuture;
use snafu::Snafu;

/// Report of an engine to the process beside it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    pub status: engine_status::EngineStatus,
    /// Orders that the engine has accepted since its start.
    pub sequence: u64,
}

/// Order with what keeps it from being carried out at the wrong time or place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FencedCommand {
    pub command: engine_status::EngineCommand,
    pub model: String,
    /// Engine incarnation that is to carry it out; any other one must refuse it.
    pub engine: String,
    /// Number of accepted orders at which it may be carried out.
    pub sequence: u64,
    /// Instance that gives the order.
    pub holder: String,
    pub fencing_token: u64,
}

/// What the engine answered to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandReply {
    /// The order is being carried out or holds already.
    Accepted,
    /// The engine will not carry it out: another order came between, or it cannot.
    Refused { status: u16 },
    /// Another engine has the address.
    OtherEngine,
}

/// Reason why the engine's answer is unknown.
#[derive(Debug, Snafu)]
pub enum EngineError {
    #[snafu(display("the engine did not answer: {message}; it is asked again"))]
    NoResponse { message: String },
    #[snafu(display("the engine's answer cannot be read: {message}"))]
    Unreadable { message: String },
}

/// Calls to the engine of an instance.
pub trait EngineControl: Send + Sync {
    /// Reads the engine's report of a model.
    fn fetch_report(&self, model: &str) -> BoxFuture<'_, Result<EngineReport, EngineError>>;

    /// Gives an order.
    fn send_command(
        &self,
        command: FencedCommand,
    ) -> BoxFuture<'_, Result<CommandReply, EngineError>>;
}

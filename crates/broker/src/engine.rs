//! Interface of a broker to its engine.

use decisions::engine_status;
use futures::future::BoxFuture;
use snafu::Snafu;

/// Status of an engine, as reported to its broker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    pub status: engine_status::EngineStatus,
    /// Commands that the engine has accepted since its start.
    pub sequence: u64,
}

/// Command with the preconditions that keep a late or misdirected one from being executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FencedCommand {
    pub command: engine_status::EngineCommand,
    pub model: String,
    /// Id of the engine that must execute it; any other one must refuse it.
    pub engine: String,
    /// Number of accepted commands at which the engine may execute it.
    pub sequence: u64,
    /// Instance that sends the command.
    pub holder: String,
    pub fencing_token: u64,
}

/// Response of the engine to a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandReply {
    /// The command is being executed or already in effect.
    Accepted,
    /// Not executed: another command was accepted in between, or the engine cannot execute it.
    Refused { status: u16 },
    /// Another engine now has the address.
    OtherEngine,
}

/// Reason why the engine's response is unknown.
#[derive(Debug, Snafu)]
pub enum EngineError {
    #[snafu(display("the engine did not respond: {message}; retrying"))]
    NoResponse { message: String },
    #[snafu(display("nothing listens at the engine's address; retrying"))]
    NotListening,
    #[snafu(display("the engine's response cannot be decoded: {message}"))]
    Unreadable { message: String },
}

/// Client of the engine on an instance.
pub trait EngineControl: Send + Sync {
    /// Fetches the status of the engine and of one model.
    fn fetch_report(&self, model: &str) -> BoxFuture<'_, Result<EngineReport, EngineError>>;

    /// Sends a load or unload command.
    fn send_command(
        &self,
        command: FencedCommand,
    ) -> BoxFuture<'_, Result<CommandReply, EngineError>>;
}

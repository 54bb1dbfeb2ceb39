//! Work behind the subcommands.

use std::{io, process};

use agent::server::{AgentError, AgentServer};
use clap::ArgMatches;
use entry::server::{EntryError, EntryServer};
use snafu::{ResultExt, Snafu};
use tokio::{runtime, signal::unix};

use crate::settings;

/// Reason why a subcommand failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    #[snafu(display("{source}"))]
    Settings { source: settings::SettingsError },
    #[snafu(display("{source}"))]
    Agent { source: AgentError },
    #[snafu(display("{source}"))]
    Entry { source: EntryError },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: io::Error },
}

/// Runs the chosen subcommand.
///
/// # Errors
/// [`RunError`] with the reason and its remedy.
pub fn run(matches: &ArgMatches) -> Result<process::ExitCode, RunError> {
    let runtime = runtime::Runtime::new().context(RuntimeSnafu)?;
    match matches.subcommand() {
        Some(("entry", arguments)) => runtime.block_on(run_entry(settings_path(arguments))),
        Some(("agent", arguments)) => runtime.block_on(run_agent(settings_path(arguments))),
        _ => Ok(process::ExitCode::from(2)),
    }
}

fn settings_path(arguments: &ArgMatches) -> &str {
    arguments
        .get_one::<String>("settings")
        .map_or("", String::as_str)
}

async fn run_entry(path: &str) -> Result<process::ExitCode, RunError> {
    let settings = settings::read(path).context(SettingsSnafu)?;
    let server = EntryServer::start(settings).context(EntrySnafu)?;
    wait_for_signal().await.context(RuntimeSnafu)?;
    server.close().context(EntrySnafu)?;
    Ok(process::ExitCode::SUCCESS)
}

async fn run_agent(path: &str) -> Result<process::ExitCode, RunError> {
    let settings = settings::read(path).context(SettingsSnafu)?;
    let settings: agent::settings::AgentSettings = settings;
    let logger = telemetry::logs::stderr_logger("agent", &settings.data_centre);
    let server = AgentServer::start_with(settings, logger)
        .await
        .context(AgentSnafu)?;
    wait_for_signal().await.context(RuntimeSnafu)?;
    server.close().await;
    Ok(process::ExitCode::SUCCESS)
}

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

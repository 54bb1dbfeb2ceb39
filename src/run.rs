//! Work behind the subcommands.

use std::{io, process};

use agent::server::{AgentError, AgentServer};
use clap::ArgMatches;
use entry::server::{EntryError, EntryServer};
use snafu::{ResultExt, Snafu};
use tokio::{runtime, signal::unix};

use crate::{demo, report, settings};

/// Reason why a subcommand failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    #[snafu(display("{source}"))]
    Settings { source: settings::SettingsError },
    #[snafu(display("{source}"))]
    Agent { source: AgentError },
    #[snafu(display("{source}"))]
    Entry { source: EntryError },
    #[snafu(display("{source}"))]
    Demo { source: demo::DemoError },
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
        Some(("demo", arguments)) => runtime.block_on(run_demo(arguments)),
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
    let server = AgentServer::start(settings).await.context(AgentSnafu)?;
    wait_for_signal().await.context(RuntimeSnafu)?;
    server.close();
    Ok(process::ExitCode::SUCCESS)
}

async fn run_demo(arguments: &ArgMatches) -> Result<process::ExitCode, RunError> {
    let report = demo::run(show_progress).await.context(DemoSnafu)?;
    print_report(&report, arguments.get_flag("json"));
    Ok(exit_code(report.is_clean()))
}

fn show_progress(finished: usize, total: usize) {
    let step = (total / 10).max(1);
    if finished.is_multiple_of(step) || finished == total {
        eprintln!("{finished} of {total} requests finished");
    }
}

fn print_report(report: &report::LoadReport, is_json: bool) {
    if is_json {
        println!(
            "{}",
            serde_json::to_string_pretty(report).unwrap_or_default()
        );
    } else {
        print!("{report}");
    }
}

fn exit_code(success: bool) -> process::ExitCode {
    if success {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
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

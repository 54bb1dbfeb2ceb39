//! Execution of the subcommands.

use std::{fmt, io, net, process, time};

use agent::server::{AgentError, AgentServer};
use checks::finding::Severity;
use clap::ArgMatches;
use entry::server::{EntryError, EntryServer};
use platform::publisher;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::{runtime, signal::unix};

use crate::{client, comparison, demo, load, publish, roles, settings, stand_ins};

/// Exit code for a file with warnings.
const WARNING_EXIT_CODE: u8 = 1;
/// Exit code for an invalid or unreadable file.
const INVALID_FILE_EXIT_CODE: u8 = 2;
/// Exit code for a patch against a stale configuration version.
const STALE_BASE_EXIT_CODE: u8 = 3;

/// Reason why a subcommand failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    #[snafu(display("{source}"))]
    Settings { source: settings::SettingsError },
    #[snafu(display("{source}"))]
    Agent { source: AgentError },
    #[snafu(display("{source}"))]
    Role { source: roles::RoleError },
    #[snafu(display("{source}"))]
    Entry { source: EntryError },
    #[snafu(display("{source}"))]
    Demo { source: demo::DemoError },
    #[snafu(display("{source}"))]
    Publish { source: publish::PublishError },
    #[snafu(display("{source}"))]
    Load { source: load::LoadError },
    #[snafu(display("no response from {entry}: {message}; check the address of the entry"))]
    Status {
        entry: net::SocketAddr,
        message: String,
    },
    #[snafu(display("a stand-in cannot start: {source}; choose free ports"))]
    StandIns { source: io::Error },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: io::Error },
}

/// Runs the chosen subcommand.
///
/// # Errors
/// [`RunError`] with the reason and its remedy.
pub fn run(matches: &ArgMatches) -> Result<process::ExitCode, RunError> {
    match matches.subcommand() {
        Some(("gateway", arguments)) => {
            return roles::run_gateway(text_argument(arguments, "settings")).context(RoleSnafu);
        }
        Some(("broker", arguments)) => {
            return roles::run_broker(text_argument(arguments, "settings")).context(RoleSnafu);
        }
        _ => {}
    }
    let runtime = runtime::Runtime::new().context(RuntimeSnafu)?;
    match matches.subcommand() {
        Some(("entry", arguments)) => {
            runtime.block_on(run_entry(text_argument(arguments, "settings")))
        }
        Some(("agent", arguments)) => {
            runtime.block_on(run_agent(text_argument(arguments, "settings")))
        }
        Some(("check", arguments)) => Ok(runtime.block_on(run_check(arguments))),
        Some(("publish", arguments)) => runtime.block_on(run_publish(arguments)),
        Some(("status", arguments)) => runtime.block_on(run_status(arguments)),
        Some(("load", arguments)) => runtime.block_on(run_load(arguments)),
        Some(("stand-ins", arguments)) => runtime.block_on(run_stand_ins(arguments)),
        Some(("demo", arguments)) => runtime.block_on(run_demo(arguments)),
        _ => Ok(process::ExitCode::from(2)),
    }
}

/// Value of a required text argument.
fn text_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

/// Value of an argument that has a default.
fn argument_value<T: Clone + Send + Sync + 'static>(arguments: &ArgMatches, name: &str) -> T {
    arguments
        .get_one::<T>(name)
        .cloned()
        .expect("the argument has a default value")
}

async fn run_check(arguments: &ArgMatches) -> process::ExitCode {
    let optional = |name: &str| arguments.get_one::<String>(name).map(String::as_str);
    let request = comparison::CheckRequest {
        path: text_argument(arguments, "file"),
        against: optional("against"),
        settings: optional("settings"),
    };
    let report = match comparison::run(request).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("cowslipdeal: {error}");
            return process::ExitCode::from(INVALID_FILE_EXIT_CODE);
        }
    };
    print_report(&report, arguments.get_flag("json"));
    match report.report.severity() {
        None | Some(Severity::Note) => process::ExitCode::SUCCESS,
        Some(Severity::Warning) => process::ExitCode::from(WARNING_EXIT_CODE),
        Some(Severity::Error) => process::ExitCode::from(INVALID_FILE_EXIT_CODE),
    }
}

async fn run_publish(arguments: &ArgMatches) -> Result<process::ExitCode, RunError> {
    let request = publish::PublishRequest {
        path: text_argument(arguments, "file").to_owned(),
        base: arguments.get_one("base").copied(),
        id: arguments.get_one("id").copied(),
        log: argument_value(arguments, "log"),
        timeout: time::Duration::from_secs(argument_value(arguments, "wait")),
    };
    let result = match publish::publish(&request).await {
        Ok(result) => result,
        Err(publish::PublishError::Patch { source }) => {
            println!("{}: {source}", request.path);
            return Ok(process::ExitCode::from(INVALID_FILE_EXIT_CODE));
        }
        Err(error) => return Err(error).context(PublishSnafu),
    };
    let id = result.id;
    match result.outcome {
        publisher::PublishOutcome::Accepted { version } => {
            println!("patch {id} accepted as configuration version {version}");
            Ok(process::ExitCode::SUCCESS)
        }
        publisher::PublishOutcome::Refused { current } => {
            println!(
                "patch {id} refused: the current version is {current}; write the patch against it"
            );
            Ok(process::ExitCode::from(STALE_BASE_EXIT_CODE))
        }
        publisher::PublishOutcome::Invalid { faults } => {
            print!("patch {id} is not valid for the current configuration:\n{faults}");
            Ok(process::ExitCode::from(INVALID_FILE_EXIT_CODE))
        }
    }
}

async fn run_status(arguments: &ArgMatches) -> Result<process::ExitCode, RunError> {
    let entry: net::SocketAddr = argument_value(arguments, "entry");
    let status = client::LoadClient::new()
        .status(entry)
        .await
        .map_err(|message| RunError::Status { entry, message })?;
    println!(
        "{}",
        serde_json::to_string_pretty(&status).unwrap_or_default()
    );
    Ok(process::ExitCode::SUCCESS)
}

async fn run_load(arguments: &ArgMatches) -> Result<process::ExitCode, RunError> {
    let entries = arguments.get_many("entry").unwrap_or_default();
    let adapters: u32 = argument_value(arguments, "adapters");
    let plan = load::LoadPlan {
        entries: entries.copied().collect(),
        models: (0..adapters).map(load::adapter_name).collect(),
        requests: argument_value(arguments, "requests"),
        rate: argument_value(arguments, "rate"),
        skew: argument_value(arguments, "skew"),
        long_share: argument_value(arguments, "long-share"),
        long_factor: argument_value(arguments, "long-factor"),
        deadline: time::Duration::from_secs(argument_value(arguments, "deadline")),
        seed: u64::from(argument_value::<u32>(arguments, "seed")),
    };
    let total = plan.requests as usize;
    let report = load::run(&plan, |finished| show_progress(finished, total))
        .await
        .context(LoadSnafu)?;
    print_report(&report, arguments.get_flag("json"));
    Ok(exit_code(report.is_clean()))
}

async fn run_entry(path: &str) -> Result<process::ExitCode, RunError> {
    let settings = settings::read(path).context(SettingsSnafu)?;
    let server = EntryServer::start(settings).context(EntrySnafu)?;
    wait_for_signal().await.context(RuntimeSnafu)?;
    server.close().await.context(EntrySnafu)?;
    Ok(process::ExitCode::SUCCESS)
}

async fn run_agent(path: &str) -> Result<process::ExitCode, RunError> {
    let settings = settings::read(path).context(SettingsSnafu)?;
    let settings: agent::settings::AgentSettings = settings;
    let logger = telemetry::logs::stderr_logger("agent", &settings.data_centre);
    let server = AgentServer::start_with_logger(settings, logger)
        .await
        .context(AgentSnafu)?;
    wait_for_signal().await.context(RuntimeSnafu)?;
    server.close().await;
    Ok(process::ExitCode::SUCCESS)
}

async fn run_stand_ins(arguments: &ArgMatches) -> Result<process::ExitCode, RunError> {
    let ports = stand_ins::StandInPorts {
        engine: argument_value(arguments, "engine-port"),
        platform: argument_value(arguments, "platform-port"),
        service: argument_value(arguments, "service-port"),
    };
    let stand_ins = stand_ins::StandIns::start(ports)
        .await
        .context(StandInsSnafu)?;
    eprintln!(
        "stand-ins on 127.0.0.1: engine {}, plain service {}, platform {}; stop with Ctrl-C",
        ports.engine, ports.service, ports.platform
    );
    wait_for_signal().await.context(RuntimeSnafu)?;
    stand_ins.close().await;
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

fn print_report(report: &(impl fmt::Display + Serialize), is_json: bool) {
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

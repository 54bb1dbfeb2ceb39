//! Command line of the measurements.

use std::{fs, io, path::PathBuf, time};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{
    configuration, control, figures, measure, platform_calls, reporting, routing,
    series::{Series, number},
    sessions, tables,
};

/// Sections that can be measured alone.
const SECTIONS: [(&str, &str); 6] = [
    (
        "configuration",
        "State, snapshot, replay and patches per adapter",
    ),
    ("routing", "Routing state of an entry per replica"),
    ("tables", "Request table, claim window, queue and slots"),
    (
        "sessions",
        "Sessions between entries and agents on loopback",
    ),
    (
        "control",
        "Appends of claims and load rates under virtual time",
    ),
    (
        "platform",
        "Reads of the log and the instance list on loopback",
    ),
];

/// Result of a run, as it is written with `--json`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Measurements {
    pub series: Vec<Series>,
}

/// Reason why a run failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    #[snafu(display("the section {section} failed: {source}; check that loopback ports are free"))]
    Measure { section: String, source: io::Error },
    #[snafu(display("process {pid} cannot be watched: {source}; check that it runs"))]
    Process { pid: i32, source: procfs::ProcError },
    #[snafu(display("{source}"))]
    Derive { source: figures::MissingSeries },
    #[snafu(display("{} cannot be read or written: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("{} is no result of this program: {source}; measure again", path.display()))]
    Format {
        path: PathBuf,
        source: serde_json::Error,
    },
}

/// Argument parser of the binary.
#[must_use]
pub fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .value_name("FILE")
        .global(true)
        .value_parser(value_parser!(PathBuf))
        .help("Also writes the measured values to this file");
    let from = Arg::new("from")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Measured values of an earlier run with --json");
    let sections = SECTIONS.map(|(name, about)| Command::new(name).about(about));
    Command::new("capacity")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Measures the slopes behind docs/CAPACITY.md")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(json)
        .subcommand(Command::new("all").about("All sections and the figures at the target size"))
        .subcommand(
            Command::new("figures")
                .about("Tables of docs/CAPACITY.md from measured values")
                .arg(from),
        )
        .subcommand(process_command())
        .subcommands(sections)
}

fn process_command() -> Command {
    let pid = Arg::new("pid")
        .long("pid")
        .value_name("PID")
        .required(true)
        .value_parser(value_parser!(i32))
        .help("Process to watch");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_name("SECONDS")
        .default_value("20")
        .value_parser(value_parser!(u64))
        .help("Time to watch it");
    Command::new("process")
        .about("Processor time and resident memory of a running process")
        .arg(pid)
        .arg(seconds)
}

fn watch(arguments: &ArgMatches) -> Result<(), RunError> {
    let pid = arguments.get_one::<i32>("pid").copied().unwrap_or(0);
    let seconds = arguments.get_one::<u64>("seconds").copied();
    let period = time::Duration::from_secs(seconds.unwrap_or(1));
    let watched = measure::watch(pid, period).context(ProcessSnafu { pid })?;
    println!("processor time: {} of a core", number(watched.core));
    println!("resident: {} B", number(watched.resident));
    println!("largest resident: {} B", number(watched.largest));
    Ok(())
}

/// Runs the chosen command and prints Markdown tables.
///
/// # Errors
/// [`RunError`] when a measurement fails or a file cannot be used.
pub fn run(matches: &ArgMatches) -> Result<(), RunError> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    if name == "process" {
        return watch(arguments);
    }
    let measurements = match arguments.try_get_one::<PathBuf>("from") {
        Ok(Some(path)) => read(path)?,
        _ => measure_sections(name)?,
    };
    print!("{}", reporting::measured_tables(&measurements.series));
    if matches!(name, "all" | "figures") {
        let figures = figures::derive(&measurements.series).context(DeriveSnafu)?;
        print!("{}", reporting::figure_tables(&figures));
    }
    match arguments.get_one::<PathBuf>("json") {
        Some(path) => write(path, &measurements),
        None => Ok(()),
    }
}

/// Reads the values of an earlier run.
///
/// # Errors
/// [`RunError`] when the file cannot be read or has another format.
pub fn read(path: &PathBuf) -> Result<Measurements, RunError> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    serde_json::from_str(&text).context(FormatSnafu { path })
}

fn write(path: &PathBuf, measurements: &Measurements) -> Result<(), RunError> {
    let text = serde_json::to_string_pretty(measurements).context(FormatSnafu { path })?;
    fs::write(path, text + "\n").context(FileSnafu { path })
}

fn measure_sections(name: &str) -> Result<Measurements, RunError> {
    let mut series = Vec::new();
    for (section, _) in SECTIONS {
        if name == section || name == "all" {
            eprintln!("measuring {section}");
            series.extend(section_series(section).context(MeasureSnafu { section })?);
        }
    }
    Ok(Measurements { series })
}

fn section_series(section: &str) -> io::Result<Vec<Series>> {
    match section {
        "configuration" => Ok(configuration::measure()),
        "routing" => Ok(routing::measure()),
        "tables" => Ok(tables::measure()),
        "sessions" => sessions::measure(),
        "control" => Ok(control::measure()),
        _ => platform_calls::measure(),
    }
}

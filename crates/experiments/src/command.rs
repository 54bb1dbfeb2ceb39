//! Command line.

use std::{fs, path};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{plot, policies, report, scenarios, workload};

/// Argument parser.
#[must_use]
pub fn parser() -> Command {
    let scenarios = scenarios::SCENARIOS
        .iter()
        .map(|scenario| options(Command::new(scenario.name()).about("Runs one scenario")));
    Command::new("experiments")
        .about("Measures the decision modules in virtual time")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(options(Command::new("all").about("Runs all scenarios")))
        .subcommands(scenarios)
}

fn options(command: Command) -> Command {
    command
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("LIST")
                .value_delimiter(',')
                .value_parser(value_parser!(u64))
                .default_value("1,2,3")
                .help("Seeds; the tables show the mean"),
        )
        .arg(
            Arg::new("variants")
                .long("variants")
                .action(ArgAction::SetTrue)
                .help("Also runs the variants of the product's policies"),
        )
        .arg(
            Arg::new("own")
                .long("own")
                .action(ArgAction::SetTrue)
                .help("Runs the product only, without baselines and full knowledge"),
        )
        .arg(file("json", "Writes the tables as JSON"))
        .arg(file("svg", "Writes the tables as bar charts"))
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .help(help)
}

/// Runs the chosen subcommand.
///
/// # Errors
/// When a file cannot be written.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let Some((name, options)) = matches.subcommand() else {
        return Ok(());
    };
    let chosen = scenarios::SCENARIOS.iter();
    let chosen: Vec<_> = chosen
        .filter(|s| name == "all" || s.name() == name)
        .collect();
    let seeds: Vec<u64> = options
        .get_many("seeds")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let setups = setups(options);
    print!("{}", report::preamble());
    let mut tables = Vec::new();
    for deployment in [workload::NORTHLINK, workload::MARCHA_SERENA] {
        for scenario in &chosen {
            let table = report::measure(deployment, **scenario, &setups, &seeds);
            print!("{}", report::render(&table));
            tables.push(table);
        }
    }
    if let Some(file) = options.get_one::<path::PathBuf>("json") {
        fs::write(file, serde_json::to_string_pretty(&tables)?)?;
    }
    if let Some(file) = options.get_one::<path::PathBuf>("svg") {
        plot::draw(&tables, file)?;
    }
    Ok(())
}

fn setups(options: &ArgMatches) -> Vec<policies::PolicySetup> {
    let mut setups = vec![policies::PRODUCT];
    if !options.get_flag("own") {
        setups.push(policies::FULL_KNOWLEDGE);
        setups.extend(policies::BASELINES);
    }
    if options.get_flag("variants") {
        setups.extend(policies::VARIANTS);
    }
    setups
}

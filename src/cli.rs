//! Arguments of the command line.

use clap::{Arg, ArgAction, Command};

/// Argument parser of the binary.
#[must_use]
pub fn command() -> Command {
    Command::new("cowslipdeal")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serving layer for very many LoRA adapters")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo())
        .subcommand(
            role("entry", "Serves callers and dispatches to agents")
                .after_help("Example: cowslipdeal entry --settings examples/entry.yaml"),
        )
        .subcommand(
            role("agent", "Stands beside the endpoints of one instance")
                .after_help("Example: cowslipdeal agent --settings examples/agent.yaml"),
        )
}

fn role(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("YAML settings of this process");
    Command::new(name).about(about).arg(settings)
}

fn demo() -> Command {
    Command::new("demo")
        .about("Starts everything on loopback, sends a bounded load and reports")
        .arg(json_flag())
        .after_help("Example: cowslipdeal demo --json")
}

fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Prints the report as JSON")
}

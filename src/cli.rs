//! Arguments of the command line.

use clap::{Arg, ArgAction, Command, value_parser};

/// Argument parser of the binary.
#[must_use]
pub fn command() -> Command {
    Command::new("cowslipdeal")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serving layer for very many LoRA adapters")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(role_command(
            "entry",
            "Accepts requests of callers and dispatches them to agents",
            "Example: cowslipdeal entry --settings examples/entry.yaml",
        ))
        .subcommand(role_command(
            "agent",
            "Runs next to the endpoints of one instance and forwards requests to them",
            "Example: cowslipdeal agent --settings examples/agent.yaml",
        ))
        .subcommand(role_command(
            "gateway",
            "Accepts requests of callers and sends them directly to replicas",
            "Example: cowslipdeal gateway --settings examples/gateway.yaml",
        ))
        .subcommand(role_command(
            "broker",
            "Runs next to one engine, grants permits and sends its commands",
            "Example: cowslipdeal broker --settings examples/broker.yaml",
        ))
        .subcommand(check_command())
        .subcommand(publish_command())
        .subcommand(status_command())
        .subcommand(load_command())
        .subcommand(demo_command())
        .subcommand(stand_ins_command())
}

fn role_command(name: &'static str, about: &'static str, example: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("YAML settings of this process");
    Command::new(name)
        .about(about)
        .arg(settings)
        .after_help(example)
}

fn check_command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("Settings of an entry, agent, gateway or broker, a patch, or a configuration");
    let against = Arg::new("against")
        .long("against")
        .value_name("FILE|ADDRESS")
        .help("Configuration in force, or address of the store that has it");
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings of a gateway that is to bear the limits of the configuration");
    Command::new("check")
        .about("Prints every error in a file, and what a configuration changes for callers")
        .arg(file)
        .arg(against)
        .arg(settings)
        .arg(json_flag())
        .after_help(
            "Example: cowslipdeal check next.json --against 127.0.0.1:9100\n\
             Exit codes: 0 nothing or notes, 1 warnings, 2 errors or an unreadable file",
        )
}

fn publish_command() -> Command {
    Command::new("publish")
        .about("Publishes a patch against a configuration version and prints the outcome")
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version that the patch was written against, if the file does not name it"),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("UUID")
                .value_parser(value_parser!(uuid::Uuid))
                .help("Id of an earlier attempt whose outcome is unknown"),
        )
        .arg(address_argument("log", "Address of the log service").default_value("127.0.0.1:9100"))
        .arg(seconds_argument(
            "wait",
            "Maximum wait for the outcome, in seconds",
            "10",
        ))
        .arg(
            Arg::new("file")
                .value_name("PATCH")
                .required(true)
                .help("Patch in YAML"),
        )
        .after_help(
            "Example: cowslipdeal publish --base 0 --log 127.0.0.1:9100 examples/patch.yaml\n\
             Exit codes: 0 accepted, 1 outcome unknown or log unavailable, 2 invalid patch, 3 stale base",
        )
}

fn status_command() -> Command {
    Command::new("status")
        .about("Prints the state of an entry: configuration, endpoints, backlog")
        .arg(address_argument("entry", "HTTP address of the entry").default_value("127.0.0.1:8080"))
        .after_help("Example: cowslipdeal status --entry 127.0.0.1:8080")
}

fn load_command() -> Command {
    Command::new("load")
        .about("Sends a generated load to entries in front of stand-in engines and prints a report")
        .arg(
            address_argument("entry", "HTTP address of an entry; may be repeated")
                .action(ArgAction::Append)
                .default_value("127.0.0.1:8080"),
        )
        .arg(number_argument(
            "adapters",
            "Number of adapters, named adapter-000 and up",
            "200",
        ))
        .arg(number_argument("requests", "Number of requests", "600"))
        .arg(fraction_argument("rate", "Mean requests per second", "40"))
        .arg(fraction_argument(
            "skew",
            "Exponent of the Zipf distribution of popularity",
            "1.1",
        ))
        .arg(fraction_argument(
            "long-share",
            "Share of long requests, from 0 to 1",
            "0.02",
        ))
        .arg(number_argument(
            "long-factor",
            "Length of long requests relative to short ones",
            "30",
        ))
        .arg(seconds_argument(
            "deadline",
            "Deadline for the first token, in seconds",
            "10",
        ))
        .arg(number_argument(
            "seed",
            "Seed of arrivals, adapters and lengths",
            "7",
        ))
        .arg(json_flag())
        .after_help("Example: cowslipdeal load --entry 127.0.0.1:8080 --rate 40 --requests 600")
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("Starts all parts on loopback, sends a bounded load and prints a report")
        .arg(json_flag())
        .after_help("Example: cowslipdeal demo --json")
}

fn stand_ins_command() -> Command {
    let port_argument = |name, help, default| {
        Arg::new(name)
            .long(name)
            .value_name("PORT")
            .value_parser(value_parser!(u16).range(1..))
            .default_value(default)
            .help(help)
    };
    Command::new("stand-ins")
        .about("Serves stand-ins of an engine, a plain service and the platform on 127.0.0.1")
        .arg(port_argument("engine-port", "Port of the engine", "9001"))
        .arg(port_argument(
            "service-port",
            "Port of the plain service",
            "9002",
        ))
        .arg(port_argument(
            "platform-port",
            "Port of the log, instance list and weight store",
            "9100",
        ))
        .after_help("Example: cowslipdeal stand-ins --engine-port 9001")
}

fn address_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .value_parser(value_parser!(std::net::SocketAddr))
        .help(help)
}

fn seconds_argument(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("SECONDS")
        .value_parser(value_parser!(u64).range(1..=3600))
        .default_value(default)
        .help(help)
}

fn number_argument(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u32).range(1..=10_000_000))
        .default_value(default)
        .help(help)
}

fn fraction_argument(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(f64))
        .default_value(default)
        .help(help)
}

fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Prints the report as JSON")
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against arguments that contradict each other, which clap reports only at run time.
    #[test]
    fn arguments_are_consistent() {
        command().debug_assert();
    }
}

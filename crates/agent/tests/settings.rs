//! Settings files of the agent.

use agent::settings::AgentSettings;

const EXAMPLE: &str = include_str!("../../../examples/agent.yaml");

// Guards against an example file that no longer matches the settings.
#[test]
fn example_is_valid() {
    let settings: AgentSettings = serde_saphyr::from_str(EXAMPLE).unwrap();
    assert_eq!(settings.validate(), []);
}

// Guards against a misspelt field that is silently ignored.
#[test]
fn unknown_field_is_refused() {
    let text = format!("{EXAMPLE}\nqueue_limits: 5\n");
    assert!(serde_saphyr::from_str::<AgentSettings>(&text).is_err());
}

// Guards against errors that are reported one per start or not at all.
#[test]
fn all_errors_are_listed_with_their_paths() {
    let text = "
listen: 127.0.0.1:7001
data_centre: ''
drain_seconds: 0
agents: 0
log: 224.0.0.1:5
services: [{name: orders, address: '127.0.0.1:0', timeout_seconds: 0}]
replicas:
  - {address: '127.0.0.1:7001', base_model: base, adapter_slots: 0, batch_limit: 1, checks_fencing: true}
  - {address: '0.0.0.0:9001', base_model: '', adapter_slots: 1, batch_limit: 0, checks_fencing: true}
";
    let settings: AgentSettings = serde_saphyr::from_str(text).unwrap();
    let errors = settings.validate();
    let paths: Vec<_> = errors.iter().map(|error| error.path.as_str()).collect();
    let expected = [
        "data_centre",
        "replicas[0].address",
        "replicas[0].adapter_slots",
        "replicas[1].address",
        "replicas[1].base_model",
        "replicas[1].batch_limit",
        "services[0].address",
        "services[0].timeout_seconds",
        "log",
        "drain_seconds",
        "agents",
    ];
    assert_eq!(paths, expected);
}

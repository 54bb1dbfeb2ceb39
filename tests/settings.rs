//! Settings of the entry.

use cowslipdeal::settings;
use entry::settings::EntrySettings;

// Guards against an example that operators copy and that does not start.
#[test]
fn entry_example_is_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/entry.yaml");
    let settings: EntrySettings = settings::read(path).unwrap();
    assert_eq!(settings.validate(), []);
}

// Guards against errors that are reported one start at a time, or without a path and a remedy.
#[test]
fn all_errors_are_listed_with_their_paths() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/entry.yaml");
    let mut settings: EntrySettings = settings::read(path).unwrap();
    let agent = settings.agents[0];
    settings.agents = vec![
        agent,
        agent,
        "0.0.0.0:7001".parse().unwrap(),
        settings.listen,
    ];
    settings.threads = 0;
    settings.default_deadline = std::time::Duration::ZERO;
    let errors = settings.validate();
    let paths: Vec<_> = errors.iter().map(|error| error.path.as_str()).collect();
    let expected = [
        "threads",
        "default_deadline_ms",
        "agents[1]",
        "agents[2]",
        "agents[3]",
    ];
    assert_eq!(paths, expected);
    assert!(errors.iter().all(|error| !error.remedy.is_empty()));
}

// Guards against a misspelt field that silently takes its default.
#[test]
fn unknown_field_is_refused() {
    let path = std::env::temp_dir().join(format!("cowslipdeal-{}.yaml", std::process::id()));
    let example = include_str!("../examples/entry.yaml");
    std::fs::write(&path, format!("{example}drain_second: 5\n")).unwrap();
    let read = settings::read::<EntrySettings>(path.to_str().unwrap());
    std::fs::remove_file(&path).unwrap();
    assert!(read.unwrap_err().to_string().contains("drain_second"));
}

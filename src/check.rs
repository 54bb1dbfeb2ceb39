//! Validation of settings files, patches and configurations.

use std::{fs, io};

use agent::settings::AgentSettings;
use broker::settings::BrokerSettings;
use checks::{
    finding::Severity,
    place,
    report::{self, LocatedFinding},
};
use entry::settings::EntrySettings;
use gateway::settings::GatewaySettings;
use operators::patch;
use platform_wire::document;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// Reason why a file cannot be checked.
#[derive(Debug, Snafu)]
pub enum CheckError {
    #[snafu(display("cannot read {path}: {source}; check the path"))]
    Read { path: String, source: io::Error },
}

/// Kind of a checked file.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FileKind {
    Agent,
    Broker,
    Configuration,
    Entry,
    Gateway,
    Patch,
}

/// Findings in a file; empty if nothing is to be said about it.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    pub kind: Option<FileKind>,
    pub findings: Vec<LocatedFinding>,
}

impl CheckReport {
    /// Highest severity among the findings.
    #[must_use]
    pub fn severity(&self) -> Option<Severity> {
        report::highest_severity(&self.findings)
    }
}

/// Top-level fields by which the kind of a file is detected.
#[derive(Deserialize)]
struct KindFields {
    changes: Option<serde::de::IgnoredAny>,
    replicas: Option<serde::de::IgnoredAny>,
    services: Option<serde::de::IgnoredAny>,
    broker_port: Option<serde::de::IgnoredAny>,
    engine: Option<serde::de::IgnoredAny>,
    listen: Option<serde::de::IgnoredAny>,
}

/// Reads a file that is to be checked.
///
/// # Errors
/// [`CheckError`] when the file cannot be read.
pub fn read_file(path: &str) -> Result<String, CheckError> {
    fs::read_to_string(path).context(ReadSnafu { path })
}

/// Checks the text of a file by itself.
#[must_use]
pub fn check_text(text: &str) -> CheckReport {
    if document::is_configuration(text) {
        let document = document::ConfigurationDocument::parse(text);
        return CheckReport {
            kind: Some(FileKind::Configuration),
            findings: document.findings(),
        };
    }
    // An excerpt of the text could show a caller's key.
    let options = serde_saphyr::options! { with_snippet: false };
    let fields: KindFields = match serde_saphyr::from_str_with_options(text, options) {
        Ok(fields) => fields,
        Err(error) => {
            return CheckReport {
                kind: None,
                findings: vec![parser_error(&error)],
            };
        }
    };
    let Some(kind) = fields.kind() else {
        let problem = "unknown kind of file: settings of a role have `listen`, a patch has \
                       `changes`, a configuration has `routes`";
        return CheckReport {
            kind: None,
            findings: vec![file_error(problem.to_owned())],
        };
    };
    let findings = match kind {
        FileKind::Agent => settings_errors(text, AgentSettings::validate),
        FileKind::Broker => settings_errors(text, BrokerSettings::validate),
        FileKind::Configuration => Vec::new(),
        FileKind::Entry => settings_errors(text, EntrySettings::validate),
        FileKind::Gateway => settings_errors(text, GatewaySettings::validate),
        FileKind::Patch => patch_errors(text),
    };
    CheckReport {
        kind: Some(kind),
        findings,
    }
}

impl KindFields {
    fn kind(&self) -> Option<FileKind> {
        if self.changes.is_some() {
            return Some(FileKind::Patch);
        }
        if self.broker_port.is_some() {
            return Some(FileKind::Gateway);
        }
        if self.engine.is_some() {
            return Some(FileKind::Broker);
        }
        if self.replicas.is_some() || self.services.is_some() {
            return Some(FileKind::Agent);
        }
        self.listen.is_some().then_some(FileKind::Entry)
    }
}

fn patch_errors(text: &str) -> Vec<LocatedFinding> {
    let defaults = patch::PatchDefaults {
        id: Some(uuid::Uuid::nil()),
        base: None,
    };
    match patch::Patch::from_yaml_with(text, &defaults) {
        Ok(_) => Vec::new(),
        Err(patch::PatchError::Invalid { errors }) => {
            let errors = errors.errors().iter();
            errors
                .filter(|error| !is_missing_base(error))
                .map(|error| LocatedFinding {
                    path: error.path.clone(),
                    remedy: error.remedy.to_owned(),
                    ..file_error(error.problem.clone())
                })
                .collect()
        }
        Err(patch::PatchError::InvalidYaml { source }) => vec![parser_error(&source)],
        Err(error) => vec![file_error(error.to_string())],
    }
}

/// Whether the base is missing, which `publish --base` supplies.
fn is_missing_base(error: &patch::ValidationError) -> bool {
    error.path == "base" && error.problem.contains("missing")
}

/// Errors of a settings file; `validate` returns those that deserialization accepts.
fn settings_errors<T: DeserializeOwned, F: ToString>(
    text: &str,
    validate: impl Fn(&T) -> Vec<F>,
) -> Vec<LocatedFinding> {
    match serde_saphyr::from_str(text) {
        Ok(settings) => {
            let errors = validate(&settings);
            errors
                .iter()
                .map(|error| setting_error(&error.to_string()))
                .collect()
        }
        Err(error) => vec![parser_error(&error)],
    }
}

/// Error of the form `PATH: PROBLEM; REMEDY`.
fn setting_error(error: &str) -> LocatedFinding {
    let (path, rest) = error.split_once(": ").unwrap_or(("", error));
    let (problem, remedy) = rest.split_once("; ").unwrap_or((rest, ""));
    LocatedFinding {
        path: path.to_owned(),
        remedy: remedy.to_owned(),
        ..file_error(problem.to_owned())
    }
}

fn parser_error(error: &serde_saphyr::Error) -> LocatedFinding {
    let position = error.location().map(|location| report::TextPosition {
        line: usize::try_from(location.line()).unwrap_or(usize::MAX),
        column: usize::try_from(location.column()).unwrap_or(usize::MAX),
    });
    LocatedFinding {
        position,
        ..file_error(error.to_string().trim_start_matches("error: ").to_owned())
    }
}

/// Error on a file as a whole.
#[must_use]
pub fn file_error(problem: String) -> LocatedFinding {
    LocatedFinding {
        severity: Severity::Error,
        document: place::DocumentRole::Checked,
        path: String::new(),
        position: None,
        problem,
        remedy: String::new(),
    }
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    use super::*;

    // Guards against examples that a new user cannot start.
    #[test_case(include_str!("../examples/agent.yaml"), FileKind::Agent; "agent")]
    #[test_case(include_str!("../examples/broker.yaml"), FileKind::Broker; "broker")]
    #[test_case(include_str!("../examples/entry.yaml"), FileKind::Entry; "entry")]
    #[test_case(include_str!("../examples/gateway.yaml"), FileKind::Gateway; "gateway")]
    #[test_case(include_str!("../examples/patch.yaml"), FileKind::Patch; "patch")]
    fn examples_are_valid(text: &str, kind: FileKind) {
        let report = check_text(text);
        assert_eq!(report.kind, Some(kind));
        assert!(report.findings.is_empty(), "{:?}", report.findings);
    }

    // Guards against a check that stops at the first error, or accepts what the process refuses.
    #[test]
    fn every_error_is_listed_with_its_path() {
        let text = "listen: 127.0.0.1:1\ndata_centre: ''\nbase_model: base\nthreads: 0\n\
                    agents: [127.0.0.1:7, 127.0.0.1:7]";
        let report = check_text(text);
        for path in ["data_centre", "threads", "agents[1]"] {
            let is_listed = report
                .findings
                .iter()
                .any(|error| error.path.starts_with(path));
            assert!(is_listed, "{path} is not in {:?}", report.findings);
        }
    }

    // Guards against settings that let a process start and then fail its callers.
    #[test_case(include_str!("../examples/gateway.yaml"), "grace_s: 8", "grace_s: 2", "shutdown")]
    #[test_case(include_str!("../examples/gateway.yaml"), "revocation_ms: 5000", "revocation_ms: 0", "revocation_ms")]
    #[test_case(include_str!("../examples/gateway.yaml"), "window_s: 10", "window_s: 0", "retry_budget")]
    #[test_case(include_str!("../examples/broker.yaml"), "unstarted: 1", "unstarted: 0", "unstarted")]
    fn invalid_values_are_errors(text: &str, valid: &str, changed: &str, path: &str) {
        let report = check_text(&text.replace(valid, changed));
        let first = &report.findings[0];
        assert!(first.path.starts_with(path), "{first:?}");
        assert_eq!(report.severity(), Some(Severity::Error));
    }

    // Guards against a misspelt field that is silently ignored.
    #[test_case("listen: 127.0.0.1:1\ndata_centre: a\nbase_modle: b\nagents: []"; "entry")]
    #[test_case("listen: 127.0.0.1:1\ndata_centre: a\nreplicas: []\ndrain: 3"; "agent")]
    #[test_case("changes: [{remove_adaptor: {name: a}}]"; "patch")]
    fn unknown_fields_are_errors(text: &str) {
        assert_eq!(check_text(text).severity(), Some(Severity::Error));
    }
}

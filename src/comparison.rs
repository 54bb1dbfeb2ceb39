//! Check of a configuration against the version in force and against an instance's settings.

use std::{fmt, net, time};

use checks::{finding::Severity, place, report::LocatedFinding};
use gateway::{catalog, settings::GatewaySettings};
use platform_wire::{document::ConfigurationDocument, store};
use serde::Serialize;

use crate::check;

/// Time for reads from the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Files of one check.
#[derive(Clone, Copy, Debug)]
pub struct CheckRequest<'a> {
    pub path: &'a str,
    /// File with the version in force, or address of the store.
    pub against: Option<&'a str>,
    /// Settings of a gateway.
    pub settings: Option<&'a str>,
}

/// Findings of a check with the names of the texts in which they lie.
#[derive(Debug, Serialize)]
pub struct ComparisonReport<'a> {
    pub file: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub against: Option<&'a str>,
    #[serde(flatten)]
    pub report: check::CheckReport,
}

/// Version in force as it was read.
struct CurrentVersion {
    text: String,
    /// Empty if a file was read.
    adapters: Vec<catalog::AdapterVersion>,
}

/// Checks a file and, if it is a configuration, compares it.
///
/// # Errors
/// [`check::CheckError`] when the file or the settings cannot be read. What is wrong with the version in
/// force is a finding, so that those on the file are not lost.
pub async fn run(request: CheckRequest<'_>) -> Result<ComparisonReport<'_>, check::CheckError> {
    let text = check::read_file(request.path)?;
    let mut report = check::check_text(&text);
    if report.kind == Some(check::FileKind::Configuration) {
        let document = ConfigurationDocument::parse(&text);
        report
            .findings
            .extend(instance_findings(request, &document)?);
        report
            .findings
            .extend(differences(request, &document).await);
    } else if request.against.is_some() || request.settings.is_some() {
        let problem = "only a configuration can be compared; omit --against and --settings";
        report.findings.push(check::file_error(problem.to_owned()));
    }
    Ok(ComparisonReport {
        file: request.path,
        against: request.against,
        report,
    })
}

fn instance_findings(
    request: CheckRequest<'_>,
    document: &ConfigurationDocument,
) -> Result<Vec<LocatedFinding>, check::CheckError> {
    let Some(path) = request.settings else {
        return Ok(Vec::new());
    };
    let text = check::read_file(path)?;
    let settings: GatewaySettings = match serde_saphyr::from_str(&text) {
        Ok(settings) => settings,
        Err(error) => {
            let problem = format!("{path} has no settings of a gateway: {error}");
            return Ok(vec![check::file_error(problem)]);
        }
    };
    Ok(document.instance_findings(&settings.buffer_limits()))
}

async fn differences(
    request: CheckRequest<'_>,
    document: &ConfigurationDocument,
) -> Vec<LocatedFinding> {
    let Some(source) = request.against else {
        return Vec::new();
    };
    let current = match source.parse() {
        Ok(address) => read_store(address).await,
        Err(_) => read_current_file(source),
    };
    match current {
        Ok(current) => {
            let in_force = ConfigurationDocument::parse(&current.text);
            let mut findings = document.differences(&in_force);
            findings.extend(document.adapter_findings(&current.adapters));
            findings
        }
        Err(problem) => vec![check::file_error(problem)],
    }
}

fn read_current_file(path: &str) -> Result<CurrentVersion, String> {
    let text = check::read_file(path).map_err(|error| error.to_string())?;
    Ok(CurrentVersion {
        text,
        adapters: Vec::new(),
    })
}

async fn read_store(address: net::SocketAddr) -> Result<CurrentVersion, String> {
    let store = store::PlatformStore::new(address, STORE_TIMEOUT);
    let reading = tokio::time::timeout(STORE_TIMEOUT, store.published_documents());
    let documents = match reading.await {
        Ok(Ok(documents)) => documents,
        Ok(Err(error)) => {
            return Err(format!(
                "the store at {address} was not read: {error}; check the address or compare with a file"
            ));
        }
        Err(_) => {
            return Err(format!(
                "the store at {address} did not respond within {STORE_TIMEOUT:?}; compare with a file"
            ));
        }
    };
    if documents.configuration.is_empty() {
        return Err(format!(
            "the store at {address} has no configuration; omit --against"
        ));
    }
    let text = String::from_utf8(documents.configuration)
        .map_err(|_| format!("the configuration in the store at {address} is no text"))?;
    Ok(CurrentVersion {
        text,
        adapters: documents.adapters,
    })
}

impl fmt::Display for ComparisonReport<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.report.findings {
            let name = match finding.document {
                place::DocumentRole::Checked => self.file,
                place::DocumentRole::InForce => self.against.unwrap_or(self.file),
            };
            let separator = if finding.position.is_some() { "" } else { " " };
            writeln!(formatter, "{name}:{separator}{finding}")?;
        }
        if self.report.findings.is_empty() {
            return writeln!(formatter, "{}: no errors", self.file);
        }
        let count = |severity: Severity| {
            let findings = self.report.findings.iter();
            findings
                .filter(|finding| finding.severity == severity)
                .count()
        };
        writeln!(
            formatter,
            "{}: errors {}, warnings {}, notes {}",
            self.file,
            count(Severity::Error),
            count(Severity::Warning),
            count(Severity::Note)
        )
    }
}

//! Findings of a check.

use serde::Serialize;

use crate::place;

/// Severity of a finding, from the lowest to the highest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Change or fact that an operator may overlook.
    Note,
    /// Entry without effect, contradiction, or loss for callers.
    Warning,
    /// The configuration cannot be decoded, or requests fail because of it.
    Error,
}

/// Finding on one entry of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    pub severity: Severity,
    pub place: place::FindingPlace,
    pub problem: String,
    pub remedy: &'static str,
}

impl Finding {
    /// Finding that makes the configuration unusable.
    #[must_use]
    pub fn error(place: place::FindingPlace, problem: String, remedy: &'static str) -> Self {
        Self::new(Severity::Error, place, problem, remedy)
    }

    /// Finding that an operator should look at.
    #[must_use]
    pub fn warning(place: place::FindingPlace, problem: String, remedy: &'static str) -> Self {
        Self::new(Severity::Warning, place, problem, remedy)
    }

    /// Finding that needs no action; the remedy may be empty.
    #[must_use]
    pub fn note(place: place::FindingPlace, problem: String, remedy: &'static str) -> Self {
        Self::new(Severity::Note, place, problem, remedy)
    }

    fn new(
        severity: Severity,
        place: place::FindingPlace,
        problem: String,
        remedy: &'static str,
    ) -> Self {
        Self {
            severity,
            place,
            problem,
            remedy,
        }
    }
}

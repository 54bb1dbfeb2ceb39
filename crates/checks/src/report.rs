//! Report of a check: findings with their places in the text.

use std::fmt;

use serde::Serialize;

use crate::{finding::Severity, place};

/// Position in a text; both numbers start at 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct TextPosition {
    pub line: usize,
    /// In characters.
    pub column: usize,
}

/// Finding with its place in a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LocatedFinding {
    pub severity: Severity,
    pub document: place::DocumentRole,
    /// Path of the field, for example `routes[2].timeout`; empty for the whole document.
    pub path: String,
    #[serde(flatten)]
    pub position: Option<TextPosition>,
    pub problem: String,
    /// May be empty for a note.
    pub remedy: String,
}

impl fmt::Display for LocatedFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(formatter, "{}:{}: ", position.line, position.column)?;
        }
        let severity = match self.severity {
            Severity::Note => "note",
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(formatter, "{severity}: ")?;
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        formatter.write_str(&self.problem)?;
        if !self.remedy.is_empty() {
            write!(formatter, "; {}", self.remedy)?;
        }
        Ok(())
    }
}

/// Highest severity among findings.
#[must_use]
pub fn highest_severity(findings: &[LocatedFinding]) -> Option<Severity> {
    findings.iter().map(|finding| finding.severity).max()
}

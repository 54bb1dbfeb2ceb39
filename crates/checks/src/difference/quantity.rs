//! Comparison of a limit in two versions.

use crate::{finding::Finding, place};

/// Limit in two versions.
pub(super) struct LimitChange<'a> {
    pub place: place::FindingPlace,
    /// What is limited, with the name of its entry.
    pub subject: &'a str,
    pub unit: &'a str,
    pub old: f64,
    pub new: f64,
}

impl LimitChange<'_> {
    /// Finding on a limit of which callers want more: lowering it is a warning.
    pub fn finding(&self) -> Option<Finding> {
        let Self {
            place,
            subject,
            unit,
            old,
            new,
        } = self;
        if new < old {
            let problem = format!(
                "{subject} falls from {old} to {new} {unit}, {} of what it was",
                share(*old, *new)
            );
            return Some(Finding::warning(
                *place,
                problem,
                "check that callers stay below it",
            ));
        }
        let problem = format!("{subject} rises from {old} to {new} {unit}");
        (new > old).then(|| Finding::note(*place, problem, ""))
    }
}

/// Share of the old limit that is left, in percent.
fn share(old: f64, new: f64) -> String {
    let percent = 100.0 * new / old;
    if percent < 10.0 {
        return format!("{percent:.1}%");
    }
    format!("{percent:.0}%")
}

/// Time in milliseconds.
pub(super) fn milliseconds(time: std::time::Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

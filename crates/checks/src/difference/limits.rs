//! Differences of the limits on callers' requests and connections.

use gateway::catalog;

use super::{VersionPair, quantity};
use crate::{
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on changed limits.
pub(super) fn compare_limits(pair: VersionPair<'_>) -> Vec<Finding> {
    let old = values(&pair.in_force.version.limits);
    let new = values(&pair.checked.version.limits);
    let pairs = old.into_iter().zip(new);
    pairs
        .filter_map(|(old, new)| {
            let change = quantity::LimitChange {
                place: FindingPlace::checked(EntryPosition::Limits, new.field),
                subject: new.subject,
                unit: new.unit,
                old: old.value,
                new: new.value,
            };
            change.finding()
        })
        .collect()
}

/// Limit with its name and unit.
struct LimitValue {
    field: EntryField,
    subject: &'static str,
    unit: &'static str,
    value: f64,
}

fn values(limits: &catalog::CallerLimits) -> [LimitValue; 4] {
    let bytes = |field, subject, value: usize| LimitValue {
        field,
        subject,
        unit: "bytes",
        // Exact up to 8 PB.
        #[allow(clippy::cast_precision_loss)]
        value: value as f64,
    };
    let time = |field, subject, value| LimitValue {
        field,
        subject,
        unit: "ms",
        value: quantity::milliseconds(value),
    };
    [
        bytes(
            EntryField::HeaderBytes,
            "the length of a request's head",
            limits.header_bytes,
        ),
        bytes(
            EntryField::BodyBytes,
            "the length of a request's body",
            limits.body_bytes,
        ),
        time(
            EntryField::HeaderTimeout,
            "the time for a request's head",
            limits.header_timeout,
        ),
        time(
            EntryField::IdleTimeout,
            "the time for which an unused connection stays open",
            limits.idle_timeout,
        ),
    ]
}

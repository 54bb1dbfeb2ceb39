//! Differences between a configuration and the version in force, told by what callers notice.

mod limits;
mod organisations;
mod quantity;
mod routes;
mod services;

use crate::{
    configuration::CheckedConfiguration,
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Both configurations of a comparison.
#[derive(Clone, Copy)]
struct VersionPair<'a> {
    in_force: &'a CheckedConfiguration,
    checked: &'a CheckedConfiguration,
}

/// Findings on what a configuration changes for callers.
#[must_use]
pub fn compare(in_force: &CheckedConfiguration, checked: &CheckedConfiguration) -> Vec<Finding> {
    let pair = VersionPair { in_force, checked };
    let mut findings: Vec<_> = check_version(pair).into_iter().collect();
    findings.extend(routes::compare_routes(pair));
    findings.extend(services::compare_services(pair));
    findings.extend(organisations::compare_organisations(pair));
    findings.extend(limits::compare_limits(pair));
    findings
}

fn check_version(pair: VersionPair<'_>) -> Option<Finding> {
    let (current, next) = (pair.in_force.version.version, pair.checked.version.version);
    if next > current {
        return None;
    }
    let place = FindingPlace::checked(EntryPosition::Configuration, EntryField::Version);
    let problem = format!("version {next} is not newer than version {current} in force");
    let remedy = "give a higher version; gateways ignore the configuration otherwise";
    Some(Finding::error(place, problem, remedy))
}

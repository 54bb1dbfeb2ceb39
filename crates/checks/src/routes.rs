//! Checks of routes: entries that match no request, undefined services, contradictory limits.

use gateway::catalog;

use crate::{
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on the routes of a configuration.
#[must_use]
pub fn check_routes(version: &catalog::ConfigurationVersion) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, route) in version.routes.iter().enumerate() {
        findings.extend(check_match(&version.routes, index));
        findings.extend(check_services(version, index, route));
        findings.extend(check_limits(index, route));
    }
    findings
}

fn place(route: usize, field: EntryField) -> FindingPlace {
    FindingPlace::checked(EntryPosition::Route(route), field)
}

/// Findings on the requests that a route matches.
fn check_match(routes: &[catalog::RouteEntry], index: usize) -> Vec<Finding> {
    let route = &routes[index];
    let mut findings = Vec::new();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        findings.push(Finding::error(
            place(index, EntryField::Prefix),
            format!("`{}` does not begin and end with a slash", route.prefix),
            "add the slash; paths are matched by whole segments",
        ));
    }
    let is_odd = |byte: u8| byte == b':' || byte == b'/' || !byte.is_ascii_graphic();
    if route.host.bytes().any(is_odd) {
        findings.push(Finding::warning(
            place(index, EntryField::Host),
            format!(
                "no request matches `{}`: hosts are compared without port and path",
                route.host
            ),
            "give the name of the host alone",
        ));
    }
    // Among equal prefixes the last route is used.
    let later = routes[index + 1..]
        .iter()
        .find(|other| other.host.eq_ignore_ascii_case(&route.host) && other.prefix == route.prefix);
    if let Some(later) = later {
        findings.push(Finding::warning(
            place(index, EntryField::Prefix),
            format!(
                "no request gets route `{}`: the later route `{}` has the same host and prefix",
                route.name, later.name
            ),
            "remove one of them or change its prefix",
        ));
    }
    if routes[..index].iter().any(|other| other.name == route.name) {
        findings.push(Finding::warning(
            place(index, EntryField::Name),
            format!("another route is named `{}` too", route.name),
            "name each route differently; logs and metrics tell them apart by name",
        ));
    }
    findings
}

/// Findings on the services that a route names.
fn check_services(
    version: &catalog::ConfigurationVersion,
    index: usize,
    route: &catalog::RouteEntry,
) -> Vec<Finding> {
    if route.services.is_empty() {
        let problem = format!("route `{}` names no service", route.name);
        let remedy = "name a service; requests are refused without one";
        return vec![Finding::error(
            place(index, EntryField::Services),
            problem,
            remedy,
        )];
    }
    let mut findings = Vec::new();
    for (share, entry) in route.services.iter().enumerate() {
        if version.service(&entry.service).is_none() {
            let position = EntryPosition::RouteShare {
                route: index,
                share,
            };
            findings.push(Finding::error(
                FindingPlace::checked(position, EntryField::Service),
                format!("service `{}` is not defined", entry.service),
                "define the service or correct the name",
            ));
        }
    }
    if route.services.iter().all(|share| share.weight == 0) {
        findings.push(Finding::error(
            place(index, EntryField::Services),
            format!("all services of route `{}` have weight 0", route.name),
            "give one of them a weight; requests are refused otherwise",
        ));
    }
    findings
}

/// Findings on the times and attempts of a route.
fn check_limits(index: usize, route: &catalog::RouteEntry) -> Vec<Finding> {
    let mut findings = Vec::new();
    if route.objective > route.timeout {
        findings.push(Finding::warning(
            place(index, EntryField::Objective),
            format!(
                "the objective of {} ms lies beyond the timeout of {} ms",
                route.objective.as_millis(),
                route.timeout.as_millis()
            ),
            "lower the objective or raise the timeout",
        ));
    }
    if route.max_attempts == 0 {
        findings.push(Finding::error(
            place(index, EntryField::Attempts),
            "0 attempts: no request may be sent to a replica".to_owned(),
            "give 1 or more",
        ));
    }
    if route.max_attempts > 1 && !route.kind.is_repeatable() {
        findings.push(Finding::note(
            place(index, EntryField::Attempts),
            format!(
                "of {} attempts, those after the first are made only when a replica says that it \
                 has not run the request",
                route.max_attempts
            ),
            "give 1 if this is not intended",
        ));
    }
    findings
}

//! Differences of routes. Callers know a route by its host and prefix, so these identify it.

use gateway::catalog;

use super::{VersionPair, quantity};
use crate::{
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on added, removed and changed routes.
pub(super) fn compare_routes(pair: VersionPair<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let (old, new) = (&pair.in_force.version, &pair.checked.version);
    for (index, route) in old.routes.iter().enumerate() {
        if position(new, route).is_none() {
            findings.push(removed_route(new, index, route));
        }
    }
    for (index, route) in new.routes.iter().enumerate() {
        match position(old, route) {
            None => findings.push(added_route(old, index, route)),
            Some(earlier) => findings.extend(compare_route(pair, earlier, index)),
        }
    }
    findings
}

/// Position of the route that serves the host and prefix of another.
fn position(version: &catalog::ConfigurationVersion, route: &catalog::RouteEntry) -> Option<usize> {
    version.routes.iter().rposition(|other| {
        other.host.eq_ignore_ascii_case(&route.host) && other.prefix == route.prefix
    })
}

fn removed_route(
    new: &catalog::ConfigurationVersion,
    index: usize,
    route: &catalog::RouteEntry,
) -> Finding {
    let place = FindingPlace::in_force(EntryPosition::Route(index), EntryField::Whole);
    let address = format!("{}{}", route.host, route.prefix);
    let problem = match new.route(&route.host, &route.prefix) {
        Some(other) => format!(
            "route `{}` is removed: requests to {address} get route `{}`",
            route.name, other.name
        ),
        None => format!(
            "route `{}` is removed: requests to {address} get 404",
            route.name
        ),
    };
    Finding::warning(place, problem, "check that callers no longer use it")
}

fn added_route(
    old: &catalog::ConfigurationVersion,
    index: usize,
    route: &catalog::RouteEntry,
) -> Finding {
    let place = FindingPlace::checked(EntryPosition::Route(index), EntryField::Whole);
    let address = format!("{}{}", route.host, route.prefix);
    let problem = match old.route(&route.host, &route.prefix) {
        Some(other) => format!(
            "route `{}` is added: it takes requests to {address} from route `{}`",
            route.name, other.name
        ),
        None => format!(
            "route `{}` is added: requests to {address} got 404 before",
            route.name
        ),
    };
    Finding::note(place, problem, "")
}

/// Findings on a route that both versions have.
fn compare_route(pair: VersionPair<'_>, earlier: usize, index: usize) -> Vec<Finding> {
    let old = &pair.in_force.version.routes[earlier];
    let new = &pair.checked.version.routes[index];
    let place = |field| FindingPlace::checked(EntryPosition::Route(index), field);
    let name = &new.name;
    let mut findings = Vec::new();
    findings.extend(
        compare_shares(old, new)
            .map(|problem| Finding::note(place(EntryField::Services), problem, "")),
    );
    findings.extend(compare_kind(old, new, place(EntryField::Kind)));
    findings.extend(compare_access(pair, earlier, index));
    let timeout = quantity::LimitChange {
        place: place(EntryField::Timeout),
        subject: &format!("the timeout of route `{name}`"),
        unit: "ms",
        old: quantity::milliseconds(old.timeout),
        new: quantity::milliseconds(new.timeout),
    };
    findings.extend(timeout.finding());
    if old.objective != new.objective {
        let problem = format!(
            "requests on route `{name}` count as late after {} ms instead of {} ms",
            new.objective.as_millis(),
            old.objective.as_millis()
        );
        findings.push(Finding::note(place(EntryField::Objective), problem, ""));
    }
    if old.max_attempts != new.max_attempts {
        let problem = format!(
            "requests on route `{name}` are sent to at most {} replicas instead of {}",
            new.max_attempts, old.max_attempts
        );
        findings.push(Finding::note(place(EntryField::Attempts), problem, ""));
    }
    if old.priority != new.priority {
        let rank = if new.priority < old.priority {
            "more urgent"
        } else {
            "less urgent"
        };
        let problem = format!(
            "route `{name}` is {rank}: priority {} instead of {}",
            new.priority, old.priority
        );
        findings.push(Finding::note(place(EntryField::Priority), problem, ""));
    }
    findings
}

/// Change of the services that run the requests of a route.
fn compare_shares(old: &catalog::RouteEntry, new: &catalog::RouteEntry) -> Option<String> {
    let (before, after) = (shares(old), shares(new));
    if before == after {
        return None;
    }
    let names = |shares: &[(&str, f64)]| {
        let names = shares
            .iter()
            .map(|(service, percent)| format!("`{service}` ({percent:.0}%)"));
        names.collect::<Vec<_>>().join(", ")
    };
    Some(format!(
        "requests on route `{}` go to {} instead of {}",
        new.name,
        names(&after),
        names(&before)
    ))
}

/// Services of a route with their shares of its requests in percent, sorted by name.
fn shares(route: &catalog::RouteEntry) -> Vec<(&str, f64)> {
    let total: f64 = route
        .services
        .iter()
        .map(|share| f64::from(share.weight))
        .sum();
    let used = route.services.iter().filter(|share| share.weight > 0);
    let percent = |weight: u32| 100.0 * f64::from(weight) / total;
    let mut shares: Vec<_> = used
        .map(|share| (share.service.as_str(), percent(share.weight)))
        .collect();
    shares.sort_unstable_by(|one, other| one.0.cmp(other.0));
    shares
}

fn compare_kind(
    old: &catalog::RouteEntry,
    new: &catalog::RouteEntry,
    place: FindingPlace,
) -> Option<Finding> {
    if old.kind == new.kind {
        return None;
    }
    let name = &new.name;
    if new.kind.is_repeatable() && !old.kind.is_repeatable() {
        let problem = format!("requests on route `{name}` may now run more than once");
        let remedy = "check that its service bears repetitions";
        return Some(Finding::warning(place, problem, remedy));
    }
    if old.kind.is_repeatable() && !new.kind.is_repeatable() {
        let problem = format!("requests on route `{name}` that may have run are no longer retried");
        let remedy = "check that callers can tell whether a failed request has run";
        return Some(Finding::warning(place, problem, remedy));
    }
    let problem = format!("requests on route `{name}` are handled as {:?}", new.kind);
    Some(Finding::note(place, problem, ""))
}

/// Finding on a route that begins or ceases to need a key.
fn compare_access(pair: VersionPair<'_>, earlier: usize, index: usize) -> Option<Finding> {
    let place = FindingPlace::checked(EntryPosition::Route(index), EntryField::Access);
    let old = &pair.in_force.version.routes[earlier];
    let new = &pair.checked.version.routes[index];
    let name = &new.name;
    match (pair.in_force.needs_key(old), pair.checked.needs_key(new)) {
        (false, true) => {
            let problem = format!("requests on route `{name}` without a key get 401");
            let remedy = "check that its callers have keys";
            Some(Finding::warning(place, problem, remedy))
        }
        (true, false) => {
            let problem = format!("requests on route `{name}` no longer need a key");
            let remedy = "check that everyone may use it";
            Some(Finding::warning(place, problem, remedy))
        }
        _ => None,
    }
}

//! Checks of organisations: keys that identify nobody, quotas that admit no request.

use gateway::organisations;

use crate::{
    configuration::{CheckedConfiguration, CheckedOrganisation},
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on the organisations of a configuration.
#[must_use]
pub fn check_organisations(checked: &CheckedConfiguration) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, entry) in checked.organisations.iter().enumerate() {
        findings.extend(check_name(&checked.organisations, index));
        findings.extend(check_key_forms(index, entry));
        findings.extend(check_quota(index, &entry.organisation));
    }
    findings.extend(check_shared_keys(&checked.organisations));
    findings
}

fn place(organisation: usize, field: EntryField) -> FindingPlace {
    FindingPlace::checked(EntryPosition::Organisation(organisation), field)
}

fn check_name(all: &[CheckedOrganisation], index: usize) -> Option<Finding> {
    let name = &all[index].organisation.name;
    let earlier = &all[..index];
    if earlier.iter().all(|other| other.organisation.name != *name) {
        return None;
    }
    let problem = format!("organisation `{name}` is defined twice");
    let remedy = "join the two entries into one";
    let field = place(index, EntryField::Name);
    Some(Finding::error(field, problem, remedy))
}

/// Findings on the number and the form of an organisation's keys.
fn check_key_forms(index: usize, entry: &CheckedOrganisation) -> Vec<Finding> {
    let name = &entry.organisation.name;
    if entry.keys.is_empty() {
        let problem = format!("organisation `{name}` has no key, so all its requests get 401");
        let remedy = "give it a key or remove it";
        return vec![Finding::error(
            place(index, EntryField::Keys),
            problem,
            remedy,
        )];
    }
    let unsendable = entry.keys.iter().enumerate();
    unsendable
        .filter(|(_, key)| !key.is_sendable())
        .map(|(key, _)| {
            Finding::error(
                key_place(index, key),
                format!("no request can carry this key of organisation `{name}`"),
                "use visible ASCII characters without spaces",
            )
        })
        .collect()
}

fn key_place(organisation: usize, key: usize) -> FindingPlace {
    let position = EntryPosition::Key { organisation, key };
    FindingPlace::checked(position, EntryField::Whole)
}

/// Findings on keys that occur twice. They name positions, never a key.
fn check_shared_keys(all: &[CheckedOrganisation]) -> Vec<Finding> {
    let mut keys: Vec<_> = all
        .iter()
        .enumerate()
        .flat_map(|(organisation, entry)| {
            let keys = entry.keys.iter().enumerate();
            keys.map(move |(position, key)| (key, organisation, position))
        })
        .collect();
    keys.sort_unstable();
    let same = keys.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    same.map(|pair| {
        let (_, first, _) = pair[0];
        let (_, second, position) = pair[1];
        let name = |index: usize| &all[index].organisation.name;
        let place = key_place(second, position);
        if first == second {
            let problem = format!("organisation `{}` has this key twice", name(second));
            return Finding::warning(place, problem, "remove one of them");
        }
        let problem = format!(
            "organisations `{}` and `{}` have the same key, which identifies neither",
            name(first),
            name(second)
        );
        Finding::error(place, problem, "give each organisation keys of its own")
    })
    .collect()
}

fn check_quota(index: usize, organisation: &organisations::Organisation) -> Option<Finding> {
    let quota = organisation.quota?;
    let (cost, request) = match quota.unit {
        organisations::QuotaUnit::Requests => (1, "one request"),
        organisations::QuotaUnit::Tokens { undeclared } => {
            (undeclared.max(1), "a request that declares no tokens")
        }
    };
    if quota.limit.burst >= f64::from(cost) {
        return None;
    }
    let problem = format!(
        "the burst of organisation `{}` is {}, less than the {cost} of {request}",
        organisation.name, quota.limit.burst
    );
    let remedy = "raise the burst; such requests would always get 429";
    let field = place(index, EntryField::Burst);
    Some(Finding::warning(field, problem, remedy))
}

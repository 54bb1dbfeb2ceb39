//! Differences of organisations: keys, quotas and priorities.

use decisions::caller_key;
use gateway::organisations;

use super::{VersionPair, quantity};
use crate::{
    configuration::CheckedOrganisation,
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on added, removed and changed organisations.
pub(super) fn compare_organisations(pair: VersionPair<'_>) -> Vec<Finding> {
    let (old, new) = (&pair.in_force.organisations, &pair.checked.organisations);
    let mut findings = Vec::new();
    for (index, entry) in old.iter().enumerate() {
        if find(new, &entry.organisation.name).is_none() {
            findings.push(removed_organisation(index, entry, new));
        }
    }
    for (index, entry) in new.iter().enumerate() {
        let Some(earlier) = find(old, &entry.organisation.name) else {
            findings.push(added_organisation(index, entry));
            continue;
        };
        findings.extend(removed_keys(earlier, &old[earlier], new));
        findings.extend(compare_organisation(index, &old[earlier], entry));
    }
    findings
}

fn find(all: &[CheckedOrganisation], name: &str) -> Option<usize> {
    all.iter().position(|entry| entry.organisation.name == name)
}

fn place(organisation: usize, field: EntryField) -> FindingPlace {
    FindingPlace::checked(EntryPosition::Organisation(organisation), field)
}

fn removed_organisation(
    index: usize,
    entry: &CheckedOrganisation,
    new: &[CheckedOrganisation],
) -> Finding {
    let name = &entry.organisation.name;
    let has_holder = |key| find_holder(new, key).is_some();
    let effect = if entry.keys.iter().all(has_holder) {
        "its keys belong to other organisations"
    } else {
        "requests with its keys get 401"
    };
    let problem = format!("organisation `{name}` is removed: {effect}");
    let position = EntryPosition::Organisation(index);
    let place = FindingPlace::in_force(position, EntryField::Whole);
    Finding::warning(place, problem, "check that it has no more callers")
}

/// First organisation that holds a key.
fn find_holder<'a>(
    all: &'a [CheckedOrganisation],
    key: &caller_key::CallerKey,
) -> Option<&'a CheckedOrganisation> {
    all.iter().find(|entry| entry.keys.contains(key))
}

fn added_organisation(index: usize, entry: &CheckedOrganisation) -> Finding {
    let problem = format!("organisation `{}` is added", entry.organisation.name);
    Finding::note(place(index, EntryField::Whole), problem, "")
}

fn compare_organisation(
    index: usize,
    old: &CheckedOrganisation,
    new: &CheckedOrganisation,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let is_new = |key: &&caller_key::CallerKey| !old.keys.contains(key);
    let added = new.keys.iter().filter(is_new).count();
    if added > 0 {
        let name = &new.organisation.name;
        let problem = format!("organisation `{name}` has new keys: {added}");
        findings.push(Finding::note(place(index, EntryField::Keys), problem, ""));
    }
    findings.extend(compare_quota(index, &old.organisation, &new.organisation));
    let (before, after) = (old.organisation.priority, new.organisation.priority);
    if before != after {
        let rank = |priority: Option<u8>| {
            priority.map_or("that of the route".to_owned(), |rank| rank.to_string())
        };
        let problem = format!(
            "the priority of organisation `{}` is {} instead of {}",
            new.organisation.name,
            rank(after),
            rank(before)
        );
        findings.push(Finding::note(
            place(index, EntryField::Priority),
            problem,
            "",
        ));
    }
    findings
}

/// Findings on keys that an organisation loses, by their positions.
fn removed_keys(
    organisation: usize,
    old: &CheckedOrganisation,
    new: &[CheckedOrganisation],
) -> Vec<Finding> {
    let name = &old.organisation.name;
    let mut findings = Vec::new();
    for (key, text) in old.keys.iter().enumerate() {
        let holder = find_holder(new, text).map(|entry| &entry.organisation.name);
        let problem = match holder {
            Some(holder) if holder == name => continue,
            Some(holder) => {
                format!("a key of organisation `{name}` now belongs to organisation `{holder}`")
            }
            None => {
                format!("a key of organisation `{name}` is taken away: requests with it get 401")
            }
        };
        let place =
            FindingPlace::in_force(EntryPosition::Key { organisation, key }, EntryField::Whole);
        findings.push(Finding::warning(
            place,
            problem,
            "check which callers use it",
        ));
    }
    findings
}

fn compare_quota(
    index: usize,
    old: &organisations::Organisation,
    new: &organisations::Organisation,
) -> Vec<Finding> {
    let name = &new.name;
    let (old, new) = match (old.quota, new.quota) {
        (Some(old), Some(new)) => (old, new),
        (None, None) => return Vec::new(),
        (None, Some(_)) => {
            let problem = format!("the requests of organisation `{name}` become limited");
            let remedy = "check that its usual load lies below the quota";
            let field = place(index, EntryField::Rate);
            return vec![Finding::warning(field, problem, remedy)];
        }
        (Some(_), None) => {
            let problem = format!("the requests of organisation `{name}` are no longer limited");
            return vec![Finding::note(place(index, EntryField::Rate), problem, "")];
        }
    };
    if std::mem::discriminant(&old.unit) != std::mem::discriminant(&new.unit) {
        let problem = format!("the quota of organisation `{name}` counts in another unit");
        let remedy = "check rate and burst in the new unit";
        return vec![Finding::warning(
            place(index, EntryField::Unit),
            problem,
            remedy,
        )];
    }
    let unit = match new.unit {
        organisations::QuotaUnit::Requests => "requests",
        organisations::QuotaUnit::Tokens { .. } => "tokens",
    };
    let rate = quantity::LimitChange {
        place: place(index, EntryField::Rate),
        subject: &format!("the rate of organisation `{name}`"),
        unit: &format!("{unit} per second"),
        old: old.limit.rate_per_s,
        new: new.limit.rate_per_s,
    };
    let burst = quantity::LimitChange {
        place: place(index, EntryField::Burst),
        subject: &format!("the burst of organisation `{name}`"),
        unit,
        old: old.limit.burst,
        new: new.limit.burst,
    };
    [rate, burst]
        .iter()
        .filter_map(quantity::LimitChange::finding)
        .collect()
}

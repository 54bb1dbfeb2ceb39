//! Differences of services and of their engines' limits.

use gateway::catalog;

use super::{VersionPair, quantity};
use crate::{
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on added, removed and changed services.
pub(super) fn compare_services(pair: VersionPair<'_>) -> Vec<Finding> {
    let (old, new) = (&pair.in_force.version, &pair.checked.version);
    let mut findings = Vec::new();
    for (index, service) in old.services.iter().enumerate() {
        if new.service(&service.name).is_none() {
            let position = EntryPosition::Service(index);
            findings.push(Finding::note(
                FindingPlace::in_force(position, EntryField::Whole),
                format!("service `{}` is removed", service.name),
                "its replicas get no more requests",
            ));
        }
    }
    for (index, service) in new.services.iter().enumerate() {
        let place = |field| FindingPlace::checked(EntryPosition::Service(index), field);
        let Some(earlier) = old.service(&service.name) else {
            let problem = format!("service `{}` is added", service.name);
            findings.push(Finding::note(place(EntryField::Whole), problem, ""));
            continue;
        };
        let connections = quantity::LimitChange {
            place: place(EntryField::Connections),
            subject: &format!("the connections to a replica of `{}`", service.name),
            unit: "connections",
            old: f64::from(earlier.max_connections),
            new: f64::from(service.max_connections),
        };
        findings.extend(connections.finding());
        findings.extend(compare_engines(index, earlier, service));
    }
    findings
}

/// Findings on the engines of a service that both versions have.
fn compare_engines(
    service: usize,
    old: &catalog::ServiceEntry,
    new: &catalog::ServiceEntry,
) -> Vec<Finding> {
    let place = |field| FindingPlace::checked(EntryPosition::Engine { service }, field);
    let name = &new.name;
    let (old, new) = match (&old.engine, &new.engine) {
        (Some(old), Some(new)) => (old, new),
        (None, None) => return Vec::new(),
        (had, _) => {
            let verb = if had.is_some() { "no longer" } else { "now" };
            let problem = format!("replicas of `{name}` are {verb} treated as engines");
            let remedy = "check that its replicas are of this kind";
            let finding = Finding::warning(place(EntryField::Whole), problem, remedy);
            return vec![finding];
        }
    };
    let limits = [
        (EntryField::Slots, "slots", old.slots, new.slots),
        (
            EntryField::AdapterSlots,
            "slots for adapters",
            old.adapter_slots,
            new.adapter_slots,
        ),
    ];
    let mut findings = Vec::new();
    for (field, unit, old, new) in limits {
        let change = quantity::LimitChange {
            place: place(field),
            subject: &format!("an engine of `{name}`"),
            unit,
            old: f64::from(old),
            new: f64::from(new),
        };
        findings.extend(change.finding());
    }
    let has_model = |engine: &catalog::EngineLimits, name: &str| {
        engine.models.iter().any(|model| model.name == name)
    };
    for model in old
        .models
        .iter()
        .filter(|model| !has_model(new, &model.name))
    {
        let problem = format!("engines of `{name}` no longer have model `{}`", model.name);
        let remedy = "check that no caller asks for it or its adapters";
        findings.push(Finding::warning(place(EntryField::Whole), problem, remedy));
    }
    for model in new
        .models
        .iter()
        .filter(|model| !has_model(old, &model.name))
    {
        let problem = format!("engines of `{name}` get model `{}`", model.name);
        findings.push(Finding::note(place(EntryField::Whole), problem, ""));
    }
    findings
}

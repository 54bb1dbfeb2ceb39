//! Checks of services and their engines: unused ones, and memory that does not suffice.

use gateway::catalog;

use crate::{
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on the services of a configuration.
#[must_use]
pub fn check_services(version: &catalog::ConfigurationVersion) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, service) in version.services.iter().enumerate() {
        findings.extend(check_use(version, index, service));
        findings.extend(check_connections(index, service));
        if let Some(engine) = &service.engine {
            findings.extend(check_engine(index, engine));
        }
    }
    findings
}

fn place(service: usize, field: EntryField) -> FindingPlace {
    FindingPlace::checked(EntryPosition::Service(service), field)
}

/// Findings on a service that no request reaches.
fn check_use(
    version: &catalog::ConfigurationVersion,
    index: usize,
    service: &catalog::ServiceEntry,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let earlier = &version.services[..index];
    if earlier.iter().any(|other| other.name == service.name) {
        findings.push(Finding::error(
            place(index, EntryField::Name),
            format!("service `{}` is defined twice", service.name),
            "remove one of them; only the first has effect",
        ));
        return findings;
    }
    let mut shares = version.routes.iter().flat_map(|route| &route.services);
    if !shares.any(|share| share.service == service.name) {
        findings.push(Finding::warning(
            place(index, EntryField::Name),
            format!("no route names service `{}`", service.name),
            "add it to a route or remove it",
        ));
    }
    findings
}

fn check_connections(index: usize, service: &catalog::ServiceEntry) -> Option<Finding> {
    let field = place(index, EntryField::Connections);
    if service.max_connections == 0 {
        let problem = format!("replicas of `{}` accept no connections", service.name);
        return Some(Finding::error(field, problem, "give 1 or more"));
    }
    let slots = service.engine.as_ref()?.slots;
    if service.max_connections >= slots {
        return None;
    }
    let problem = format!(
        "{} connections cannot fill the {slots} slots of a replica",
        service.max_connections
    );
    let remedy = "allow as many connections as slots";
    Some(Finding::warning(field, problem, remedy))
}

/// Findings on slots and memory of a service's engines.
fn check_engine(service: usize, engine: &catalog::EngineLimits) -> Vec<Finding> {
    let mut findings = Vec::new();
    let engine_place = |field| FindingPlace::checked(EntryPosition::Engine { service }, field);
    if engine.slots == 0 {
        findings.push(Finding::error(
            engine_place(EntryField::Slots),
            "engines have no slots and run no requests".to_owned(),
            "give 1 or more",
        ));
    }
    for (model, entry) in engine.models.iter().enumerate() {
        let position = EntryPosition::Model { service, model };
        if engine.models[..model]
            .iter()
            .any(|other| other.name == entry.name)
        {
            findings.push(Finding::error(
                FindingPlace::checked(position, EntryField::Name),
                format!("model `{}` is defined twice", entry.name),
                "remove one of them; only the first has effect",
            ));
        }
        findings.extend(check_model(engine, position, entry));
    }
    findings
}

/// Findings on the memory for a model and its adapters.
fn check_model(
    engine: &catalog::EngineLimits,
    position: EntryPosition,
    model: &catalog::BaseModel,
) -> Option<Finding> {
    if let (Some(size_mb), Some(memory_mb)) = (model.size_mb, engine.memory_mb)
        && size_mb > memory_mb
    {
        return Some(Finding::error(
            FindingPlace::checked(position, EntryField::Size),
            format!(
                "model `{}` takes {size_mb} MB and an engine has {memory_mb} MB",
                model.name
            ),
            "correct the size or give the service larger engines",
        ));
    }
    let adapter_size_mb = model.adapter_size_mb.filter(|size| *size > 0.0)?;
    let field = FindingPlace::checked(position, EntryField::AdapterSize);
    if engine.adapter_slots == 0 {
        let problem = format!("engines have no slots for adapters of `{}`", model.name);
        let remedy = "give the engines slots for adapters";
        return Some(Finding::warning(field, problem, remedy));
    }
    let capacity = engine.adapter_capacity(&model.name, &[]);
    if capacity >= engine.adapter_slots {
        return None;
    }
    let problem = format!(
        "beside model `{}`, the memory of an engine holds {capacity} adapters of {adapter_size_mb} MB, \
         fewer than its {} slots for adapters",
        model.name, engine.adapter_slots
    );
    let remedy = "lower the number of slots to what the memory holds";
    Some(Finding::warning(field, problem, remedy))
}

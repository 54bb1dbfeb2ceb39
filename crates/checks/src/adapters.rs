//! Check of the adapter versions in force against the base models of a configuration.

use gateway::catalog;

use crate::{
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on base models that have adapter versions but no engines.
#[must_use]
pub fn check_adapters(
    version: &catalog::ConfigurationVersion,
    adapters: &[catalog::AdapterVersion],
) -> Vec<Finding> {
    let engines = || version.services.iter().flat_map(|service| &service.engine);
    let has_model = |name: &str| {
        let mut models = engines().flat_map(|engine| &engine.models);
        models.any(|model| model.name == name)
    };
    let mut missing: Vec<&str> = adapters
        .iter()
        .map(|adapter| adapter.model.as_str())
        .filter(|model| !has_model(model))
        .collect();
    missing.sort_unstable();
    let groups = missing.chunk_by(|one, other| one == other);
    groups
        .map(|group| {
            Finding::warning(
                FindingPlace::checked(EntryPosition::Configuration, EntryField::Services),
                format!(
                    "{} published adapter versions belong to model `{}`, which no service has",
                    group.len(),
                    group[0]
                ),
                "add the model to a service, or expect refusals of requests for these adapters",
            )
        })
        .collect()
}

//! Checks of a patch against the configuration that it is based on.

use crate::{
    configuration::{self, Configuration},
    organisation,
    patch::{self, ValidationErrorList},
};

/// Finds changes that would have no effect or leave the configuration inconsistent.
///
/// The changes are applied to a copy one by one, so that a patch may add an operator and its
/// adapters together.
#[must_use]
pub fn check_patch(current: &Configuration, patch: &patch::Patch) -> ValidationErrorList {
    let mut errors = ValidationErrorList::default();
    let mut state = current.clone();
    for (index, change) in patch.changes.iter().enumerate() {
        let change_path = format!("changes[{index}]");
        check_change(&state, &change_path, change, &mut errors);
        state.apply(std::slice::from_ref(change));
    }
    errors
}

fn check_change(
    state: &Configuration,
    path: &str,
    change: &patch::ConfigurationChange,
    errors: &mut ValidationErrorList,
) {
    match change {
        patch::ConfigurationChange::AddAdapter(adapter) => {
            if state.adapter(&adapter.name).is_some() {
                let problem = format!("adapter `{}` already exists", adapter.name);
                errors.push(path, problem, "use replace_adapter");
            } else if state.adapters().len() >= configuration::MAX_ADAPTERS {
                errors.push(
                    path,
                    "there are too many adapters",
                    "remove unused adapters first",
                );
            }
            require_operator(state, path, &adapter.operator, errors);
        }
        patch::ConfigurationChange::ReplaceAdapter(adapter) => {
            require_adapter(state, path, &adapter.name, errors);
            require_operator(state, path, &adapter.operator, errors);
        }
        patch::ConfigurationChange::RemoveAdapter(target) => {
            require_adapter(state, path, &target.name, errors);
        }
        patch::ConfigurationChange::SetAdapterPriority(change) => {
            require_adapter(state, path, &change.name, errors);
        }
        patch::ConfigurationChange::SetAdapterOperator(change) => {
            require_adapter(state, path, &change.name, errors);
            require_operator(state, path, &change.operator, errors);
        }
        patch::ConfigurationChange::SetOperator(operator) => {
            let known = state.operator(&operator.name).is_some();
            if !known && state.operators().len() >= configuration::MAX_OPERATORS {
                errors.push(
                    path,
                    "there are too many operators",
                    "remove unused operators first",
                );
            }
        }
        patch::ConfigurationChange::RemoveOperator(target) => {
            require_operator(state, path, &target.name, errors);
            let owns = |adapter: &&std::sync::Arc<configuration::AdapterEntry>| {
                *adapter.operator == *target.name
            };
            if let Some(adapter) = state.adapters().iter().find(owns) {
                let problem = format!("operator `{}` owns `{}`", target.name, adapter.name);
                errors.push(
                    path,
                    problem,
                    "remove its adapters or give them to another operator",
                );
            }
        }
        patch::ConfigurationChange::SetService(service) => {
            let known = state.service(&service.name).is_some();
            if !known && state.services().len() >= configuration::MAX_OPERATORS {
                errors.push(
                    path,
                    "there are too many services",
                    "remove unused services first",
                );
            }
        }
        patch::ConfigurationChange::RemoveService(target) => {
            if state.service(&target.name).is_none() {
                let problem = format!("service `{}` is not configured", target.name);
                errors.push(path, problem, "correct the name or drop this change");
            }
        }
        patch::ConfigurationChange::SetOrganisation(entry) => {
            check_organisation(state, path, entry, errors);
        }
        patch::ConfigurationChange::RemoveOrganisation(target) => {
            if find_organisation(state, &target.name).is_none() {
                let problem = format!("organisation `{}` is not configured", target.name);
                errors.push(path, problem, "correct the name or drop this change");
            }
        }
    }
}

fn check_organisation(
    state: &Configuration,
    path: &str,
    entry: &organisation::OrganisationEntry,
    errors: &mut ValidationErrorList,
) {
    let all = state.organisations();
    if find_organisation(state, &entry.name).is_none()
        && all.len() >= organisation::MAX_ORGANISATIONS
    {
        errors.push(
            path,
            "there are too many organisations",
            "remove unused organisations first",
        );
    }
    let others = all.iter().filter(|other| other.name != entry.name);
    for other in others {
        if entry.keys.iter().any(|key| other.has_key(key)) {
            let problem = format!(
                "organisations `{}` and `{}` have the same key, which identifies neither",
                other.name, entry.name
            );
            errors.push(path, problem, "give each organisation keys of its own");
        }
    }
}

fn find_organisation<'a>(
    state: &'a Configuration,
    name: &str,
) -> Option<&'a organisation::OrganisationEntry> {
    let all = state.organisations();
    let position = all.binary_search_by(|entry| (*entry.name).cmp(name));
    Some(&all[position.ok()?])
}

fn require_adapter(
    state: &Configuration,
    path: &str,
    name: &str,
    errors: &mut ValidationErrorList,
) {
    if state.adapter(name).is_none() {
        let problem = format!("adapter `{name}` is not configured");
        errors.push(path, problem, "correct the name or add the adapter first");
    }
}

fn require_operator(
    state: &Configuration,
    path: &str,
    name: &str,
    errors: &mut ValidationErrorList,
) {
    if state.operator(name).is_none() {
        let problem = format!("operator `{name}` is not configured");
        errors.push(path, problem, "correct the name or add the operator first");
    }
}

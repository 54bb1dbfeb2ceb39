//! Checks of a patch against the configuration that it is based on.

use crate::{
    configuration::{self, Configuration},
    patch::{self, FaultList},
};

/// Finds changes that would have no effect or leave the configuration inconsistent.
///
/// The changes are applied to a copy one by one, so that a patch may add an operator and its
/// adapters together.
#[must_use]
pub fn check_patch(current: &Configuration, patch: &patch::Patch) -> FaultList {
    let mut faults = FaultList::default();
    let mut state = current.clone();
    for (index, change) in patch.changes.iter().enumerate() {
        let place = format!("changes[{index}]");
        check_change(&state, &place, change, &mut faults);
        state.apply(std::slice::from_ref(change));
    }
    faults
}

fn check_change(state: &Configuration, path: &str, change: &patch::Change, faults: &mut FaultList) {
    match change {
        patch::Change::AddAdapter(adapter) => {
            if state.adapter(&adapter.name).is_some() {
                let problem = format!("adapter `{}` exists", adapter.name);
                faults.push(path, problem, "use replace_adapter");
            } else if state.adapters().len() >= configuration::MAX_ADAPTERS {
                faults.push(
                    path,
                    "there are too many adapters",
                    "remove unused adapters first",
                );
            }
            require_operator(state, path, &adapter.operator, faults);
        }
        patch::Change::ReplaceAdapter(adapter) => {
            require_adapter(state, path, &adapter.name, faults);
            require_operator(state, path, &adapter.operator, faults);
        }
        patch::Change::RemoveAdapter(target) => require_adapter(state, path, &target.name, faults),
        patch::Change::SetAdapterPriority(change) => {
            require_adapter(state, path, &change.name, faults);
        }
        patch::Change::SetAdapterOperator(change) => {
            require_adapter(state, path, &change.name, faults);
            require_operator(state, path, &change.operator, faults);
        }
        patch::Change::SetOperator(operator) => {
            let known = state.operator(&operator.name).is_some();
            if !known && state.operators().len() >= configuration::MAX_OPERATORS {
                faults.push(
                    path,
                    "there are too many operators",
                    "remove unused operators first",
                );
            }
        }
        patch::Change::RemoveOperator(target) => {
            require_operator(state, path, &target.name, faults);
            let owns = |adapter: &&std::sync::Arc<configuration::AdapterEntry>| {
                *adapter.operator == *target.name
            };
            if let Some(adapter) = state.adapters().iter().find(owns) {
                let problem = format!("operator `{}` owns `{}`", target.name, adapter.name);
                faults.push(
                    path,
                    problem,
                    "remove its adapters or give them to another operator",
                );
            }
        }
        patch::Change::SetService(service) => {
            let known = state.service(&service.name).is_some();
            if !known && state.services().len() >= configuration::MAX_OPERATORS {
                faults.push(
                    path,
                    "there are too many services",
                    "remove unused services first",
                );
            }
        }
        patch::Change::RemoveService(target) => {
            if state.service(&target.name).is_none() {
                let problem = format!("service `{}` is not configured", target.name);
                faults.push(path, problem, "correct the name or drop this change");
            }
        }
    }
}

fn require_adapter(state: &Configuration, path: &str, name: &str, faults: &mut FaultList) {
    if state.adapter(name).is_none() {
        let problem = format!("adapter `{name}` is not configured");
        faults.push(path, problem, "correct the name or add the adapter first");
    }
}

fn require_operator(state: &Configuration, path: &str, name: &str, faults: &mut FaultList) {
    if state.operator(name).is_none() {
        let problem = format!("operator `{name}` is not configured");
        faults.push(path, problem, "correct the name or add the operator first");
    }
}

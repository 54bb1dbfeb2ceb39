//! Configuration at one version.
//!
//! Entries are shared between versions: a change copies the vector of pointers at most, and only
//! while a reader still holds the previous version. Names that occur in many adapters are interned.
//!
//! Applying a change never fails. A change that does not fit the state (a priority for an unknown
//! adapter) is skipped, so acceptance depends on the base version alone and processes with
//! different validation rules still agree. [`crate::check`] finds such changes before publishing.

use std::{mem, sync::Arc};

use decisions::{ids, units};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

use crate::{organisation, patch};

/// Largest number of adapters; further ones are skipped.
pub const MAX_ADAPTERS: usize = 65_536;
/// Largest number of operators and of services; further ones are skipped.
pub const MAX_OPERATORS: usize = 1_024;
/// Strong and weak reference count in front of the value of an [`Arc`].
const ARC_HEADER_BYTES: usize = 2 * mem::size_of::<usize>();

/// One adapter with its published versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    pub name: Box<str>,
    pub base_model: Arc<str>,
    /// Operator that owns the adapter.
    pub operator: Arc<str>,
    /// Published versions, ascending.
    pub versions: Box<[u32]>,
    pub default_version: u32,
    #[serde(default)]
    pub priority: units::Priority,
}

/// One operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    pub name: Box<str>,
    /// Share of a contended engine relative to other operators.
    pub weight: u32,
    /// Highest priority that the operator's requests may have.
    pub allowed_priority: units::Priority,
}

/// One plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    pub name: Box<str>,
    /// Whether a call is safe to run more than once.
    pub repeatable: bool,
}

/// Reason why a model name does not resolve to an adapter version.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum ResolveError {
    #[snafu(display("adapter `{name}` is not configured; publish it or correct the name"))]
    UnknownAdapter { name: String },
    #[snafu(display(
        "adapter `{name}` has no version {version}; use one of {available:?} or none for the default"
    ))]
    UnknownVersion {
        name: String,
        version: u32,
        available: Vec<u32>,
    },
}

/// State after all accepted patches up to a version.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "ConfigurationFields")]
pub struct Configuration {
    version: u64,
    adapters: Vec<Arc<AdapterEntry>>,
    operators: Vec<Arc<OperatorEntry>>,
    services: Vec<Arc<ServiceEntry>>,
    organisations: Vec<Arc<organisation::OrganisationEntry>>,
    /// There was an organisation at some time.
    requires_keys: bool,
    /// Interned names of base models and operators, sorted; not part of the state.
    #[serde(skip)]
    interned_names: Vec<Arc<str>>,
}

#[derive(Deserialize)]
struct ConfigurationFields {
    version: u64,
    adapters: Vec<AdapterEntry>,
    operators: Vec<OperatorEntry>,
    services: Vec<ServiceEntry>,
    #[serde(default)]
    organisations: Vec<organisation::OrganisationEntry>,
    #[serde(default)]
    requires_keys: bool,
}

trait NamedEntry {
    fn name(&self) -> &str;
}

impl NamedEntry for AdapterEntry {
    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedEntry for OperatorEntry {
    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedEntry for ServiceEntry {
    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedEntry for organisation::OrganisationEntry {
    fn name(&self) -> &str {
        &self.name
    }
}

impl PartialEq for Configuration {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version
            && self.adapters == other.adapters
            && self.operators == other.operators
            && self.services == other.services
            && self.organisations == other.organisations
            && self.requires_keys == other.requires_keys
    }
}

impl Eq for Configuration {}

impl From<ConfigurationFields> for Configuration {
    fn from(fields: ConfigurationFields) -> Self {
        let mut configuration = Self {
            version: fields.version,
            requires_keys: fields.requires_keys,
            ..Self::default()
        };
        for adapter in fields.adapters {
            configuration.upsert_adapter(adapter);
        }
        for operator in fields.operators {
            upsert(&mut configuration.operators, operator, MAX_OPERATORS);
        }
        for service in fields.services {
            upsert(&mut configuration.services, service, MAX_OPERATORS);
        }
        for entry in fields.organisations {
            configuration.upsert_organisation(entry);
        }
        configuration
    }
}

impl Configuration {
    /// Number of accepted patches.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adapters, sorted by name.
    #[must_use]
    pub fn adapters(&self) -> &[Arc<AdapterEntry>] {
        &self.adapters
    }

    /// Operators, sorted by name.
    #[must_use]
    pub fn operators(&self) -> &[Arc<OperatorEntry>] {
        &self.operators
    }

    /// Plain services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Arc<ServiceEntry>] {
        &self.services
    }

    /// Organisations of callers, sorted by name.
    #[must_use]
    pub fn organisations(&self) -> &[Arc<organisation::OrganisationEntry>] {
        &self.organisations
    }

    /// Whether callers need a key of an organisation: from the first organisation on, also when all
    /// were removed since, so that taking the last key away admits nobody.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Adapter of this name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&AdapterEntry> {
        find_by_name(&self.adapters, name)
    }

    /// Operator of this name.
    #[must_use]
    pub fn operator(&self, name: &str) -> Option<&OperatorEntry> {
        find_by_name(&self.operators, name)
    }

    /// Plain service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        find_by_name(&self.services, name)
    }

    /// Resolves an adapter name and an optional version; the default version applies without one.
    ///
    /// # Errors
    /// [`ResolveError`] when the adapter or the version is not configured.
    pub fn resolve(
        &self,
        name: &str,
        version: Option<u32>,
    ) -> Result<ids::AdapterRef, ResolveError> {
        let adapter = self.adapter(name).context(UnknownAdapterSnafu { name })?;
        let version = version.unwrap_or(adapter.default_version);
        ensure!(
            adapter.versions.binary_search(&version).is_ok(),
            UnknownVersionSnafu {
                name,
                version,
                available: adapter.versions.to_vec(),
            }
        );
        Ok(ids::AdapterRef {
            name: name.to_owned(),
            version,
        })
    }

    /// Applies the changes of an accepted patch and increases the version by one.
    pub fn apply(&mut self, changes: &[patch::ConfigurationChange]) {
        for change in changes {
            self.apply_change(change);
        }
        self.version += 1;
    }

    /// Size of the state in bytes, including headers of shared values but not allocator rounding.
    #[must_use]
    pub fn byte_size(&self) -> usize {
        let adapters: usize = self
            .adapters
            .iter()
            .map(|adapter| adapter.name.len() + mem::size_of_val(&*adapter.versions))
            .sum();
        let operators: usize = self.operators.iter().map(|entry| entry.name.len()).sum();
        let services: usize = self.services.iter().map(|entry| entry.name.len()).sum();
        let organisations = self.organisations.iter();
        let organisations: usize = organisations.map(|entry| entry.text_bytes()).sum();
        let interned_names: usize = self
            .interned_names
            .iter()
            .map(|name| ARC_HEADER_BYTES + name.len())
            .sum();
        mem::size_of::<Self>()
            + entry_list_bytes(&self.adapters)
            + entry_list_bytes(&self.operators)
            + entry_list_bytes(&self.services)
            + entry_list_bytes(&self.organisations)
            + self.interned_names.capacity() * mem::size_of::<Arc<str>>()
            + adapters
            + operators
            + services
            + organisations
            + interned_names
    }

    fn apply_change(&mut self, change: &patch::ConfigurationChange) {
        match change {
            patch::ConfigurationChange::AddAdapter(adapter)
            | patch::ConfigurationChange::ReplaceAdapter(adapter) => {
                self.upsert_adapter(adapter.clone());
            }
            patch::ConfigurationChange::RemoveAdapter(target) => {
                remove_by_name(&mut self.adapters, &target.name);
            }
            patch::ConfigurationChange::SetAdapterPriority(change) => {
                if let Some(adapter) = find_by_name_mut(&mut self.adapters, &change.name) {
                    adapter.priority = change.priority;
                }
            }
            patch::ConfigurationChange::SetAdapterOperator(change) => {
                let operator = self.intern(&change.operator);
                if let Some(adapter) = find_by_name_mut(&mut self.adapters, &change.name) {
                    adapter.operator = operator;
                }
            }
            patch::ConfigurationChange::SetOperator(operator) => {
                upsert(&mut self.operators, operator.clone(), MAX_OPERATORS);
            }
            patch::ConfigurationChange::RemoveOperator(target) => {
                remove_by_name(&mut self.operators, &target.name);
            }
            patch::ConfigurationChange::SetService(service) => {
                upsert(&mut self.services, service.clone(), MAX_OPERATORS);
            }
            patch::ConfigurationChange::RemoveService(target) => {
                remove_by_name(&mut self.services, &target.name);
            }
            patch::ConfigurationChange::SetOrganisation(entry) => {
                self.upsert_organisation(entry.clone());
            }
            patch::ConfigurationChange::RemoveOrganisation(target) => {
                remove_by_name(&mut self.organisations, &target.name);
            }
        }
    }

    fn upsert_organisation(&mut self, entry: organisation::OrganisationEntry) {
        self.requires_keys = true;
        let limit = organisation::MAX_ORGANISATIONS;
        upsert(&mut self.organisations, entry, limit);
    }

    fn upsert_adapter(&mut self, mut adapter: AdapterEntry) {
        adapter.base_model = self.intern(&adapter.base_model);
        adapter.operator = self.intern(&adapter.operator);
        upsert(&mut self.adapters, adapter, MAX_ADAPTERS);
    }

    fn intern(&mut self, name: &str) -> Arc<str> {
        match self
            .interned_names
            .binary_search_by(|known| (**known).cmp(name))
        {
            Ok(index) => Arc::clone(&self.interned_names[index]),
            Err(index) => {
                let name: Arc<str> = Arc::from(name);
                // Names of removed adapters are not evicted, so a full pool is cleared.
                if self.interned_names.len() >= MAX_ADAPTERS {
                    self.interned_names.clear();
                    return name;
                }
                self.interned_names.insert(index, Arc::clone(&name));
                name
            }
        }
    }
}

fn entry_list_bytes<T>(entries: &Vec<Arc<T>>) -> usize {
    entries.capacity() * mem::size_of::<Arc<T>>()
        + entries.len() * (ARC_HEADER_BYTES + mem::size_of::<T>())
}

fn search_by_name<T: NamedEntry>(entries: &[Arc<T>], name: &str) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.name().cmp(name))
}

fn find_by_name<'a, T: NamedEntry>(entries: &'a [Arc<T>], name: &str) -> Option<&'a T> {
    let index = search_by_name(entries, name).ok()?;
    Some(&entries[index])
}

fn find_by_name_mut<'a, T: Clone + NamedEntry>(
    entries: &'a mut [Arc<T>],
    name: &str,
) -> Option<&'a mut T> {
    let index = search_by_name(entries, name).ok()?;
    Some(Arc::make_mut(&mut entries[index]))
}

fn upsert<T: NamedEntry>(entries: &mut Vec<Arc<T>>, entry: T, limit: usize) {
    match search_by_name(entries, entry.name()) {
        Ok(index) => entries[index] = Arc::new(entry),
        Err(index) if entries.len() < limit => entries.insert(index, Arc::new(entry)),
        Err(_) => {}
    }
}

fn remove_by_name<T: NamedEntry>(entries: &mut Vec<Arc<T>>, name: &str) {
    if let Ok(index) = search_by_name(entries, name) {
        entries.remove(index);
    }
}

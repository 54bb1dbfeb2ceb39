//! Current configuration: routes, services, limits and adapter versions.
//!
//! Versions only increase. A configuration that is read late or from a stale copy is ignored, so a
//! process never reverts to an older one.

use std::time;

use crate::organisations;

/// Whether requests on a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// The request may run more than once.
    Safe,
    /// The request may run at most once.
    Unsafe,
    /// The response is an event stream, which may be resumed only if `resumable`.
    Stream { resumable: bool },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// Service with its weight in a route's traffic split.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    pub service: String,
    pub weight: u32,
}

/// Route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    pub name: String,
    pub host: String,
    /// Starts and ends with a slash.
    pub prefix: String,
    pub kind: RouteKind,
    pub timeout: time::Duration,
    /// Latency objective of the response.
    pub objective: time::Duration,
    /// Time without an event after which callers disconnect from a stream.
    pub stream_event_timeout: time::Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    pub services: Vec<WeightedService>,
    /// Maximum number of replicas to which one request is sent.
    pub max_attempts: u32,
    /// Callers need no key.
    pub is_public: bool,
}

impl RouteEntry {
    /// Selects the service of a request by its hash.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut rest = hash.checked_rem(total)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}

/// Capacity and base models of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    pub slots: u32,
    pub adapter_slots: u32,
    /// Memory for base models and adapters together, in MB, if the configuration states it.
    pub memory_mb: Option<f64>,
    /// Base models, in the order of the configuration.
    pub models: Vec<BaseModel>,
}

impl EngineLimits {
    /// Usual time in which an engine loads a base model, if known.
    #[must_use]
    pub fn model_load_time(&self, name: &str) -> Option<time::Duration> {
        self.model(name)?.load_time
    }

    /// Number of adapters of a base model that an engine with the `loaded` base models can hold,
    /// by its slots and by its memory.
    #[must_use]
    pub fn adapter_capacity(&self, model: &str, loaded: &[String]) -> u32 {
        let in_memory = self.adapters_in_memory(model, loaded);
        in_memory.map_or(self.adapter_slots, |count| count.min(self.adapter_slots))
    }

    /// Number of adapters that fit into the memory; `None` if a size is not stated.
    fn adapters_in_memory(&self, model: &str, loaded: &[String]) -> Option<u32> {
        let adapter_size_mb = self
            .model(model)?
            .adapter_size_mb
            .filter(|size| *size > 0.0)?;
        let others = loaded.iter().filter(|name| *name != model);
        let names = others.map(String::as_str).chain([model]);
        let sizes = names.map(|name| self.model(name).and_then(|model| model.size_mb));
        let taken_mb: f64 = sizes.sum::<Option<f64>>()?;
        let count = ((self.memory_mb? - taken_mb) / adapter_size_mb).floor();
        // Saturates at the bounds of the integer.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(count as u32)
    }

    fn model(&self, name: &str) -> Option<&BaseModel> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// Base model of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct BaseModel {
    pub name: String,
    /// Memory that it takes, in MB, if the configuration states it.
    pub size_mb: Option<f64>,
    /// Memory that each of its adapters takes, in MB, if the configuration states it.
    pub adapter_size_mb: Option<f64>,
    /// Usual time of a load, if the configuration states it.
    pub load_time: Option<time::Duration>,
}

/// Service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    pub name: String,
    /// Connections that one replica accepts in total.
    pub max_connections: u32,
    pub engine: Option<EngineLimits>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: time::Duration,
    pub idle_timeout: time::Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationVersion {
    pub version: u64,
    pub routes: Vec<RouteEntry>,
    pub services: Vec<ServiceEntry>,
    pub limits: CallerLimits,
    pub organisations: organisations::OrganisationDirectory,
}

impl ConfigurationVersion {
    /// Route of a host with the longest prefix of a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let path = path.split('?').next().unwrap_or_default();
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Newest version of an adapter declared by operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterVersion {
    pub model: String,
    pub adapter: String,
    pub version: u32,
}

/// Change made by a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogChange {
    Configuration {
        version: u64,
    },
    Adapter {
        version: u32,
    },
    /// The record is not newer than the current one.
    Stale,
}

/// Configuration as known to one process.
#[derive(Debug, Default)]
pub struct ServingCatalog {
    current: Option<std::sync::Arc<ConfigurationVersion>>,
    /// Sorted by model and adapter.
    adapters: Vec<AdapterVersion>,
}

impl ServingCatalog {
    /// Applies a configuration if it is newer.
    pub fn apply_configuration(&mut self, found: ConfigurationVersion) -> CatalogChange {
        let version = found.version;
        if self
            .current
            .as_ref()
            .is_some_and(|current| current.version >= version)
        {
            return CatalogChange::Stale;
        }
        self.current = Some(std::sync::Arc::new(found));
        CatalogChange::Configuration { version }
    }

    /// Applies the version of an adapter if it is newer.
    pub fn apply_adapter_version(&mut self, found: AdapterVersion) -> CatalogChange {
        let version = found.version;
        match self.find(&found.model, &found.adapter) {
            Ok(position) if self.adapters[position].version >= version => CatalogChange::Stale,
            Ok(position) => {
                self.adapters[position] = found;
                CatalogChange::Adapter { version }
            }
            Err(position) => {
                self.adapters.insert(position, found);
                CatalogChange::Adapter { version }
            }
        }
    }

    /// Current configuration.
    #[must_use]
    pub fn current(&self) -> Option<std::sync::Arc<ConfigurationVersion>> {
        self.current.clone()
    }

    /// Declared version of an adapter.
    #[must_use]
    pub fn adapter(&self, model: &str, adapter: &str) -> Option<u32> {
        let position = self.find(model, adapter).ok()?;
        Some(self.adapters[position].version)
    }

    fn find(&self, model: &str, adapter: &str) -> Result<usize, usize> {
        self.adapters.binary_search_by(|known| {
            (known.model.as_str(), known.adapter.as_str()).cmp(&(model, adapter))
        })
    }
}

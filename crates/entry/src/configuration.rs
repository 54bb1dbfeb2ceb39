//! Configuration in effect at an entry.
//!
//! Without a log in the settings, the entry serves one base model and accepts every adapter name.

use std::sync::Arc;

use callers::{
    error::{CallerError, ErrorCode},
    handler,
};
use decisions::{caller_key, ids, units};
use futures::future::BoxFuture;
use operators::{configuration, snapshot};
use platform::follower;
use tokio::sync::watch;

use crate::{directory, organisations};

/// Configuration as the requests of an entry use it.
pub struct ConfigurationView {
    /// Base model of all adapters when there is no log.
    base_model: String,
    state: Option<watch::Receiver<follower::PublishedState>>,
    callers: organisations::CallerDirectory,
}

/// Adapter version with its configured properties.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedAdapter {
    pub adapter: ids::AdapterRef,
    pub base_model: String,
    pub operator: String,
    pub operator_weight: u32,
    /// Priority of requests that set none.
    pub priority: units::Priority,
    pub allowed_priority: units::Priority,
}

impl ConfigurationView {
    /// Creates a view without a log.
    #[must_use]
    pub fn without_log(base_model: &str) -> Self {
        Self {
            base_model: base_model.to_owned(),
            state: None,
            callers: organisations::CallerDirectory::default(),
        }
    }

    /// Creates a view of a follower's state.
    #[must_use]
    pub fn from_follower(state: watch::Receiver<follower::PublishedState>) -> Self {
        Self {
            base_model: String::new(),
            state: Some(state),
            callers: organisations::CallerDirectory::default(),
        }
    }

    /// Version of the configuration in effect; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        let state = self.state.as_ref().and_then(|state| state.borrow().clone());
        state.map_or(0, |state| state.configuration.version())
    }

    /// Configured adapters; empty without a log, where every name is accepted.
    #[must_use]
    pub fn models(&self) -> Vec<handler::ModelName> {
        let state = self.state.as_ref().and_then(|state| state.borrow().clone());
        let Some(state) = state else {
            return Vec::new();
        };
        let adapters = state.configuration.adapters().iter();
        adapters
            .map(|adapter| handler::ModelName {
                name: adapter.name.to_string(),
                operator: adapter.operator.to_string(),
            })
            .collect()
    }

    /// Whether requests can be resolved.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state
            .as_ref()
            .is_none_or(|state| state.borrow().is_some())
    }

    /// Organisation of a caller's key; `None` if the configuration has no organisations.
    ///
    /// # Errors
    /// [`CallerError`] when no organisation holds the key or no configuration is known yet.
    pub fn authorize(
        &self,
        key: Option<&caller_key::CallerKey>,
    ) -> Result<Option<String>, CallerError> {
        let Some(configuration) = self.current_configuration()? else {
            return Ok(None);
        };
        self.callers.find(&configuration, key)
    }

    /// Adapter version of a model name.
    ///
    /// # Errors
    /// [`CallerError`] when the name is not configured or no configuration is known yet.
    pub fn resolve(&self, model: &str) -> Result<ResolvedAdapter, CallerError> {
        let unknown_model = |message| CallerError::not_run(ErrorCode::UnknownModel, message);
        let (name, version) =
            ids::split_model_name(model).map_err(|error| unknown_model(error.to_string()))?;
        let Some(configuration) = self.current_configuration()? else {
            return Ok(self.default_adapter(name, version));
        };
        let adapter = configuration
            .resolve(name, version)
            .map_err(|error| unknown_model(error.to_string()))?;
        let entry = configuration.adapter(name).ok_or_else(|| {
            unknown_model(format!(
                "adapter `{name}` is not configured; publish it first"
            ))
        })?;
        let operator = configuration.operator(&entry.operator);
        Ok(ResolvedAdapter {
            adapter,
            base_model: entry.base_model.to_string(),
            operator: entry.operator.to_string(),
            operator_weight: operator.map_or(1, |operator| operator.weight),
            priority: entry.priority,
            allowed_priority: operator
                .map_or(units::Priority::High, |operator| operator.allowed_priority),
        })
    }

    /// Whether a service is configured as repeatable; `None` without a log.
    ///
    /// # Errors
    /// [`CallerError`] when the service is not configured or no configuration is known yet.
    pub fn service(&self, name: &str) -> Result<Option<bool>, CallerError> {
        let Some(configuration) = self.current_configuration()? else {
            return Ok(None);
        };
        let service = configuration.service(name).ok_or_else(|| {
            let message = format!("service `{name}` is not configured; publish it first");
            CallerError::not_run(ErrorCode::UnknownService, message)
        })?;
        Ok(Some(service.repeatable))
    }

    fn current_configuration(
        &self,
    ) -> Result<Option<Arc<configuration::Configuration>>, CallerError> {
        let Some(state) = &self.state else {
            return Ok(None);
        };
        let state = state.borrow().clone().ok_or_else(|| {
            let message = "no configuration is known yet; retry later";
            CallerError::not_run(ErrorCode::ConfigurationMissing, message)
                .retry_after(std::time::Duration::from_secs(1))
        })?;
        Ok(Some(Arc::clone(&state.configuration)))
    }

    fn default_adapter(&self, name: &str, version: Option<u32>) -> ResolvedAdapter {
        ResolvedAdapter {
            adapter: ids::AdapterRef {
                name: name.to_owned(),
                version: version.unwrap_or(1),
            },
            base_model: self.base_model.clone(),
            operator: String::new(),
            operator_weight: 1,
            priority: units::Priority::default(),
            allowed_priority: units::Priority::High,
        }
    }
}

/// Configuration images of the connected agents, used to start while the log is unavailable.
pub struct AgentImages(pub Arc<directory::AgentDirectory>);

impl follower::ImageSource for AgentImages {
    fn image(&self, known_version: u64) -> BoxFuture<'_, Option<snapshot::EncodedImage>> {
        Box::pin(self.0.newest_image(known_version))
    }
}

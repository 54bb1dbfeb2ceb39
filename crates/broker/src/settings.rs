//! Settings of a broker.

use std::net;

use serde::Deserialize;

/// Settings file of a broker, in YAML.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BrokerSettings {
    /// Name of the instance, sent as the holder of all commands to its engine.
    pub instance: String,
    pub data_centre: String,
    /// Address for entries.
    pub listen: net::SocketAddr,
    /// Address of the engine on this instance.
    pub engine: Option<net::SocketAddr>,
    /// Address of the metrics.
    pub metrics: Option<net::SocketAddr>,
    /// Maximum number of requests at the engine that have not produced an event.
    #[serde(default = "default_unstarted")]
    pub unstarted: u32,
    /// Maximum number of concurrent adapter loads.
    #[serde(default = "default_parallel_loads")]
    pub parallel_loads: usize,
}

fn default_unstarted() -> u32 {
    1
}

fn default_parallel_loads() -> usize {
    2
}

impl BrokerSettings {
    /// Invalid values that the format allows, each with the setting to change.
    #[must_use]
    pub fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, error: &str| {
            if !is_valid {
                errors.push(error.to_owned());
            }
        };
        check(
            !self.instance.is_empty(),
            "instance: empty; name the instance",
        );
        check(
            self.unstarted > 0,
            "unstarted: 0; the engine would get nothing",
        );
        check(
            self.parallel_loads > 0,
            "parallel_loads: 0; no adapter would be loaded",
        );
        errors
    }
}

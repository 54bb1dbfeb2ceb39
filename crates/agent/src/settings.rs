//! Settings of an agent.

use std::{net, time};

use serde::{Deserialize, Serialize};

/// Settings of one agent process.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Address on which the agent listens for entries.
    pub listen: net::SocketAddr,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Engines in front of which the agent stands.
    pub replicas: Vec<ReplicaSettings>,
    /// Time that a graceful shutdown may take, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(default = "default_drain", rename = "drain_seconds")]
    pub drain: time::Duration,
}

/// Settings of one engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// Address of the engine.
    pub address: net::SocketAddr,
    /// Base model that the engine serves.
    pub base_model: String,
    /// Adapters that fit into the engine.
    pub adapter_slots: u16,
    /// Largest batch, in requests.
    pub batch_limit: u16,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

fn default_drain() -> time::Duration {
    time::Duration::from_secs(30)
}

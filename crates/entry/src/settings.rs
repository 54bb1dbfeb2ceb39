//! Settings of an entry.

use std::{net, time};

use serde::{Deserialize, Serialize};

/// Settings of one entry process.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address of the HTTP interface for callers.
    pub listen: net::SocketAddr,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Threads of the HTTP interface.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Addresses of the agents.
    pub agents: Vec<net::SocketAddr>,
    /// Base model of adapters that no configuration names.
    pub base_model: String,
    /// Deadline of requests that name none, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(default = "default_deadline", rename = "default_deadline_ms")]
    pub default_deadline: time::Duration,
    /// Time that a graceful shutdown may take, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(default = "default_drain", rename = "drain_seconds")]
    pub drain: time::Duration,
}

fn default_threads() -> usize {
    2
}

fn default_deadline() -> time::Duration {
    time::Duration::from_secs(30)
}

fn default_drain() -> time::Duration {
    time::Duration::from_secs(30)
}

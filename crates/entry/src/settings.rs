//! Settings of an entry.

use std::{net, time};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

const MAX_THREADS: usize = 64;
const MAX_CLAIM_STREAMS: u16 = 256;
const MAX_DRAIN: time::Duration = time::Duration::from_hours(1);

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
    /// Address of the platform's log. Without it there is no configuration: every adapter name is
    /// accepted and runs on `base_model`.
    #[serde(default)]
    pub log: Option<net::SocketAddr>,
    /// Number of log streams for the claims of idempotency keys; must be the same in all entries.
    #[serde(default = "default_claim_streams")]
    pub claim_streams: u16,
    /// Retention of idempotency keys, in seconds; must be the same in all entries.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(default = "default_claim_window", rename = "claim_window_seconds")]
    pub claim_window: time::Duration,
    /// Address of the platform's instance list. Without it, only `agents` are used.
    #[serde(default)]
    pub instance_list: Option<net::SocketAddr>,
    /// Addresses of agents to use in addition to the instance list.
    #[serde(default)]
    pub agents: Vec<net::SocketAddr>,
    /// Base model of all adapters when `log` is not set.
    pub base_model: String,
    /// Deadline of requests that set none, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(default = "default_deadline", rename = "default_deadline_ms")]
    pub default_deadline: time::Duration,
    /// Maximum duration of a graceful shutdown, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(default = "default_drain", rename = "drain_seconds")]
    pub drain: time::Duration,
}

/// Invalid field of the settings.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{path}: {remedy}"))]
pub struct SettingsError {
    /// Path of the field, for example `agents[2]`.
    pub path: String,
    pub remedy: String,
}

impl EntrySettings {
    /// Settings with these agents and defaults for the rest.
    #[must_use]
    pub fn new(
        listen: net::SocketAddr,
        data_centre: &str,
        base_model: &str,
        agents: Vec<net::SocketAddr>,
    ) -> Self {
        Self {
            listen,
            data_centre: data_centre.to_owned(),
            threads: default_threads(),
            log: None,
            claim_streams: default_claim_streams(),
            claim_window: default_claim_window(),
            instance_list: None,
            agents,
            base_model: base_model.to_owned(),
            default_deadline: default_deadline(),
            drain: default_drain(),
        }
    }

    /// All errors, each with the path of its field and a remedy.
    #[must_use]
    pub fn validate(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, path: &str, remedy: &str| {
            if !is_valid {
                errors.push(SettingsError {
                    path: path.to_owned(),
                    remedy: remedy.to_owned(),
                });
            }
        };
        let has_centre = !self.data_centre.trim().is_empty();
        check(
            has_centre,
            "data_centre",
            "name the data centre of this instance",
        );
        let threads = (1..=MAX_THREADS).contains(&self.threads);
        check(threads, "threads", "use 1 to 64 threads");
        check(
            !self.base_model.trim().is_empty(),
            "base_model",
            "name a base model",
        );
        let deadline = !self.default_deadline.is_zero();
        check(deadline, "default_deadline_ms", "use at least 1 ms");
        check(
            self.drain <= MAX_DRAIN,
            "drain_seconds",
            "use at most 3600 s",
        );
        let streams = (1..=MAX_CLAIM_STREAMS).contains(&self.claim_streams);
        check(
            streams,
            "claim_streams",
            "use 1 to 256 streams, the same in all entries",
        );
        let window = !self.claim_window.is_zero();
        check(window, "claim_window_seconds", "use at least 1 s");
        let has_agents = !self.agents.is_empty() || self.instance_list.is_some();
        check(
            has_agents,
            "agents",
            "name an agent here or set `instance_list`",
        );
        for (index, agent) in self.agents.iter().enumerate() {
            let path = format!("agents[{index}]");
            let is_routable = !agent.ip().is_unspecified() && !agent.ip().is_multicast();
            check(is_routable, &path, "use the address of one instance");
            check(agent.port() != 0, &path, "use the agent's port, not 0");
            check(
                *agent != self.listen,
                &path,
                "use the agent's address, not `listen`",
            );
            let is_first = !self.agents[..index].contains(agent);
            check(is_first, &path, "remove the duplicate address");
        }
        errors
    }
}

fn default_claim_streams() -> u16 {
    16
}

fn default_claim_window() -> time::Duration {
    time::Duration::from_mins(10)
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

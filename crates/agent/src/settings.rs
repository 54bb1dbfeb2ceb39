//! Settings of an agent.

use std::{net, time};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

const MAX_DRAIN: time::Duration = time::Duration::from_hours(1);

/// Settings of one agent process.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Address on which the agent listens for entries.
    pub listen: net::SocketAddr,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Engines served by this agent.
    #[serde(default)]
    pub replicas: Vec<ReplicaSettings>,
    /// Plain services served by this agent.
    #[serde(default)]
    pub services: Vec<ServiceSettings>,
    /// Time limit of a graceful shutdown, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(default = "default_drain", rename = "drain_seconds")]
    pub drain: time::Duration,
    /// Address of the HTTP endpoint with `/metrics` and `/healthz`; disabled if not set.
    #[serde(default)]
    pub metrics: Option<net::SocketAddr>,
    /// Address of the log service; without it the agent cannot send a configuration to entries.
    #[serde(default)]
    pub log: Option<net::SocketAddr>,
    /// Agents that share the weight store, this one included; until peers report their demand,
    /// each takes an equal share of the store's rate.
    #[serde(default = "default_agents")]
    pub agents: u32,
    /// Maximum number of requests waiting at one replica; further ones are refused.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
    /// Bytes of responses kept for repeated idempotency keys; the oldest are dropped first.
    #[serde(default = "default_kept_bytes")]
    pub kept_bytes: usize,
}

/// Settings of one engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// Address of the engine.
    pub address: net::SocketAddr,
    /// Base model that the engine serves.
    pub base_model: String,
    /// Number of adapters that the engine can hold.
    pub adapter_slots: u16,
    /// Maximum batch size, in requests.
    pub batch_limit: u16,
    /// Whether the engine refuses commands with an old fencing number.
    pub checks_fencing: bool,
}

/// Settings of one plain service.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name under which callers address the service.
    pub name: String,
    /// Address of the service.
    pub address: net::SocketAddr,
    /// Timeout until the response headers arrive, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(default = "default_timeout", rename = "timeout_seconds")]
    pub timeout: time::Duration,
}

/// One invalid setting.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{path}: {problem}; {remedy}"))]
pub struct SettingsError {
    /// Path in the settings file, for example `replicas[0].address`.
    pub path: String,
    pub problem: String,
    pub remedy: &'static str,
}

impl AgentSettings {
    /// Settings for these engines, with defaults for the rest.
    #[must_use]
    pub fn new(listen: net::SocketAddr, data_centre: &str, replicas: Vec<ReplicaSettings>) -> Self {
        Self {
            listen,
            data_centre: data_centre.to_owned(),
            replicas,
            services: Vec::new(),
            drain: default_drain(),
            log: None,
            metrics: None,
            agents: default_agents(),
            queue_limit: default_queue_limit(),
            kept_bytes: default_kept_bytes(),
        }
    }

    /// All errors, in the order of the fields.
    #[must_use]
    pub fn validate(&self) -> Vec<SettingsError> {
        let mut errors = SettingsErrorList::default();
        errors.check_address("listen", self.listen, true);
        if self.data_centre.is_empty() {
            errors.add(
                "data_centre",
                "is empty",
                "name the data centre of the instance",
            );
        }
        if self.replicas.is_empty() && self.services.is_empty() {
            let remedy = "list at least one engine, or one service under `services`";
            errors.add("replicas", "is empty", remedy);
        }
        for (index, replica) in self.replicas.iter().enumerate() {
            replica.validate(&format!("replicas[{index}]"), &mut errors);
        }
        for (index, service) in self.services.iter().enumerate() {
            let path = format!("services[{index}]");
            service.validate(&path, &mut errors);
            let is_repeated = self.services[..index]
                .iter()
                .any(|other| other.name == service.name);
            if is_repeated {
                let remedy = "give every service its own name";
                errors.add(&format!("{path}.name"), "is used twice", remedy);
            }
        }
        if let Some(metrics) = self.metrics {
            errors.check_address("metrics", metrics, true);
        }
        if let Some(log) = self.log {
            errors.check_address("log", log, false);
        }
        if self.drain.is_zero() || self.drain > MAX_DRAIN {
            errors.add("drain_seconds", "is out of range", "use 1 to 3600");
        }
        if self.agents == 0 {
            errors.add("agents", "is 0", "use at least 1; this agent is included");
        }
        if self.queue_limit == 0 {
            errors.add("queue_limit", "is 0", "allow at least one waiting request");
        }
        errors.errors
    }
}

impl ReplicaSettings {
    fn validate(&self, path: &str, errors: &mut SettingsErrorList) {
        errors.check_address(&format!("{path}.address"), self.address, false);
        if self.base_model.is_empty() {
            let remedy = "name the model that the engine serves";
            errors.add(&format!("{path}.base_model"), "is empty", remedy);
        }
        if self.adapter_slots == 0 {
            let remedy = "set the number of adapters that the engine can hold";
            errors.add(&format!("{path}.adapter_slots"), "is 0", remedy);
        }
        if self.batch_limit == 0 {
            let remedy = "set the maximum batch size of the engine, in requests";
            errors.add(&format!("{path}.batch_limit"), "is 0", remedy);
        }
    }
}

impl ServiceSettings {
    fn validate(&self, path: &str, errors: &mut SettingsErrorList) {
        if self.name.is_empty() {
            errors.add(&format!("{path}.name"), "is empty", "name the service");
        }
        errors.check_address(&format!("{path}.address"), self.address, false);
        if self.timeout.is_zero() {
            let remedy = "set the response timeout of the service, in seconds";
            errors.add(&format!("{path}.timeout_seconds"), "is 0", remedy);
        }
    }
}

#[derive(Default)]
struct SettingsErrorList {
    errors: Vec<SettingsError>,
    addresses: Vec<net::SocketAddr>,
}

impl SettingsErrorList {
    fn add(&mut self, path: &str, problem: &str, remedy: &'static str) {
        self.errors.push(SettingsError {
            path: path.to_owned(),
            problem: problem.to_owned(),
            remedy,
        });
    }

    /// Checks an address and its uniqueness. A listen address may have port 0, for which the
    /// operating system chooses a free port.
    fn check_address(&mut self, path: &str, address: net::SocketAddr, is_listen: bool) {
        let ip = address.ip();
        let is_routable = !ip.is_multicast() && (is_listen || !ip.is_unspecified());
        if !is_routable || (address.port() == 0 && !is_listen) {
            let problem = format!("{address} is not a connectable address");
            self.add(path, &problem, "use the IP address and port of one process");
        }
        if address.port() != 0 && self.addresses.contains(&address) {
            let problem = format!("{address} is used twice");
            self.add(path, &problem, "give every process its own address");
        }
        self.addresses.push(address);
    }
}

fn default_drain() -> time::Duration {
    time::Duration::from_secs(30)
}

fn default_agents() -> u32 {
    1
}

fn default_queue_limit() -> usize {
    1024
}

fn default_kept_bytes() -> usize {
    8 << 20
}

fn default_timeout() -> time::Duration {
    time::Duration::from_secs(30)
}

//! Stand-ins and processes of one test.

use std::{net, sync::Arc, time};

use endpoints::stand_in::{EngineOptions, StandInEngine};
use peers::{message, service};
use platform::{
    instances,
    stand_in::{
        instances::MemoryInstances, log::MemoryLog, server::PlatformServer,
        server::PlatformServices, weights::MemoryWeights,
    },
};
use serde_json::json;

use super::{caller, process, service::OrderService};

const LOG_BYTES: usize = 1 << 20;
/// Drain deadline of the processes; longer than any stream of the tests.
const DRAIN_SECONDS: u64 = 30;

/// First configuration: adapter `notes` in version 1 and the service `orders`.
pub const FIRST_PATCH: &str = r"
changes:
  - set_operator: {name: northlink, weight: 10, allowed_priority: high}
  - add_adapter: {name: notes, base_model: base, operator: northlink, versions: [1], default_version: 1, priority: normal}
  - set_service: {name: orders, repeatable: false}
";

/// Second configuration: version 2 of `notes` replaces version 1.
pub const SECOND_PATCH: &str = r"
changes:
  - replace_adapter: {name: notes, base_model: base, operator: northlink, versions: [2], default_version: 2, priority: normal}
";

/// Platform, plain service and files of one test.
pub struct TestCluster {
    pub directory: tempfile::TempDir,
    pub log: Arc<MemoryLog>,
    pub instances: Arc<MemoryInstances>,
    pub orders: OrderService,
    platform: PlatformServer,
}

/// Running process and the address on which it listens.
pub struct ClusterNode {
    pub process: process::ChildProcess,
    pub address: net::SocketAddr,
}

impl TestCluster {
    /// Starts the platform and the service, without processes.
    pub async fn start() -> Self {
        let log = Arc::new(MemoryLog::new(LOG_BYTES));
        let instances = Arc::new(MemoryInstances::default());
        let services = PlatformServices {
            log: log.clone(),
            instances: instances.clone(),
            weights: Arc::new(MemoryWeights::default()),
        };
        Self {
            directory: tempfile::tempdir().unwrap(),
            log,
            instances,
            orders: OrderService::start().await,
            platform: PlatformServer::start(services).await.unwrap(),
        }
    }

    /// Address of the log.
    pub fn platform_address(&self) -> net::SocketAddr {
        self.platform.address()
    }

    /// Publishes a patch with the `publish` command.
    pub async fn publish(&self, base: u64, patch: &str) -> process::CommandOutput {
        let name = format!("{}.yaml", uuid::Uuid::new_v4());
        let file = process::write_file(self.directory.path(), &name, patch);
        let (base, log) = (base.to_string(), self.platform_address().to_string());
        process::run_command(&["publish", "--base", &base, "--log", &log, &file]).await
    }

    /// Publishes the first configuration.
    pub async fn configure(&self) {
        let output = self.publish(0, FIRST_PATCH).await;
        assert_eq!(output.code, Some(0), "{output:?}");
    }

    /// Starts an agent for engines and the service `orders`.
    pub fn start_agent(
        &self,
        address: net::SocketAddr,
        engines: &[net::SocketAddr],
    ) -> ClusterNode {
        let replicas: Vec<_> = engines
            .iter()
            .map(|engine| {
                json!({
                    "address": engine,
                    "base_model": "base",
                    "adapter_slots": ADAPTER_SLOTS,
                    "batch_limit": 16,
                    "checks_fencing": true,
                })
            })
            .collect();
        let settings = json!({
            "listen": address,
            "data_centre": "edinburgh-1",
            "replicas": replicas,
            "services": [{"name": "orders", "address": self.orders.address()}],
            "log": self.platform_address(),
            "drain_seconds": DRAIN_SECONDS,
        });
        self.start_node("agent", address, &settings)
    }

    /// Starts an entry with a fixed list of agents that follows the log.
    pub fn start_entry(&self, agents: &[net::SocketAddr]) -> ClusterNode {
        let mut settings = entry_settings(agents);
        settings["log"] = json!(self.platform_address());
        self.start_node("entry", listen_address(&settings), &settings)
    }

    /// Starts an entry without a configuration, which accepts every adapter name.
    pub fn start_entry_without_configuration(&self, agents: &[net::SocketAddr]) -> ClusterNode {
        let settings = entry_settings(agents);
        self.start_node("entry", listen_address(&settings), &settings)
    }

    /// Starts an entry that finds its agents in the instance list.
    pub fn start_entry_with_instance_list(&self) -> ClusterNode {
        let mut settings = entry_settings(&[]);
        settings["instance_list"] = json!(self.platform_address());
        self.start_node("entry", listen_address(&settings), &settings)
    }

    /// Puts agents on the instance list as live.
    pub fn list_agents(&self, agents: &[net::SocketAddr]) {
        let instances = agents.iter().map(|address| instances::Instance {
            address: *address,
            role: instances::InstanceRole::Agent,
            data_centre: "edinburgh-1".into(),
            state: instances::InstanceState::Live,
        });
        self.instances.set(instances.collect());
    }

    fn start_node(
        &self,
        role: &str,
        address: net::SocketAddr,
        settings: &serde_json::Value,
    ) -> ClusterNode {
        let name = format!("{role}-{}", address.port());
        let directory = self.directory.path();
        ClusterNode {
            process: process::ChildProcess::start(role, &name, settings, directory),
            address,
        }
    }
}

/// Adapter slots of every engine.
pub const ADAPTER_SLOTS: u16 = 3;

/// Starts an engine with this duration of a decode step.
pub async fn start_engine(step_millis: u64) -> StandInEngine {
    let options = EngineOptions {
        adapter_slots: ADAPTER_SLOTS.into(),
        step_time: time::Duration::from_millis(step_millis),
        load_time: time::Duration::from_millis(50),
        ..EngineOptions::default()
    };
    StandInEngine::start(options).await.unwrap()
}

/// Waits until an entry is ready and connected to this number of agents.
pub async fn wait_ready(entry: net::SocketAddr, agents: usize) {
    super::until("the entry is ready", || async move {
        let ready = caller::send(entry, "GET", "/readyz", "", "").await;
        let status = caller::status(entry).await;
        let listed = status["agents"].as_array().cloned().unwrap_or_default();
        let connected = listed.iter().filter(|agent| agent["connected"] == true);
        ready.status == 200 && connected.count() == agents
    })
    .await;
}

/// Waits until an entry has a configuration version.
pub async fn wait_version(entry: net::SocketAddr, version: u64) {
    let condition = format!("version {version} at {entry}");
    super::until(&condition, || async move {
        caller::configuration_version(entry).await == version
    })
    .await;
}

/// Configuration version that an agent sends to its peers, 0 while it has none.
pub async fn agent_version(agent: net::SocketAddr) -> u64 {
    let timeout = time::Duration::from_secs(1);
    let Ok(client) = service::connect(agent).await else {
        return 0;
    };
    let image = client
        .configuration(service::context_with_timeout(timeout), 0)
        .await;
    let image: Option<message::ConfigurationImage> = image.ok().flatten();
    image.map_or(0, |image| image.version)
}

fn entry_settings(agents: &[net::SocketAddr]) -> serde_json::Value {
    json!({
        "listen": process::free_address(),
        "data_centre": "edinburgh-1",
        "base_model": "base",
        "agents": agents,
        "drain_seconds": DRAIN_SECONDS,
    })
}

fn listen_address(settings: &serde_json::Value) -> net::SocketAddr {
    serde_json::from_value(settings["listen"].clone()).unwrap()
}

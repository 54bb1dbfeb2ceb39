//! Entries, agents and stand-ins of the demonstration, all in one operating-system process.

use std::{net, sync::Arc, time};

use agent::{
    server::{AgentError, AgentServer},
    settings::{AgentSettings, ReplicaSettings, ServiceSettings},
};
use endpoints::{stand_in, stand_in_service};
use entry::{
    server::{EntryError, EntryServer},
    settings::EntrySettings,
};
use operators::{configuration, patch};
use platform::{
    http,
    instances::{Instance, InstanceRole, InstanceState},
    publisher,
    stand_in::{
        instances::MemoryInstances,
        log::MemoryLog,
        server::{PlatformServer, PlatformServices},
        weights::MemoryWeights,
    },
    weights::WeightStore,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::{ResultExt, Snafu};

use crate::load;

const AGENT_COUNT: u32 = 4;
const ENTRY_COUNT: u32 = 2;
const ENGINES_PER_AGENT: usize = 2;
const ADAPTER_SLOTS: u16 = 8;
const BATCH_LIMIT: u16 = 16;
const LOG_BYTES: usize = 64 << 20;
const RETENTION: time::Duration = time::Duration::from_hours(1);
const PUBLISH_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const READY_ATTEMPTS: u32 = 200;
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);
/// Base model of all adapters.
const BASE_MODEL: &str = "base";
/// Operator that owns all adapters.
const OPERATOR: &str = "northlink";
/// Plain service whose calls must not be repeated.
pub const SERVICE: &str = "bookings";

/// Reason why the demonstration cannot run.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    #[snafu(display("a stand-in cannot start: {source}"))]
    StandIn { source: std::io::Error },
    #[snafu(display("{source}"))]
    Agent { source: AgentError },
    #[snafu(display("{source}"))]
    Entry { source: EntryError },
    #[snafu(display("{source}"))]
    Publish { source: publisher::PublishError },
    #[snafu(display("the first configuration was not accepted: {outcome:?}"))]
    NotAccepted { outcome: publisher::PublishOutcome },
    #[snafu(display("the entries have no endpoints after 10 s; run the demonstration again"))]
    NotReady,
}

/// Running parts of the demonstration on free loopback ports.
pub struct DemoCluster {
    platform: PlatformServer,
    engines: Vec<stand_in::StandInEngine>,
    service: stand_in_service::StandInService,
    agents: Vec<AgentServer>,
    entries: Vec<EntryServer>,
}

impl DemoCluster {
    /// Starts all parts and publishes a configuration with these adapters.
    ///
    /// # Errors
    /// [`ClusterError`] when a part cannot start.
    pub async fn start(adapters: u32) -> Result<Self, ClusterError> {
        let instances = Arc::new(MemoryInstances::default());
        let weights: Arc<dyn WeightStore> = Arc::new(MemoryWeights::default());
        let platform = PlatformServer::start(PlatformServices {
            log: Arc::new(MemoryLog::new(LOG_BYTES)),
            instances: Arc::clone(&instances) as _,
            weights: Arc::clone(&weights),
        })
        .await
        .context(StandInSnafu)?;
        publish_configuration(platform.address(), adapters).await?;
        let service = stand_in_service::StandInService::start()
            .await
            .context(StandInSnafu)?;
        let mut cluster = Self {
            platform,
            engines: Vec::new(),
            service,
            agents: Vec::new(),
            entries: Vec::new(),
        };
        for index in 0..AGENT_COUNT {
            cluster.start_agent(index, &weights).await?;
        }
        instances.set(cluster.agents.iter().map(agent_instance).collect());
        for index in 0..ENTRY_COUNT {
            cluster.start_entry(index)?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// HTTP addresses of the entries.
    #[must_use]
    pub fn entries(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().map(EntryServer::address).collect()
    }

    /// Calls that reached the plain service.
    #[must_use]
    pub fn service_calls(&self) -> u64 {
        self.service.total_calls()
    }

    /// Adapter loads of all engines.
    #[must_use]
    pub fn adapter_loads(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine| engine.counts().loads)
            .sum()
    }

    /// Requests that waited for the load of their adapter.
    #[must_use]
    pub fn load_stalls(&self) -> u64 {
        let metrics = self.agents.iter().map(AgentServer::metrics);
        metrics
            .map(|text| counter_sum(&text, "agent_load_stall_seconds_count"))
            .sum()
    }

    /// Stops all parts; returns the number of requests that were cut off.
    ///
    /// # Errors
    /// [`ClusterError`] when an entry ended with an error.
    pub async fn close(self) -> Result<usize, ClusterError> {
        let mut cut_off = 0;
        for entry in self.entries {
            cut_off += entry.close().await.context(EntrySnafu)?.cut_off;
        }
        for agent in self.agents {
            cut_off += agent.close().await.cut_off;
        }
        for engine in self.engines {
            engine.close();
        }
        self.service.close();
        self.platform.close().await;
        Ok(cut_off)
    }

    async fn start_agent(
        &mut self,
        index: u32,
        weights: &Arc<dyn WeightStore>,
    ) -> Result<(), ClusterError> {
        let mut replicas = Vec::new();
        for _ in 0..ENGINES_PER_AGENT {
            let store = Some(Arc::clone(weights));
            let engine = stand_in::StandInEngine::start_with_store(engine_options(), store)
                .await
                .context(StandInSnafu)?;
            replicas.push(replica_settings(engine.address()));
            self.engines.push(engine);
        }
        let mut settings = AgentSettings::new(LOOPBACK, &data_centre(index), replicas);
        settings.agents = AGENT_COUNT;
        settings.log = Some(self.platform.address());
        settings.services.push(ServiceSettings {
            name: SERVICE.into(),
            address: self.service.address(),
            timeout: time::Duration::from_secs(5),
        });
        let logger = telemetry::logs::stderr_logger("agent", &settings.data_centre);
        let agent = AgentServer::start_with_logger(settings, logger)
            .await
            .context(AgentSnafu)?;
        self.agents.push(agent);
        Ok(())
    }

    fn start_entry(&mut self, index: u32) -> Result<(), ClusterError> {
        let mut settings =
            EntrySettings::new(LOOPBACK, &data_centre(index), BASE_MODEL, Vec::new());
        settings.log = Some(self.platform.address());
        settings.instance_list = Some(self.platform.address());
        let entry = EntryServer::start(settings).context(EntrySnafu)?;
        self.entries.push(entry);
        Ok(())
    }

    /// Waits until every entry is connected to all agents.
    async fn wait_ready(&self) -> Result<(), ClusterError> {
        let client = crate::client::LoadClient::new();
        for _ in 0..READY_ATTEMPTS {
            let mut ready = 0;
            for entry in self.entries() {
                ready += usize::from(client.is_ready(entry).await);
            }
            if ready == self.entries.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        NotReadySnafu.fail()
    }
}

async fn publish_configuration(log: net::SocketAddr, adapters: u32) -> Result<(), ClusterError> {
    let client = http::PlatformClient::new(log, http::HttpTimeouts::default());
    let rng = ChaCha8Rng::from_os_rng();
    let mut publisher = publisher::PatchPublisher::new(Arc::new(client), RETENTION, rng);
    let patch = first_patch(adapters);
    let outcome = publisher
        .publish(&patch, PUBLISH_TIMEOUT)
        .await
        .context(PublishSnafu)?;
    match outcome {
        publisher::PublishOutcome::Accepted { .. } => Ok(()),
        outcome => NotAcceptedSnafu { outcome }.fail(),
    }
}

fn first_patch(adapters: u32) -> patch::Patch {
    let operator = configuration::OperatorEntry {
        name: OPERATOR.into(),
        weight: 10,
        allowed_priority: decisions::units::Priority::High,
    };
    let service = configuration::ServiceEntry {
        name: SERVICE.into(),
        repeatable: false,
    };
    let mut changes = vec![
        patch::ConfigurationChange::SetOperator(operator),
        patch::ConfigurationChange::SetService(service),
    ];
    for rank in 0..adapters {
        changes.push(patch::ConfigurationChange::AddAdapter(
            configuration::AdapterEntry {
                name: load::adapter_base_name(rank).into(),
                base_model: BASE_MODEL.into(),
                operator: OPERATOR.into(),
                versions: Box::new([1]),
                default_version: 1,
                priority: decisions::units::Priority::Normal,
            },
        ));
    }
    patch::Patch {
        id: patch::PatchId(uuid::Uuid::new_v4()),
        base: 0,
        changes,
    }
}

fn engine_options() -> stand_in::EngineOptions {
    stand_in::EngineOptions {
        base_model: BASE_MODEL.into(),
        adapter_slots: usize::from(ADAPTER_SLOTS),
        batch_limit: usize::from(BATCH_LIMIT),
        ..stand_in::EngineOptions::default()
    }
}

fn replica_settings(address: net::SocketAddr) -> ReplicaSettings {
    ReplicaSettings {
        address,
        base_model: BASE_MODEL.into(),
        adapter_slots: ADAPTER_SLOTS,
        batch_limit: BATCH_LIMIT,
        checks_fencing: true,
    }
}

fn agent_instance(agent: &AgentServer) -> Instance {
    Instance {
        address: agent.address(),
        role: InstanceRole::Agent,
        data_centre: data_centre(0),
        state: InstanceState::Live,
    }
}

fn data_centre(index: u32) -> String {
    format!("edinburgh-{}", index % 2 + 1)
}

/// Sum of a counter over all its labels in the Prometheus text format.
fn counter_sum(text: &str, name: &str) -> u64 {
    let samples = text.lines().filter(|line| line.starts_with(name));
    let values = samples.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok());
    values.sum()
}

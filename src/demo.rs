//! Self-contained demonstration on loopback.
//!
//! One process starts the stand-ins, four agents with two engines each and two entries, sends a
//! bounded load over some hundred adapters and reports what the callers saw.

use std::{net, time};

use agent::{
    server::{AgentError, AgentServer},
    settings::{AgentSettings, ReplicaSettings},
};
use endpoints::stand_in;
use entry::{
    server::{EntryError, EntryServer},
    settings::EntrySettings,
};
use snafu::{ResultExt, Snafu};

use crate::{load, report};

const AGENTS: usize = 4;
const ENTRIES: usize = 2;
const ENGINES_PER_AGENT: usize = 2;
const ADAPTERS: u32 = 200;
const REQUESTS: u32 = 600;
const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Reason why the demonstration cannot run.
#[derive(Debug, Snafu)]
pub enum DemoError {
    #[snafu(display("a stand-in cannot start: {source}"))]
    StandIn { source: std::io::Error },
    #[snafu(display("{source}"))]
    Agent { source: AgentError },
    #[snafu(display("{source}"))]
    Entry { source: EntryError },
    #[snafu(display("{source}"))]
    Load { source: load::LoadError },
}

/// Processes of the demonstration.
pub struct DemoCluster {
    engines: Vec<stand_in::StandInEngine>,
    agents: Vec<AgentServer>,
    entries: Vec<EntryServer>,
}

impl DemoCluster {
    /// Starts all parts on free loopback ports.
    ///
    /// # Errors
    /// [`DemoError`] when a part cannot start.
    pub async fn start() -> Result<Self, DemoError> {
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for index in 0..AGENTS {
            let mut replicas = Vec::new();
            for _ in 0..ENGINES_PER_AGENT {
                let options = stand_in::EngineOptions::default();
                let engine = stand_in::StandInEngine::start(options)
                    .await
                    .context(StandInSnafu)?;
                replicas.push(replica_settings(engine.address()));
                engines.push(engine);
            }
            let settings = AgentSettings {
                listen: LOOPBACK,
                data_centre: data_centre(index),
                replicas,
                drain: time::Duration::from_secs(5),
            };
            let agent = AgentServer::start(settings).await.context(AgentSnafu)?;
            agents.push(agent);
        }
        let mut entries = Vec::new();
        for index in 0..ENTRIES {
            let settings = EntrySettings {
                listen: LOOPBACK,
                data_centre: data_centre(index),
                threads: 2,
                agents: agents.iter().map(AgentServer::address).collect(),
                base_model: "base".into(),
                default_deadline: time::Duration::from_secs(10),
                drain: time::Duration::from_secs(5),
            };
            entries.push(EntryServer::start(settings).context(EntrySnafu)?);
        }
        Ok(Self {
            engines,
            agents,
            entries,
        })
    }

    /// Stops all parts.
    ///
    /// # Errors
    /// [`DemoError`] when an entry ended with an error.
    pub fn close(self) -> Result<(), DemoError> {
        for entry in self.entries {
            entry.close().context(EntrySnafu)?;
        }
        for agent in self.agents {
            agent.close();
        }
        for engine in self.engines {
            engine.close();
        }
        Ok(())
    }

    fn plan(&self) -> load::LoadPlan {
        load::LoadPlan {
            entries: self.entries.iter().map(EntryServer::address).collect(),
            models: (0..ADAPTERS).map(load::adapter_name).collect(),
            requests: REQUESTS,
            rate: 40.0,
            skew: 1.1,
            long_share: 0.02,
            long_factor: 30,
            deadline: time::Duration::from_secs(10),
            seed: 7,
        }
    }
}

/// Runs the demonstration; `progress` gets the number of finished and of all requests.
///
/// # Errors
/// [`DemoError`] when a part cannot start or stop.
pub async fn run(progress: impl Fn(usize, usize)) -> Result<report::LoadReport, DemoError> {
    let cluster = DemoCluster::start().await?;
    let plan = cluster.plan();
    let total = plan.requests as usize;
    let mut report = load::run(&plan, |finished| progress(finished, total))
        .await
        .context(LoadSnafu)?;
    let counts = cluster.engines.iter().map(stand_in::StandInEngine::counts);
    report.load_stalls = counts.map(|counts| counts.loads).sum();
    cluster.close()?;
    Ok(report)
}

fn replica_settings(address: net::SocketAddr) -> ReplicaSettings {
    ReplicaSettings {
        address,
        base_model: "base".into(),
        adapter_slots: 8,
        batch_limit: 16,
        checks_fencing: true,
    }
}

fn data_centre(index: usize) -> String {
    format!("edinburgh-{}", index % 2 + 1)
}

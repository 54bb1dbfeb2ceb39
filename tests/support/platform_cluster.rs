//! Gateways and brokers that run as processes in front of a stand-in deployment.

use std::{iter, net};

use platform_wire::stand_in::{
    caller::{self, TestRequest, TestResponse},
    deployment::{self, StandInDeployment},
    replica::ReplicaFault,
    store::StoreCopy,
};
use rustix::process::Signal;

use super::{process, until};

/// Gateway or broker process with its settings.
pub struct RoleProcess {
    pub command: &'static str,
    name: String,
    settings: serde_json::Value,
    pub process: Option<process::ChildProcess>,
    is_suspended: bool,
}

/// State of an engine in the store's list of replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineListing {
    Absent,
    Ready,
    Draining,
}

/// Running gateways and brokers with their stand-ins.
pub struct PlatformCluster {
    directory: tempfile::TempDir,
    pub platform: StandInDeployment,
    /// State of each engine.
    pub listings: Vec<EngineListing>,
    pub roles: Vec<RoleProcess>,
    pub gateways: Vec<net::SocketAddr>,
    ready: Vec<net::SocketAddr>,
    /// Version of the newest configuration.
    pub version: u64,
    copy: StoreCopy,
    /// The store has returned from its copy, and what was lost is not written again yet.
    pub is_rewriting: bool,
}

impl PlatformCluster {
    /// Starts all processes and waits until the gateways are ready.
    pub async fn start(gateway_count: usize, engine_count: u8) -> Self {
        let platform = StandInDeployment::start_with(engine_count, deployment::PLAIN_REPLICA_COUNT)
            .await
            .unwrap();
        let listings = vec![EngineListing::Ready; usize::from(engine_count)];
        Self::start_roles(platform, listings, gateway_count).await
    }

    /// Starts all processes with an engine of each of the software versions, and waits until the
    /// gateways are ready. The last engine is not listed.
    pub async fn start_versions(gateway_count: usize, versions: &[&str]) -> Self {
        let platform =
            StandInDeployment::start_versions(versions, deployment::PLAIN_REPLICA_COUNT).await;
        let platform = platform.unwrap();
        let mut listings = vec![EngineListing::Ready; versions.len() - 1];
        listings.push(EngineListing::Absent);
        platform.remove_replica(&platform.engines.last().unwrap().id());
        Self::start_roles(platform, listings, gateway_count).await
    }

    async fn start_roles(
        platform: StandInDeployment,
        listings: Vec<EngineListing>,
        gateway_count: usize,
    ) -> Self {
        let broker_port = process::free_address().port();
        let mut roles = Vec::new();
        for (number, engine) in platform.engines.iter().enumerate() {
            let listen = net::SocketAddr::new(engine.address().ip(), broker_port);
            let settings = serde_json::json!({
                "instance": format!("side-{number}"), "data_centre": "north",
                "listen": listen, "engine": engine.address(),
            });
            roles.push(RoleProcess::new("broker", number, settings));
        }
        let (mut gateways, mut ready) = (Vec::new(), Vec::new());
        for number in 0..gateway_count {
            gateways.push(process::free_address());
            ready.push(process::free_address());
            let settings = serde_json::json!({
                "instance": format!("front-{number}"), "data_centre": "north",
                "listen": {"callers": gateways[number], "readiness": ready[number],
                    "metrics": process::free_address()},
                "store": platform.store.address(), "broker_port": broker_port,
                "data_centres": ["north"], "leave_ms": 1000,
                "retry_budget": {"ratio": 0.2, "slack": 50, "window_s": 10},
                "shutdown": {"grace_s": 4, "rotation_ms": 200},
            });
            roles.push(RoleProcess::new("gateway", number, settings));
        }
        let copy = platform.store.copy();
        let mut system = Self {
            directory: tempfile::tempdir().unwrap(),
            platform,
            listings,
            roles,
            gateways,
            ready,
            version: 1,
            copy,
            is_rewriting: false,
        };
        system.restart();
        system.wait_ready().await;
        system
    }

    /// Starts processes that do not run and resumes those that are stopped.
    pub fn restart(&mut self) {
        for role in &mut self.roles {
            role.resume();
            if role
                .process
                .as_mut()
                .is_none_or(|process| !process.is_running())
            {
                let directory = self.directory.path();
                let process = process::ChildProcess::start(
                    role.command,
                    &role.name,
                    &role.settings,
                    directory,
                );
                role.process = Some(process);
            }
        }
    }

    /// Kills all gateways.
    pub fn kill_gateways(&mut self) {
        let roles = self.roles.iter_mut();
        for gateway in roles.filter(|role| role.command == "gateway") {
            gateway.kill();
        }
    }

    /// Writes the records of all replicas.
    pub fn list_replicas(&self) {
        for (engine, listing) in iter::zip(&self.platform.engines, &self.listings) {
            match listing {
                EngineListing::Absent => self.platform.remove_replica(&engine.id()),
                EngineListing::Ready => self.platform.list_engine(engine, false),
                EngineListing::Draining => self.platform.list_engine(engine, true),
            }
        }
        self.platform.list_plain_replicas();
    }

    /// Copies the store.
    pub fn copy_store(&mut self) {
        self.copy = self.platform.store.copy();
    }

    /// Returns the store from its newest copy.
    pub fn return_store(&mut self) {
        self.platform.store.return_from(&self.copy, &[]);
        self.is_rewriting = true;
    }

    /// Writes again what a return of the store has lost.
    pub fn rewrite(&mut self) {
        self.platform.publish_configuration(self.version, true);
        self.list_replicas();
        self.is_rewriting = false;
    }

    /// Whether all gateways are ready.
    pub async fn are_ready(&self) -> bool {
        for address in &self.ready {
            if !caller::is_ready(*address).await {
                return false;
            }
        }
        true
    }

    /// Waits until all gateways are ready.
    pub async fn wait_ready(&self) {
        for address in &self.ready {
            until("the gateway is ready", || caller::is_ready(*address)).await;
        }
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.platform.store.set_down(false);
        if self.is_rewriting {
            self.rewrite();
        }
        for replica in self
            .platform
            .engines
            .iter()
            .chain(&self.platform.plain_replicas)
        {
            replica.set_fault(ReplicaFault::None);
        }
        self.list_replicas();
        self.restart();
    }

    /// Checks a response against the runs of its request.
    pub fn check(&self, call: &TestRequest, response: &TestResponse) {
        let runs = self.platform.count_runs(&call.id);
        let may_repeat = [deployment::SAFE_PATH, deployment::STREAM_PATH];
        let max_runs = if may_repeat.contains(&call.path.as_str()) {
            2
        } else {
            1
        };
        assert!(runs <= max_runs, "{runs} runs of {call:?}: {response:?}");
        if response.promises_not_executed() && max_runs == 1 {
            assert_eq!(runs, 0, "{call:?} ran: {response:?}");
        }
        if !response.is_success() {
            return;
        }
        assert!(runs > 0, "{call:?} did not run: {response:?}");
        if call.adapter.is_some() {
            let expected: Vec<u64> = (1..=call.events).collect();
            assert_eq!(response.events(), expected, "{call:?}");
        } else {
            assert_eq!(response.body, format!("done {}", call.id));
        }
    }
}

impl RoleProcess {
    fn new(command: &'static str, number: usize, settings: serde_json::Value) -> Self {
        Self {
            command,
            name: format!("{command}-{number}"),
            settings,
            process: None,
            is_suspended: false,
        }
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        self.resume();
        if let Some(process) = &mut self.process {
            process.kill();
        }
    }

    /// Suspends the process, if it runs.
    pub fn suspend(&mut self) {
        if let Some(process) = &mut self.process
            && process.is_running()
        {
            process.signal(Signal::STOP);
            self.is_suspended = true;
        }
    }

    /// Resumes the process, if it is suspended.
    pub fn resume(&mut self) {
        if let Some(process) = &self.process
            && std::mem::take(&mut self.is_suspended)
        {
            process.signal(Signal::CONT);
        }
    }
}

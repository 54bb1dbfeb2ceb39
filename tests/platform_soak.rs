//! Random faults on gateways and brokers that run as processes, under a bounded load.
//!
//! Every seed gives its own order of faults. The checks hold for any timing: whatever fails, no
//! request runs twice that must not, no response is wrong about a run, and requests are served again
//! after the last fault.

#[allow(dead_code)]
mod support;

use std::{net, time};

use platform_wire::stand_in::{
    caller::{self, TestRequest, TestResponse},
    deployment::{self, StandInDeployment},
    replica::ReplicaFault,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use support::{bounded, process, until};
use test_case::test_case;

const STEP_COUNT: u32 = 40;
const STEP_TIME: time::Duration = time::Duration::from_millis(200);
/// Requests that start in a step.
const CALLS_PER_STEP: usize = 6;
const ADAPTER_COUNT: u32 = 6;
const EVENT_COUNT: u64 = 5;

const FAULTS: [ReplicaFault; 7] = [
    ReplicaFault::None,
    ReplicaFault::Refuse,
    ReplicaFault::DropResponse,
    ReplicaFault::Fail,
    ReplicaFault::BreakStream,
    ReplicaFault::WrongRequestId,
    ReplicaFault::MissingSignature,
];

/// Gateway or broker process with its settings.
struct RoleProcess {
    command: &'static str,
    name: String,
    settings: serde_json::Value,
    process: Option<process::ChildProcess>,
    is_suspended: bool,
}

struct PlatformSystem {
    directory: tempfile::TempDir,
    platform: StandInDeployment,
    roles: Vec<RoleProcess>,
    gateways: Vec<net::SocketAddr>,
    ready: Vec<net::SocketAddr>,
    version: u64,
}

impl PlatformSystem {
    async fn start() -> Self {
        let platform = StandInDeployment::start().await.unwrap();
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
        for number in 0..2 {
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
        let mut system = Self {
            directory: tempfile::tempdir().unwrap(),
            platform,
            roles,
            gateways,
            ready,
            version: 1,
        };
        system.restart();
        system.wait_ready().await;
        system
    }

    /// Starts processes that do not run and resumes those that are stopped.
    fn restart(&mut self) {
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

    async fn wait_ready(&self) {
        for address in &self.ready {
            until("the gateway is ready", || caller::is_ready(*address)).await;
        }
    }

    /// Injects one random fault, or ends one.
    fn inject_fault(&mut self, generator: &mut ChaCha8Rng) {
        let number = generator.random_range(0..self.roles.len());
        match generator.random_range(0..10) {
            0 => self.roles[number].kill(),
            1 => self.roles[number].suspend(),
            2 => self.platform.store.set_down(true),
            3 => self.platform.store.set_down(false),
            4 => {
                self.version += generator.random_range(1..4);
                self.platform.publish_configuration(self.version, true);
            }
            5 => {
                let engine = self.platform.engines.choose(generator).unwrap();
                engine.restart();
                self.platform.list_replicas(0);
            }
            6 => self.platform.compact_replicas(),
            7 => {
                let adapter = format!("a{}", generator.random_range(0..ADAPTER_COUNT));
                self.platform
                    .declare_version(&adapter, generator.random_range(1..9));
            }
            8 => self.restart(),
            _ => {
                let fault = *FAULTS.choose(generator).unwrap();
                let platform = &self.platform;
                let replicas: Vec<_> = platform
                    .engines
                    .iter()
                    .chain(&platform.plain_replicas)
                    .collect();
                replicas.choose(generator).unwrap().set_fault(fault);
            }
        }
    }

    /// Ends all faults.
    fn end_faults(&mut self) {
        self.platform.store.set_down(false);
        for replica in self
            .platform
            .engines
            .iter()
            .chain(&self.platform.plain_replicas)
        {
            replica.set_fault(ReplicaFault::None);
        }
        self.platform.list_replicas(0);
        self.restart();
    }

    fn check(&self, call: &TestRequest, response: &TestResponse) {
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

    fn kill(&mut self) {
        self.resume();
        if let Some(process) = &mut self.process {
            process.kill();
        }
    }

    fn suspend(&mut self) {
        if let Some(process) = &mut self.process
            && process.is_running()
        {
            process.signal(Signal::STOP);
            self.is_suspended = true;
        }
    }

    fn resume(&mut self) {
        if let Some(process) = &self.process
            && std::mem::take(&mut self.is_suspended)
        {
            process.signal(Signal::CONT);
        }
    }
}

fn call(number: usize, generator: &mut ChaCha8Rng) -> TestRequest {
    let id = format!("call-{number}");
    let adapter = format!("a{}", generator.random_range(0..ADAPTER_COUNT));
    let mut call = match generator.random_range(0..4) {
        0 => TestRequest::plain(&id, deployment::UNSAFE_PATH),
        1 => TestRequest::plain(&id, deployment::SAFE_PATH),
        2 => TestRequest::stream(&id, &adapter, EVENT_COUNT),
        _ => {
            let mut call = TestRequest::stream(&id, &adapter, EVENT_COUNT);
            deployment::SINGLE_STREAM_PATH.clone_into(&mut call.path);
            call
        }
    };
    call.deadline = time::Duration::from_millis(generator.random_range(300..3000));
    call
}

// Guards against faults in combination: a request that runs twice, a response that wrongly states
// that it did not run, a stream with a gap, an engine with more adapters than slots, commands from
// two instances, and a system that does not serve again after the last fault.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee(seed: u64) {
    bounded(async {
        let mut system = PlatformSystem::start().await;
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let mut open = Vec::new();
        for step in 0..STEP_COUNT {
            system.inject_fault(&mut generator);
            for _ in 0..CALLS_PER_STEP {
                let call = call(open.len(), &mut generator);
                let gateway = *system.gateways.choose(&mut generator).unwrap();
                open.push(tokio::spawn(async move {
                    let response = call.send(gateway).await;
                    (call, response)
                }));
            }
            if step % 8 == 7 {
                system.restart();
            }
            tokio::time::sleep(STEP_TIME).await;
        }
        system.end_faults();
        let mut served = 0;
        for open in open {
            let (call, response) = open.await.unwrap();
            system.check(&call, &response);
            served += u32::from(response.is_success());
        }
        assert!(served > STEP_COUNT, "only {served} requests were served");
        system.wait_ready().await;
        for (number, gateway) in system.gateways.iter().enumerate() {
            let mut tries = 0;
            until("the gateway serves again", || {
                tries += 1;
                let id = format!("after-{number}-{tries}");
                async move {
                    let stream = TestRequest::stream(&id, "a1", EVENT_COUNT)
                        .send(*gateway)
                        .await;
                    let id = format!("order-{id}");
                    let order = TestRequest::plain(&id, deployment::UNSAFE_PATH);
                    stream.is_success() && order.send(*gateway).await.is_success()
                }
            })
            .await;
        }
        for (number, engine) in system.platform.engines.iter().enumerate() {
            assert_eq!(engine.excess_loads(), 0);
            let own = format!("side-{number}");
            assert!(engine.holders().iter().all(|holder| *holder == own));
        }
    })
    .await;
}

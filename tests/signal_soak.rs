//! Signals, restarts, changes and returns of the store from older copies in overlapping series, while
//! callers keep their connections open.
//!
//! Nothing is killed or suspended, so that every request which a gateway has read must be answered,
//! and one whose connection closes without an answer must not have run. `SOAK_SEEDS=FIRST-LAST` plays
//! other seeds, and `SOAK_PROCESSES=N` with about N processes.

#[allow(dead_code)]
mod support;

use std::{
    env,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time,
};

use platform_wire::stand_in::{
    caller::{KeptConnection, TestRequest, TestResponse},
    deployment,
    replica::ReplicaFault,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use support::platform_cluster::PlatformCluster;
use tokio::task;

/// Seeds that are played unless `SOAK_SEEDS` names others.
const SEEDS: (u64, u64) = (1, 3);
/// Processes unless `SOAK_PROCESSES` states another number.
const PROCESS_COUNT: usize = 8;
const STEP_COUNT: u32 = 60;
const STEP_TIME: time::Duration = time::Duration::from_millis(200);
/// Time within which a configuration must be in force.
const APPLY_TIME: time::Duration = time::Duration::from_secs(2);
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// One in this many requests must be served; at times all replicas of a service refuse.
const MIN_SERVED_RATIO: usize = 4;
const CALLERS_PER_GATEWAY: usize = 6;
const ADAPTER_COUNT: u32 = 6;
const EVENT_COUNT: u64 = 5;
/// Pause of a caller whose gateway does not listen.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(50);

const FAULTS: [ReplicaFault; 5] = [
    ReplicaFault::None,
    ReplicaFault::Refuse,
    ReplicaFault::Fail,
    ReplicaFault::RefuseForPause,
    ReplicaFault::RepeatRefusal,
];

/// Request with its response; `None` if the connection closed without one.
type CallResult = (TestRequest, Option<TestResponse>);

fn call(id: &str, generator: &mut ChaCha8Rng) -> TestRequest {
    let adapter = format!("a{}", generator.random_range(0..ADAPTER_COUNT));
    match generator.random_range(0..3) {
        0 => TestRequest::plain(id, deployment::UNSAFE_PATH),
        1 => TestRequest::plain(id, deployment::SAFE_PATH),
        _ => TestRequest::stream(id, &adapter, EVENT_COUNT),
    }
}

/// Sends one request after the other on a connection that is kept until the gateway closes it.
async fn send_calls(
    gateway: std::net::SocketAddr,
    name: String,
    seed: u64,
    is_over: Arc<AtomicBool>,
) -> Vec<CallResult> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut results = Vec::new();
    let mut connection: Option<KeptConnection> = None;
    while !is_over.load(Ordering::Relaxed) {
        let Some(kept) = &mut connection else {
            connection = KeptConnection::open(gateway).await;
            if connection.is_none() {
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
            continue;
        };
        let call = call(&format!("{name}-{}", results.len()), &mut generator);
        let response = kept.exchange(&call).await;
        if response
            .as_ref()
            .is_none_or(|response| !response.is_complete)
            || kept.is_closed()
        {
            connection = None;
        }
        results.push((call, response));
    }
    results
}

/// Sends a signal, changes the configuration, returns the store from a copy or sets a fault.
fn make_change(system: &mut PlatformCluster, generator: &mut ChaCha8Rng) {
    let number = generator.random_range(0..system.roles.len());
    let signal = match generator.random_range(0..12) {
        0..3 => Signal::TERM,
        3 => Signal::INT,
        4..6 => Signal::HUP,
        6 => {
            system.version += generator.random_range(1..4);
            let version = system.version;
            return system.platform.publish_configuration(version, true);
        }
        7 => return system.platform.compact_replicas(),
        8 => return system.restart(),
        9 => return system.copy_store(),
        10 => return system.return_store(),
        _ => {
            let fault = *FAULTS.choose(generator).unwrap();
            let replicas = &system.platform.plain_replicas;
            return replicas.choose(generator).unwrap().set_fault(fault);
        }
    };
    if let Some(process) = &mut system.roles[number].process
        && process.is_running()
    {
        process.signal(signal);
    }
}

fn check(system: &PlatformCluster, (call, response): &CallResult) {
    if let Some(response) = response {
        return system.check(call, response);
    }
    let runs = system.platform.count_runs(&call.id);
    assert_eq!(
        runs, 0,
        "{call:?} ran and its connection closed without an answer"
    );
}

fn seeds() -> Vec<u64> {
    let stated = env::var("SOAK_SEEDS").ok();
    let range = stated.as_deref().and_then(|text| text.split_once('-'));
    let (first, last) = range.map_or(SEEDS, |(first, last)| {
        (first.parse().unwrap(), last.parse().unwrap())
    });
    (first..=last).collect()
}

fn process_count() -> usize {
    let stated = env::var("SOAK_PROCESSES").ok();
    stated.map_or(PROCESS_COUNT, |text| text.parse().unwrap())
}

async fn play(seed: u64) {
    let gateway_count = (process_count() / 3).max(2);
    let engine_count = u8::try_from(process_count() - gateway_count).unwrap();
    let mut system = PlatformCluster::start(gateway_count, engine_count).await;
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = task::JoinSet::new();
    for (number, gateway) in system.gateways.iter().enumerate() {
        for caller in 0..CALLERS_PER_GATEWAY {
            let name = format!("call-{number}-{caller}");
            let seed = generator.random();
            callers.spawn(send_calls(*gateway, name, seed, Arc::clone(&is_over)));
        }
    }
    for step in 0..STEP_COUNT {
        if system.is_rewriting && generator.random() {
            system.rewrite();
        }
        for _ in 0..generator.random_range(0..4) {
            make_change(&mut system, &mut generator);
        }
        if step % 10 == 9 {
            system.restart();
        }
        tokio::time::sleep(STEP_TIME).await;
    }
    system.end_faults();
    is_over.store(true, Ordering::Relaxed);
    let results: Vec<CallResult> = callers.join_all().await.into_iter().flatten().collect();
    let mut served = 0;
    for result in &results {
        check(&system, result);
        let (_, response) = result;
        served += usize::from(response.as_ref().is_some_and(TestResponse::is_success));
    }
    let sent = results.len();
    println!("seed {seed}: {served} of {sent} requests served");
    assert!(MIN_SERVED_RATIO * served >= sent, "seed {seed}");
    wait_until_ready(&mut system).await;
    check_last_return(&mut system, generator.random_range(1..5), seed).await;
}

/// Returns the store once more, takes a route away below the offset that the gateways have read, and
/// checks that all of them know it, whatever they have met before.
async fn check_last_return(system: &mut PlatformCluster, lost_records: u32, seed: u64) {
    system.copy_store();
    let declare = |system: &PlatformCluster| {
        for version in 1..=lost_records {
            system.platform.declare_version("a1", version);
        }
    };
    declare(system);
    tokio::time::sleep(APPLY_TIME).await;
    system.return_store();
    system.version += 1;
    system.platform.publish_configuration(system.version, false);
    declare(system);
    tokio::time::sleep(APPLY_TIME).await;
    for (number, gateway) in system.gateways.iter().enumerate() {
        let request = TestRequest::plain("dropped-route", deployment::SAFE_PATH);
        let status = request.send(*gateway).await.status;
        assert_eq!(status, 404, "seed {seed}, gateway {number}");
    }
}

/// Restarts processes until all gateways are ready.
async fn wait_until_ready(system: &mut PlatformCluster) {
    let limit = time::Instant::now() + READY_TIMEOUT;
    system.restart();
    while !system.are_ready().await {
        assert!(time::Instant::now() < limit, "a gateway is not ready again");
        tokio::time::sleep(STEP_TIME).await;
        system.restart();
    }
}

// Guards against requests that are read and lost at a shutdown, against an end by SIGHUP or by a second
// signal, and against answers that are wrong about a run.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_signals_lose_no_request() {
    for seed in seeds() {
        play(seed).await;
    }
}

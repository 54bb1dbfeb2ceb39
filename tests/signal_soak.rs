//! Signals, restarts, changes and returns of the store from older copies in overlapping series, while
//! callers keep their connections open.
//!
//! In the first test nothing is killed or suspended, so that every request which a gateway has read must
//! be answered, and one whose connection closes without an answer must not have run. In the second one
//! processes are killed and suspended as well and engines change their software version, while callers
//! take broken streams up again. `SOAK_SEEDS=FIRST-LAST` plays other seeds, and `SOAK_PROCESSES=N` with
//! about N processes.

#[allow(dead_code)]
mod support;

use std::{
    env, iter,
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
use rand::{
    Rng, SeedableRng,
    seq::{IndexedRandom, IteratorRandom},
};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use support::{
    platform_cluster::{EngineListing, PlatformCluster},
    stream_caller::{CalmPeriod, SharedCalm, StreamCaller, StreamTries, TryCounts},
};
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
/// Series of signals in the test of the software versions, each with a calm period after it.
const ROUND_COUNT: usize = 2;
const STEPS_PER_ROUND: usize = 15;
/// Longest time for which a process runs on after SIGTERM.
const LEAVE_TIME: time::Duration = time::Duration::from_secs(5);
/// Time for which streams run in a calm period before gateways are killed.
const STREAM_TIME: time::Duration = time::Duration::from_millis(700);
const KILLS_PER_PERIOD: usize = 2;
/// Time for which requests are counted after killed gateways are ready again.
const COUNTED_TIME: time::Duration = time::Duration::from_millis(500);
/// Number of take-ups from which their share is compared.
const MIN_COMPARED: usize = 12;
const SOFTWARE_VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];

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

/// Kills or suspends processes, replaces the software of an engine, or makes another change.
fn make_hard_change(system: &mut PlatformCluster, generator: &mut ChaCha8Rng) {
    let number = generator.random_range(0..system.roles.len());
    match generator.random_range(0..16) {
        0..2 => system.roles[number].kill(),
        2 => system.roles[number].suspend(),
        3 => {
            system.kill_gateways();
            system.restart();
        }
        4..6 => replace_engine(system, generator),
        6 => restart_engine(system, generator),
        7 => {
            let fault = *[ReplicaFault::None, ReplicaFault::BreakStream]
                .choose(generator)
                .unwrap();
            let engines = &system.platform.engines;
            engines.choose(generator).unwrap().set_fault(fault);
        }
        _ => make_change(system, generator),
    }
}

/// Engine with a state.
fn choose_engine(
    system: &PlatformCluster,
    listing: EngineListing,
    generator: &mut ChaCha8Rng,
) -> Option<usize> {
    let numbers = 0..system.listings.len();
    let matching = numbers.filter(|number| system.listings[*number] == listing);
    matching.choose(generator)
}

/// Lists an engine with a drawn version, drains another one and removes those that drained before.
fn replace_engine(system: &mut PlatformCluster, generator: &mut ChaCha8Rng) {
    let old = choose_engine(system, EngineListing::Ready, generator);
    for listing in &mut system.listings {
        if *listing == EngineListing::Draining {
            *listing = EngineListing::Absent;
        }
    }
    if let Some(new) = choose_engine(system, EngineListing::Absent, generator) {
        let version = SOFTWARE_VERSIONS.choose(generator).unwrap();
        system.platform.engines[new].restart_as(version);
        system.listings[new] = EngineListing::Ready;
    }
    if let Some(old) = old {
        system.listings[old] = EngineListing::Draining;
    }
    system.list_replicas();
}

/// Restarts a listed engine with a drawn version.
fn restart_engine(system: &mut PlatformCluster, generator: &mut ChaCha8Rng) {
    if let Some(number) = choose_engine(system, EngineListing::Ready, generator) {
        let version = SOFTWARE_VERSIONS.choose(generator).unwrap();
        system.platform.engines[number].restart_as(version);
        system.list_replicas();
    }
}

/// Versions with two listed replicas or more.
fn versions_in_pairs(system: &PlatformCluster) -> Vec<String> {
    let pairs = iter::zip(&system.platform.engines, &system.listings);
    let ready = pairs.filter(|(_, listing)| **listing == EngineListing::Ready);
    let mut versions: Vec<_> = ready.map(|(engine, _)| engine.software_version()).collect();
    versions.sort_unstable();
    let groups = versions.chunk_by(|one, other| one == other);
    let repeated = groups.filter(|group| group.len() >= 2);
    repeated.map(|group| group[0].clone()).collect()
}

/// Ends all faults, and kills one gateway or all while streams run; requests after a kill are counted.
async fn play_calm_period(
    system: &mut PlatformCluster,
    calm: &SharedCalm,
    generator: &mut ChaCha8Rng,
) {
    let limit = time::Instant::now() + LEAVE_TIME;
    while time::Instant::now() < limit {
        system.end_faults();
        tokio::time::sleep(STEP_TIME).await;
    }
    wait_until_ready(system).await;
    tokio::time::sleep(APPLY_TIME).await;
    *calm.lock() = Some(CalmPeriod {
        since: time::Instant::now(),
        versions: versions_in_pairs(system),
        is_counted: false,
    });
    for _ in 0..KILLS_PER_PERIOD {
        set_counted(calm, false);
        tokio::time::sleep(STREAM_TIME).await;
        if generator.random() {
            system.kill_gateways();
        } else {
            system.roles.last_mut().unwrap().kill();
        }
        set_counted(calm, true);
        wait_until_ready(system).await;
        tokio::time::sleep(COUNTED_TIME).await;
    }
    *calm.lock() = None;
}

fn set_counted(calm: &SharedCalm, is_counted: bool) {
    if let Some(period) = calm.lock().as_mut() {
        period.is_counted = is_counted;
    }
}

async fn send_streams(mut caller: StreamCaller, is_over: Arc<AtomicBool>) -> Vec<StreamTries> {
    let mut streams = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        streams.push(caller.play_stream(streams.len()).await);
    }
    streams
}

async fn start_versions(generator: &mut ChaCha8Rng) -> PlatformCluster {
    let gateway_count = (process_count() / 3).max(2);
    let versions = &SOFTWARE_VERSIONS[..generator.random_range(1..=3)];
    let versions = versions.iter().copied().cycle();
    let versions: Vec<_> = versions.take(process_count() - gateway_count).collect();
    PlatformCluster::start_versions(gateway_count, &versions).await
}

async fn play_versions(seed: u64) {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut system = start_versions(&mut generator).await;
    let (is_over, calm) = (Arc::new(AtomicBool::new(false)), SharedCalm::default());
    let mut callers = task::JoinSet::new();
    for number in 0..system.gateways.len() * CALLERS_PER_GATEWAY {
        let caller = StreamCaller {
            name: format!("stream-{number}"),
            gateways: system.gateways.clone(),
            adapter_count: system.platform.engines.len() * deployment::PRELOADED_ADAPTERS,
            generator: ChaCha8Rng::seed_from_u64(generator.random()),
            calm: Arc::clone(&calm),
        };
        callers.spawn(send_streams(caller, Arc::clone(&is_over)));
    }
    for _ in 0..ROUND_COUNT {
        for step in 0..STEPS_PER_ROUND {
            if system.is_rewriting && generator.random() {
                system.rewrite();
            }
            make_hard_change(&mut system, &mut generator);
            if step % 5 == 4 {
                system.restart();
            }
            tokio::time::sleep(STEP_TIME).await;
        }
        play_calm_period(&mut system, &calm, &mut generator).await;
    }
    is_over.store(true, Ordering::Relaxed);
    let streams: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    check_streams(&system, &streams, seed);
}

fn check_streams(system: &PlatformCluster, streams: &[StreamTries], seed: u64) {
    let [mut begun, mut taken_up] = [TryCounts::default(); 2];
    let [mut calm_begun, mut calm_taken_up] = [TryCounts::default(); 2];
    for stream in streams {
        stream.count(&mut begun, false, false);
        stream.count(&mut taken_up, true, false);
        stream.count(&mut calm_begun, false, true);
        stream.count(&mut calm_taken_up, true, true);
    }
    println!("seed {seed}: {} streams", streams.len());
    println!("new streams: {begun}; in calm periods: {calm_begun}");
    println!("take-ups: {taken_up}; in calm periods: {calm_taken_up}");
    for stream in streams {
        stream.check();
        for request in stream.requests() {
            let runs = system.platform.count_runs(request);
            assert!(runs <= 2, "seed {seed}: {runs} runs of {request}");
        }
    }
    if calm_taken_up.made >= MIN_COMPARED {
        let (shares, half) = (
            calm_taken_up.successful * calm_begun.made,
            calm_begun.successful,
        );
        assert!(2 * shares >= half * calm_taken_up.made, "seed {seed}");
    }
}

// Guards against streams that are joined from two software versions, or refused though theirs still
// serves, when callers take them up after kills of gateways.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_at_one_software_version() {
    for seed in seeds() {
        play_versions(seed).await;
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

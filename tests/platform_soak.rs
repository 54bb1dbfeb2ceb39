//! Random faults on gateways and brokers that run as processes, under a bounded load.
//!
//! Every seed gives its own order of faults. The checks hold for any timing: whatever fails, no
//! request runs twice that must not, no response is wrong about a run, and requests are served again
//! after the last fault.

#[allow(dead_code)]
mod support;

use std::time;

use platform_wire::stand_in::{caller::TestRequest, deployment, replica::ReplicaFault};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use support::{bounded, platform_cluster::PlatformCluster, until};
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

/// Injects one random fault, or ends one.
fn inject_fault(system: &mut PlatformCluster, generator: &mut ChaCha8Rng) {
    let number = generator.random_range(0..system.roles.len());
    match generator.random_range(0..10) {
        0 => system.roles[number].kill(),
        1 => system.roles[number].suspend(),
        2 => system.platform.store.set_down(true),
        3 => system.platform.store.set_down(false),
        4 => {
            system.version += generator.random_range(1..4);
            system.platform.publish_configuration(system.version, true);
        }
        5 => {
            let engine = system.platform.engines.choose(generator).unwrap();
            engine.restart();
            system.platform.list_replicas(0);
        }
        6 => system.platform.compact_replicas(),
        7 => {
            let adapter = format!("a{}", generator.random_range(0..ADAPTER_COUNT));
            system
                .platform
                .declare_version(&adapter, generator.random_range(1..9));
        }
        8 => system.restart(),
        _ => {
            let fault = *FAULTS.choose(generator).unwrap();
            let platform = &system.platform;
            let replicas: Vec<_> = platform
                .engines
                .iter()
                .chain(&platform.plain_replicas)
                .collect();
            replicas.choose(generator).unwrap().set_fault(fault);
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
        let mut system = PlatformCluster::start(2, deployment::ENGINE_COUNT).await;
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let mut open = Vec::new();
        for step in 0..STEP_COUNT {
            inject_fault(&mut system, &mut generator);
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

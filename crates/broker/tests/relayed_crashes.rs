//! Crashes of replicas without a broker, as a broker tells entries of them.

mod support;

use std::time;

use broker::{message, service::BrokerHandler};
use decisions::engine_status::ModelState;
use support::FakeEngine;

const ENGINE: &str = "engine-0";
const OBSERVER: u64 = 1;
const RESTARTED: u64 = 2;
/// Interval of heartbeats.
const INTERVAL: time::Duration = time::Duration::from_millis(500);

fn crash() -> message::ObservedCrash {
    message::ObservedCrash {
        address: ([127, 0, 0, 1], 9000).into(),
        incarnation: 7,
        age: time::Duration::ZERO,
        suspects: Vec::new(),
    }
}

fn heartbeat(entry: u64, observed_crashes: Vec<message::ObservedCrash>) -> message::HeartbeatCall {
    message::HeartbeatCall {
        entry,
        engine: support::call(1, ENGINE, 1).engine,
        released: Vec::new(),
        known_adapters: None,
        quarantine: message::QuarantineReport {
            observed_crashes,
            ..message::QuarantineReport::default()
        },
    }
}

// Guards against crashes of plain replicas that are forgotten when one entry after the other starts
// anew, and against telling old ones with each heartbeat.
#[tokio::test(start_paused = true)]
async fn entry_that_starts_is_told_of_earlier_crashes() {
    let engine = FakeEngine::new(1, ModelState::Loaded);
    let (broker, _task) = support::start(Box::new(engine));
    let told = |call| broker.heartbeat(call).evidence.observed_crashes;
    assert_eq!(told(heartbeat(OBSERVER, vec![crash()])), [crash()]);
    for _ in 0..120 {
        tokio::time::advance(INTERVAL).await;
        told(heartbeat(OBSERVER, Vec::new()));
    }
    assert_eq!(told(heartbeat(OBSERVER, Vec::new())), []);
    let age = 120 * INTERVAL;
    assert_eq!(
        told(heartbeat(RESTARTED, Vec::new())),
        [message::ObservedCrash { age, ..crash() }]
    );
    for _ in 0..10 {
        tokio::time::advance(INTERVAL).await;
        told(heartbeat(RESTARTED, Vec::new()));
    }
    assert_eq!(told(heartbeat(RESTARTED, Vec::new())), []);
}

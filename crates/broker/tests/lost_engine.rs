//! Broker of an engine that has crashed.

mod support;

use std::time;

use broker::{message, service::BrokerHandler};
use decisions::engine_status;

const INCARNATION: u64 = 1_000;
const PART: u64 = 5;

fn call(number: u64) -> message::PermitCall {
    message::PermitCall {
        suspects: vec![PART],
        ..support::call(number, "engine-0", INCARNATION)
    }
}

// Guards against permits at an engine that has crashed, and against views that make it look like an
// idle one, so that all requests are sent there.
#[tokio::test(start_paused = true)]
async fn crashed_engine_grants_no_permits() {
    let engine = support::FakeEngine::new(INCARNATION, engine_status::ModelState::Loaded);
    let (broker, task) = support::start(Box::new(engine.clone()));
    let granted = broker.request_permit(call(1)).await;
    assert_eq!(
        granted.decision,
        message::PermitDecision::Granted { version: None }
    );
    *engine.status.lock().unwrap() = None;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let asked = tokio::time::Instant::now();
    let reply = broker.request_permit(call(2)).await;
    let message::PermitDecision::Refused { reason, .. } = reply.decision else {
        panic!("{reply:?}");
    };
    assert_eq!(reason, message::RefusalReason::EngineUnreachable);
    assert_eq!(asked.elapsed(), time::Duration::ZERO);
    assert!(!reply.view.has_model);
    let suspects = &reply.view.evidence.crashes[0].suspects;
    assert_eq!((suspects.len(), suspects[0].part), (1, PART));
    task.abort();
}

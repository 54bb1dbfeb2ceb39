//! Broker of an engine that has restarted, called by entries that do not know it yet.

mod support;

use std::{sync::Arc, time};

use broker::{message, service::BrokerHandler};
use decisions::engine_status;

const OLD: u64 = 1_000;
const NEW: u64 = 2_000;

fn is_replaced(reply: &message::PermitReply) -> bool {
    let message::PermitDecision::Refused { reason, .. } = reply.decision else {
        return false;
    };
    reason == message::RefusalReason::EngineReplaced && reply.view.incarnation == NEW
}

// Guards against permits for an id that the engine no longer has, and against commands that it
// refuses, which delay the load of its model.
#[tokio::test(start_paused = true)]
async fn former_id_gets_no_permit_and_no_command() {
    let engine = support::FakeEngine::new(NEW, engine_status::ModelState::Empty);
    let (broker, _) = support::start(Box::new(engine.clone()));
    for number in 1..4 {
        let asked = tokio::time::Instant::now();
        let reply = broker
            .request_permit(support::call(number, "former", OLD))
            .await;
        assert!(is_replaced(&reply), "{reply:?}");
        // The first call waits for the engine's first report.
        assert!(asked.elapsed() < time::Duration::from_millis(100));
    }
    assert_eq!(engine.commanded.lock().unwrap().len(), 0);
}

// Guards against a load of the model that waits for a backoff once the engine's id is known.
#[tokio::test(start_paused = true)]
async fn present_id_is_commanded_at_once() {
    let engine = support::FakeEngine::new(NEW, engine_status::ModelState::Empty);
    let (broker, _) = support::start(Box::new(engine.clone()));
    broker.request_permit(support::call(1, "former", OLD)).await;
    let waiting = Arc::clone(&broker);
    let task = tokio::spawn(async move {
        waiting
            .request_permit(support::call(2, "present", NEW))
            .await
    });
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert_eq!(*engine.commanded.lock().unwrap(), ["present"]);
    task.abort();
}

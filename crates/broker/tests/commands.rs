//! Broker of an engine that does not respond to commands.

mod support;

use std::{sync::Arc, time};

use broker::{message, service::BrokerHandler};
use decisions::engine_status;

/// Time until a command times out.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Engine with one loaded adapter that never responds to a command.
fn unresponsive_engine() -> support::FakeEngine {
    let mut engine = support::FakeEngine::new(1, engine_status::ModelState::Loaded);
    engine.command_timeout = Some(COMMAND_TIMEOUT);
    let held = engine_status::EngineAdapter {
        name: "held".to_owned(),
        version: 1,
    };
    let mut status = engine.status.lock().unwrap();
    status.as_mut().unwrap().loaded.push(held);
    drop(status);
    engine
}

fn call(number: u64, adapter: &str) -> message::PermitCall {
    let limit = time::Duration::from_secs(20);
    message::PermitCall {
        adapter: Some(message::AdapterRequirement {
            name: adapter.to_owned(),
            version: 0,
        }),
        start_deadline: limit,
        deadline: limit,
        ..support::call(number, "engine-0", 1)
    }
}

// Guards against permits for a free engine that are delayed by a command without a response.
#[tokio::test(start_paused = true)]
async fn pending_command_does_not_delay_permits() {
    let (broker, task) = support::start(Box::new(unresponsive_engine()));
    let ordering = Arc::clone(&broker);
    let cold = tokio::spawn(async move { ordering.request_permit(call(1, "missing")).await });
    // By then, the command to load the missing adapter has been sent.
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let asked = tokio::time::Instant::now();
    for number in 2..5 {
        let reply = broker.request_permit(call(number, "held")).await;
        assert_eq!(
            reply.decision,
            message::PermitDecision::Granted { version: Some(1) }
        );
    }
    assert!(
        asked.elapsed() < COMMAND_TIMEOUT / 2,
        "{:?}",
        asked.elapsed()
    );
    cold.abort();
    task.abort();
}

// Guards against views that repeat the adapters in each reply, and against views that omit adapters
// which the entry does not know.
#[tokio::test(start_paused = true)]
async fn known_adapters_are_omitted() {
    let (broker, task) = support::start(Box::new(unresponsive_engine()));
    let first = broker.request_permit(call(1, "held")).await.view;
    let adapters = first.adapters.unwrap();
    assert_eq!(adapters.loaded, [("held".to_owned(), 1)]);
    let mut next = call(2, "held");
    next.known_adapters = Some(first.adapters_hash);
    let second = broker.request_permit(next).await.view;
    assert_eq!(second.adapters, None);
    assert_eq!(second.adapters_hash, first.adapters_hash);
    let mut other = call(3, "held");
    other.known_adapters = Some(first.adapters_hash ^ 1);
    let third = broker.request_permit(other).await.view;
    assert_eq!(third.adapters, Some(adapters));
    task.abort();
}

//! Broker of an engine that does not respond to commands.

mod support;

use std::{sync::Arc, time};

use broker::{engine, message, service::BrokerHandler};
use decisions::engine_status;
use futures::future::BoxFuture;

/// Time until a command times out.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Engine with one loaded adapter that never responds to a command.
struct UnresponsiveEngine;

impl engine::EngineControl for UnresponsiveEngine {
    fn fetch_report(
        &self,
        _model: &str,
    ) -> BoxFuture<'_, Result<engine::EngineReport, engine::EngineError>> {
        let loaded = engine_status::EngineAdapter {
            name: "held".to_owned(),
            version: 1,
        };
        let status = engine_status::EngineStatus {
            incarnation: 1,
            model: engine_status::ModelState::Loaded,
            loaded: vec![loaded],
            ..engine_status::EngineStatus::default()
        };
        Box::pin(async move {
            Ok(engine::EngineReport {
                status,
                sequence: 1,
            })
        })
    }

    fn send_command(
        &self,
        _command: engine::FencedCommand,
    ) -> BoxFuture<'_, Result<engine::CommandReply, engine::EngineError>> {
        Box::pin(async {
            tokio::time::sleep(COMMAND_TIMEOUT).await;
            Err(engine::EngineError::NoResponse {
                message: "no response".to_owned(),
            })
        })
    }
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
    let (broker, task) = support::start(Box::new(UnresponsiveEngine));
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
    let (broker, task) = support::start(Box::new(UnresponsiveEngine));
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

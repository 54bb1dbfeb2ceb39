//! Broker of an engine that has crashed.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time,
};

use broker::{engine, message, service::BrokerHandler};
use decisions::engine_status;
use futures::future::BoxFuture;

const INCARNATION: u64 = 1_000;
const PART: u64 = 5;

/// Engine that reports until it crashes.
#[derive(Clone, Default)]
struct CrashingEngine {
    has_crashed: Arc<AtomicBool>,
}

impl engine::EngineControl for CrashingEngine {
    fn fetch_report(
        &self,
        _model: &str,
    ) -> BoxFuture<'_, Result<engine::EngineReport, engine::EngineError>> {
        let status = engine_status::EngineStatus {
            incarnation: INCARNATION,
            model: engine_status::ModelState::Loaded,
            ..engine_status::EngineStatus::default()
        };
        let has_crashed = self.has_crashed.load(Ordering::Relaxed);
        Box::pin(async move {
            if has_crashed {
                return Err(engine::EngineError::NotListening);
            }
            Ok(engine::EngineReport {
                status,
                sequence: 0,
            })
        })
    }

    fn send_command(
        &self,
        _command: engine::FencedCommand,
    ) -> BoxFuture<'_, Result<engine::CommandReply, engine::EngineError>> {
        Box::pin(async { Ok(engine::CommandReply::Accepted) })
    }
}

fn call(number: u64) -> message::PermitCall {
    message::PermitCall {
        prompt_parts: vec![PART],
        ..support::call(number, "engine-0", INCARNATION)
    }
}

// Guards against permits at an engine that has crashed, and against views that make it look like an
// idle one, so that all requests are sent there.
#[tokio::test(start_paused = true)]
async fn crashed_engine_grants_no_permits() {
    let engine = CrashingEngine::default();
    let (broker, task) = support::start(Box::new(engine.clone()));
    let granted = broker.request_permit(call(1)).await;
    assert_eq!(
        granted.decision,
        message::PermitDecision::Granted { version: None }
    );
    engine.has_crashed.store(true, Ordering::Relaxed);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let asked = tokio::time::Instant::now();
    let reply = broker.request_permit(call(2)).await;
    let message::PermitDecision::Refused { reason, .. } = reply.decision else {
        panic!("{reply:?}");
    };
    assert_eq!(reason, message::RefusalReason::EngineUnreachable);
    assert_eq!(asked.elapsed(), time::Duration::ZERO);
    assert!(!reply.view.has_model);
    let suspects = &reply.view.crashes[0].suspects;
    assert_eq!((suspects.len(), suspects[0].part), (1, PART));
    task.abort();
}

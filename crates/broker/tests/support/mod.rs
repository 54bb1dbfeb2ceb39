//! A broker of a test's engine, without listeners.

use std::{sync::Arc, time};

use broker::{engine, message, metrics, server, settings};
use telemetry::logs;
use tokio::task;

/// Starts the broker of an engine; the task ends with the test's runtime.
pub fn start(
    engine: Box<dyn engine::EngineControl>,
) -> (Arc<server::EngineBroker>, task::JoinHandle<()>) {
    let settings = settings::BrokerSettings {
        instance: "side-0".to_owned(),
        data_centre: "north".to_owned(),
        listen: "127.0.0.1:0".parse().unwrap(),
        engine: None,
        metrics: None,
        unstarted: 1,
        parallel_loads: 1,
    };
    let metrics = metrics::BrokerMetrics::new().unwrap();
    let logger = logs::discard_logger();
    let broker = Arc::new(server::EngineBroker::new(settings, engine, logger, metrics));
    let served = Arc::clone(&broker);
    let task = tokio::spawn(async move { served.run().await });
    (broker, task)
}

/// Call for a permit of a request without an adapter.
pub fn call(number: u64, engine: &str, incarnation: u64) -> message::PermitCall {
    message::PermitCall {
        entry: 1,
        number,
        engine: message::EngineSpec {
            identity: message::EngineIdentity {
                id: engine.to_owned(),
                incarnation,
            },
            capacity: message::EngineCapacity {
                adapter_slots: 4,
                batch_slots: 8,
            },
            model: "base".to_owned(),
            model_load_time: Some(time::Duration::from_millis(700)),
        },
        request: format!("request-{number}"),
        adapter: None,
        priority: 1,
        prompt_parts: Vec::new(),
        prompt_tokens: 100,
        output_tokens: 10,
        objective: time::Duration::from_secs(1),
        start_deadline: time::Duration::from_secs(4),
        deadline: time::Duration::from_secs(4),
        released: Vec::new(),
        known_adapters: None,
    }
}

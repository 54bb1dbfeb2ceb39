//! A broker of a test's engine, without listeners.

use std::sync::Arc;

use broker::{engine, metrics, server, settings};
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

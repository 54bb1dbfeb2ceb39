//! Heartbeats to the brokers of all engines.

use std::{net, sync::Arc, time};

use broker::{client, message};
use futures::{StreamExt, stream};
use telemetry::events;
use tokio::time::Instant;

use crate::{dispatch, replica};

/// Delay between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Delay between two checks for released permits that have not been sent to their broker yet.
/// Other callers may be waiting for these permits.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Maximum number of concurrent heartbeats.
const MAX_PARALLEL_HEARTBEATS: usize = 8;

/// Fetches the state of all engines until the task is dropped.
pub async fn poll_brokers(dispatcher: Arc<dispatch::Dispatcher>) {
    let mut lost: Vec<String> = Vec::new();
    loop {
        let relays = &dispatcher.crash_relays();
        let engines = configured_engines(&dispatcher, |_| true);
        update_quota_brokers(&dispatcher, &engines);
        dispatcher.review_stream_keepers();
        let views = stream::iter(engines).map(|(replica, spec)| {
            let dispatcher = Arc::clone(&dispatcher);
            async move {
                let view = call_broker(&dispatcher, &replica, spec, relays).await;
                (replica.id, view)
            }
        });
        let mut views = std::pin::pin!(views.buffer_unordered(MAX_PARALLEL_HEARTBEATS));
        while let Some((id, view)) = views.next().await {
            let was_lost = lost.binary_search(&id);
            let logger = dispatcher.request_logger.logger();
            if view.as_ref().is_err_and(client::CallError::is_unresponsive) {
                let now = dispatcher.now();
                dispatcher.replicas.lock().mark_unavailable(&id, now);
            }
            match (view, was_lost) {
                (Ok(view), found) => {
                    if let Ok(position) = found {
                        lost.remove(position);
                        slog::info!(logger, "broker responds again";
                            "event" => events::BROKER_REGAINED.number,
                            "name" => events::BROKER_REGAINED.name, "replica" => &id);
                    }
                    dispatcher.record_view(&id, view);
                }
                (Err(error), Err(position)) => {
                    slog::warn!(logger, "{error}"; "event" => events::BROKER_LOST.number,
                        "name" => events::BROKER_LOST.name, "replica" => &id);
                    lost.insert(position, id);
                }
                (Err(_), Ok(_)) => {}
            }
        }
        dispatcher.review_remote_traffic();
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends pending releases of permits to brokers until the task is dropped.
pub async fn flush_released_permits(dispatcher: Arc<dispatch::Dispatcher>) {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        call_brokers(&dispatcher, |replica| replica.broker.has_released()).await;
    }
}

/// Sends a heartbeat to the brokers that relay crashes.
pub async fn call_relays(dispatcher: &Arc<dispatch::Dispatcher>) {
    let relays = dispatcher.crash_relays();
    call_brokers(dispatcher, |replica| {
        relays.contains(&replica.broker.address())
    })
    .await;
}

/// Sends a heartbeat to the brokers of all engines for which `is_selected` holds.
async fn call_brokers(
    dispatcher: &Arc<dispatch::Dispatcher>,
    is_selected: impl Fn(&replica::Replica) -> bool,
) {
    let due = configured_engines(dispatcher, is_selected);
    if due.is_empty() {
        return;
    }
    let relays = &dispatcher.crash_relays();
    let views = due.into_iter().map(|(replica, spec)| {
        let dispatcher = Arc::clone(dispatcher);
        async move {
            // A failure is reported by the next heartbeat, which sends the same state.
            if let Ok(view) = call_broker(&dispatcher, &replica, spec, relays).await {
                dispatcher.record_view(&replica.id, view);
            }
        }
    });
    futures::future::join_all(views).await;
}

/// Sends a heartbeat to the broker of an engine, records its round trip and returns the engine's state.
async fn call_broker(
    dispatcher: &dispatch::Dispatcher,
    replica: &replica::ChosenReplica,
    spec: message::EngineSpec,
    relays: &[net::SocketAddr],
) -> Result<message::EngineView, client::CallError> {
    let asked = Instant::now();
    let view = send_heartbeat(dispatcher, replica, spec, relays).await?;
    let (elapsed, now) = (asked.elapsed(), dispatcher.now());
    let mut replicas = dispatcher.replicas.lock();
    replicas.record_round_trip(&replica.id, elapsed, now);
    Ok(view)
}

async fn send_heartbeat(
    dispatcher: &dispatch::Dispatcher,
    replica: &replica::ChosenReplica,
    spec: message::EngineSpec,
    relays: &[net::SocketAddr],
) -> Result<message::EngineView, client::CallError> {
    let report = dispatcher.quarantine_report(replica.broker.address(), relays);
    let (entry, known) = (dispatcher.incarnation, replica.adapters_hash);
    let now = dispatcher.now();
    let broker = &replica.broker;
    let Some(quotas) = dispatcher.quotas.take_report(broker.address()) else {
        return broker.heartbeat(entry, spec, known, report, now).await;
    };
    let call = message::HeartbeatCall {
        entry,
        engine: spec,
        released: Vec::new(),
        known_adapters: known,
        quarantine: report,
    };
    let attachments = quotas.attachments.clone();
    match broker.heartbeat_with_quotas(call, quotas, now).await {
        Ok(reply) => {
            let quotas = &dispatcher.quotas;
            quotas.record_heartbeat(broker.address(), &attachments, &reply.quotas);
            Ok(reply.view)
        }
        Err(error) => {
            dispatcher.quotas.record_failure(broker.address(), &error);
            Err(error)
        }
    }
}

/// Takes over the brokers of all engines for quotas, before the next round of heartbeats. A gateway that
/// has just started knows no owner of a quota until then.
pub fn refresh_quota_brokers(dispatcher: &dispatch::Dispatcher) {
    if !dispatcher.quotas.is_idle() {
        update_quota_brokers(dispatcher, &configured_engines(dispatcher, |_| true));
    }
}

/// Tells the brokers of all engines to the part that charges quotas.
fn update_quota_brokers(
    dispatcher: &dispatch::Dispatcher,
    engines: &[(replica::ChosenReplica, message::EngineSpec)],
) {
    if dispatcher.quotas.is_idle() {
        return;
    }
    let current = dispatcher.catalog.lock().current();
    let has_engines = current.is_none_or(|current| {
        let mut services = current.services.iter();
        services.any(|service| service.engine.is_some())
    });
    let brokers = engines
        .iter()
        .map(|(replica, _)| Arc::clone(&replica.broker));
    dispatcher
        .quotas
        .set_brokers(brokers.collect(), has_engines);
}

/// Engines of all services for which `is_selected` holds, with their specs.
fn configured_engines(
    dispatcher: &dispatch::Dispatcher,
    is_selected: impl Fn(&replica::Replica) -> bool,
) -> Vec<(replica::ChosenReplica, message::EngineSpec)> {
    let Some(current) = dispatcher.catalog.lock().current() else {
        return Vec::new();
    };
    let now = dispatcher.now();
    let replicas = dispatcher.replicas.lock();
    let mut engines = Vec::new();
    for service in &current.services {
        let Some(engine) = &service.engine else {
            continue;
        };
        let Some(model) = engine.models.first() else {
            continue;
        };
        for replica in replicas.service_replicas(&service.name, &is_selected, now) {
            let spec = replica::engine_spec(&replica, engine, &model.name);
            engines.push((replica, spec));
        }
    }
    engines
}

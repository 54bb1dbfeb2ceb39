//! Construction, background tasks and drain of an agent, independent of its listener.

use std::{
    sync::{Arc, atomic},
    time,
};

use decisions::ids;
use endpoints::{client::ModelEngine, service::PlainService};
use opentelemetry::metrics::Meter;
use tokio::task;

use crate::{
    clock, handler, metrics, replica, reports, requests, services, settings, store_budget,
};

/// Interval of the checks for expired sessions and kept responses.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval at which a drain checks whether all streams are delivered.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Clients of the endpoints, in the order of the settings.
pub struct AgentEndpoints {
    pub engines: Vec<Arc<dyn ModelEngine>>,
    pub services: Vec<Arc<dyn PlainService>>,
}

/// Outcome of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSummary {
    /// Requests not finished and delivered by the drain deadline.
    pub cut_off: usize,
}

/// Builds the state of an agent.
#[must_use]
pub fn build_state(
    settings: &settings::AgentSettings,
    endpoints: AgentEndpoints,
    logger: slog::Logger,
    meter: &Meter,
) -> handler::AgentState {
    let clock = clock::AgentClock::start();
    let incarnation = ids::Incarnation(rand::random());
    let context = Arc::new(replica::AgentContext {
        clock,
        requests: requests::RequestRegistry::new(clock, settings.kept_bytes),
        budget: store_budget::StoreBudget::new(settings.agents, incarnation.0, clock.now()),
        metrics: metrics::AgentMetrics::new(meter),
        logger,
        queue_limit: settings.queue_limit,
    });
    let replicas = (0..).zip(settings.replicas.iter().zip(endpoints.engines));
    let replicas = replicas.map(|(index, (replica, engine))| {
        let context = Arc::clone(&context);
        let driver = replica::ReplicaDriver::new(index, replica.clone(), engine, context);
        Arc::new(driver)
    });
    let replicas = replicas.collect();
    let services = settings.services.iter().zip(endpoints.services);
    let services = services.map(|(settings, service)| {
        Arc::new(services::ServiceProxy {
            name: settings.name.clone(),
            service,
        })
    });
    let mut services: Vec<_> = services.collect();
    services.sort_by(|left, right| left.name.cmp(&right.name));
    let names = services.iter().map(|service| service.name.clone());
    handler::AgentState {
        incarnation,
        data_centre: settings.data_centre.clone(),
        reports: reports::ReportCache::new(clock, names.collect()),
        context,
        replicas,
        services,
        configuration: None,
        is_draining: atomic::AtomicBool::new(false),
    }
}

/// Polls the status of all engines once, then starts the background tasks.
pub async fn start_tasks(state: &Arc<handler::AgentState>) -> task::JoinSet<()> {
    let first = state.replicas.iter().map(|replica| replica.read_status());
    futures::future::join_all(first).await;
    let mut tasks = task::JoinSet::new();
    for replica in &state.replicas {
        tasks.spawn(Arc::clone(replica).run_scheduler());
        tasks.spawn(Arc::clone(replica).poll_status());
    }
    tasks.spawn(sweep_periodically(Arc::clone(state)));
    tasks
}

/// Refuses new requests and waits up to `limit` for open responses to be delivered, then cancels
/// the remaining ones.
pub async fn drain(state: &handler::AgentState, limit: time::Duration) -> DrainSummary {
    let context = &state.context;
    let logger = &context.logger;
    let message = "draining; new requests are refused";
    telemetry::logs::info(logger, telemetry::events::PROCESS_DRAINING, message);
    state.is_draining.store(true, atomic::Ordering::SeqCst);
    for session in context.requests.sessions().all() {
        session.request_report();
    }
    let delivered = async {
        while !context.requests.open_requests().is_empty() {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(limit, delivered).await;
    let open = context.requests.open_requests();
    for request in &open {
        context.requests.cancel(*request);
    }
    let cut_off = open.len();
    if cut_off > 0 {
        let message = "requests were cancelled at the drain deadline";
        telemetry::logs::warn(logger, telemetry::events::DRAIN_DEADLINE_PASSED, message);
    }
    let message = "agent stopped";
    telemetry::logs::info(logger, telemetry::events::PROCESS_STOPPED, message);
    DrainSummary { cut_off }
}

async fn sweep_periodically(state: Arc<handler::AgentState>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let context = &state.context;
        for _ in 0..context.requests.sweep_expired() {
            telemetry::logs::warn(
                &context.logger,
                telemetry::events::SESSION_EXPIRED,
                "session expired: no poll within the session limit",
            );
        }
        let sessions = context.requests.sessions().all().len();
        let streams = context.requests.open_requests().len();
        context.metrics.record_open_counts(sessions, streams);
    }
}

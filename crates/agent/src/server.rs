//! Agent process: start, background tasks and graceful shutdown.

use std::{
    sync::{Arc, atomic},
    time,
};

use decisions::ids;
use endpoints::{client::ModelEngine, http_engine, service::HttpService};
use peers::service;
use snafu::{ResultExt, Snafu};
use tokio::task;

use crate::{
    clock, handler, metrics, replica, reports, requests, services, settings, store_budget,
};

/// Interval in which sessions and kept answers are checked.
const SWEEP_STEP: time::Duration = time::Duration::from_millis(500);
/// Interval in which a shutdown checks whether all streams are delivered.
const DRAIN_STEP: time::Duration = time::Duration::from_millis(20);

/// Reason why an agent cannot start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    #[snafu(display("{source}"))]
    Listen { source: service::PeerError },
    #[snafu(display("the settings have faults:\n{list}"))]
    Settings { list: String },
    #[snafu(display("{source}"))]
    Metrics {
        source: telemetry::metrics::MetricsError,
    },
}

/// Running agent process.
pub struct AgentServer {
    state: Arc<handler::AgentState>,
    address: std::net::SocketAddr,
    drain: time::Duration,
    metrics: telemetry::metrics::MetricsRegistry,
    tasks: task::JoinSet<()>,
}

/// Outcome of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSummary {
    /// Requests that were not finished and delivered by the deadline.
    pub cut_off: usize,
}

impl AgentServer {
    /// Binds the address and serves entries, without a log.
    ///
    /// # Errors
    /// [`AgentError`] when the settings have faults or the address cannot be bound.
    pub async fn start(settings: settings::AgentSettings) -> Result<Self, AgentError> {
        Self::start_with(settings, telemetry::logs::discard_logger()).await
    }

    /// Binds the address and serves entries.
    ///
    /// # Errors
    /// [`AgentError`] when the settings have faults or the address cannot be bound.
    pub async fn start_with(
        settings: settings::AgentSettings,
        logger: slog::Logger,
    ) -> Result<Self, AgentError> {
        let faults = settings.validate();
        if !faults.is_empty() {
            let list: Vec<_> = faults.iter().map(ToString::to_string).collect();
            let list = list.join("\n");
            return SettingsSnafu { list }.fail();
        }
        // Bound before the first command to an engine: the address is what keeps a second agent
        // away from engines that ignore the fencing number.
        let listener = service::AgentListener::bind(settings.listen)
            .await
            .context(ListenSnafu)?;
        let address = listener.address();
        let metrics = telemetry::metrics::MetricsRegistry::new().context(MetricsSnafu)?;
        let state = Arc::new(build_state(&settings, logger, &metrics));
        let first = state.replicas.iter().map(|replica| replica.read_status());
        futures::future::join_all(first).await;
        let mut tasks = task::JoinSet::new();
        for replica in &state.replicas {
            tasks.spawn(Arc::clone(replica).drive());
            tasks.spawn(Arc::clone(replica).watch());
        }
        tasks.spawn(sweep(Arc::clone(&state)));
        let handler = Arc::new(handler::RpcHandler(Arc::clone(&state)));
        tasks.spawn(listener.serve(handler));
        telemetry::logs::info(
            &state.context.logger,
            telemetry::events::PROCESS_STARTED,
            "the agent serves",
        );
        Ok(Self {
            state,
            address,
            drain: settings.drain,
            metrics,
            tasks,
        })
    }

    /// Address on which the agent listens.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> ids::Incarnation {
        self.state.incarnation
    }

    /// Metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Takes no more work, delivers what is open and stops at the drain deadline at the latest.
    pub async fn close(mut self) -> DrainSummary {
        let context = &self.state.context;
        telemetry::logs::info(
            &context.logger,
            telemetry::events::PROCESS_DRAINING,
            "the agent takes no more work",
        );
        self.state.is_leaving.store(true, atomic::Ordering::SeqCst);
        for session in context.requests.sessions().all() {
            session.request_report();
        }
        let delivered = async {
            while !context.requests.open_requests().is_empty() {
                tokio::time::sleep(DRAIN_STEP).await;
            }
        };
        let _ = tokio::time::timeout(self.drain, delivered).await;
        let open = context.requests.open_requests();
        for request in &open {
            context.requests.cancel(*request);
        }
        let cut_off = open.len();
        if cut_off > 0 {
            telemetry::logs::warn(
                &context.logger,
                telemetry::events::DRAIN_DEADLINE_PASSED,
                "requests were cut off at the drain deadline",
            );
        }
        telemetry::logs::info(
            &context.logger,
            telemetry::events::PROCESS_STOPPED,
            "the agent stopped",
        );
        self.tasks.shutdown().await;
        DrainSummary { cut_off }
    }
}

fn build_state(
    settings: &settings::AgentSettings,
    logger: slog::Logger,
    metrics: &telemetry::metrics::MetricsRegistry,
) -> handler::AgentState {
    let clock = clock::AgentClock::start();
    let incarnation = ids::Incarnation(rand::random());
    let context = Arc::new(replica::AgentContext {
        clock,
        requests: requests::RequestRegistry::new(clock, settings.kept_bytes),
        budget: store_budget::StoreBudget::new(settings.agents, incarnation.0, clock.now()),
        metrics: metrics::AgentMetrics::new(&metrics.meter()),
        logger,
        queue_limit: settings.queue_limit,
    });
    let replicas = (0..).zip(&settings.replicas).map(|(index, replica)| {
        let engine: Arc<dyn ModelEngine> = Arc::new(http_engine::HttpEngine::new(replica.address));
        let context = Arc::clone(&context);
        let driver = replica::ReplicaDriver::new(index, replica.clone(), engine, context);
        Arc::new(driver)
    });
    let replicas = replicas.collect();
    let mut services: Vec<_> = settings
        .services
        .iter()
        .map(|service| {
            Arc::new(services::ServiceCaller {
                name: service.name.clone(),
                service: Arc::new(HttpService::new(service.address, service.timeout)),
            })
        })
        .collect();
    services.sort_by(|one, other| one.name.cmp(&other.name));
    let names = services.iter().map(|service| service.name.clone());
    handler::AgentState {
        incarnation,
        data_centre: settings.data_centre.clone(),
        agents: settings.agents,
        reports: reports::ReportBoard::new(clock, names.collect()),
        context,
        replicas,
        services,
        is_leaving: atomic::AtomicBool::new(false),
    }
}

async fn sweep(state: Arc<handler::AgentState>) {
    loop {
        tokio::time::sleep(SWEEP_STEP).await;
        let context = &state.context;
        for _ in 0..context.requests.sweep() {
            telemetry::logs::warn(
                &context.logger,
                telemetry::events::SESSION_EXPIRED,
                "an entry has not polled for the session limit",
            );
        }
        let sessions = context.requests.sessions().all().len();
        let streams = context.requests.open_requests().len();
        context.metrics.count(sessions, streams);
    }
}

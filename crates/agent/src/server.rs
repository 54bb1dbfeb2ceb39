//! Agent process: listener, endpoints over HTTP and shutdown.

use std::{io, net, sync::Arc, time};

use decisions::ids;
use endpoints::{
    client::ModelEngine,
    http_engine,
    service::{HttpService, PlainService},
};
use futures::future::BoxFuture;
use operators::snapshot;
use peers::service;
use platform::{follower, log::LogService};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, task};

use crate::{exporter, handler, lifecycle, settings};

/// Reason why an agent cannot start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    #[snafu(display("{source}"))]
    Listen { source: service::PeerError },
    #[snafu(display(
        "cannot listen on {address} for metrics: {source}; check that no other process uses it"
    ))]
    MetricsListen {
        address: net::SocketAddr,
        source: io::Error,
    },
    #[snafu(display("invalid settings:\n{list}"))]
    Settings { list: String },
    #[snafu(display("{source}"))]
    Metrics {
        source: telemetry::metrics::MetricsError,
    },
}

/// Running agent process.
pub struct AgentServer {
    state: Arc<handler::AgentState>,
    address: net::SocketAddr,
    drain: time::Duration,
    metrics: Arc<telemetry::metrics::MetricsRegistry>,
    follower: Option<follower::ConfigurationFollower>,
    tasks: task::JoinSet<()>,
}

impl AgentServer {
    /// Binds the address and serves entries, without logging.
    ///
    /// # Errors
    /// [`AgentError`] when the settings are invalid or an address cannot be bound.
    pub async fn start(settings: settings::AgentSettings) -> Result<Self, AgentError> {
        Self::start_with_logger(settings, telemetry::logs::discard_logger()).await
    }

    /// Binds the address and serves entries.
    ///
    /// # Errors
    /// [`AgentError`] when the settings are invalid or an address cannot be bound.
    pub async fn start_with_logger(
        settings: settings::AgentSettings,
        logger: slog::Logger,
    ) -> Result<Self, AgentError> {
        let errors = settings.validate();
        if !errors.is_empty() {
            let list: Vec<_> = errors.iter().map(ToString::to_string).collect();
            let list = list.join("\n");
            return SettingsSnafu { list }.fail();
        }
        // Bind before the first engine command: the exclusive address keeps a second agent from
        // commanding engines that do not check the fencing number.
        let listener = service::AgentListener::bind(settings.listen)
            .await
            .context(ListenSnafu)?;
        let address = listener.address();
        let exporter = bind_exporter(settings.metrics).await?;
        let metrics = telemetry::metrics::MetricsRegistry::new().context(MetricsSnafu)?;
        let metrics = Arc::new(metrics);
        let follower = settings
            .log
            .map(|log| start_follower(log_client(log), &logger));
        let endpoints = http_endpoints(&settings);
        let mut state = lifecycle::build_state(&settings, endpoints, logger, &metrics.meter());
        state.configuration = follower
            .as_ref()
            .map(follower::ConfigurationFollower::state);
        let state = Arc::new(state);
        let mut tasks = lifecycle::start_tasks(&state).await;
        let handler = Arc::new(handler::RpcHandler(Arc::clone(&state)));
        tasks.spawn(listener.serve(handler));
        if let Some(exporter) = exporter {
            tasks.spawn(exporter::serve(exporter, Arc::clone(&metrics)));
        }
        telemetry::logs::info(
            &state.context.logger,
            telemetry::events::PROCESS_STARTED,
            "agent started",
        );
        Ok(Self {
            state,
            address,
            drain: settings.drain,
            metrics,
            follower,
            tasks,
        })
    }

    /// Address on which the agent accepts entries.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
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

    /// Refuses new requests, delivers open responses and stops at the drain deadline at the latest.
    pub async fn close(mut self) -> lifecycle::DrainSummary {
        let summary = lifecycle::drain(&self.state, self.drain).await;
        if let Some(follower) = self.follower {
            follower.close().await;
        }
        self.tasks.shutdown().await;
        summary
    }
}

async fn bind_exporter(
    address: Option<net::SocketAddr>,
) -> Result<Option<TcpListener>, AgentError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address).await;
    listener.map(Some).context(MetricsListenSnafu { address })
}

/// HTTP clients of the engines and services in the settings.
fn http_endpoints(settings: &settings::AgentSettings) -> lifecycle::AgentEndpoints {
    let engines = settings.replicas.iter().map(|replica| {
        let engine: Arc<dyn ModelEngine> = Arc::new(http_engine::HttpEngine::new(replica.address));
        engine
    });
    let services = settings.services.iter().map(|service| {
        let service: Arc<dyn PlainService> =
            Arc::new(HttpService::new(service.address, service.timeout));
        service
    });
    lifecycle::AgentEndpoints {
        engines: engines.collect(),
        services: services.collect(),
    }
}

/// Image source without peers, because a starting agent knows none.
struct NoImageSource;

impl follower::ImageSource for NoImageSource {
    fn image(&self, _known_version: u64) -> BoxFuture<'_, Option<snapshot::EncodedImage>> {
        Box::pin(async { None })
    }
}

fn log_client(address: net::SocketAddr) -> Arc<dyn LogService> {
    let limits = platform::http::HttpTimeouts::default();
    Arc::new(platform::http::PlatformClient::new(address, limits))
}

/// Starts a follower of the configuration log.
#[must_use]
pub fn start_follower(
    log: Arc<dyn LogService>,
    logger: &slog::Logger,
) -> follower::ConfigurationFollower {
    let settings = follower::FollowerSettings {
        seed: rand::random(),
        ..follower::FollowerSettings::default()
    };
    follower::ConfigurationFollower::start(log, Arc::new(NoImageSource), settings, logger.clone())
}

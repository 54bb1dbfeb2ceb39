//! Entry process.

use std::{io, net, sync::Arc};

use callers::routes;
use decisions::{ids, load_times, wait_routing};
use peers::message;
use platform::{
    follower,
    http::{HttpTimeouts, PlatformClient},
    instances,
    log::LogService,
};
use snafu::{ResultExt, Snafu};
use telemetry::{events, logs};
use tokio::{runtime, task};

use crate::{
    admissions, claim_log, clock, configuration, directory, discovery, dispatcher, drain,
    idempotency, metrics, request_logger, settings,
};

/// Error that prevents an entry from starting or stopping.
#[derive(Debug, Snafu)]
pub enum EntryError {
    #[snafu(display("{} invalid settings: {}", errors.len(), join_errors(errors)))]
    Settings {
        errors: Vec<settings::SettingsError>,
    },
    #[snafu(display("{source}"))]
    Metrics {
        source: telemetry::metrics::MetricsError,
    },
    #[snafu(display("cannot listen on {address}; check that no other process uses this address"))]
    Listen {
        address: net::SocketAddr,
        source: io::Error,
    },
    #[snafu(display("the HTTP server failed"))]
    Serve { source: io::Error },
}

/// Running entry process.
pub struct EntryServer {
    settings: settings::EntrySettings,
    logger: slog::Logger,
    callers: routes::CallerServer,
    discovery: discovery::DiscoveryTask,
    follower: Option<follower::ConfigurationFollower>,
    drain: Arc<drain::DrainState>,
}

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSummary {
    /// Number of requests that were still open at the deadline.
    pub cut_off: usize,
}

impl EntryServer {
    /// Connects to the agents and serves callers. Must run inside a tokio runtime.
    ///
    /// # Errors
    /// [`EntryError`] when a setting is invalid or the address cannot be bound.
    pub fn start(settings: settings::EntrySettings) -> Result<Self, EntryError> {
        let errors = settings.validate();
        if !errors.is_empty() {
            return SettingsSnafu { errors }.fail();
        }
        let logger = logs::stderr_logger("entry", &settings.data_centre);
        let incarnation = ids::Incarnation(rand::random());
        let metrics = Arc::new(metrics::EntryMetrics::new().context(MetricsSnafu)?);
        let routing =
            wait_routing::WaitRouting::new(load_times::StoreLimits::default(), incarnation.0);
        let clock = clock::EntryClock::default();
        let directory = Arc::new(directory::AgentDirectory::new(
            &settings.data_centre,
            clock,
            Arc::clone(&metrics),
            Box::new(routing),
        ));
        let log = settings.log.map(|address| {
            let client = PlatformClient::new(address, HttpTimeouts::default());
            Arc::new(client) as Arc<dyn LogService>
        });
        let follower = log.as_ref().map(|log| {
            let images = configuration::AgentImages(Arc::clone(&directory));
            let options = follower::FollowerSettings {
                seed: incarnation.0,
                ..follower::FollowerSettings::default()
            };
            follower::ConfigurationFollower::start(
                Arc::clone(log),
                Arc::new(images),
                options,
                logger.clone(),
            )
        });
        let configuration = match &follower {
            Some(follower) => configuration::ConfigurationView::from_follower(follower.state()),
            None => configuration::ConfigurationView::without_log(&settings.base_model),
        };
        let configuration = Arc::new(configuration);
        let dispatcher = dispatcher::RequestDispatcher::new(
            settings.clone(),
            incarnation,
            Arc::clone(&directory),
            metrics,
            Arc::clone(&configuration),
            Arc::new(admissions::EntryAdmission::new(clock)),
            runtime::Handle::current(),
        );
        let dispatcher =
            dispatcher.with_request_logger(request_logger::RequestLogger::new(logger.clone()));
        let dispatcher = match &log {
            Some(log) => {
                let streams = settings.claim_streams;
                let claims = claim_log::ClaimLog::new(log, streams, settings.claim_window, clock);
                dispatcher
                    .with_idempotency(idempotency::IdempotentRequests::new(claims, logger.clone()))
            }
            None => dispatcher,
        };
        let drain = dispatcher.drain();
        let address = settings.listen;
        let callers = routes::CallerServer::start(address, settings.threads, Arc::new(dispatcher))
            .context(ListenSnafu { address })?;
        let hello = message::Hello {
            protocol: message::PROTOCOL_VERSION,
            entry: incarnation,
            data_centre: settings.data_centre.clone(),
        };
        let list = settings.instance_list.map(|address| {
            let client = PlatformClient::new(address, HttpTimeouts::default());
            Arc::new(client) as Arc<dyn instances::InstanceList>
        });
        let discovery = discovery::DiscoveryTask::start(discovery::DiscoveryContext {
            hello,
            directory,
            configuration,
            agents: settings.agents.clone(),
            list,
            logger: logger.clone(),
        });
        let message = format!("listening for callers on {}", callers.address());
        logs::info(&logger, events::PROCESS_STARTED, &message);
        Ok(Self {
            settings,
            logger,
            callers,
            discovery,
            follower,
            drain,
        })
    }

    /// Address of the HTTP interface.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.callers.address()
    }

    /// Starts refusing new requests and failing `/readyz`; open requests continue.
    pub fn drain(&self) {
        self.drain.start();
    }

    /// Refuses new requests, waits for the open ones up to the drain deadline, and stops.
    ///
    /// # Errors
    /// [`EntryError::Serve`] when the HTTP server failed.
    pub async fn close(self) -> Result<DrainSummary, EntryError> {
        self.drain.start();
        logs::info(
            &self.logger,
            events::PROCESS_DRAINING,
            "draining; new requests are refused",
        );
        let limit = self.settings.drain;
        let _ = tokio::time::timeout(limit, self.drain.wait_idle()).await;
        let cut_off = self.drain.open_requests();
        if cut_off > 0 {
            let message =
                format!("drain deadline of {limit:?} passed; {cut_off} open requests were aborted");
            logs::warn(&self.logger, events::DRAIN_DEADLINE_PASSED, &message);
        }
        // Closing the channels ends the remaining streams, which lets the HTTP server stop.
        self.discovery.close().await;
        if let Some(follower) = self.follower {
            follower.close().await;
        }
        let callers = self.callers;
        let closing = task::spawn_blocking(move || callers.close());
        let outcome = closing
            .await
            .unwrap_or_else(|error| Err(io::Error::other(error)));
        outcome.context(ServeSnafu)?;
        logs::info(&self.logger, events::PROCESS_STOPPED, "stopped");
        Ok(DrainSummary { cut_off })
    }
}

fn join_errors(errors: &[settings::SettingsError]) -> String {
    let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
    errors.join("; ")
}

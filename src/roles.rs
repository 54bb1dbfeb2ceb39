//! Processes of the system on the platform: gateways and brokers.
//!
//! Each runs on one thread, because an instance has a fifth of a core, which more threads would only
//! share.

use std::{future, io, net, process, sync::Arc, time};

use broker::{metrics as broker_metrics, server as broker_server, settings as broker_settings};
use gateway::{dispatch, metrics, server as gateway_server, settings as gateway_settings};
use platform_wire::{local_engine, protocol, store};
use snafu::{ResultExt, Snafu};
use telemetry::{events, logs};
use tokio::{runtime, signal::unix};

use crate::settings;

/// Interval between reads of a settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Reason why a role failed.
#[derive(Debug, Snafu)]
pub enum RoleError {
    #[snafu(display("{source}"))]
    Settings { source: settings::SettingsError },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: io::Error },
    #[snafu(display("cannot set up the metrics: {source}"))]
    Metrics {
        source: telemetry::metrics::MetricsError,
    },
    #[snafu(display("{source}"))]
    Gateway {
        source: gateway_server::GatewayError,
    },
    #[snafu(display("{source}"))]
    Broker {
        source: broker::service::BrokerError,
    },
}

/// Runs a gateway until SIGTERM and until its requests have ended.
///
/// # Errors
/// [`RoleError`] with the reason and its remedy.
pub fn run_gateway(path: &str) -> Result<process::ExitCode, RoleError> {
    let settings: gateway_settings::GatewaySettings =
        settings::read(path).context(SettingsSnafu)?;
    reject_invalid(path, &settings.validate())?;
    let logger = logs::stdout_logger("gateway", &settings.instance, &settings.data_centre);
    runtime()?.block_on(async {
        let metrics = metrics::GatewayMetrics::new().context(MetricsSnafu)?;
        let store = Arc::new(store::PlatformStore::new(settings.store, settings.apply_ms));
        let wire = Arc::new(protocol::PlatformProtocol);
        let watching = watch_settings(path.to_owned(), settings.clone(), logger.clone());
        tokio::spawn(watching);
        let incarnation = rand::random();
        let dispatcher = dispatch::Dispatcher::new(settings, incarnation, wire, logger, metrics);
        let serving =
            gateway_server::serve(Arc::new(dispatcher), store, wait_for_shutdown_signal());
        serving.await.context(GatewaySnafu)
    })?;
    Ok(process::ExitCode::SUCCESS)
}

/// Runs a broker until SIGTERM.
///
/// # Errors
/// [`RoleError`] with the reason and its remedy.
pub fn run_broker(path: &str) -> Result<process::ExitCode, RoleError> {
    let settings: broker_settings::BrokerSettings = settings::read(path).context(SettingsSnafu)?;
    reject_invalid(path, &settings.validate())?;
    let logger = logs::stdout_logger("broker", &settings.instance, &settings.data_centre);
    runtime()?.block_on(async {
        tokio::spawn(watch_settings(
            path.to_owned(),
            settings.clone(),
            logger.clone(),
        ));
        let Some(engine) = settings.engine else {
            logs::info(
                &logger,
                events::PROCESS_STARTED,
                "no engine on this instance",
            );
            wait_for_shutdown_signal().await;
            return Ok(());
        };
        let engine: net::SocketAddr = engine;
        let engine_control = Box::new(local_engine::LocalEngine::new(engine));
        let metrics = broker_metrics::BrokerMetrics::new().context(MetricsSnafu)?;
        let broker =
            broker_server::EngineBroker::new(settings, engine_control, logger.clone(), metrics);
        logs::info(&logger, events::PROCESS_STARTED, "broker started");
        tokio::select! {
            served = broker_server::serve(Arc::new(broker)) => served.context(BrokerSnafu),
            () = wait_for_shutdown_signal() => {
                logs::info(&logger, events::PROCESS_STOPPED, "broker stopped");
                Ok(())
            }
        }
    })?;
    Ok(process::ExitCode::SUCCESS)
}

/// Fails if validation of the settings found errors.
fn reject_invalid(path: &str, errors: &[String]) -> Result<(), RoleError> {
    if errors.is_empty() {
        return Ok(());
    }
    let source = settings::SettingsError::Invalid {
        path: path.to_owned(),
        message: errors.join("; "),
    };
    Err(RoleError::Settings { source })
}

fn runtime() -> Result<runtime::Runtime, RoleError> {
    runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_shutdown_signal() {
    let signals = (
        unix::signal(unix::SignalKind::terminate()),
        unix::signal(unix::SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Logs changes of a settings file, with or without SIGHUP. The process keeps the settings of its
/// start, also the addresses; a file that cannot be read changes nothing.
async fn watch_settings<T>(path: String, mut current: T, logger: slog::Logger)
where
    T: serde::de::DeserializeOwned + PartialEq,
{
    let Ok(mut hangup) = unix::signal(unix::SignalKind::hangup()) else {
        return;
    };
    loop {
        let _ = tokio::time::timeout(SETTINGS_POLL_INTERVAL, hangup.recv()).await;
        match settings::read::<T>(&path) {
            Ok(found) if found != current => {
                current = found;
                let message = "settings file changed; the changes take effect after a restart";
                logs::info(&logger, events::SETTINGS_RELOADED, message);
            }
            Ok(_) => {}
            Err(error) => logs::warn(&logger, events::SETTINGS_RELOADED, &error.to_string()),
        }
    }
}

//! Listeners for the readiness check and for metrics.

use std::sync::Arc;

use http::StatusCode;
use telemetry::exposition;
use tokio::net::TcpListener;

use crate::{boot_clock, dispatch, drain};

impl dispatch::Dispatcher {
    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let current = self.catalog.lock().current();
        let Some(current) = current else {
            return false;
        };
        !self.is_copy_expiring(&current, boot_clock::now())
            && self.replicas.lock().available_count(self.now()) > 0
    }
}

/// Serves the readiness check.
pub async fn serve_readiness(
    listener: TcpListener,
    dispatcher: Arc<dispatch::Dispatcher>,
    monitor: drain::DrainMonitor,
) {
    exposition::serve(listener, move |path| {
        if !dispatcher.wire.is_readiness_path(path) {
            return (StatusCode::NOT_FOUND, String::new());
        }
        if monitor.is_serving() && dispatcher.is_ready() {
            (StatusCode::OK, "ready\n".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    })
    .await;
}

/// Serves the metrics.
pub async fn serve_metrics(listener: TcpListener, dispatcher: Arc<dispatch::Dispatcher>) {
    exposition::serve(listener, move |_| {
        (StatusCode::OK, dispatcher.metrics.render())
    })
    .await;
}

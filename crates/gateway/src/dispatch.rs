//! State that all requests of a gateway share.
//!
//! The modules that serve requests extend [`Dispatcher`] with their steps: `admission` admits
//! a request, `execution` makes attempts at it, and `placement`,
//! `sending` and `responses` are the parts of an attempt.

use std::{sync::Arc, time};

use broker::process_clock;
use decisions::{
    copy_age, lost_requests, prompt_quarantine, response_length, retry_budget, stream_starts, units,
};
use http::response;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    boot_clock, buffers, catalog, connections, metrics, plan, protocol, quota, replica_table,
    request_logger, settings,
};

/// Timeout of a new connection to a replica.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time after a deadline in which the replica's own deadline response may still arrive.
pub const RESPONSE_GRACE_PERIOD: time::Duration = time::Duration::from_millis(120);

/// State shared by all requests of a gateway.
pub struct Dispatcher {
    pub settings: settings::GatewaySettings,
    /// Random number of this process.
    pub incarnation: u64,
    pub wire: Arc<dyn protocol::WireProtocol>,
    pub catalog: Mutex<catalog::ServingCatalog>,
    /// Age of the catalog, by the clock that counts suspension.
    pub copy_age: Mutex<copy_age::CopyAge>,
    pub replicas: Mutex<replica_table::ReplicaTable>,
    pub budget: Mutex<retry_budget::RetryBudget>,
    pub lengths: Mutex<response_length::ResponseLengths>,
    pub quarantine: Mutex<prompt_quarantine::PromptQuarantine>,
    pub lost_requests: Mutex<lost_requests::LostRequests>,
    /// Streams that began at this gateway.
    pub stream_starts: Mutex<stream_starts::StreamStarts>,
    /// Signals a crash that other gateways must learn of.
    pub crash_observed: Notify,
    pub pool: connections::ConnectionPool,
    pub buffer_limits: buffers::BufferLimits,
    /// Budget of buffered responses.
    pub buffers: Arc<buffers::BufferBudget>,
    /// Budget of the bodies of requests.
    pub uploads: Arc<buffers::BufferBudget>,
    pub request_logger: request_logger::RequestLogger,
    pub metrics: metrics::GatewayMetrics,
    pub quotas: quota::QuotaClient,
    /// Signals that replies contradict the known replicas.
    replicas_outdated: Notify,
    /// Signals that the catalog is too old for a request.
    catalog_outdated: Notify,
    /// Number of the newest permit.
    pub newest_permit: Mutex<u64>,
    clock: process_clock::ProcessClock,
}

impl Dispatcher {
    /// Creates a dispatcher without a configuration or replicas.
    #[must_use]
    pub fn new(
        settings: settings::GatewaySettings,
        incarnation: u64,
        wire: Arc<dyn protocol::WireProtocol>,
        logger: slog::Logger,
        metrics: metrics::GatewayMetrics,
    ) -> Self {
        let limits = retry_budget::RetryBudgetLimits {
            ratio: settings.retry_budget.ratio,
            window: settings.retry_budget.window_s,
            slack: settings.retry_budget.slack,
        };
        // Used until brokers have reported the number of entries.
        let entries = u32::try_from(settings.data_centres.len()).unwrap_or(u32::MAX);
        let entries = entries.max(1).saturating_mul(2);
        let memory = settings.buffer_limits();
        let clock = process_clock::ProcessClock::start();
        let quotas = quota::QuotaClient::new(quota::QuotaOptions {
            instance: &settings.instance,
            incarnation,
            tolerance: settings.quota.tolerance(),
            assumed_gateways: entries,
            clock,
            logger: logger.clone(),
        });
        Self {
            replicas: Mutex::new(
                replica_table::ReplicaTable::new(&settings.data_centre, settings.broker_port)
                    .with_remote_policy(settings.remote_traffic),
            ),
            budget: Mutex::new(retry_budget::RetryBudget::new(limits, entries)),
            buffer_limits: memory,
            buffers: Arc::new(buffers::BufferBudget::new(
                memory.total_bytes,
                memory.response_bytes,
            )),
            uploads: Arc::new(buffers::BufferBudget::new(
                memory.upload_bytes,
                memory.upload_bytes,
            )),
            copy_age: Mutex::new(copy_age::CopyAge::new(settings.revocation_ms)),
            settings,
            incarnation,
            wire,
            catalog: Mutex::default(),
            lengths: Mutex::default(),
            quarantine: Mutex::new(prompt_quarantine(incarnation)),
            lost_requests: Mutex::default(),
            stream_starts: Mutex::default(),
            crash_observed: Notify::new(),
            pool: connections::ConnectionPool::default(),
            request_logger: request_logger::RequestLogger::new(logger),
            metrics,
            quotas,
            replicas_outdated: Notify::new(),
            catalog_outdated: Notify::new(),
            newest_permit: Mutex::new(0),
            clock,
        }
    }

    /// Present time by the clock of this process.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        self.clock.now()
    }

    /// Asks for a read of the replicas before the next regular one.
    pub fn request_replica_read(&self) {
        self.replicas_outdated.notify_one();
    }

    /// Waits until a read of the replicas is asked for.
    pub async fn replica_read_requested(&self) {
        self.replicas_outdated.notified().await;
    }

    /// Asks for a read of the published configuration that does not wait for a change.
    pub fn request_published_read(&self) {
        self.catalog_outdated.notify_one();
    }

    /// Waits until the catalog is too old for a request.
    pub async fn published_read_requested(&self) {
        loop {
            self.catalog_outdated.notified().await;
            if self.copy_age.lock().needs_read(boot_clock::now()) {
                return;
            }
        }
    }

    /// Whether a request asks for a longer response than most.
    #[must_use]
    pub fn is_long(&self, plan: &plan::RequestPlan) -> bool {
        let generation = plan.request.generation.as_ref();
        generation
            .is_some_and(|generation| self.lengths.lock().record(generation.max_output_tokens))
    }

    /// Returns the connection of a complete response to the pool.
    pub fn recycle_connection(
        &self,
        connection: connections::ReplicaConnection,
        head: &response::Parts,
    ) {
        self.pool
            .put(connection, connections::idle_timeout(&head.headers));
    }
}

/// Quarantine of a gateway process with a random number.
fn prompt_quarantine(incarnation: u64) -> prompt_quarantine::PromptQuarantine {
    let position = u32::try_from(incarnation >> u32::BITS).unwrap_or(0);
    prompt_quarantine::PromptQuarantine::new(f64::from(position) / f64::from(u32::MAX))
}

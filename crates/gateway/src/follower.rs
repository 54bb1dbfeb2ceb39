//! Tasks that follow the platform's store.
//!
//! While the store is unavailable, requests are served from the last known state.

use std::{sync::Arc, time};

use decisions::{relisting, store_history, units};
use telemetry::events;
use tokio::time::Instant;

use crate::{boot_clock, catalog, dispatch, heartbeats, replica_table, store};

/// Topics in logs and counters.
const PUBLISHED_TOPIC: &str = "published";
const REPLICA_TOPIC: &str = "replicas";
/// Interval between two reads of replicas, as a ratio of the time after which a draining replica
/// must get no more requests. The rest allows for a slow response of the store; a shorter interval
/// would cost more calls to the store.
const REPLICA_INTERVAL_RATIO: f64 = 0.65;
/// Interval between two reads of the configuration, so that a burst of changes is read at once.
const PUBLISHED_INTERVAL: time::Duration = time::Duration::from_millis(120);
/// Initial and maximum backoff after a failure.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(100);
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(800);
/// Maximum backoff after a failure while the age of the configuration is bounded.
const MAX_BOUNDED_BACKOFF: time::Duration = time::Duration::from_millis(200);
/// Duration of an outage of the store after which missing replicas may be listed again.
const OUTAGE_THRESHOLD: time::Duration = time::Duration::from_millis(1500);
/// Maximum interval between two reads of replicas.
const MAX_REPLICA_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Minimum interval between two reads of replicas, for reads that are asked for because replies
/// contradict the known replicas, and for those after an outage.
const MIN_REPLICA_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Each gateway adds up to this many milliseconds to the minimum interval, because all gateways see
/// the same contradictions at the same time.
const INTERVAL_SPREAD_MS: u64 = 200;

/// Time from a replaced history to the read of all records, to which each gateway adds up to
/// [`HISTORY_SPREAD_MS`]: all gateways notice at the same moment and share the store's rate of reads.
const HISTORY_DELAY: time::Duration = time::Duration::from_millis(100);
const HISTORY_SPREAD_MS: u64 = 300;

/// Maximum number of replicas that one log record names.
const MAX_LOGGED_IDS: usize = 200;

/// Consecutive failed reads of one topic.
struct StoreOutage {
    topic: &'static str,
    backoff: time::Duration,
    max_backoff: time::Duration,
    last_response_at: Instant,
    /// Start of the newest failed read; `None` while the store responds.
    failed_since: Option<units::Timestamp>,
}

impl StoreOutage {
    fn new(topic: &'static str, max_backoff: time::Duration) -> Self {
        Self {
            topic,
            backoff: MIN_BACKOFF,
            max_backoff,
            last_response_at: Instant::now(),
            failed_since: None,
        }
    }

    /// Records a successful read; returns the start of the last failed one if this is the first
    /// success after a long outage.
    fn record_success(&mut self, logger: &slog::Logger) -> Option<units::Timestamp> {
        let silence = self.last_response_at.elapsed();
        let failed_since = self.failed_since.take();
        if failed_since.is_some() {
            let outage = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
            slog::info!(logger, "store responds again"; "event" => events::LOG_RECOVERED.number,
                "name" => events::LOG_RECOVERED.name, "topic" => self.topic, "away_ms" => outage);
        }
        self.backoff = MIN_BACKOFF;
        self.last_response_at = Instant::now();
        failed_since.filter(|_| silence > OUTAGE_THRESHOLD)
    }

    /// Records a read that failed and waits until the next one.
    async fn record_failure(
        &mut self,
        started_at: units::Timestamp,
        error: &store::StoreError,
        logger: &slog::Logger,
    ) {
        if self.failed_since.replace(started_at).is_none() {
            slog::warn!(logger, "{error}"; "event" => events::LOG_UNAVAILABLE.number,
                "name" => events::LOG_UNAVAILABLE.name, "topic" => self.topic);
        }
        tokio::time::sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(self.max_backoff);
    }
}

/// Records that the positions of a topic do not hold any more, and waits until its records are to be
/// read anew.
async fn handle_replaced_history(
    dispatcher: &dispatch::Dispatcher,
    topic: &'static str,
    change: Option<store_history::HistoryChange>,
) {
    let logger = dispatcher.request_logger.logger();
    let cause = change.map_or("unknown", |change| change.cause.label());
    slog::warn!(logger, "the store's history was replaced; all records are read anew";
        "event" => events::STORE_HISTORY_REPLACED.number,
        "name" => events::STORE_HISTORY_REPLACED.name, "topic" => topic, "cause" => cause,
        "earlier_era" => change.and_then(|change| change.earlier_era),
        "era" => change.and_then(|change| change.era));
    dispatcher.metrics.record_replaced_history(topic);
    let spread = time::Duration::from_millis(dispatcher.incarnation % HISTORY_SPREAD_MS);
    tokio::time::sleep(HISTORY_DELAY + spread).await;
}

fn log_deleted_records(logger: &slog::Logger, topic: &'static str) {
    slog::info!(logger, "records were deleted before they were read; all records are read anew";
        "event" => events::STORE_RECORDS_DELETED.number,
        "name" => events::STORE_RECORDS_DELETED.name, "topic" => topic);
}

/// Follows the published configuration until the task is dropped.
pub async fn follow_published(
    dispatcher: Arc<dispatch::Dispatcher>,
    store: Arc<dyn store::StateStore>,
) {
    let mut from = None;
    let bound = dispatcher.settings.revocation_ms;
    let max_backoff = bound.map_or(MAX_BACKOFF, |_| MAX_BOUNDED_BACKOFF);
    let mut outage = StoreOutage::new(PUBLISHED_TOPIC, max_backoff);
    let mut is_readable = true;
    loop {
        let logger = dispatcher.request_logger.logger();
        let started_at = dispatcher.now();
        let sent_at = boot_clock::now();
        let wait = dispatcher.copy_age.lock().read_wait(sent_at);
        let is_waiting = from.is_some() && !wait.is_zero();
        let outcome = tokio::select! {
            outcome = store.published(from, wait) => outcome,
            // Its connection may have died while the instance was frozen.
            () = dispatcher.published_read_requested(), if is_waiting => continue,
        };
        match outcome {
            Ok(batch) => {
                outage.record_success(logger);
                from = Some(batch.next);
                let reaches_end = batch.reaches_end;
                is_readable = batch.is_readable().unwrap_or(is_readable);
                for (_, change) in batch.changes {
                    apply_published(&dispatcher, change);
                }
                heartbeats::refresh_quota_brokers(&dispatcher);
                // An unreadable configuration may be one that removes keys.
                if reaches_end && is_readable {
                    dispatcher.copy_age.lock().record_read(sent_at);
                }
                let is_old = dispatcher.copy_age.lock().needs_read(boot_clock::now());
                if !(is_waiting && is_old) {
                    tokio::time::sleep(PUBLISHED_INTERVAL).await;
                }
            }
            Err(store::StoreError::Deleted) => {
                from = None;
                log_deleted_records(logger, PUBLISHED_TOPIC);
            }
            Err(store::StoreError::HistoryReplaced { change }) => {
                from = None;
                handle_replaced_history(&dispatcher, PUBLISHED_TOPIC, change).await;
            }
            Err(error) => {
                dispatcher.copy_age.lock().record_failure();
                outage.record_failure(started_at, &error, logger).await;
            }
        }
    }
}

fn apply_published(dispatcher: &dispatch::Dispatcher, change: store::PublishedChange) {
    let logger = dispatcher.request_logger.logger();
    let mut catalog = dispatcher.catalog.lock();
    match change {
        store::PublishedChange::Configuration(found) => {
            if let catalog::CatalogChange::Configuration { version } =
                catalog.apply_configuration(found)
            {
                slog::info!(logger, "configuration applied";
                    "event" => events::CONFIGURATION_APPLIED.number,
                    "name" => events::CONFIGURATION_APPLIED.name, "version" => version);
                if let Some(current) = catalog.current() {
                    let organisations = current.organisations.organisations();
                    dispatcher.quotas.set_organisations(version, organisations);
                }
            }
        }
        store::PublishedChange::Adapter(found) => {
            let name = found.adapter.clone();
            if let catalog::CatalogChange::Adapter { version } =
                catalog.apply_adapter_version(found)
            {
                slog::info!(logger, "adapter version declared";
                    "event" => events::ADAPTER_VERSION_DECLARED.number,
                    "name" => events::ADAPTER_VERSION_DECLARED.name,
                    "adapter" => name, "version" => version);
            }
        }
        store::PublishedChange::Unreadable { key, .. } => {
            slog::warn!(logger, "record cannot be decoded";
                "event" => events::RECORD_UNREADABLE.number,
                "name" => events::RECORD_UNREADABLE.name, "key" => key);
        }
    }
}

/// Follows the records of replicas until the task is dropped.
pub async fn follow_replicas(
    dispatcher: Arc<dispatch::Dispatcher>,
    store: Arc<dyn store::StateStore>,
) {
    let mut from = None;
    let mut outage = StoreOutage::new(REPLICA_TOPIC, MAX_BACKOFF);
    let leave_time = dispatcher.settings.leave_ms;
    let interval = leave_time
        .mul_f64(REPLICA_INTERVAL_RATIO)
        .min(MAX_REPLICA_INTERVAL);
    let mut relisting = relisting::RelistingPeriod::new(relisting::RelistingLimits {
        leave_time,
        settling_time: dispatcher.settings.settling_ms,
    });
    loop {
        let logger = dispatcher.request_logger.logger();
        let started_at = dispatcher.now();
        match store.replicas(from).await {
            Ok(batch) => {
                from = Some(batch.next);
                let ended_at = dispatcher.now();
                let read = relisting::ReplicaRead {
                    started_at,
                    ended_at,
                };
                let keep_until = relisting.record_read(read, outage.record_success(logger));
                let changes = {
                    let mut table = dispatcher.replicas.lock();
                    let mut changes = table.apply_batch(batch, keep_until, ended_at);
                    changes.extend(table.apply_due(ended_at));
                    changes
                };
                log_changes(&dispatcher, &changes);
                if !changes.is_empty() {
                    heartbeats::refresh_quota_brokers(&dispatcher);
                    dispatcher.review_stream_keepers();
                }
                wait_for_next_read(&dispatcher, interval, relisting.is_active(ended_at)).await;
            }
            Err(store::StoreError::Deleted) => {
                from = None;
                log_deleted_records(logger, REPLICA_TOPIC);
            }
            Err(store::StoreError::HistoryReplaced { change }) => {
                from = None;
                relisting.record_replaced_history();
                handle_replaced_history(&dispatcher, REPLICA_TOPIC, change).await;
            }
            Err(error) => outage.record_failure(started_at, &error, logger).await,
        }
    }
}

/// Waits for the regular interval, or for a shorter one if a read is asked for or replicas are being
/// listed again.
async fn wait_for_next_read(
    dispatcher: &dispatch::Dispatcher,
    interval: time::Duration,
    is_relisting: bool,
) {
    let spread = time::Duration::from_millis(dispatcher.incarnation % INTERVAL_SPREAD_MS);
    let shortest = interval.min(MIN_REPLICA_INTERVAL + spread);
    tokio::time::sleep(shortest).await;
    if is_relisting || dispatcher.replicas.lock().has_missing() {
        return;
    }
    let rest = interval.saturating_sub(shortest);
    // A timeout is the regular case.
    let _ = tokio::time::timeout(rest, dispatcher.replica_read_requested()).await;
}

/// Logs the changes of one read, with one record for each kind of change.
fn log_changes(dispatcher: &dispatch::Dispatcher, changes: &[replica_table::ReplicaTableChange]) {
    for change in changes {
        if let replica_table::ReplicaTableChange::Removed { address, .. } = change {
            dispatcher.pool.remove_idle(*address);
        }
    }
    let logger = dispatcher.request_logger.logger();
    for event in CHANGE_EVENTS {
        let ids: Vec<&str> = changes
            .iter()
            .filter(|change| change_event(change) == event)
            .map(replica_table::ReplicaTableChange::id)
            .collect();
        if ids.is_empty() {
            continue;
        }
        let listed = &ids[..ids.len().min(MAX_LOGGED_IDS)];
        slog::info!(logger, "replicas changed"; "event" => event.number, "name" => event.name,
            "count" => ids.len(), "replicas" => listed.join(" "));
    }
}

/// Events of changes of replicas.
const CHANGE_EVENTS: [events::LogEvent; 5] = [
    events::REPLICA_LISTED,
    events::ENDPOINT_LEAVING,
    events::REPLICA_GONE,
    events::REPLICA_HELD,
    events::RECORD_UNREADABLE,
];

fn change_event(change: &replica_table::ReplicaTableChange) -> events::LogEvent {
    match change {
        replica_table::ReplicaTableChange::Listed { .. } => events::REPLICA_LISTED,
        replica_table::ReplicaTableChange::Draining { .. } => events::ENDPOINT_LEAVING,
        replica_table::ReplicaTableChange::Removed { .. } => events::REPLICA_GONE,
        replica_table::ReplicaTableChange::Held { .. } => events::REPLICA_HELD,
        replica_table::ReplicaTableChange::Unreadable { .. } => events::RECORD_UNREADABLE,
    }
}

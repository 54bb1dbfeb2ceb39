//! Tasks that follow the platform's store.
//!
//! While the store is away, requests are served on what is known.

use std::{sync::Arc, time};

use telemetry::events;
use tokio::time::Instant;

use crate::{catalog, dispatch, members, store};

/// Part of the time in which a leaving replica must be left alone that passes between two reads of
/// replicas; the rest is for a slow answer of the store. Each call to the store has its price.
const REPLICA_INTERVAL_PART: f64 = 0.65;
/// Pause between two reads of the configuration, so that a burst of changes is read at once.
const PUBLISHED_INTERVAL: time::Duration = time::Duration::from_millis(120);
/// First and longest pause after a failure.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(800);
/// Silence of the store after which missing replicas may still be listed again.
const OUTAGE: time::Duration = time::Duration::from_millis(1500);
/// Time after an outage in which replicas list themselves again.
const RETURN_LIMIT: time::Duration = time::Duration::from_millis(2500);

/// Reads of one topic that failed in a row.
struct StoreOutage {
    topic: &'static str,
    pause: time::Duration,
    answered_at: Instant,
    is_away: bool,
    /// Newest return after a long outage.
    returned_at: Option<Instant>,
}

impl StoreOutage {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            pause: FIRST_PAUSE,
            answered_at: Instant::now(),
            is_away: false,
            returned_at: None,
        }
    }

    /// Notes an answer; true if the store was away for long until a moment ago.
    fn answered(&mut self, logger: &slog::Logger) -> bool {
        if self.is_away && self.answered_at.elapsed() > OUTAGE {
            self.returned_at = Some(Instant::now());
        }
        if self.is_away {
            let away = u64::try_from(self.answered_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            slog::info!(logger, "store answers again"; "event" => events::LOG_RECOVERED.number,
                "name" => events::LOG_RECOVERED.name, "topic" => self.topic, "away_ms" => away);
        }
        self.is_away = false;
        self.pause = FIRST_PAUSE;
        self.answered_at = Instant::now();
        self.returned_at
            .is_some_and(|at| at.elapsed() < RETURN_LIMIT)
    }

    async fn failed(&mut self, error: &store::StoreError, logger: &slog::Logger) {
        if !self.is_away {
            self.is_away = true;
            slog::warn!(logger, "{error}"; "event" => events::LOG_UNAVAILABLE.number,
                "name" => events::LOG_UNAVAILABLE.name, "topic" => self.topic);
        }
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

/// Follows the published configuration until the task is dropped.
pub async fn follow_published(
    dispatcher: Arc<dispatch::Dispatcher>,
    store: Arc<dyn store::StateStore>,
) {
    let mut from = None;
    let mut outage = StoreOutage::new("published");
    loop {
        let logger = dispatcher.journal.logger();
        match store.published(from).await {
            Ok(batch) => {
                outage.answered(logger);
                from = Some(batch.next);
                for (_, change) in batch.changes {
                    adopt(&dispatcher, change);
                }
                tokio::time::sleep(PUBLISHED_INTERVAL).await;
            }
            Err(store::StoreError::Deleted) => from = None,
            Err(error) => outage.failed(&error, logger).await,
        }
    }
}

fn adopt(dispatcher: &dispatch::Dispatcher, change: store::PublishedChange) {
    let logger = dispatcher.journal.logger();
    let mut catalog = dispatcher.catalog.lock();
    match change {
        store::PublishedChange::Configuration(found) => {
            if let catalog::CatalogChange::Configuration { version } = catalog.adopt(found) {
                slog::info!(logger, "configuration in force";
                    "event" => events::CONFIGURATION_APPLIED.number,
                    "name" => events::CONFIGURATION_APPLIED.name, "version" => version);
            }
        }
        store::PublishedChange::Adapter(found) => {
            let name = found.adapter.clone();
            if let catalog::CatalogChange::Adapter { version } = catalog.adopt_adapter(found) {
                slog::info!(logger, "adapter version declared";
                    "event" => events::ADAPTER_VERSION_DECLARED.number,
                    "name" => events::ADAPTER_VERSION_DECLARED.name,
                    "adapter" => name, "version" => version);
            }
        }
        store::PublishedChange::Unreadable { key } => {
            slog::warn!(logger, "record cannot be read";
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
    let mut outage = StoreOutage::new("replicas");
    let interval = dispatcher.settings.leave_ms.mul_f64(REPLICA_INTERVAL_PART);
    loop {
        let logger = dispatcher.journal.logger();
        match store.replicas(from).await {
            Ok(batch) => {
                let was_away = outage.answered(logger);
                from = Some(batch.next);
                let now = dispatcher.now();
                let changes = {
                    let mut table = dispatcher.members.lock();
                    let mut changes = table.apply(batch, was_away, now);
                    changes.extend(table.expire(now));
                    changes
                };
                note(&dispatcher, &changes);
                tokio::time::sleep(interval).await;
            }
            Err(store::StoreError::Deleted) => from = None,
            Err(error) => outage.failed(&error, logger).await,
        }
    }
}

fn note(dispatcher: &dispatch::Dispatcher, changes: &[members::MemberChange]) {
    let logger = dispatcher.journal.logger();
    for change in changes {
        let (event, id) = match change {
            members::MemberChange::Listed { id, .. } => (events::REPLICA_LISTED, id),
            members::MemberChange::Leaving { id } => (events::ENDPOINT_LEAVING, id),
            members::MemberChange::Gone { id, address } => {
                dispatcher.pool.forget(*address);
                (events::REPLICA_GONE, id)
            }
            members::MemberChange::Unreadable { id } => (events::RECORD_UNREADABLE, id),
        };
        slog::info!(logger, "replica changed"; "event" => event.number, "name" => event.name,
            "replica" => id);
    }
}

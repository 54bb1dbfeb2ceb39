//! Background task that keeps the configuration of a process up to date.
//!
//! The first configuration is published when the end of the log is reached, or, if the log fails
//! before, from the state read so far. Later versions are published as they are read.

use std::{sync::Arc, time};

use futures::future::BoxFuture;
use operators::snapshot;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use telemetry::{events, logs};
use tokio::{sync::watch, task};
use uuid::Uuid;

use crate::{
    log::{self, LogService},
    reader::{CONFIGURATION_STREAM, ConfigurationReader, ReadProgress},
};

/// Source of configuration images for a process that cannot read the log.
pub trait ImageSource: Send + Sync {
    /// Newest image among the peers that has at least this version.
    fn image(&self, known_version: u64) -> BoxFuture<'_, Option<snapshot::EncodedImage>>;
}

/// Settings of a follower.
#[derive(Clone, Copy, Debug)]
pub struct FollowerSettings {
    /// Time between reads at the end of the log.
    pub poll_interval: time::Duration,
    /// Maximum wait after failures; part of the 3 s within which a change takes effect.
    pub max_backoff: time::Duration,
    /// Time for which the log retains records.
    pub retention: time::Duration,
    /// Seed of the random jitter.
    pub seed: u64,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            poll_interval: time::Duration::from_millis(500),
            max_backoff: time::Duration::from_secs(2),
            retention: time::Duration::from_hours(24),
            seed: 0,
        }
    }
}

/// Configuration in effect with its log offset; `None` until one is known.
pub type PublishedState = Option<Arc<snapshot::Snapshot>>;

/// Running follower.
pub struct ConfigurationFollower {
    state: watch::Receiver<PublishedState>,
    stop: watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

impl ConfigurationFollower {
    /// Starts the task.
    #[must_use]
    pub fn start(
        log: Arc<dyn LogService>,
        images: Arc<dyn ImageSource>,
        settings: FollowerSettings,
        logger: slog::Logger,
    ) -> Self {
        let (sender, state) = watch::channel(None);
        let (stop, stopped) = watch::channel(false);
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let follower = FollowerTask {
            reader: ConfigurationReader::new(log, settings.retention, rng),
            images,
            settings,
            sender,
            failures: 0,
            logger,
        };
        let task = tokio::spawn(follower.run(stopped));
        Self { state, stop, task }
    }

    /// Receiver of the published state; it is notified of every new version.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<PublishedState> {
        self.state.clone()
    }

    /// Stops the task and waits until it has ended.
    pub async fn close(self) {
        self.stop.send_replace(true);
        // The task is never aborted, so an error means a panic, which was already reported.
        let _ = self.task.await;
    }
}

struct FollowerTask {
    reader: ConfigurationReader,
    images: Arc<dyn ImageSource>,
    settings: FollowerSettings,
    sender: watch::Sender<PublishedState>,
    failures: u32,
    logger: slog::Logger,
}

impl FollowerTask {
    async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        loop {
            tokio::select! {
                // `changed` fails if the handle was dropped without `close`.
                _ = stopped.changed() => return,
                () = self.run_cycle() => {}
            }
        }
    }

    async fn run_cycle(&mut self) {
        match self.reader.advance().await {
            Ok(progress) => {
                if self.failures > 0 {
                    let message = format!(
                        "the log is available again after {} failed reads",
                        self.failures
                    );
                    logs::info(&self.logger, events::LOG_RECOVERED, &message);
                }
                self.failures = 0;
                self.handle_progress(progress).await;
            }
            Err(error) => {
                self.failures = self.failures.saturating_add(1);
                let message = format!("cannot read the log: {error}");
                logs::warn(&self.logger, events::LOG_UNAVAILABLE, &message);
                self.install_peer_image().await;
                self.publish();
                let wait = self.failure_backoff();
                tokio::time::sleep(wait).await;
            }
        }
    }

    async fn handle_progress(&mut self, progress: ReadProgress) {
        match progress {
            ReadProgress::Advanced => {
                if self.sender.borrow().is_some() {
                    self.publish();
                }
                return;
            }
            ReadProgress::CaughtUp => {
                self.publish();
                self.append_snapshot().await;
            }
            ReadProgress::NeedsImage => {
                self.install_peer_image().await;
                self.publish();
            }
            ReadProgress::Stalled => {}
        }
        tokio::time::sleep(self.settings.poll_interval).await;
    }

    /// Exponential backoff; the jitter keeps processes from retrying at the same time.
    fn failure_backoff(&mut self) -> time::Duration {
        let exponential = self.settings.poll_interval * 2_u32.pow(self.failures.min(6) - 1);
        let backoff = exponential.min(self.settings.max_backoff);
        backoff.mul_f64(self.reader.rng().random_range(0.5..1.0))
    }

    async fn install_peer_image(&mut self) {
        let version = self.reader.replay().version();
        let Some(image) = self.images.image(version).await else {
            return;
        };
        let first_retained = self.reader.first_retained();
        let installed = self
            .reader
            .replay_mut()
            .install_image(&image, first_retained);
        match installed {
            Ok(()) => {
                let message = format!(
                    "installed configuration version {} from a peer",
                    image.version
                );
                logs::info(&self.logger, events::CONFIGURATION_FROM_PEER, &message);
            }
            Err(error) => {
                let message = format!("cannot install the configuration of a peer: {error}");
                logs::warn(&self.logger, events::PEER_IMAGE_REFUSED, &message);
            }
        }
    }

    fn publish(&self) {
        let Some(snapshot) = self.reader.replay().snapshot() else {
            return;
        };
        self.sender.send_if_modified(|state| {
            let version = snapshot.configuration.version();
            let current = state.as_ref().map(|state| state.configuration.version());
            let is_newer = current.is_none_or(|current| version > current);
            let has_advanced = state
                .as_ref()
                .is_none_or(|state| snapshot.as_of > state.as_of);
            if is_newer || has_advanced {
                *state = Some(Arc::new(snapshot));
            }
            if is_newer {
                let message = format!("configuration version {version} is in effect");
                logs::info(&self.logger, events::CONFIGURATION_APPLIED, &message);
            }
            is_newer
        });
    }

    async fn append_snapshot(&mut self) {
        let now = self.reader.now();
        if !self.reader.replay().is_snapshot_due(now) {
            return;
        }
        self.reader.replay_mut().record_snapshot_attempt(now);
        let Some(state) = self.reader.replay().snapshot() else {
            return;
        };
        let id = Uuid::from_u128(self.reader.rng().random());
        let records = match snapshot::encode_snapshot(id, &state, snapshot::MAX_PART_BYTES) {
            Ok(records) => records,
            Err(error) => {
                let message = format!("cannot encode the snapshot: {error}");
                logs::error(&self.logger, events::SNAPSHOT_FAILED, &message);
                return;
            }
        };
        // One append per part keeps requests small; readers can separate interleaved snapshots.
        for record in records {
            if let Err(error) = self.append(record).await {
                let message = format!("cannot append the snapshot: {error}");
                logs::warn(&self.logger, events::SNAPSHOT_FAILED, &message);
                return;
            }
        }
        let version = state.configuration.version();
        let message = format!("appended a snapshot of configuration version {version}");
        logs::info(&self.logger, events::SNAPSHOT_APPENDED, &message);
    }

    async fn append(&self, record: Vec<u8>) -> Result<u64, log::LogError> {
        let log = self.reader.log();
        log.append(CONFIGURATION_STREAM, vec![record.into()]).await
    }
}

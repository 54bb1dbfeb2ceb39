//! Reader that replays the configuration stream of a log.

use std::{sync::Arc, time};

use decisions::units;
use operators::replay::{self, ConfigurationReplay};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::log::{self, LogService};

/// Stream of patches and snapshots.
pub const CONFIGURATION_STREAM: &str = "configuration";
/// Maximum number of records per read.
const MAX_READ_RECORDS: usize = 256;

/// Result of one read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadProgress {
    /// Every record up to the end of the log is applied.
    CaughtUp,
    /// The next offset changed and more records may follow.
    Advanced,
    /// The log retains neither the start of the stream nor a usable snapshot.
    NeedsImage,
    /// The log announced records that it did not return.
    Stalled,
}

/// Reader with its offset and the replayed state.
pub struct ConfigurationReader {
    log: Arc<dyn LogService>,
    replay: ConfigurationReplay,
    rng: ChaCha8Rng,
    first_retained: Option<u64>,
    started: Instant,
}

impl ConfigurationReader {
    /// Empty reader of a log that retains records for `retention`.
    #[must_use]
    pub fn new(log: Arc<dyn LogService>, retention: time::Duration, rng: ChaCha8Rng) -> Self {
        Self {
            log,
            replay: ConfigurationReplay::new(retention),
            rng,
            first_retained: None,
            started: Instant::now(),
        }
    }

    /// Replayed state.
    #[must_use]
    pub fn replay(&self) -> &ConfigurationReplay {
        &self.replay
    }

    /// Replayed state, for installing images and scheduling snapshots.
    pub fn replay_mut(&mut self) -> &mut ConfigurationReplay {
        &mut self.replay
    }

    /// Log that the records come from.
    #[must_use]
    pub fn log(&self) -> &Arc<dyn LogService> {
        &self.log
    }

    /// Random number generator for jitter.
    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    /// Smallest offset that the log retained at the last response.
    #[must_use]
    pub fn first_retained(&self) -> Option<u64> {
        self.first_retained
    }

    /// Time since the reader was created.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        units::Timestamp(0) + self.started.elapsed()
    }

    /// Reads one batch and applies it.
    ///
    /// # Errors
    /// [`log::LogError`] when the read fails. An expired offset is not an error; the replay handles
    /// it.
    pub async fn advance(&mut self) -> Result<ReadProgress, log::LogError> {
        let before = self.replay.next_offset();
        let batch = match self
            .log
            .read(CONFIGURATION_STREAM, before, MAX_READ_RECORDS)
            .await
        {
            Ok(batch) => batch,
            Err(log::LogError::OffsetExpired { first_retained }) => {
                self.first_retained = Some(first_retained);
                self.replay.handle_expiry(first_retained);
                return Ok(ReadProgress::Advanced);
            }
            Err(error) => return Err(error),
        };
        self.first_retained = Some(batch.first_retained);
        let records: Vec<replay::RecordView<'_>> = batch
            .records
            .iter()
            .map(|record| replay::RecordView {
                offset: record.offset,
                payload: &record.payload,
            })
            .collect();
        let view = replay::BatchView {
            first_retained: batch.first_retained,
            end: batch.end,
            records: &records,
        };
        let now = self.now();
        self.replay.apply_batch(&view, now, &mut self.rng);
        Ok(self.progress(before))
    }

    fn progress(&self, before: u64) -> ReadProgress {
        if self.replay.is_caught_up() {
            return ReadProgress::CaughtUp;
        }
        if self.replay.needs_image() {
            return ReadProgress::NeedsImage;
        }
        if self.replay.next_offset() == before {
            return ReadProgress::Stalled;
        }
        ReadProgress::Advanced
    }
}

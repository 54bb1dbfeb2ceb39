//! Reader of the configuration stream: the replay of `operators` connected to a log.

use std::{sync::Arc, time};

use decisions::units;
use operators::replay::{self, ConfigurationReplay};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::log::{self, LogService};

/// Stream of patches and snapshots.
pub const CONFIGURATION_STREAM: &str = "configuration";
/// Records asked for in one read.
const READ_RECORDS: usize = 256;

/// Result of one read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadProgress {
    /// Every record up to the end is applied.
    CaughtUp,
    /// The position changed and more records may follow.
    Advanced,
    /// The log holds nothing to start from.
    NeedsImage,
    /// The log did not return the records that it announced.
    Stalled,
}

/// Reader with its position and state.
pub struct ConfigurationReader {
    log: Arc<dyn LogService>,
    replay: ConfigurationReplay,
    rng: ChaCha8Rng,
    first_retained: Option<u64>,
    started: Instant,
}

impl ConfigurationReader {
    /// Reader without state, for a log that retains records for `retention`.
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

    /// State of the replay.
    #[must_use]
    pub fn replay(&self) -> &ConfigurationReplay {
        &self.replay
    }

    /// State of the replay, for images and snapshots.
    pub fn replay_mut(&mut self) -> &mut ConfigurationReplay {
        &mut self.replay
    }

    /// Log that is read.
    #[must_use]
    pub fn log(&self) -> &Arc<dyn LogService> {
        &self.log
    }

    /// Generator for jitter.
    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    /// Start of the log at the last answer.
    #[must_use]
    pub fn first_retained(&self) -> Option<u64> {
        self.first_retained
    }

    /// Time since the reader was made.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        units::Timestamp(0) + self.started.elapsed()
    }

    /// Reads once and applies what was read.
    ///
    /// # Errors
    /// [`log::LogError`] when the log does not answer. An expired offset is handled here.
    pub async fn advance(&mut self) -> Result<ReadProgress, log::LogError> {
        let before = self.replay.next_offset();
        let batch = match self
            .log
            .read(CONFIGURATION_STREAM, before, READ_RECORDS)
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

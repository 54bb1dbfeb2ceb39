//! Streams of the log that store the claims of idempotency keys.
//!
//! Pending claims of one stream are appended in batches, and concurrent callers share a read of the
//! stream. After a lost reply, the stream is read to its end to learn whether the append succeeded.

use std::{collections::BTreeSet, sync::Arc, time};

use bytes::Bytes;
use decisions::{claim_attempt, claim_batch, claims, ids};
use parking_lot::Mutex;
use platform::log::{LogError, LogService};
use tokio::sync;

use crate::clock;

/// Minimum interval between two appends of one entry to one stream.
const APPEND_INTERVAL: time::Duration = time::Duration::from_millis(50);
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(10);
const READ_BATCH_RECORDS: usize = 256;

/// Claim streams of the log.
pub struct ClaimLog {
    streams: Vec<ClaimStream>,
}

/// One claim stream with the window of claims replayed from it.
pub struct ClaimStream {
    name: String,
    log: Arc<dyn LogService>,
    clock: clock::EntryClock,
    window_length: time::Duration,
    state: Mutex<StreamState>,
    /// Held during an append.
    append: sync::Mutex<()>,
    /// Held during a read. Reads are numbered, so that a caller can share one that started after
    /// its call.
    read: sync::Mutex<()>,
}

struct StreamState {
    window: claims::ClaimWindow,
    batcher: claim_batch::ClaimBatcher,
    /// Claims that are not in a batch yet.
    unbatched: BTreeSet<(ids::RequestId, u32)>,
    reads_started: u64,
    last_finished_read: u64,
}

/// Ends the outstanding append when dropped, also if its caller was cancelled.
struct AppendGuard<'a>(&'a ClaimStream);

impl ClaimLog {
    /// Creates the claim streams of a log.
    #[must_use]
    pub fn new(
        log: &Arc<dyn LogService>,
        streams: u16,
        window_length: time::Duration,
        clock: clock::EntryClock,
    ) -> Self {
        let streams = (0..streams.max(1)).map(|index| ClaimStream {
            name: format!("claims-{index}"),
            log: Arc::clone(log),
            clock,
            window_length,
            state: Mutex::new(StreamState {
                window: claims::ClaimWindow::new(window_length, 0),
                batcher: claim_batch::ClaimBatcher::new(APPEND_INTERVAL),
                unbatched: BTreeSet::new(),
                reads_started: 0,
                last_finished_read: 0,
            }),
            append: sync::Mutex::default(),
            read: sync::Mutex::default(),
        });
        Self {
            streams: streams.collect(),
        }
    }

    /// Stream of a key.
    #[must_use]
    pub fn stream(&self, key: &claims::ClaimKey) -> &ClaimStream {
        let count = u16::try_from(self.streams.len()).unwrap_or(1);
        &self.streams[usize::from(key.stream_index(count))]
    }
}

impl ClaimStream {
    /// Appends a claim, batched with other pending ones.
    pub async fn append(&self, record: &claims::ClaimRecord) -> claim_attempt::ClaimEvent {
        let claim_id = (record.request, record.attempt);
        {
            let mut state = self.state.lock();
            state.batcher.push(record.clone());
            state.unbatched.insert(claim_id);
        }
        loop {
            let _append_lock = self.append.lock().await;
            if !self.state.lock().unbatched.contains(&claim_id) {
                // The claim was in another caller's batch; the read that follows shows the outcome.
                return claim_attempt::ClaimEvent::AppendLost;
            }
            let Some(batch) = self.next_batch() else {
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            };
            let guard = AppendGuard(self);
            let event = self.append_batch(&batch).await;
            drop(guard);
            if batch.claims.iter().any(|claim| claim.is_same_claim(record)) {
                return event;
            }
        }
    }

    /// Reads the stream at least up to its end at the time of the call, and returns the winning
    /// claim of a key.
    ///
    /// # Errors
    /// [`LogError`] when the log does not reply or no longer retains the whole window.
    pub async fn read(
        &self,
        key: &claims::ClaimKey,
    ) -> Result<Option<claims::ClaimRecord>, LogError> {
        let started_before = self.state.lock().reads_started;
        let read_lock = self.read.lock().await;
        if self.state.lock().last_finished_read <= started_before {
            let read_number = {
                let mut state = self.state.lock();
                state.reads_started += 1;
                state.reads_started
            };
            self.read_to_end().await?;
            self.state.lock().last_finished_read = read_number;
        }
        drop(read_lock);
        let state = self.state.lock();
        let now = wall_time();
        if !state.window.is_complete(now) {
            let message = "the log no longer retains all claims of the window".to_owned();
            return Err(LogError::NotApplied { message });
        }
        Ok(state.window.winner(key, now).cloned())
    }

    fn next_batch(&self) -> Option<claims::ClaimBatch> {
        let mut state = self.state.lock();
        let batch = state.batcher.next_batch(self.clock.now())?;
        for claim in &batch.claims {
            state.unbatched.remove(&(claim.request, claim.attempt));
        }
        Some(batch)
    }

    async fn append_batch(&self, batch: &claims::ClaimBatch) -> claim_attempt::ClaimEvent {
        let record = Bytes::from(serde_json::to_vec(batch).unwrap_or_default());
        match self.log.append(&self.name, vec![record]).await {
            Ok(_) => claim_attempt::ClaimEvent::Appended,
            Err(LogError::MaybeApplied { .. }) => claim_attempt::ClaimEvent::AppendLost,
            Err(_) => claim_attempt::ClaimEvent::LogUnavailable,
        }
    }

    async fn read_to_end(&self) -> Result<(), LogError> {
        loop {
            let from = self.state.lock().window.next_offset();
            let batch = match self.log.read(&self.name, from, READ_BATCH_RECORDS).await {
                Err(LogError::OffsetExpired { first_retained }) => {
                    self.state.lock().window =
                        claims::ClaimWindow::new(self.window_length, first_retained);
                    continue;
                }
                batch => batch?,
            };
            let mut state = self.state.lock();
            for record in &batch.records {
                // A record that is not a batch still occupies its offset.
                let claims = serde_json::from_slice(&record.payload).unwrap_or_default();
                state.window.apply(record.offset, &claims);
            }
            let next = state.window.next_offset();
            if next >= batch.end {
                return Ok(());
            }
            if next == from {
                let message = "the log returned no records before its end".to_owned();
                return Err(LogError::NotApplied { message });
            }
        }
    }
}

impl Drop for AppendGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().batcher.finish_append();
    }
}

/// Current wall-clock time for claim records.
#[must_use]
pub fn wall_time() -> claims::WallTime {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |duration| duration.as_millis());
    claims::WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}

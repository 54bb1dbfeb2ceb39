//! Publishes configuration patches.
//!
//! The log decides the outcome: the publisher reads the stream until the patch is accepted, the
//! version is newer than its base, or its own record was read and not accepted. Once the version is
//! newer than its base, a patch can never be accepted, wherever its record is. Publishing again
//! with the same id is safe.

use std::{sync::Arc, time};

use operators::{check, patch, snapshot};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;
use tokio::time::Instant;

use crate::{
    log::{self, LogService},
    reader::{CONFIGURATION_STREAM, ConfigurationReader, ReadProgress},
};

/// Longest wait between reads while the outcome is unknown.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Wait before an append is retried that has not appeared in the log.
const APPEND_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Outcome of a patch according to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    Accepted {
        version: u64,
    },
    /// The base is not the current version.
    Refused {
        current: u64,
    },
    /// The changes do not apply to the current version; this call appended nothing.
    Invalid {
        faults: patch::ValidationErrorList,
    },
}

/// Reason why a patch has no known outcome.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum PublishError {
    #[snafu(display(
        "the log is not available ({message}) and the patch had no effect; publish again later"
    ))]
    NotPublished { message: String },
    #[snafu(display(
        "the log is not available ({message}) and the patch may have taken effect; publish again with the same id"
    ))]
    OutcomeUnknown { message: String },
    #[snafu(display("the log refuses the patch ({message}); split it into smaller patches"))]
    Unacceptable { message: String },
}

/// Publisher with its own reader of the stream.
pub struct PatchPublisher {
    reader: ConfigurationReader,
}

impl PatchPublisher {
    /// Publisher that replays the stream from its start or a snapshot.
    #[must_use]
    pub fn new(log: Arc<dyn LogService>, retention: time::Duration, rng: ChaCha8Rng) -> Self {
        Self {
            reader: ConfigurationReader::new(log, retention, rng),
        }
    }

    /// Appends a patch and waits for its outcome for at most `timeout`.
    ///
    /// # Errors
    /// [`PublishError`] when the outcome is not known in time. It tells whether this call's append
    /// may have taken effect.
    pub async fn publish(
        &mut self,
        patch: &patch::Patch,
        timeout: time::Duration,
    ) -> Result<PublishOutcome, PublishError> {
        let mut attempt = PublishAttempt {
            maybe_appended: false,
            appended_at: None,
            next_append: Instant::now(),
            message: "the log has no usable snapshot".to_owned(),
        };
        match tokio::time::timeout(timeout, self.attempt(patch, &mut attempt)).await {
            Ok(outcome) => outcome,
            Err(_) if attempt.maybe_appended => OutcomeUnknownSnafu {
                message: attempt.message,
            }
            .fail(),
            Err(_) => NotPublishedSnafu {
                message: attempt.message,
            }
            .fail(),
        }
    }

    async fn attempt(
        &mut self,
        patch: &patch::Patch,
        attempt: &mut PublishAttempt,
    ) -> Result<PublishOutcome, PublishError> {
        loop {
            match self.reader.advance().await {
                Ok(ReadProgress::CaughtUp) => {
                    if let Some(outcome) = self.outcome(patch, attempt) {
                        return Ok(outcome);
                    }
                    self.append(patch, attempt).await?;
                }
                Ok(ReadProgress::Advanced) => continue,
                Ok(ReadProgress::NeedsImage | ReadProgress::Stalled) => {}
                Err(error) => attempt.message = error.to_string(),
            }
            let wait = READ_INTERVAL.mul_f64(self.reader.rng().random_range(0.5..1.0));
            tokio::time::sleep(wait).await;
        }
    }

    fn outcome(&self, patch: &patch::Patch, attempt: &PublishAttempt) -> Option<PublishOutcome> {
        let replay = self.reader.replay();
        if let Some(version) = replay.accepted_version(patch.id) {
            return Some(PublishOutcome::Accepted { version });
        }
        let current = replay.version();
        let is_rejected = attempt
            .appended_at
            .is_some_and(|offset| replay.next_offset() > offset);
        if current > patch.base || is_rejected {
            return Some(PublishOutcome::Refused { current });
        }
        // A lagging log may not return the base yet; the patch's offset then decides.
        if attempt.maybe_appended || current < patch.base {
            return None;
        }
        let faults = check::check_patch(replay.configuration()?, patch);
        (!faults.is_empty()).then_some(PublishOutcome::Invalid { faults })
    }

    async fn append(
        &self,
        patch: &patch::Patch,
        attempt: &mut PublishAttempt,
    ) -> Result<(), PublishError> {
        if Instant::now() < attempt.next_append {
            return Ok(());
        }
        let record = snapshot::encode_patch(patch);
        // Set before the call because the timeout may cancel the call after it took effect.
        let was_maybe_appended = attempt.maybe_appended;
        attempt.maybe_appended = true;
        attempt.next_append = Instant::now() + APPEND_RETRY_INTERVAL;
        let log = self.reader.log();
        match log.append(CONFIGURATION_STREAM, vec![record.into()]).await {
            Ok(offset) => {
                attempt.appended_at = Some(offset);
                "the appended patch cannot be read yet".clone_into(&mut attempt.message);
            }
            Err(log::LogError::NotApplied { message }) => {
                attempt.maybe_appended = was_maybe_appended;
                attempt.message = message;
            }
            Err(log::LogError::Refused { message }) if !was_maybe_appended => {
                return UnacceptableSnafu { message }.fail();
            }
            Err(error) => attempt.message = error.to_string(),
        }
        Ok(())
    }
}

struct PublishAttempt {
    /// Whether an append may have taken effect.
    maybe_appended: bool,
    /// Offset of the patch once the log confirmed the append.
    appended_at: Option<u64>,
    next_append: Instant,
    message: String,
}

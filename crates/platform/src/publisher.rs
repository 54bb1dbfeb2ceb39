//! Publishing of one patch.
//!
//! The outcome is the one that the log gives: the publisher reads the stream until the patch is
//! among the accepted ones, the version has passed its base, or its own record was read and not
//! accepted. A patch whose base was passed can never be accepted, wherever its record is. Sending again with the same id is safe.

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

/// Wait between reads while the outcome is not known.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Wait before an append is repeated that is not seen in the log.
const APPEND_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Outcome of a patch as the log has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    Accepted {
        version: u64,
    },
    /// The base is not the current version.
    Refused {
        current: u64,
    },
    /// The changes do not fit the current version; nothing was appended by this call.
    Invalid {
        faults: patch::ValidationErrorList,
    },
}

/// Reason why the outcome is not known.
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

/// Publisher with its own view of the stream.
pub struct PatchPublisher {
    reader: ConfigurationReader,
}

impl PatchPublisher {
    /// Publisher that reads the stream from its start or a snapshot.
    #[must_use]
    pub fn new(log: Arc<dyn LogService>, retention: time::Duration, rng: ChaCha8Rng) -> Self {
        Self {
            reader: ConfigurationReader::new(log, retention, rng),
        }
    }

    /// Appends a patch and waits for its outcome, at most `limit`.
    ///
    /// # Errors
    /// [`PublishError`] when the log does not tell the outcome in time. It says whether the patch
    /// may have taken effect through this call.
    pub async fn publish(
        &mut self,
        patch: &patch::Patch,
        limit: time::Duration,
    ) -> Result<PublishOutcome, PublishError> {
        let mut attempt = PublishAttempt {
            sent: false,
            appended_at: None,
            next_append: Instant::now(),
            message: "the log holds no usable snapshot".to_owned(),
        };
        match tokio::time::timeout(limit, self.attempt(patch, &mut attempt)).await {
            Ok(outcome) => outcome,
            Err(_) if attempt.sent => OutcomeUnknownSnafu {
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
        let passed = attempt
            .appended_at
            .is_some_and(|offset| replay.next_offset() > offset);
        if current > patch.base || passed {
            return Some(PublishOutcome::Refused { current });
        }
        // A lagging log may not show the base yet; the patch's place in the log then decides.
        if attempt.sent || current < patch.base {
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
        // Set before the call: the time limit may cancel it after it took effect.
        let sent_before = attempt.sent;
        attempt.sent = true;
        attempt.next_append = Instant::now() + APPEND_INTERVAL;
        let log = self.reader.log();
        match log.append(CONFIGURATION_STREAM, vec![record.into()]).await {
            Ok(offset) => {
                attempt.appended_at = Some(offset);
                "the patch is not readable yet".clone_into(&mut attempt.message);
            }
            Err(log::LogError::NotApplied { message }) => {
                attempt.sent = sent_before;
                attempt.message = message;
            }
            Err(log::LogError::Refused { message }) if !sent_before => {
                return UnacceptableSnafu { message }.fail();
            }
            Err(error) => attempt.message = error.to_string(),
        }
        Ok(())
    }
}

struct PublishAttempt {
    /// Whether an append may have taken effect.
    sent: bool,
    /// Offset of the patch when the log confirmed it.
    appended_at: Option<u64>,
    next_append: Instant,
    message: String,
}

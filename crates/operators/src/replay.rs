//! Replay of the configuration stream.
//!
//! A patch is accepted if its base equals the version at its place in the log. The decision
//! depends on the log alone, so every reader that starts from a valid place reaches it.
//!
//! Valid places are offset 0 with the empty configuration, and the `as_of` of a snapshot or of a
//! peer's image as long as every record from `as_of` on is still retained. A reader whose next
//! record has expired keeps its configuration in effect but searches for a new place; it takes no
//! snapshot or image of a lower version.
//!
//! A searching reader takes the first usable snapshot that it meets. A later one gives the same
//! state, since the records between the two are replayed.

use std::{sync::Arc, time};

use decisions::units;
use rand::Rng;
use snafu::{ResultExt, Snafu, ensure};

use crate::{configuration::Configuration, patch, snapshot};

/// Accepted patch ids that are remembered. The window is counted in patches, not in time, and is
/// part of every snapshot, so all readers agree on what is a duplicate.
pub const MAX_RECENT_PATCHES: usize = 1_024;
/// A snapshot is appended again after this part of the log's retention.
const RETENTION_PARTS: u32 = 4;
/// Wait after an append of a snapshot before the next attempt, as a part of the usual interval.
const ATTEMPT_PARTS: u32 = 16;

/// One record as it was read.
#[derive(Clone, Copy, Debug)]
pub struct RecordView<'a> {
    pub offset: u64,
    pub payload: &'a [u8],
}

/// One read of the log.
#[derive(Clone, Copy, Debug)]
pub struct BatchView<'a> {
    /// Smallest offset that is retained.
    pub first_retained: u64,
    /// Offset that the next record will get.
    pub end: u64,
    /// Records in log order.
    pub records: &'a [RecordView<'a>],
}

/// Decision on one patch record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PatchDecision {
    pub id: patch::PatchId,
    pub offset: u64,
    pub outcome: PatchOutcome,
}

/// Outcome of one patch record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PatchOutcome {
    Accepted {
        version: u64,
    },
    /// The base is not the current version.
    Refused {
        current: u64,
    },
    /// The id was accepted before as this version.
    Duplicate {
        version: u64,
    },
}

/// Reason why an image of a peer is not used.
#[derive(Debug, Snafu)]
pub enum ImageError {
    #[snafu(display("the image has version {image} and version {current} is in effect"))]
    LowerVersion { image: u64, current: u64 },
    #[snafu(display(
        "the image holds up to offset {as_of} and the log starts at {first_retained}; ask another peer"
    ))]
    RecordsExpired { as_of: u64, first_retained: u64 },
    #[snafu(display("the image holds up to offset {as_of}, which was read already"))]
    NotNewer { as_of: u64 },
    #[snafu(display("the image cannot be used: {source}"))]
    Unreadable { source: snapshot::DecodeError },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReplayPhase {
    /// Looks for a place to start from.
    Searching,
    /// Has applied every record before `next_offset`.
    Following,
}

/// State of one reader of the configuration stream.
#[derive(Clone, Debug)]
pub struct ConfigurationReplay {
    phase: ReplayPhase,
    next_offset: u64,
    end_seen: Option<u64>,
    configuration: Option<Arc<Configuration>>,
    recent: Vec<snapshot::AcceptedPatch>,
    assembly: snapshot::SnapshotAssembler,
    ignored: u64,
    snapshot_interval: time::Duration,
    snapshot_due: Option<units::Timestamp>,
}

impl ConfigurationReplay {
    /// Reader without state, for a log that retains records for `retention`.
    #[must_use]
    pub fn new(retention: time::Duration) -> Self {
        Self {
            phase: ReplayPhase::Searching,
            next_offset: 0,
            end_seen: None,
            configuration: None,
            recent: Vec::new(),
            assembly: snapshot::SnapshotAssembler::default(),
            ignored: 0,
            snapshot_interval: retention / RETENTION_PARTS,
            snapshot_due: None,
        }
    }

    /// Offset from which to read next. It goes back when a snapshot was taken.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Configuration in effect, if any is known.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Version in effect, 0 if none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |state| state.version())
    }

    /// Version that a patch produced, if it was accepted recently.
    #[must_use]
    pub fn accepted_version(&self, id: patch::PatchId) -> Option<u64> {
        let accepted = self.recent.iter().find(|accepted| accepted.id == id)?;
        Some(accepted.version)
    }

    /// Whether every record up to the end seen last has been applied.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.is_following() && self.end_seen.is_some_and(|end| self.next_offset >= end)
    }

    /// Whether the state holds up to [`Self::next_offset`].
    #[must_use]
    pub fn is_following(&self) -> bool {
        self.phase == ReplayPhase::Following
    }

    /// Whether the whole log was searched and no place to start from was found.
    #[must_use]
    pub fn needs_image(&self) -> bool {
        !self.is_following() && self.end_seen.is_some_and(|end| self.next_offset >= end)
    }

    /// Records that could not be read and were passed over.
    #[must_use]
    pub fn ignored_records(&self) -> u64 {
        self.ignored
    }

    /// Applies one read of the log, starting at [`Self::next_offset`].
    ///
    /// Records before that offset are passed over. Processing stops at a gap and after a snapshot
    /// was taken; the caller then reads again from [`Self::next_offset`].
    pub fn apply_batch(
        &mut self,
        batch: &BatchView<'_>,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
    ) -> Vec<PatchDecision> {
        self.end_seen = Some(batch.end);
        self.locate(batch.first_retained);
        let mut decisions = Vec::new();
        for record in batch.records {
            if record.offset < self.next_offset {
                continue;
            }
            if record.offset > self.next_offset {
                break;
            }
            self.next_offset += 1;
            if self.apply_record(record, batch.first_retained, now, rng, &mut decisions) {
                break;
            }
        }
        if self.is_following() && self.snapshot_due.is_none() {
            // Uniform over the whole interval: the age of the newest snapshot is unknown, and a
            // full interval after every restart would let it expire when processes restart often.
            let wait = self.snapshot_interval.mul_f64(rng.random::<f64>());
            self.snapshot_due = Some(now + wait);
        }
        decisions
    }

    /// Reacts to an answer of the log that [`Self::next_offset`] has expired.
    pub fn handle_expiry(&mut self, first_retained: u64) {
        self.locate(first_retained);
    }

    /// Takes over the image of a peer. `first_retained` is the start of the log if it is known.
    ///
    /// # Errors
    /// [`ImageError`] when the image is older than the state, unreadable, or followed by records
    /// that have expired.
    pub fn install_image(
        &mut self,
        image: &snapshot::EncodedImage,
        first_retained: Option<u64>,
    ) -> Result<(), ImageError> {
        let as_of = image.as_of;
        let current = self.version();
        let version = image.version;
        ensure!(
            version >= current,
            LowerVersionSnafu {
                image: version,
                current
            }
        );
        if let Some(first_retained) = first_retained {
            ensure!(
                as_of >= first_retained,
                RecordsExpiredSnafu {
                    as_of,
                    first_retained
                }
            );
        }
        let newer = !self.is_following() || as_of > self.next_offset;
        ensure!(newer, NotNewerSnafu { as_of });
        let snapshot = snapshot::decode_image(image).context(UnreadableSnafu)?;
        self.adopt(snapshot);
        Ok(())
    }

    /// State for a peer or for a snapshot record; none while searching.
    #[must_use]
    pub fn snapshot(&self) -> Option<snapshot::Snapshot> {
        let configuration = self.configuration.as_ref()?;
        self.is_following().then(|| snapshot::Snapshot {
            as_of: self.next_offset,
            configuration: Arc::clone(configuration),
            recent: self.recent.clone(),
        })
    }

    /// Whether this reader should append a snapshot now.
    #[must_use]
    pub fn is_snapshot_due(&self, now: units::Timestamp) -> bool {
        self.is_caught_up() && self.snapshot_due.is_some_and(|due| now >= due)
    }

    /// Notes that a snapshot was appended; it counts only when it is read back.
    pub fn record_snapshot_attempt(&mut self, now: units::Timestamp) {
        self.snapshot_due = Some(now + self.snapshot_interval / ATTEMPT_PARTS);
    }

    /// Checks that the next record is retained, and searches for a place to start otherwise.
    fn locate(&mut self, first_retained: u64) {
        if self.next_offset >= first_retained {
            if self.next_offset == 0 && self.configuration.is_none() {
                self.phase = ReplayPhase::Following;
                self.configuration = Some(Arc::default());
            }
            return;
        }
        self.phase = ReplayPhase::Searching;
        self.next_offset = first_retained;
        self.assembly.clear();
    }

    /// Returns whether the position went back to the start of a snapshot.
    fn apply_record(
        &mut self,
        record: &RecordView<'_>,
        first_retained: u64,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
        decisions: &mut Vec<PatchDecision>,
    ) -> bool {
        let Ok(content) = snapshot::decode_record(record.payload) else {
            self.ignored += 1;
            return false;
        };
        match content {
            snapshot::ConfigurationRecord::Patch(patch) => {
                if self.is_following() {
                    let id = patch.id;
                    let outcome = self.decide(&patch);
                    let offset = record.offset;
                    decisions.push(PatchDecision {
                        id,
                        offset,
                        outcome,
                    });
                }
                false
            }
            snapshot::ConfigurationRecord::Part(part) => {
                self.apply_part(&part, first_retained, now, rng)
            }
        }
    }

    fn decide(&mut self, patch: &patch::Patch) -> PatchOutcome {
        if let Some(version) = self.accepted_version(patch.id) {
            return PatchOutcome::Duplicate { version };
        }
        let current = self.version();
        if patch.base != current {
            return PatchOutcome::Refused { current };
        }
        let state = self.configuration.get_or_insert_default();
        Arc::make_mut(state).apply(&patch.changes);
        let version = state.version();
        if self.recent.len() >= MAX_RECENT_PATCHES {
            self.recent.remove(0);
        }
        self.recent.push(snapshot::AcceptedPatch {
            id: patch.id,
            version,
        });
        PatchOutcome::Accepted { version }
    }

    fn apply_part(
        &mut self,
        part: &snapshot::SnapshotPart<'_>,
        first_retained: u64,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
    ) -> bool {
        let mode = if self.is_following() {
            snapshot::AssemblyMode::CountParts
        } else {
            snapshot::AssemblyMode::KeepState
        };
        let Some(complete) = self.assembly.add(part, mode) else {
            return false;
        };
        let usable = complete.header.as_of >= first_retained;
        if self.is_following() {
            if usable {
                self.schedule_snapshot(now, rng);
            }
            return false;
        }
        if !usable || complete.header.version < self.version() {
            return false;
        }
        // A snapshot cannot include records that follow it.
        if complete.header.as_of >= self.next_offset {
            self.ignored += 1;
            return false;
        }
        let Ok(snapshot) = complete.decode() else {
            self.ignored += 1;
            return false;
        };
        self.adopt(snapshot);
        true
    }

    /// The jitter of a quarter keeps processes from appending the same snapshot together.
    fn schedule_snapshot(&mut self, now: units::Timestamp, rng: &mut dyn rand::RngCore) {
        let jitter = self.snapshot_interval.mul_f64(rng.random::<f64>() / 4.0);
        self.snapshot_due = Some(now + self.snapshot_interval + jitter);
    }

    fn adopt(&mut self, snapshot: snapshot::Snapshot) {
        self.phase = ReplayPhase::Following;
        self.next_offset = snapshot.as_of;
        self.configuration = Some(snapshot.configuration);
        self.recent = snapshot.recent;
        self.assembly.clear();
    }
}

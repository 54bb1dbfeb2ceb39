//! Replay of the configuration stream.
//!
//! A patch is accepted if its base equals the version at its offset in the log. The decision
//! depends on the log alone, so all readers that start from a valid state make the same one.
//!
//! Valid start states are offset 0 with the empty configuration, and the `as_of` of a snapshot or
//! of a peer's image as long as every record from `as_of` on is still retained. A reader whose next
//! record has expired keeps its configuration in effect and searches for a new start state; it
//! installs no snapshot or image of a lower version.
//!
//! A searching reader installs the first usable snapshot in the log. A later one would give the
//! same state, since the records between the two are replayed.

use std::{sync::Arc, time};

use decisions::units;
use rand::Rng;
use snafu::{ResultExt, Snafu, ensure};

use crate::{configuration::Configuration, patch, snapshot};

/// Accepted patch ids that are kept to detect duplicates. The window is counted in patches, not in
/// time, and is part of every snapshot, so that all readers agree on duplicates.
pub const MAX_RECENT_PATCHES: usize = 1_024;
/// Snapshots that are appended within the log's retention.
const SNAPSHOTS_PER_RETENTION: u32 = 4;
/// Attempts to append a snapshot within the usual interval, as long as none is read back.
const ATTEMPTS_PER_INTERVAL: u32 = 16;

/// One record of the log.
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

/// Reason why the image of a peer is not installed.
#[derive(Debug, Snafu)]
pub enum ImageError {
    #[snafu(display("the image has version {image}, lower than version {current} in effect"))]
    LowerVersion { image: u64, current: u64 },
    #[snafu(display(
        "the image is as of offset {as_of} and the log starts at {first_retained}; ask another peer"
    ))]
    RecordsExpired { as_of: u64, first_retained: u64 },
    #[snafu(display("the image is as of offset {as_of}, which was already read"))]
    NotNewer { as_of: u64 },
    #[snafu(display("the image cannot be decoded: {source}"))]
    Unreadable { source: snapshot::DecodeError },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReplayPhase {
    /// Searches for a valid start state.
    Searching,
    /// Has applied every record before `next_offset`.
    Following,
}

/// State of one reader of the configuration stream.
#[derive(Clone, Debug)]
pub struct ConfigurationReplay {
    phase: ReplayPhase,
    next_offset: u64,
    log_end: Option<u64>,
    configuration: Option<Arc<Configuration>>,
    recent: Vec<snapshot::AcceptedPatch>,
    assembler: snapshot::SnapshotAssembler,
    ignored_records: u64,
    snapshot_interval: time::Duration,
    snapshot_due: Option<units::Timestamp>,
}

impl ConfigurationReplay {
    /// Creates a reader without state, for a log that retains records for `retention`.
    #[must_use]
    pub fn new(retention: time::Duration) -> Self {
        Self {
            phase: ReplayPhase::Searching,
            next_offset: 0,
            log_end: None,
            configuration: None,
            recent: Vec::new(),
            assembler: snapshot::SnapshotAssembler::default(),
            ignored_records: 0,
            snapshot_interval: retention / SNAPSHOTS_PER_RETENTION,
            snapshot_due: None,
        }
    }

    /// Offset from which to read next; goes back to `as_of` when a snapshot is installed.
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

    /// Whether every record up to the last known end of the log has been applied.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.is_following() && self.log_end.is_some_and(|end| self.next_offset >= end)
    }

    /// Whether the state includes every record before [`Self::next_offset`].
    #[must_use]
    pub fn is_following(&self) -> bool {
        self.phase == ReplayPhase::Following
    }

    /// Whether the whole log was searched and no start state was found.
    #[must_use]
    pub fn needs_image(&self) -> bool {
        !self.is_following() && self.log_end.is_some_and(|end| self.next_offset >= end)
    }

    /// Number of invalid records that were skipped.
    #[must_use]
    pub fn ignored_records(&self) -> u64 {
        self.ignored_records
    }

    /// Applies one batch of records read from [`Self::next_offset`].
    ///
    /// Records before that offset are skipped. Processing stops at a gap and after a snapshot was
    /// installed; the caller then reads again from [`Self::next_offset`].
    pub fn apply_batch(
        &mut self,
        batch: &BatchView<'_>,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
    ) -> Vec<PatchDecision> {
        self.log_end = Some(batch.end);
        self.check_retention(batch.first_retained);
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

    /// Handles the log's response that the record at [`Self::next_offset`] has expired.
    pub fn handle_expiry(&mut self, first_retained: u64) {
        self.check_retention(first_retained);
    }

    /// Installs the image of a peer. `first_retained` is the start of the log if it is known.
    ///
    /// # Errors
    /// [`ImageError`] when the image is older than the state, cannot be decoded, or is followed by
    /// records that have expired.
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
        self.install_snapshot(snapshot);
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

    /// Records that a snapshot was appended; it counts only once it is read back from the log.
    pub fn record_snapshot_attempt(&mut self, now: units::Timestamp) {
        self.snapshot_due = Some(now + self.snapshot_interval / ATTEMPTS_PER_INTERVAL);
    }

    /// Checks that the next record is retained; otherwise searches for a start state.
    fn check_retention(&mut self, first_retained: u64) {
        if self.next_offset >= first_retained {
            if self.next_offset == 0 && self.configuration.is_none() {
                self.phase = ReplayPhase::Following;
                self.configuration = Some(Arc::default());
            }
            return;
        }
        self.phase = ReplayPhase::Searching;
        self.next_offset = first_retained;
        self.assembler.clear();
    }

    /// Returns whether a snapshot was installed, which moves the position back to its `as_of`.
    fn apply_record(
        &mut self,
        record: &RecordView<'_>,
        first_retained: u64,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
        decisions: &mut Vec<PatchDecision>,
    ) -> bool {
        let Ok(content) = snapshot::decode_record(record.payload) else {
            self.ignored_records += 1;
            return false;
        };
        match content {
            snapshot::ConfigurationRecord::Patch(patch) => {
                if self.is_following() {
                    let id = patch.id;
                    let outcome = self.apply_patch(&patch);
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

    fn apply_patch(&mut self, patch: &patch::Patch) -> PatchOutcome {
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
        let Some(complete) = self.assembler.add_part(part, mode) else {
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
            self.ignored_records += 1;
            return false;
        }
        let Ok(snapshot) = complete.decode() else {
            self.ignored_records += 1;
            return false;
        };
        self.install_snapshot(snapshot);
        true
    }

    /// The jitter of up to a quarter keeps processes from appending the same snapshot at once.
    fn schedule_snapshot(&mut self, now: units::Timestamp, rng: &mut dyn rand::RngCore) {
        let jitter = self.snapshot_interval.mul_f64(rng.random::<f64>() / 4.0);
        self.snapshot_due = Some(now + self.snapshot_interval + jitter);
    }

    fn install_snapshot(&mut self, snapshot: snapshot::Snapshot) {
        self.phase = ReplayPhase::Following;
        self.next_offset = snapshot.as_of;
        self.configuration = Some(snapshot.configuration);
        self.recent = snapshot.recent;
        self.assembler.clear();
    }
}

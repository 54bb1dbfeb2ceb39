//! Replay of the configuration stream by readers with different start states.

mod support;

use std::{sync::Arc, time};

use decisions::units;
use operators::{configuration::Configuration, patch, replay, snapshot};
use proptest::prelude::*;
use support::{RETENTION, TestLog, adapter, patch};

fn reader() -> replay::ConfigurationReplay {
    replay::ConfigurationReplay::new(RETENTION)
}

fn read_all(log: &TestLog, reader: &mut replay::ConfigurationReplay) {
    for _ in 0..=3 * log.records.len() {
        log.read(reader, 3);
    }
}

fn encode_small_parts(id: u128, snapshot: &snapshot::Snapshot) -> Vec<Vec<u8>> {
    snapshot::encode_snapshot(uuid::Uuid::from_u128(id), snapshot, 400).unwrap()
}

fn outcome(log: &mut TestLog, patch: &patch::Patch) -> replay::PatchOutcome {
    log.append(snapshot::encode_patch(patch))[0].outcome
}

fn large_state() -> Configuration {
    let mut state = Configuration::default();
    let changes: Vec<patch::ConfigurationChange> = (0..21_000)
        .map(|index| {
            let name = format!("northlink/class-notes-{index:05}");
            patch::ConfigurationChange::AddAdapter(adapter(&name, units::Priority::Normal))
        })
        .collect();
    state.apply(&changes);
    state
}

// Guards against two patches with the same base that are both accepted.
#[test]
fn first_of_two_concurrent_patches_is_accepted() {
    let mut log = TestLog::new();
    let accepted = outcome(&mut log, &patch(1, 0));
    assert_eq!(accepted, replay::PatchOutcome::Accepted { version: 1 });
    let refused = outcome(&mut log, &patch(2, 0));
    assert_eq!(refused, replay::PatchOutcome::Refused { current: 1 });
    let duplicate = outcome(&mut log, &patch(1, 0));
    assert_eq!(duplicate, replay::PatchOutcome::Duplicate { version: 1 });
    // The same id with a new base is still a duplicate.
    let duplicate = outcome(&mut log, &patch(1, 1));
    assert_eq!(duplicate, replay::PatchOutcome::Duplicate { version: 1 });
    assert_eq!(log.reference.version(), 1);
}

// Guards against readers that disagree on duplicates because their windows differ.
#[test]
fn duplicate_window_is_bounded_and_part_of_snapshots() {
    let mut log = TestLog::new();
    let count = replay::MAX_RECENT_PATCHES as u64 + 1;
    for base in 0..count {
        outcome(&mut log, &patch(u128::from(base), base));
    }
    let snapshot = log.reference.snapshot().unwrap();
    assert_eq!(snapshot.recent.len(), replay::MAX_RECENT_PATCHES);
    let mut cold = reader();
    cold.install_image(&snapshot::encode_image(&snapshot), None)
        .unwrap();
    let evicted = outcome(&mut log, &patch(0, count));
    assert_eq!(
        evicted,
        replay::PatchOutcome::Accepted { version: count + 1 }
    );
    let known = outcome(&mut log, &patch(1, count + 1));
    assert_eq!(known, replay::PatchOutcome::Accepted { version: count + 2 });
    let known = outcome(&mut log, &patch(3, count + 2));
    assert_eq!(known, replay::PatchOutcome::Duplicate { version: 4 });
    read_all(&log, &mut cold);
    assert!(cold.is_caught_up() && log.agrees(&cold));
}

// Guards against a cold reader that uses a snapshot although records after it have expired.
#[test]
fn cold_reader_ignores_a_stale_snapshot() {
    let mut log = TestLog::new();
    outcome(&mut log, &patch(1, 0));
    let stale = log.reference.snapshot().unwrap();
    outcome(&mut log, &patch(2, 1));
    outcome(&mut log, &patch(3, 2));
    log.expire();
    log.expire();
    for part in encode_small_parts(9, &stale) {
        log.append(part);
    }
    let mut cold = reader();
    read_all(&log, &mut cold);
    assert!(cold.needs_image() && cold.configuration().is_none());
    let image = snapshot::encode_image(&stale);
    let refused = cold.install_image(&image, Some(log.first_retained));
    assert!(matches!(
        refused,
        Err(replay::ImageError::RecordsExpired { .. })
    ));
    let fresh = log.reference.snapshot().unwrap();
    for part in encode_small_parts(10, &fresh) {
        log.append(part);
    }
    read_all(&log, &mut cold);
    assert!(cold.is_caught_up() && log.agrees(&cold) && cold.version() == 3);
}

// Guards against a snapshot that is installed with parts missing or with parts of another one.
#[test]
fn incomplete_and_mixed_snapshots_are_ignored() {
    let mut log = TestLog::new();
    for base in 0..8 {
        outcome(&mut log, &patch(u128::from(base), base));
    }
    let first = encode_small_parts(1, &log.reference.snapshot().unwrap());
    outcome(&mut log, &patch(100, 8));
    let second = encode_small_parts(2, &log.reference.snapshot().unwrap());
    assert!(first.len() > 3 && second.len() > 3);
    let start = log.end();
    let mixed = first[..2].iter().chain(&second[2..]).chain(&first[..2]);
    for part in mixed {
        log.append(part.clone());
    }
    while log.first_retained < start {
        log.expire();
    }
    let mut cold = reader();
    read_all(&log, &mut cold);
    assert!(cold.needs_image());
    // The missing parts complete the second snapshot, in any order.
    for part in second[..2].iter().rev() {
        log.append(part.clone());
    }
    read_all(&log, &mut cold);
    assert!(cold.is_caught_up() && log.agrees(&cold) && cold.version() == 9);
}

// Guards against a peer whose image puts an older configuration back into effect.
#[test]
fn images_never_lower_the_version() {
    let mut log = TestLog::new();
    outcome(&mut log, &patch(1, 0));
    let old = snapshot::encode_image(&log.reference.snapshot().unwrap());
    outcome(&mut log, &patch(2, 1));
    let new = snapshot::encode_image(&log.reference.snapshot().unwrap());
    let mut cold = reader();
    cold.install_image(&new, None).unwrap();
    let lower = cold.install_image(&old, None);
    assert!(matches!(
        lower,
        Err(replay::ImageError::LowerVersion { .. })
    ));
    let mut torn = old.clone();
    torn.version = 5;
    assert!(cold.install_image(&torn, None).is_err());
    assert_eq!(cold.version(), 2);
}

// Guards against an invalid snapshot that puts an older configuration back into effect.
#[test]
fn snapshots_never_lower_the_version() {
    let mut log = TestLog::new();
    let empty = snapshot::Snapshot {
        as_of: 0,
        configuration: Arc::default(),
        recent: Vec::new(),
    };
    outcome(&mut log, &patch(1, 0));
    let mut reader = reader();
    read_all(&log, &mut reader);
    outcome(&mut log, &patch(2, 1));
    log.expire();
    log.expire();
    let invalid = snapshot::Snapshot { as_of: 2, ..empty };
    for part in encode_small_parts(1, &invalid) {
        log.append(part);
    }
    read_all(&log, &mut reader);
    assert!(reader.needs_image() && reader.version() == 1);
}

// Guards against snapshots that are appended after the previous one has expired, that are not
// appended again after a lost append, or that every process appends at once.
#[test]
fn snapshot_is_due_every_quarter_of_the_retention_and_after_a_lost_append() {
    let at = |seconds: u64| units::Timestamp(0) + time::Duration::from_secs(seconds);
    let mut log = TestLog::new();
    outcome(&mut log, &patch(1, 0));
    let mut follower = reader();
    log.read_at(&mut follower, 9, at(0));
    assert!(
        follower.is_snapshot_due(at(1_000)),
        "a restart waits at most a quarter"
    );
    follower.record_snapshot_attempt(at(1_000));
    assert!(!follower.is_snapshot_due(at(1_000)));
    assert!(
        follower.is_snapshot_due(at(1_063)),
        "an append that was not read back is repeated"
    );
    for part in encode_small_parts(1, &follower.snapshot().unwrap()) {
        log.append(part);
    }
    log.read_at(&mut follower, 9, at(1_100));
    assert!(!follower.is_snapshot_due(at(2_099)));
    assert!(follower.is_snapshot_due(at(2_350)));
}

// Guards against a state at the target size that exceeds the memory or the record limit.
#[test]
fn target_size_fits_memory_and_record_limits() {
    let state = Arc::new(large_state());
    let snapshot = snapshot::Snapshot {
        as_of: 1,
        configuration: Arc::clone(&state),
        recent: Vec::new(),
    };
    let records = encode_parts(&snapshot);
    let log_bytes: usize = records.iter().map(Vec::len).sum();
    println!(
        "21,000 adapters with 2 versions: {} bytes in memory, {log_bytes} bytes in {} records",
        state.byte_size(),
        records.len()
    );
    assert!(state.byte_size() < 4_000_000);
    assert!(records.len() > 1);
    assert!(
        records
            .iter()
            .all(|record| record.len() <= snapshot::MAX_RECORD_BYTES)
    );
    let mut changed = (*state).clone();
    let rename = patch(1, 1);
    changed.apply(&rename.changes);
    let shared = state
        .adapters()
        .iter()
        .filter(|entry| {
            changed
                .adapters()
                .iter()
                .any(|other| Arc::ptr_eq(entry, other))
        })
        .take(100)
        .count();
    assert_eq!(shared, 100, "entries are shared between versions");
    let mut log = TestLog::new();
    log.append(Vec::new());
    log.expire();
    for record in records {
        log.records.push_back(Arc::new(record));
    }
    let mut cold = reader();
    read_all(&log, &mut cold);
    assert_eq!(cold.configuration(), Some(&state));
}

fn encode_parts(snapshot: &snapshot::Snapshot) -> Vec<Vec<u8>> {
    let id = uuid::Uuid::from_u128(1);
    snapshot::encode_snapshot(id, snapshot, snapshot::MAX_PART_BYTES).unwrap()
}

#[derive(Clone, Debug)]
enum LogStep {
    Patch { id: u128, lag: u64 },
    Capture,
    Append { captured: usize, part_count: usize },
    Foreign,
    Expire,
    Fork,
    Read { reader: usize, max: usize },
    Image { from: usize, to: usize },
}

fn log_step() -> impl Strategy<Value = LogStep> {
    prop_oneof![
        5 => (0_u128..30, prop_oneof![4 => Just(0), 1 => 1_u64..3])
            .prop_map(|(id, lag)| LogStep::Patch { id, lag }),
        2 => Just(LogStep::Capture),
        2 => (0_usize..4, 1_usize..9).prop_map(|(captured, part_count)| LogStep::Append { captured, part_count }),
        1 => Just(LogStep::Foreign),
        4 => Just(LogStep::Expire),
        1 => Just(LogStep::Fork),
        4 => (0_usize..6, 1_usize..5).prop_map(|(reader, max)| LogStep::Read { reader, max }),
        1 => (0_usize..6, 0_usize..6).prop_map(|(from, to)| LogStep::Image { from, to }),
    ]
}

proptest! {
    // Guards against readers with different start states that reach different configurations.
    #[test]
    fn readers_agree_and_versions_never_decrease(
        steps in proptest::collection::vec(log_step(), 1..80)
    ) {
        let mut log = TestLog::new();
        let mut captured = Vec::new();
        let mut readers = vec![reader(); 3];
        for (index, step) in steps.into_iter().enumerate() {
            let before: Vec<u64> = readers.iter().map(replay::ConfigurationReplay::version).collect();
            match step {
                LogStep::Patch { id, lag } => {
                    let base = log.reference.version().saturating_sub(lag);
                    log.append(snapshot::encode_patch(&patch(id, base)));
                }
                LogStep::Capture => captured.extend(log.reference.snapshot()),
                LogStep::Append { captured: back, part_count: take } => {
                    if let Some(snapshot) = captured.iter().rev().nth(back) {
                        for part in encode_small_parts(index as u128, snapshot).into_iter().take(take) {
                            log.append(part);
                        }
                    }
                }
                LogStep::Foreign => { log.append(b"\"patch\"\n{}".to_vec()); }
                LogStep::Expire => log.expire(),
                LogStep::Fork if readers.len() < 6 => readers.push(reader()),
                LogStep::Fork => {}
                LogStep::Read { reader, max } => {
                    let index = reader % readers.len();
                    log.read(&mut readers[index], max);
                }
                LogStep::Image { from, to } => {
                    if let Some(snapshot) = readers[from % readers.len()].snapshot() {
                        let to = to % readers.len();
                        let image = snapshot::encode_image(&snapshot);
                        let _ = readers[to].install_image(&image, None);
                    }
                }
            }
            for (reader, before) in readers.iter().zip(before) {
                prop_assert!(log.agrees(reader));
                prop_assert!(reader.version() >= before);
            }
        }
        for reader in &mut readers {
            read_all(&log, reader);
            prop_assert!(log.agrees(reader));
            prop_assert!(reader.is_caught_up() || reader.needs_image());
        }
    }
}

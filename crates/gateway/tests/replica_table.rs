//! Replicas that leave while records of the store are missing after an outage.

use std::time;

use decisions::{
    distance::TransferSize,
    relisting::{RelistingLimits, RelistingPeriod, ReplicaRead},
    software_version::SoftwareVersion,
    units::Timestamp,
};
use gateway::{
    replica_selection::SelectionTerms,
    replica_table::ReplicaTable,
    store::{ChangeBatch, ReplicaChange, ReplicaRecord, StorePosition},
};
use test_case::test_case;

const ID: &str = "desk-0";
const SERVICE: &str = "desk";
const RECOVERED_AT: Timestamp = Timestamp(60_000_000);
const SETTLING_TIME: time::Duration = time::Duration::from_secs(3);

fn record() -> ReplicaChange {
    ReplicaChange::Updated(ReplicaRecord {
        id: ID.to_owned(),
        incarnation: 1,
        service: SERVICE.to_owned(),
        address: "10.1.0.4:8200".parse().unwrap(),
        data_centre: "north".to_owned(),
        software: SoftwareVersion::default(),
        slots: 8,
        is_draining: false,
        models: Vec::new(),
    })
}

fn batch(offset: u64, change: Option<ReplicaChange>) -> ChangeBatch<ReplicaChange> {
    ChangeBatch {
        changes: change
            .map(|change| (offset - 1, change))
            .into_iter()
            .collect(),
        next: StorePosition { history: 0, offset },
        is_complete: false,
        reaches_end: true,
    }
}

fn listed_table() -> ReplicaTable {
    let mut table = ReplicaTable::new("north", 7380);
    table.apply_batch(batch(1, Some(record())), None, RECOVERED_AT);
    table
}

fn terms() -> SelectionTerms<'static> {
    SelectionTerms {
        service: SERVICE,
        request_hash: 0,
        objective: millis(300),
        objective_left: millis(300),
        deadline_left: millis(1_000),
        size: TransferSize::default(),
        software: None,
        adapter: None,
    }
}

fn is_chosen(table: &ReplicaTable, now: Timestamp) -> bool {
    table.choose_service(&terms(), &[], now).is_ok() && table.accepts_requests(ID, now)
}

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Relisting period of an entry whose first successful read after an outage ends at `RECOVERED_AT`.
/// The last failed read started `failed_ms` earlier.
fn recovered(leave_ms: u64, failed_ms: u64) -> (RelistingPeriod, Option<Timestamp>) {
    let mut relisting = RelistingPeriod::new(RelistingLimits {
        leave_time: millis(leave_ms),
        settling_time: SETTLING_TIME,
    });
    let keep_until = record_recovery(&mut relisting, RECOVERED_AT, failed_ms);
    (relisting, keep_until)
}

fn record_recovery(
    relisting: &mut RelistingPeriod,
    at: Timestamp,
    failed_ms: u64,
) -> Option<Timestamp> {
    relisting.record_read(read_at(at), Some(at.saturating_sub(millis(failed_ms))))
}

fn read_at(at: Timestamp) -> ReplicaRead {
    ReplicaRead {
        started_at: at,
        ended_at: at,
    }
}

fn removal() -> ReplicaChange {
    ReplicaChange::Removed { id: ID.to_owned() }
}

// Guards against requests to a replica that left during an outage, sent when the entry has settled
// or, where that is shorter, the leave time after its first read.
#[test_case(2_000, 1_500)]
#[test_case(2_000, 800)]
#[test_case(3_000, 1_500)]
#[test_case(3_000, 0)]
#[test_case(800, 1_500)]
fn replica_missing_after_an_outage_is_dropped_in_time(leave_ms: u64, failed_ms: u64) {
    let (_, keep_until) = recovered(leave_ms, failed_ms);
    let mut table = listed_table();
    table.apply_batch(batch(2, Some(removal())), keep_until, RECOVERED_AT);
    assert!(is_chosen(&table, RECOVERED_AT));
    let settled_at = RECOVERED_AT.saturating_sub(millis(failed_ms)) + SETTLING_TIME;
    let left_at = RECOVERED_AT + millis(leave_ms).mul_f64(0.9);
    let last_send = settled_at.min(left_at);
    assert!(!is_chosen(&table, last_send));
    assert_eq!(table.available_count(last_send), 0);
}

// Guards against requests to a replica that was removed soon after an outage, sent after the leave
// time because it is counted from the read that shows the removal.
#[test_case(2_000, 1_300)]
#[test_case(2_000, 400)]
#[test_case(3_000, 1_950)]
#[test_case(800, 500)]
fn replica_removed_after_an_outage_is_dropped_within_the_leave_time(leave_ms: u64, gap_ms: u64) {
    let (mut relisting, _) = recovered(leave_ms, 800);
    let mut table = listed_table();
    let shown_at = RECOVERED_AT + millis(gap_ms);
    let keep_until = relisting.record_read(read_at(shown_at), None);
    table.apply_batch(batch(2, Some(removal())), keep_until, RECOVERED_AT);
    assert!(is_chosen(&table, shown_at));
    let last_send = RECOVERED_AT + millis(leave_ms).mul_f64(0.9);
    assert!(!is_chosen(&table, last_send));
    assert_eq!(table.available_count(last_send), 0);
}

// Guards against an entry that was stopped and keeps a replica that left meanwhile: nothing shows
// that the store was unavailable.
#[test]
fn replica_missing_after_a_long_read_is_removed_at_once() {
    let (_, keep_until) = recovered(2_000, 5_000);
    let mut table = listed_table();
    table.apply_batch(batch(2, Some(removal())), keep_until, RECOVERED_AT);
    assert!(!is_chosen(&table, RECOVERED_AT));
}

// Guards against a missing replica that is kept again by every read or by a second outage.
#[test]
fn grace_period_is_not_extended() {
    let (mut relisting, keep_until) = recovered(2_000, 800);
    let mut table = listed_table();
    table.apply_batch(batch(2, Some(removal())), keep_until, RECOVERED_AT);
    let second_recovery = RECOVERED_AT + millis(1_600);
    let keep_until = record_recovery(&mut relisting, second_recovery, 800);
    table.apply_batch(batch(3, Some(removal())), keep_until, RECOVERED_AT);
    assert!(!is_chosen(&table, RECOVERED_AT + millis(2_000)));
}

// Guards against losing live replicas whose records expired during the outage.
#[test]
fn relisted_replica_is_kept() {
    let (mut relisting, keep_until) = recovered(2_000, 800);
    let mut table = listed_table();
    table.apply_batch(batch(2, Some(removal())), keep_until, RECOVERED_AT);
    let relisted_at = RECOVERED_AT + millis(1_300);
    let keep_until = relisting.record_read(read_at(relisted_at), None);
    table.apply_batch(batch(3, Some(record())), keep_until, RECOVERED_AT);
    assert!(is_chosen(&table, RECOVERED_AT + millis(10_000)));
}

// Guards against a grace period for replicas that leave long after the outage.
#[test]
fn replica_that_leaves_later_is_removed_at_once() {
    let (mut relisting, _) = recovered(2_000, 800);
    relisting.record_read(read_at(RECOVERED_AT + millis(2_200)), None);
    let shown_at = RECOVERED_AT + millis(2_600);
    let keep_until = relisting.record_read(read_at(shown_at), None);
    let mut table = listed_table();
    table.apply_batch(batch(2, Some(removal())), keep_until, RECOVERED_AT);
    assert!(!is_chosen(&table, shown_at));
}

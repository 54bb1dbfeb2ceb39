//! Replicas that leave while records of the store are missing after an outage.

use std::time;

use decisions::{relisting::RelistingPeriod, units::Timestamp};
use gateway::{
    replica_table::ReplicaTable,
    store::{ChangeBatch, ReplicaChange, ReplicaRecord},
};
use test_case::test_case;

const ID: &str = "desk-0";
const SERVICE: &str = "desk";
const RECOVERED_AT: Timestamp = Timestamp(60_000_000);

fn record() -> ReplicaChange {
    ReplicaChange::Updated(ReplicaRecord {
        id: ID.to_owned(),
        incarnation: 1,
        service: SERVICE.to_owned(),
        address: "10.1.0.4:8200".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots: 8,
        is_draining: false,
        models: Vec::new(),
    })
}

fn batch(next: u64, change: Option<ReplicaChange>) -> ChangeBatch<ReplicaChange> {
    ChangeBatch {
        changes: change
            .map(|change| (next - 1, change))
            .into_iter()
            .collect(),
        next,
        is_complete: false,
    }
}

fn listed_table() -> ReplicaTable {
    let mut table = ReplicaTable::new("north", 7380);
    table.apply_batch(batch(1, Some(record())), None);
    table
}

fn is_chosen(table: &ReplicaTable, now: Timestamp) -> bool {
    table.choose_service(SERVICE, &[], now).is_some() && table.accepts_requests(ID, now)
}

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

// Guards against requests to a replica that has left, sent after the leave time because its grace
// period is only checked by the next read of the store.
#[test_case(2_000, 0)]
#[test_case(2_000, 1_400)]
#[test_case(2_000, 2_499)]
#[test_case(3_000, 0)]
#[test_case(3_000, 2_499)]
#[test_case(800, 0)]
fn missing_replica_is_dropped_within_the_leave_time(leave_ms: u64, read_after_ms: u64) {
    let mut relisting = RelistingPeriod::new(millis(leave_ms));
    relisting.record_recovery(RECOVERED_AT);
    let mut table = listed_table();
    let read_at = RECOVERED_AT + millis(read_after_ms);
    let removal = ReplicaChange::Removed { id: ID.to_owned() };
    table.apply_batch(batch(2, Some(removal)), relisting.keep_until(read_at));
    assert!(is_chosen(&table, read_at));
    let last_send = read_at + millis(leave_ms).mul_f64(0.9);
    assert!(!is_chosen(&table, last_send));
    assert_eq!(table.available_count(last_send), 0);
}

// Guards against a missing replica that is kept again by every read or by a second outage.
#[test]
fn grace_period_is_not_extended() {
    let mut relisting = RelistingPeriod::new(millis(2_000));
    relisting.record_recovery(RECOVERED_AT);
    let mut table = listed_table();
    let removal = || Some(ReplicaChange::Removed { id: ID.to_owned() });
    table.apply_batch(batch(2, removal()), relisting.keep_until(RECOVERED_AT));
    let second_recovery = RECOVERED_AT + millis(1_600);
    relisting.record_recovery(second_recovery);
    table.apply_batch(batch(3, removal()), relisting.keep_until(second_recovery));
    assert!(!is_chosen(&table, RECOVERED_AT + millis(2_000)));
}

// Guards against losing live replicas whose records expired during the outage.
#[test]
fn relisted_replica_is_kept() {
    let mut relisting = RelistingPeriod::new(millis(2_000));
    relisting.record_recovery(RECOVERED_AT);
    let mut table = listed_table();
    let removal = ReplicaChange::Removed { id: ID.to_owned() };
    let keep_until = relisting.keep_until(RECOVERED_AT);
    table.apply_batch(batch(2, Some(removal)), keep_until);
    let relisted_at = RECOVERED_AT + millis(1_300);
    let keep_until = relisting.keep_until(relisted_at);
    table.apply_batch(batch(3, Some(record())), keep_until);
    assert!(is_chosen(&table, RECOVERED_AT + millis(10_000)));
}

// Guards against a grace period for replicas that leave long after the outage.
#[test]
fn replica_that_leaves_later_is_removed_at_once() {
    let mut relisting = RelistingPeriod::new(millis(2_000));
    relisting.record_recovery(RECOVERED_AT);
    let read_at = RECOVERED_AT + millis(2_600);
    let mut table = listed_table();
    let removal = ReplicaChange::Removed { id: ID.to_owned() };
    table.apply_batch(batch(2, Some(removal)), relisting.keep_until(read_at));
    assert!(!is_chosen(&table, read_at));
}

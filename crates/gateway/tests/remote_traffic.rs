//! Requests that leave their data centre, by the policy of the gateway's settings.

use std::time::Duration;

use decisions::{
    data_centre_choice::RemotePolicy::{self, Adaptive, Even, Off},
    distance::TransferSize,
    software_version::SoftwareVersion,
    units::Timestamp,
};
use gateway::{
    protocol::LoadSample,
    replica_selection::SelectionTerms,
    replica_table::ReplicaTable,
    store::{ChangeBatch, ReplicaChange, ReplicaRecord, StorePosition},
};
use test_case::test_case;

const SERVICE: &str = "desk";
const HOME: &str = "north";
const NOW: Timestamp = Timestamp(1_000_000);

/// Table of a gateway in `HOME` with one replica in each data centre, named like it.
fn table(policy: RemotePolicy, data_centres: &[&str]) -> ReplicaTable {
    let record = |(number, name): (u64, &&str)| {
        let record = ReplicaRecord {
            id: (*name).to_owned(),
            incarnation: 1,
            service: SERVICE.to_owned(),
            address: format!("10.{number}.0.4:8200").parse().unwrap(),
            data_centre: (*name).to_owned(),
            software: SoftwareVersion::default(),
            slots: 6,
            is_draining: false,
            models: Vec::new(),
        };
        (number, ReplicaChange::Updated(record))
    };
    let mut table = ReplicaTable::new(HOME, 7380).with_remote_policy(policy);
    let changes = (1..).zip(data_centres).map(record).collect();
    table.apply_batch(
        ChangeBatch {
            changes,
            next: StorePosition {
                history: 0,
                offset: 9,
            },
            is_complete: false,
            reaches_end: true,
        },
        None,
        Timestamp::default(),
    );
    table
}

fn load(table: &mut ReplicaTable, id: &str, running: u32, waiting: u32) {
    let sample = LoadSample {
        running,
        waiting,
        slots: 6,
        slowdown_percent: 100,
    };
    table.record_load(id, sample, Some(Duration::from_millis(20)), NOW);
}

/// Data centre of a request.
fn choose(table: &ReplicaTable, excluded: &[&str]) -> String {
    let terms = SelectionTerms {
        service: SERVICE,
        request_hash: u64::MAX / 2,
        objective: Duration::from_millis(300),
        objective_left: Duration::from_millis(300),
        deadline_left: Duration::from_secs(1),
        size: TransferSize::default(),
        software: None,
        adapter: None,
    };
    let excluded: Vec<String> = excluded.iter().map(|id| (*id).to_owned()).collect();
    table.choose_service(&terms, &excluded, NOW).unwrap().id
}

// Guards against policies that do the same: callers at a data centre with a little load, whose own
// replica serves them in time, and at one with a long queue.
#[test_case(Adaptive, "north", "south")]
#[test_case(Off, "north", "north")]
#[test_case(Even, "south", "south")]
fn policy_decides_who_leaves(policy: RemotePolicy, little: &str, much: &str) {
    let mut table = table(policy, &["north", "south"]);
    load(&mut table, "north", 4, 0);
    assert_eq!(choose(&table, &[]), little);
    load(&mut table, "north", 6, 40);
    assert_eq!(choose(&table, &[]), much);
}

// Guards against a gateway that refuses although another data centre has a replica, and against a
// data centre that is taken for the best because nothing is known of it.
#[test_case(Adaptive)]
#[test_case(Off)]
#[test_case(Even)]
fn without_a_replica_at_home_every_policy_leaves(policy: RemotePolicy) {
    let mut table = table(policy, &["south", "west"]);
    load(&mut table, "south", 6, 12);
    assert_eq!(choose(&table, &[]), "west");
    table.mark_unreachable("west", NOW);
    assert_eq!(choose(&table, &[]), "south");
}

// Guards against a retry that stays at home although its replica there has just failed, and against
// requests that stay away after the replica at home has returned.
#[test]
fn retries_go_anywhere_and_requests_return() {
    let mut table = table(Adaptive, &["north", "south"]);
    assert_eq!(choose(&table, &["north"]), "south");
    table.mark_unreachable("north", NOW);
    assert_eq!(choose(&table, &[]), "south");
    let later = Timestamp(NOW.0 + 10_000_000);
    assert!(table.find_available("north", later).is_some());
    table.record_outcome("north", false, later);
    let terms = SelectionTerms {
        service: SERVICE,
        request_hash: 0,
        objective: Duration::from_millis(300),
        objective_left: Duration::from_millis(300),
        deadline_left: Duration::from_secs(1),
        size: TransferSize::default(),
        software: None,
        adapter: None,
    };
    let chosen = table.choose_service(&terms, &[], later).unwrap();
    assert_eq!(chosen.id, "north");
}

//! Updates of a replica's record and of its broker's view.

use broker::message::{EngineAdapters, EngineView};
use decisions::{software_version::SoftwareVersion, units::Timestamp};
use gateway::{replica::Replica, replica_table::ReplicaTableChange, store::ReplicaRecord};

const BROKER_PORT: u16 = 7380;

fn record(address: &str, incarnation: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: "engine-0".to_owned(),
        incarnation,
        service: "writer".to_owned(),
        address: address.parse().unwrap(),
        data_centre: "north".to_owned(),
        software: SoftwareVersion::default(),
        slots: 8,
        is_draining: false,
        models: Vec::new(),
    }
}

// Guards against calls to a replica's former broker after the replica has restarted under the same
// id on another instance.
#[test]
fn new_address_replaces_broker() {
    let mut replica = Replica::new(5, record("10.1.0.4:8200", 1), BROKER_PORT);
    let change = replica.update_record(6, record("10.2.0.9:8200", 2));
    assert!(matches!(change, Some(ReplicaTableChange::Listed { .. })));
    let broker = replica.broker.address();
    assert_eq!(broker, "10.2.0.9:7380".parse().unwrap());
}

// Guards against applying a record that is older than the current one.
#[test]
fn older_record_is_ignored() {
    let mut replica = Replica::new(6, record("10.1.0.4:8200", 2), BROKER_PORT);
    assert_eq!(replica.update_record(5, record("10.2.0.9:8200", 1)), None);
    assert_eq!(replica.record, record("10.1.0.4:8200", 2));
}

fn view(adapters_hash: u64, loaded: Option<&str>) -> EngineView {
    EngineView {
        incarnation: 1,
        adapters_hash,
        adapters: loaded.map(|name| EngineAdapters {
            loaded: vec![(name.to_owned(), 1)],
            ..EngineAdapters::default()
        }),
        ..EngineView::default()
    }
}

// Guards against adapters that are forgotten because a view omits them, and against a hash of
// adapters that this entry does not know: the broker would never tell them.
#[test]
fn omitted_adapters_are_those_of_the_known_hash() {
    let mut replica = Replica::new(5, record("10.1.0.4:8200", 1), BROKER_PORT);
    assert_eq!(replica.adapters_hash(), None);
    replica.record_view(view(11, Some("a1")), Timestamp(0));
    replica.record_view(view(11, None), Timestamp(1));
    assert_eq!(replica.adapters_hash(), Some(11));
    replica.record_view(view(22, Some("a2")), Timestamp(2));
    // A reply to an earlier call, in which the broker omitted the adapters of hash 11.
    replica.record_view(view(11, None), Timestamp(3));
    assert_eq!(replica.adapters_hash(), Some(22));
}

// Guards against a view without adapters after a restart, which would hide what is loaded.
#[test]
fn view_without_known_adapters_is_ignored() {
    let mut replica = Replica::new(5, record("10.1.0.4:8200", 1), BROKER_PORT);
    replica.record_view(view(11, None), Timestamp(0));
    assert!(replica.fresh_view(Timestamp(0)).is_none());
    assert_eq!(replica.adapters_hash(), None);
}

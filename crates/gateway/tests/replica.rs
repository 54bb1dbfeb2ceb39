//! Updates of a replica's record.

use gateway::{replica::Replica, replica_table::ReplicaTableChange, store::ReplicaRecord};

const BROKER_PORT: u16 = 7380;

fn record(address: &str, incarnation: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: "engine-0".to_owned(),
        incarnation,
        service: "writer".to_owned(),
        address: address.parse().unwrap(),
        data_centre: "north".to_owned(),
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

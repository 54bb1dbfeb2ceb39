//! Choice of replicas, and of a service, for a stream that has begun.

use std::time;

use decisions::{distance::TransferSize, software_version::SoftwareVersion, units::Timestamp};
use gateway::{
    catalog::{CallerLimits, ConfigurationVersion, RouteEntry, RouteKind, WeightedService},
    organisations::OrganisationDirectory,
    protocol::CallerRequest,
    replica_selection::{SelectionTerms, ServiceRefusal},
    replica_table::ReplicaTable,
    route_match::RouteMatch,
    store::{ChangeBatch, ReplicaChange, ReplicaRecord, StorePosition},
};
use test_case::test_case;

const NOW: Timestamp = Timestamp(1_000_000);
const SECOND: time::Duration = time::Duration::from_secs(1);

fn record(number: u8, version: &str, is_draining: bool) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("desk-{number}"),
        incarnation: 1_000,
        service: "desk".to_owned(),
        address: ([10, 0, 0, number], 8200).into(),
        data_centre: "north".to_owned(),
        software: SoftwareVersion::new(version),
        slots: 8,
        is_draining,
        models: Vec::new(),
    }
}

/// Table of replicas of a plain service: their version, and whether they drain.
fn table(replicas: &[(&str, bool)]) -> ReplicaTable {
    let mut table = ReplicaTable::new("north", 7380);
    let records = (1..).zip(replicas);
    let changes = records.map(|(number, (version, is_draining))| {
        let record = record(number, version, *is_draining);
        (u64::from(number), ReplicaChange::Updated(record))
    });
    let batch = ChangeBatch {
        changes: changes.collect(),
        next: StorePosition {
            history: 0,
            offset: 100,
        },
        is_complete: true,
        reaches_end: true,
    };
    table.apply_batch(batch, None, NOW);
    table
}

fn terms(software: Option<&SoftwareVersion>, request_hash: u64) -> SelectionTerms<'_> {
    SelectionTerms {
        service: "desk",
        request_hash,
        objective: SECOND,
        objective_left: SECOND,
        deadline_left: SECOND,
        size: TransferSize::default(),
        software,
        adapter: None,
    }
}

// Guards against a stream of a plain service that goes on at another version, also when its own one leaves.
#[test_case(&[("v1", false), ("v2", false), ("v2", false)], true; "one replica of its version")]
#[test_case(&[("v1", true), ("v2", false), ("v2", false)], false; "its version drains")]
#[test_case(&[("v2", false), ("", false)], false; "its version is gone")]
fn plain_service_goes_on_at_one_version(replicas: &[(&str, bool)], is_served: bool) {
    let table = table(replicas);
    let version = SoftwareVersion::new("v1");
    for hash in 0..32 {
        let chosen = table.choose_service(&terms(Some(&version), hash << 32 | hash), &[], NOW);
        match chosen {
            Ok(replica) => assert!(is_served && replica.software == version, "{}", replica.id),
            Err(refusal) => assert!(!is_served && refusal == ServiceRefusal::NoReplica),
        }
        assert!(table.choose_service(&terms(None, hash), &[], NOW).is_ok());
    }
    assert_eq!(table.lists_software("desk", &version, NOW), is_served);
    assert!(!table.lists_software("other", &version, NOW));
}

fn split_configuration() -> ConfigurationVersion {
    let service = |service: &str| WeightedService {
        service: service.to_owned(),
        weight: 1,
    };
    ConfigurationVersion {
        version: 1,
        routes: vec![RouteEntry {
            name: "split".to_owned(),
            host: "site.example".to_owned(),
            prefix: "/".to_owned(),
            kind: RouteKind::Stream { resumable: true },
            timeout: SECOND,
            objective: SECOND,
            stream_event_timeout: SECOND,
            priority: 0,
            services: vec![service("one"), service("two")],
            max_attempts: 2,
            is_public: false,
        }],
        services: Vec::new(),
        organisations: OrganisationDirectory::default(),
        limits: CallerLimits {
            header_bytes: 1_000,
            body_bytes: 1_000,
            header_timeout: SECOND,
            idle_timeout: SECOND,
        },
    }
}

// Guards against a stream that its route's split sends to another service when its caller takes it up.
#[test]
fn taken_up_stream_stays_with_its_service() {
    let configuration = split_configuration();
    let service = |id: String, origin: Option<String>| {
        let request = CallerRequest {
            id,
            origin,
            host: "site.example".to_owned(),
            ..CallerRequest::default()
        };
        RouteMatch::find(&request, "/path", &configuration)
            .unwrap()
            .service
    };
    for number in 0..32 {
        let first = format!("first-{number}");
        let begun = service(first.clone(), None);
        let again = service(format!("again-{number}"), Some(first));
        assert_eq!(begun, again);
    }
}

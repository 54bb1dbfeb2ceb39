//! Streams that outlive the brokers that were told of them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use decisions::{
    rendezvous,
    software_version::SoftwareVersion,
    stream_origins::{StreamOrigins, stream_id},
    stream_starts::{StreamKeeper, StreamNotice, StreamStarts},
    units::Timestamp,
};
use proptest::prelude::*;

const KEEP: Duration = Duration::from_secs(15);
const NOW: Timestamp = Timestamp(1_000_000);

fn broker(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn keeper(number: u8) -> StreamKeeper {
    StreamKeeper {
        address: broker(number),
        losses: 0,
    }
}

fn keepers(numbers: impl Iterator<Item = u8>) -> Vec<StreamKeeper> {
    numbers.map(keeper).collect()
}

fn version() -> SoftwareVersion {
    SoftwareVersion::new("v1")
}

fn told(notices: &[StreamNotice]) -> Vec<SocketAddr> {
    notices.iter().map(|notice| notice.broker).collect()
}

// Guards against a stream that is forgotten when the brokers that knew it leave while it lasts.
#[test]
fn stream_is_told_to_others_when_its_brokers_leave() {
    let mut starts = StreamStarts::default();
    assert!(starts.review(keepers(0..6), NOW).is_empty());
    let stream = stream_id("matching", "attempt");
    let first = told(&starts.record(stream, version(), KEEP, NOW));
    assert_eq!(first.len(), 2);
    let left = keepers(0..6)
        .into_iter()
        .filter(|one| !first.contains(&one.address));
    let later = NOW + Duration::from_secs(5);
    let notices = starts.review(left.collect(), later);
    assert_eq!(notices.len(), 2);
    assert!(told(&notices).iter().all(|one| !first.contains(one)));
    assert!(notices.iter().all(|notice| notice.stream == stream
        && notice.software == version()
        && notice.keep == Duration::from_secs(10)));
    assert!(starts.review(keepers(0..6), NOW + KEEP).is_empty());
}

// Guards against a broker that has restarted and is not told again what it has forgotten.
#[test]
fn broker_that_was_away_is_told_again() {
    let mut starts = StreamStarts::default();
    starts.review(keepers(0..2), NOW);
    let stream = stream_id("matching", "attempt");
    starts.record(stream, version(), KEEP, NOW);
    assert!(starts.review(keepers(0..1), NOW).is_empty());
    assert_eq!(told(&starts.review(keepers(0..2), NOW)), [broker(1)]);
    assert!(starts.review(keepers(0..2), NOW).is_empty());
}

// Guards against a broker that restarts between two reviews, or did not get the call, and is not told
// again.
#[test]
fn broker_with_a_failed_call_is_told_again() {
    let mut starts = StreamStarts::default();
    starts.review(keepers(0..2), NOW);
    let stream = stream_id("matching", "attempt");
    starts.record(stream, version(), KEEP, NOW);
    let lost = StreamKeeper {
        losses: 1,
        ..keeper(1)
    };
    let notices = starts.review(vec![keeper(0), lost], NOW);
    assert_eq!(told(&notices), [broker(1)]);
    assert!(starts.review(vec![keeper(0), lost], NOW).is_empty());
}

// Guards against streams of two services, or of two attempts, that share what is known of them.
#[test]
fn streams_of_other_services_and_attempts_are_unknown() {
    let mut starts = StreamStarts::default();
    starts.record(stream_id("matching", "one"), version(), KEEP, NOW);
    let find = |service, attempt, at| starts.find(stream_id(service, attempt), at);
    assert_eq!(find("matching", "one", NOW), Some(&version()));
    assert_eq!(find("matching", "two", NOW), None);
    assert_eq!(find("briefing", "one", NOW), None);
    assert_eq!(find("matching", "one", NOW + KEEP), None);
}

// Guards against a second record of a stream that replaces the version that began it.
#[test]
fn first_record_of_a_stream_holds() {
    let mut origins = StreamOrigins::default();
    origins.insert(7, version(), NOW + KEEP, NOW);
    origins.insert(7, SoftwareVersion::new("v2"), NOW + KEEP, NOW);
    assert_eq!(origins.get(7, NOW), Some(&version()));
    assert_eq!(origins.get(7, NOW + KEEP), None);
    origins.insert(7, SoftwareVersion::new("v2"), NOW + KEEP * 2, NOW + KEEP);
    assert_eq!(
        origins.get(7, NOW + KEEP),
        Some(&SoftwareVersion::new("v2"))
    );
}

// Guards against a broker whose memory grows with the streams that it is told of.
#[test]
fn streams_beyond_the_limit_push_out_those_that_end_first() {
    let mut origins = StreamOrigins::default();
    for number in 0..20_000 {
        let keep_until = NOW + KEEP + Duration::from_millis(number);
        origins.insert(number, version(), keep_until, NOW);
    }
    let known = (0..20_000).filter(|number| origins.get(*number, NOW).is_some());
    assert_eq!(
        known.collect::<Vec<_>>(),
        (3_616..20_000).collect::<Vec<_>>()
    );
}

// Guards against a version with a name without bound.
#[test]
fn long_version_name_is_replaced_by_its_hash() {
    let name = "v".repeat(10_000);
    let version = SoftwareVersion::new(&name);
    assert_eq!(version.to_string().len(), 32);
    assert_eq!(version, SoftwareVersion::new(&name));
    assert_ne!(version, SoftwareVersion::new(&name[1..]));
}

proptest! {
    // Guards against a stream that no available broker knows after series of losses and returns.
    #[test]
    fn first_brokers_always_know_a_stream(
        sets in prop::collection::vec(prop::collection::btree_map(0u8..12, 0u64..3, 0..12), 1..20),
        streams in prop::collection::vec(any::<u64>(), 1..5),
    ) {
        let mut starts = StreamStarts::default();
        let mut memories: BTreeMap<StreamKeeper, Vec<u64>> = BTreeMap::new();
        let mut begun = Vec::new();
        for (position, set) in sets.iter().enumerate() {
            let available: Vec<_> = set
                .iter()
                .map(|(number, losses)| StreamKeeper { losses: *losses, ..keeper(*number) })
                .collect();
            // A broker that is away, or was lost since, forgets everything.
            memories.retain(|known, _| available.contains(known));
            let mut notices = starts.review(available.clone(), NOW);
            if let Some(stream) = streams.get(position) {
                notices.extend(starts.record(*stream, version(), KEEP, NOW));
                begun.push(*stream);
            }
            for notice in notices {
                let told = available.iter().find(|one| one.address == notice.broker);
                memories.entry(*told.unwrap()).or_default().push(notice.stream);
            }
            for stream in &begun {
                let mut ranked = available.clone();
                ranked.sort_by_key(|one| rendezvous::rank(*stream, one.address));
                for first in ranked.iter().take(2) {
                    prop_assert!(memories.get(first).is_some_and(|known| known.contains(stream)));
                }
            }
        }
    }
}

//! Services whose replicas have had one software version for long enough.

use std::time::Duration;

use decisions::{
    software_history::SoftwareHistory, software_version::SoftwareVersion, units::Timestamp,
};
use test_case::test_case;

const SPAN: Duration = Duration::from_secs(20);
const START: Timestamp = Timestamp(1_000_000);

/// Listings of one service, one in each second: the versions that serve, and for how many seconds.
fn history(listings: &[(&[&str], usize)]) -> (SoftwareHistory, Timestamp) {
    let mut history = SoftwareHistory::default();
    let mut now = START;
    for (names, count) in listings {
        let versions: Vec<_> = names
            .iter()
            .map(|name| SoftwareVersion::new(name))
            .collect();
        for _ in 0..*count {
            history.record(versions.iter().map(|version| ("matching", version)), now);
            now = now + Duration::from_secs(1);
        }
    }
    (history, now)
}

// Guards against a stream of unknown origin that goes on at a version other than the one that began it.
#[test_case(&[(&["v1"], 25)], Some("v1"); "one version for long enough")]
#[test_case(&[(&["v1"], 5)], None; "known for too short a time")]
#[test_case(&[(&["v1", "v2"], 25)], None; "two versions serve")]
#[test_case(&[(&["v1"], 24), (&["v1", "v2"], 1)], None; "another one has come")]
#[test_case(&[(&["v1", "v2"], 10), (&["v2"], 15)], None; "another one has just left")]
#[test_case(&[(&["v1", "v2"], 3), (&["v2"], 25)], Some("v2"); "another one left long ago")]
#[test_case(&[(&["v1"], 24), (&[], 1)], Some("v1"); "no replica is left")]
fn sole_version_is_that_of_the_whole_span(listings: &[(&[&str], usize)], expected: Option<&str>) {
    let (history, now) = history(listings);
    let sole = history.sole_version("matching", SPAN, now);
    assert_eq!(sole, expected.map(SoftwareVersion::new));
    assert_eq!(history.sole_version("briefing", SPAN, now), None);
}

// Guards against a gateway that is cut off from the store and does not see another version come.
#[test]
fn old_listing_proves_nothing() {
    let (history, now) = history(&[(&["v1"], 25)]);
    let later = now + Duration::from_secs(6);
    assert_eq!(history.sole_version("matching", SPAN, later), None);
}

// Guards against a version that came and left while the gateway was cut off from the store.
#[test]
fn gap_between_two_listings_proves_nothing() {
    let (mut history, now) = history(&[(&["v1"], 25)]);
    let later = now + Duration::from_secs(15);
    let version = SoftwareVersion::new("v1");
    history.record([("matching", &version)].into_iter(), later);
    assert_eq!(history.sole_version("matching", SPAN, later), None);
}

// Guards against a version that a store has lost, for a while, with its return from an older copy.
#[test]
fn ended_span_proves_nothing_until_it_is_long_enough_again() {
    let (mut history, mut now) = history(&[(&["v1"], 25)]);
    let version = SoftwareVersion::new("v1");
    history.end_span();
    for second in 0..=20 {
        history.record([("matching", &version)].into_iter(), now);
        let sole = history.sole_version("matching", SPAN, now);
        assert_eq!(sole, (second == 20).then(|| version.clone()));
        now = now + Duration::from_secs(1);
    }
}

// Guards against a history whose memory grows with the names that replicas state.
#[test]
fn versions_beyond_the_limit_are_still_several() {
    let names: Vec<String> = (0..200).map(|number| format!("v{number}")).collect();
    let listing: Vec<&str> = names.iter().map(String::as_str).collect();
    let (history, now) = history(&[(&listing, 25)]);
    assert_eq!(history.sole_version("matching", SPAN, now), None);
}

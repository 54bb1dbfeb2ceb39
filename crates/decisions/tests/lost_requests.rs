//! Requests lost at replicas without a broker, and crashes passed on between entries.

use std::{net, time};

use decisions::{
    crash_log::EngineCrash,
    crash_relay::{CrashRelay, RELAY_TIME, ReplicaCrash},
    lost_requests::*,
    units::Timestamp,
};

const MILLISECOND: time::Duration = time::Duration::from_millis(1);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1000)
}

fn address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, number], 8000))
}

fn start(number: u8) -> ReplicaStart {
    ReplicaStart {
        address: address(number),
        incarnation: 1,
    }
}

fn crash(suspects: &[u64], millis: u64) -> ReplicaCrash {
    ReplicaCrash {
        address: address(1),
        crash: EngineCrash::new(1, suspects.iter().copied(), at(millis)),
    }
}

fn suspects(crash: &EngineCrash) -> Vec<u64> {
    crash.suspects.iter().map(|suspect| suspect.part).collect()
}

// Guards against one check of a replica for each request that it lost, and against suspects that are
// missing because their connections ended after the check.
#[test]
fn requests_lost_together_are_suspects_of_one_crash() {
    let mut lost = LostRequests::default();
    assert_eq!(lost.record(start(1), 11, at(0)), LossAction::Check);
    assert_eq!(lost.record(start(1), 12, at(1)), LossAction::Wait);
    assert_eq!(lost.record(start(2), 13, at(2)), LossAction::Check);
    let crash = lost.confirm_crash(start(1)).unwrap();
    assert_eq!((suspects(&crash), crash.at), (vec![11, 12], at(0)));
    assert_eq!(lost.record(start(1), 14, at(3)), LossAction::ReportCrash);
    let crash = lost.confirm_crash(start(1)).unwrap();
    assert_eq!(suspects(&crash), [11, 12, 14]);
}

// Guards against a reset connection, or a loss of long ago, that counts as part of a crash.
#[test]
fn replica_that_still_listens_has_not_crashed() {
    let mut lost = LostRequests::default();
    lost.record(start(1), 11, at(0));
    lost.dismiss(start(1));
    assert_eq!(lost.confirm_crash(start(1)), None);
    assert_eq!(lost.record(start(1), 12, at(10)), LossAction::Check);
    assert_eq!(lost.record(start(1), 13, at(1_200)), LossAction::Check);
    let crash = lost.confirm_crash(start(1)).unwrap();
    assert_eq!(suspects(&crash), [13]);
}

// Guards against unbounded memory while many replicas are lost.
#[test]
fn oldest_losses_yield() {
    let mut lost = LostRequests::default();
    for number in 0..200 {
        lost.record(start(number), 11, at(0));
    }
    assert_eq!(lost.confirm_crash(start(0)), None);
    assert!(lost.confirm_crash(start(199)).is_some());
}

// Guards against entries that miss a suspect, or that a suspect is sound, because another entry has
// reported the same crash before.
#[test]
fn reports_of_one_crash_are_joined() {
    let mut relay = CrashRelay::default();
    relay.record([crash(&[11, 12], 0)], at(0));
    let mut second = crash(&[12, 13], 5);
    second.crash.clear(&[12]);
    relay.record([second], at(5));
    let known: Vec<_> = relay.crashes_for(false, at(10)).collect();
    assert_eq!(known.len(), 1);
    assert_eq!(suspects(&known[0].crash), [11, 12, 13]);
    assert!(!known[0].crash.suspects_part(12) && known[0].crash.suspects_part(13));
}

// Guards against crashes that entries pass on to each other without end.
#[test]
fn crash_is_passed_on_for_a_limited_time() {
    let mut relay = CrashRelay::default();
    relay.record([crash(&[11], 0)], at(0));
    let end = at(0) + RELAY_TIME;
    assert_eq!(
        relay
            .crashes_for(false, end.saturating_sub(MILLISECOND))
            .count(),
        1
    );
    assert_eq!(relay.crashes_for(false, end).count(), 0);
    relay.record([crash(&[11], 0)], end);
    assert_eq!(relay.crashes_for(false, end).count(), 0);
}

//! Suspects of an engine's crash.

mod support;

use decisions::{crash_log::*, engine_status::*, permits::*, slot_broker::*};
use support::{LIMITS, at};

const INCARNATION: u64 = 7;

fn report(started: &[&str]) -> EngineStatus {
    let started = started.iter().map(|request| StartedRequest {
        request: (*request).to_owned(),
        tokens: 10,
    });
    EngineStatus {
        incarnation: INCARNATION,
        model: ModelState::Loaded,
        started: started.collect(),
        ..EngineStatus::default()
    }
}

fn request(number: u64, parts: &[u64]) -> PermitRequest {
    PermitRequest {
        suspects: parts.to_vec(),
        ..support::request(number)
    }
}

fn release(broker: &mut SlotBroker, number: u64, millis: u64) {
    broker.release(PermitId { entry: 1, number }, at(millis));
}

fn broker_with_permits(prompts: &[&[u64]]) -> SlotBroker {
    let mut broker = SlotBroker::new(LIMITS);
    broker.observe(&report(&[]), at(0));
    for (number, parts) in (0..).zip(prompts) {
        let outcome = broker.request_permit(request(number, parts), at(1));
        assert!(matches!(outcome, Some(PermitOutcome::Granted { .. })));
    }
    broker
}

fn suspects(crash: Option<&EngineCrash>) -> Vec<(u64, u8)> {
    let suspects = crash.unwrap().suspects.iter();
    suspects
        .map(|suspect| (suspect.part, suspect.position))
        .collect()
}

// Guards against suspecting requests that had started, and against missing those whose entries
// noticed the crash before the broker.
#[test]
fn requests_about_to_start_are_suspects_of_a_crash() {
    let mut broker = broker_with_permits(&[&[1, 2], &[1, 3], &[4]]);
    broker.observe(&report(&["request-0"]), at(10));
    broker.observe(&report(&["request-0", "request-1"]), at(190));
    release(&mut broker, 2, 195);
    assert_eq!(
        suspects(broker.record_crash(at(200))),
        [(1, 0), (3, 1), (4, 0)]
    );
    assert!(broker.record_crash(at(220)).is_none());
}

// Guards against old withdrawals among the suspects.
#[test]
fn withdrawn_request_is_a_suspect_only_for_a_short_time() {
    let mut broker = broker_with_permits(&[&[1]]);
    release(&mut broker, 0, 10);
    assert_eq!(suspects(broker.record_crash(at(900))), []);
}

// Guards against a crash that is counted although the engine only refused a connection.
#[test]
fn crash_of_an_engine_that_still_reports_is_retracted() {
    let mut broker = broker_with_permits(&[&[1]]);
    assert!(broker.record_crash(at(20)).is_some());
    assert!(broker.crashes()[0].suspects_part(1));
    broker.observe(&report(&[]), at(40));
    assert!(!broker.crashes()[0].suspects_part(1));
}

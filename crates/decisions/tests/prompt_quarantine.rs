//! Attribution of crashes to prompt parts, on simulated fleets without a network.

use std::{net, time};

use decisions::{crash_log::*, prompt_quarantine::*, suspects, units};
use test_case::test_case;

const FIRST: u64 = 1;
const SECOND: u64 = 2;
const CAUSE: u64 = 3;
/// Prompt of the requests that crash engines; sound requests share its first two parts.
const CRASHING_PROMPT: [u64; 3] = [FIRST, SECOND, CAUSE];
const ENTRIES: u32 = 5;

fn at(millis: u64) -> units::Timestamp {
    units::Timestamp(millis * 1000)
}

fn broker(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, number], 7000))
}

fn crash(incarnation: u64, millis: u64, parts: &[u64]) -> EngineCrash {
    let mut suspects: Vec<SuspectPart> = (0..)
        .zip(parts)
        .map(|(position, part)| SuspectPart {
            part: *part,
            position,
            is_cleared: false,
        })
        .collect();
    suspects.sort_unstable();
    EngineCrash {
        incarnation,
        at: at(millis),
        suspects,
    }
}

/// Quarantine of an entry that has served sound requests.
fn busy_quarantine() -> PromptQuarantine {
    let mut quarantine = PromptQuarantine::new(0.0);
    for number in 0..100 {
        quarantine.record_start(&[FIRST, SECOND], at(number));
        quarantine.record_start(&[FIRST + 100], at(number));
    }
    quarantine
}

fn blocked_parts(quarantine: &PromptQuarantine) -> Vec<u64> {
    let blocked = quarantine.blocked().iter();
    blocked.map(|blocked| blocked.part).collect()
}

/// Reports crashes of different engines under the crashing prompt, half a second apart.
fn report_crashes(quarantine: &mut PromptQuarantine, count: u8) -> u64 {
    let mut millis = 0;
    for number in 0..count {
        millis = 1000 + 500 * u64::from(number);
        let crash = crash(7, millis, &CRASHING_PROMPT);
        quarantine.record_crashes(broker(number), vec![crash], at(millis + 100));
    }
    millis + 100
}

// Guards against blocking a part that sound requests share with the cause.
#[test]
fn only_the_part_that_never_starts_is_blocked() {
    let mut quarantine = busy_quarantine();
    let now = report_crashes(&mut quarantine, 3);
    assert_eq!(blocked_parts(&quarantine), [CAUSE]);
    let admission = quarantine.admit(&[FIRST, SECOND], ENTRIES, at(now));
    assert_eq!(admission, PromptAdmission::Allowed);
    let admission = quarantine.admit(&CRASHING_PROMPT, ENTRIES, at(now));
    assert!(matches!(admission, PromptAdmission::Blocked { .. }));
}

// Guards against a verdict on one or two crashes, which have many causes.
#[test]
fn two_crashes_block_nothing() {
    let mut quarantine = busy_quarantine();
    report_crashes(&mut quarantine, 2);
    assert_eq!(blocked_parts(&quarantine), []);
}

// Guards against blocking a common part when a rack or a data centre is lost.
#[test]
fn simultaneous_crashes_count_once() {
    let mut quarantine = busy_quarantine();
    for number in 0..20 {
        let crash = crash(7, 1000 + 3 * u64::from(number), &[FIRST, SECOND]);
        quarantine.record_crashes(broker(number), vec![crash], at(1400));
    }
    for number in 0..50 {
        quarantine.record_start(&[FIRST + 100], at(1500 + number));
    }
    quarantine.record_crashes(broker(0), Vec::new(), at(4000));
    assert_eq!(blocked_parts(&quarantine), []);
}

/// Crashes of different engines that followed within a moment, each with a generation that was open
/// there. The entry has seen few other starts.
fn quarantine_of_quick_crashes(generations: &[u64]) -> PromptQuarantine {
    let mut quarantine = PromptQuarantine::new(0.0);
    for number in 0..10 {
        quarantine.record_start(&[FIRST, SECOND], at(number));
    }
    for (number, generation) in (0..).zip(generations) {
        let millis = 1000 + 80 * u64::from(number);
        let mut parts = CRASHING_PROMPT.to_vec();
        // Each generation has a content of its own.
        parts.push(suspects::whole_request(*generation));
        parts.push(suspects::generation(*generation));
        let crash = crash(7, millis, &parts);
        quarantine.record_crashes(broker(number), vec![crash], at(millis));
    }
    quarantine
}

// Guards against a part that ends further replicas because one request, which is sent to one replica
// after the other, ends each of them within a moment.
#[test]
fn crashes_under_one_generation_count_separately() {
    let quarantine = quarantine_of_quick_crashes(&[70, 70, 70]);
    assert_eq!(blocked_parts(&quarantine), [CAUSE]);
}

// Guards against taking the loss of a rack for crashes one after the other, or a repeat for a cause.
#[test_case(&[70, 71, 72]; "different generations")]
#[test_case(&[70, 70]; "two replicas")]
#[test_case(&[70, 71, 70, 71]; "two of each generation")]
fn fewer_crashes_under_one_generation_block_nothing(generations: &[u64]) {
    let quarantine = quarantine_of_quick_crashes(generations);
    assert_eq!(blocked_parts(&quarantine), []);
}

// Guards against an entry that has just started and takes every part for one that never starts.
#[test]
fn new_entry_waits_for_starts_before_a_verdict() {
    let mut quarantine = PromptQuarantine::new(0.0);
    let now = report_crashes(&mut quarantine, 4);
    assert_eq!(blocked_parts(&quarantine), []);
    for number in 0..4 {
        quarantine.record_start(&[FIRST, SECOND], at(now + number));
    }
    quarantine.record_crashes(broker(0), Vec::new(), at(now + 1600));
    assert_eq!(blocked_parts(&quarantine), [CAUSE]);
}

// Guards against a wrong verdict that stays although another entry sees the part start.
#[test]
fn start_at_another_entry_lifts_a_verdict() {
    let mut quarantine = busy_quarantine();
    let now = report_crashes(&mut quarantine, 3);
    let mut observer = busy_quarantine();
    report_crashes(&mut observer, 3);
    observer.record_start(&CRASHING_PROMPT, at(now));
    assert_eq!(blocked_parts(&observer), []);
    for number in 0..3 {
        let mut reported = crash(7, 1000 + 500 * u64::from(number), &CRASHING_PROMPT);
        for cleared in observer.cleared_suspects(broker(number)) {
            assert_eq!(cleared.incarnation, 7);
            reported.clear(&cleared.parts);
        }
        quarantine.record_crashes(broker(number), vec![reported], at(now + 500));
    }
    assert_eq!(blocked_parts(&quarantine), []);
}

// Guards against a verdict that is never checked, and against trials that crash engine after engine.
#[test]
fn blocked_part_is_tried_once_and_then_less_often() {
    let mut quarantine = busy_quarantine();
    let now = at(report_crashes(&mut quarantine, 3));
    let PromptAdmission::Blocked { retry_after } = quarantine.admit(&CRASHING_PROMPT, ENTRIES, now)
    else {
        panic!("the part is not blocked");
    };
    let due = now + retry_after;
    let trial = quarantine.admit(&CRASHING_PROMPT, ENTRIES, due);
    assert_eq!(trial, PromptAdmission::Trial);
    let second = quarantine.admit(&CRASHING_PROMPT, ENTRIES, due);
    assert!(matches!(second, PromptAdmission::Blocked { .. }));
    let failed = EngineCrash {
        at: due,
        ..crash(8, 0, &CRASHING_PROMPT)
    };
    quarantine.record_crashes(broker(9), vec![failed], due);
    let PromptAdmission::Blocked { retry_after: later } =
        quarantine.admit(&CRASHING_PROMPT, ENTRIES, due)
    else {
        panic!("the part is not blocked");
    };
    assert!(later >= retry_after + time::Duration::from_secs(30));
}

// Guards against callers that come back before the part can be tried again.
#[test]
fn trials_of_entries_are_spread() {
    let mut early = busy_quarantine();
    let mut late = PromptQuarantine::new(0.9);
    for number in 0..100 {
        late.record_start(&[FIRST, SECOND], at(number));
    }
    let now = at(report_crashes(&mut early, 3));
    report_crashes(&mut late, 3);
    let wait = |admission| match admission {
        PromptAdmission::Blocked { retry_after } => retry_after,
        other => panic!("{other:?}"),
    };
    let first = wait(early.admit(&CRASHING_PROMPT, ENTRIES, now));
    let second = wait(late.admit(&CRASHING_PROMPT, ENTRIES, now));
    assert!(second >= first + time::Duration::from_secs(5));
}

// Guards against an entry that sends a blocked part on after its restart, because it knows too few of
// the crashes, and against verdicts that entries hold up for one another.
#[test]
fn restarted_entry_follows_the_verdict_of_others() {
    let mut proven = busy_quarantine();
    let now = report_crashes(&mut proven, 3);
    assert_eq!(proven.proven_parts(), [CAUSE]);
    let mut restarted = PromptQuarantine::new(0.5);
    restarted.record_peer_verdicts(&proven.proven_parts(), at(now));
    assert_eq!(blocked_parts(&restarted), [CAUSE]);
    assert_eq!(restarted.proven_parts(), []);
    let admission = restarted.admit(&CRASHING_PROMPT, ENTRIES, at(now));
    assert!(matches!(admission, PromptAdmission::Blocked { .. }));
    restarted.record_peer_verdicts(&[], at(now + 3_000));
    assert_eq!(blocked_parts(&restarted), []);
}

// Guards against following a wrong verdict on a part that starts here all the time.
#[test]
fn verdict_of_others_yields_to_starts_here() {
    let mut quarantine = busy_quarantine();
    quarantine.record_start(&[FIRST], at(2_000));
    quarantine.record_peer_verdicts(&[FIRST], at(2_500));
    assert_eq!(blocked_parts(&quarantine), []);
}

/// Reports a crash with the suspects in the order of a request's ids.
fn report_crash(quarantine: &mut PromptQuarantine, number: u8, suspects: &[u64]) {
    let millis = 1_000 + u64::from(number) * 300;
    let reported = vec![crash(u64::from(number), millis, suspects)];
    quarantine.record_crashes(broker(number), reported, at(millis));
}

// Guards against a request that is sent on because its prompt parts are sound, and against blocking
// its parts, which other requests share.
#[test]
fn repeated_request_is_blocked_without_its_parts() {
    let request = suspects::whole_request(77);
    let mut quarantine = busy_quarantine();
    for number in 1..=3 {
        report_crash(&mut quarantine, number, &[FIRST, SECOND, request]);
    }
    assert_eq!(blocked_parts(&quarantine), [request]);
    let other = suspects::whole_request(78);
    assert_eq!(
        quarantine.admit(&[FIRST, SECOND, other], ENTRIES, at(2_000)),
        PromptAdmission::Allowed
    );
}

// Guards against a crashing prompt part that is not found because the first crashes were all due to
// repeats of one request.
#[test]
fn part_replaces_a_request_that_explains_less() {
    let (first, second) = (suspects::whole_request(77), suspects::whole_request(78));
    let mut quarantine = busy_quarantine();
    for number in 1..=3 {
        report_crash(&mut quarantine, number, &[FIRST, CAUSE, first]);
    }
    report_crash(&mut quarantine, 4, &[FIRST, CAUSE, second]);
    assert_eq!(blocked_parts(&quarantine), [CAUSE]);
}

// Guards against a verdict on a request that ran soundly at another replica after the crashes.
#[test]
fn request_that_runs_soundly_is_not_blocked() {
    let request = suspects::whole_request(77);
    let mut quarantine = busy_quarantine();
    for number in 1..=5 {
        report_crash(&mut quarantine, number, &[request]);
        quarantine.record_start(&[request], at(1_100 + u64::from(number) * 300));
    }
    assert!(blocked_parts(&quarantine).is_empty());
}

//! Wait for permits of one engine, and their end.

#[path = "support/adapters.rs"]
mod adapters;
mod support;

use std::time;

use adapters::{broker, load, report, request, unload};
use decisions::{engine_status::*, permits::*, slot_broker::*};
use support::{LIMITS, at};

/// Report of an engine with unstarted requests.
fn prefilling(unstarted: u32) -> EngineStatus {
    EngineStatus {
        unstarted,
        ..report(&["a"])
    }
}

/// Numbers of the granted permits.
fn granted(outcomes: &[(PermitId, PermitOutcome)]) -> Vec<u64> {
    let granted = outcomes
        .iter()
        .filter(|(_, outcome)| matches!(outcome, PermitOutcome::Granted { .. }));
    granted.map(|(id, _)| id.number).collect()
}

// Guards against requests that queue at an engine until their callers have disconnected.
#[test]
fn request_behind_too_long_a_backlog_is_refused() {
    let mut broker = broker(&["a"]);
    let refusals: Vec<_> = (0..200)
        .filter_map(|number| broker.request_permit(request(number, "a", 0), at(0)))
        .filter_map(|outcome| match outcome {
            PermitOutcome::Granted { .. } => None,
            PermitOutcome::Refused {
                reason,
                retry_after,
            } => Some((reason, retry_after)),
        })
        .collect();
    // The initial estimate for a prompt is 90 ms, and the requests can wait for 4 s.
    assert!((150..=160).contains(&refusals.len()), "{}", refusals.len());
    for (reason, retry_after) in refusals {
        assert_eq!(reason, PermitRefusal::Backlog);
        assert!(retry_after > time::Duration::from_secs(1));
    }
}

// Guards against a burst that makes every request late because those already late go first.
// Simulates a burst of 60 requests on an engine that starts one every 50 ms, where each has an
// objective of 800 ms, and 8 more requests after 1.5 s.
#[test]
fn requests_that_can_be_on_time_go_first() {
    let mut broker = SlotBroker::new(BrokerLimits {
        batch_slots: 100,
        ..LIMITS
    });
    broker.observe(&report(&["a"]), at(0));
    let mut starts = Vec::new();
    let mut unstarted = 0_u32;
    let mut started = 0;
    for step in 0..60 {
        let now = at(step * 50);
        let arrivals = match step {
            0 => 0..60,
            30 => 100..108,
            _ => 0..0,
        };
        for number in arrivals {
            let mut request = request(number, "a", 0);
            request.objective = now + time::Duration::from_millis(800);
            request.start_deadline = now + time::Duration::from_secs(5);
            request.deadline = request.start_deadline;
            if let Some(PermitOutcome::Granted { .. }) = broker.request_permit(request, now) {
                starts.push((number, step * 50));
                unstarted += 1;
            }
        }
        if unstarted > 0 {
            unstarted -= 1;
            started += 1;
        }
        broker.entry_seen(1, now);
        for number in granted(&broker.observe(&prefilling(unstarted), now)) {
            starts.push((number, step * 50));
            unstarted += 1;
        }
    }
    assert!(started >= 55, "the engine idles: {started}");
    let timely = starts
        .iter()
        .filter(|(number, start)| *number >= 100 && *start <= 1500 + 800);
    assert_eq!(timely.count(), 8, "{starts:?}");
}

// Guards against a waiting request that never gets an outcome because its load failed.
#[test]
fn wait_ends_at_its_deadline() {
    let mut broker = broker(&["b"]);
    assert_eq!(broker.request_permit(request(1, "a", 0), at(0)), None);
    let command = broker.next_command(at(0)).unwrap();
    broker.command_failed(&command, at(0));
    assert_eq!(broker.next_command(at(100)), None);
    assert_eq!(broker.next_command(at(400)), Some(load("a")));
    broker.entry_seen(1, at(3999));
    let outcomes = broker.observe(&report(&["b"]), at(4000));
    assert!(matches!(
        outcomes.as_slice(),
        [(
            _,
            PermitOutcome::Refused {
                reason: PermitRefusal::Late,
                ..
            }
        )]
    ));
}

/// Report of an engine with started requests.
fn running(names: &[&str], numbers: &[u64]) -> EngineStatus {
    let started = numbers.iter().map(|number| StartedRequest {
        request: format!("request-{number}"),
        tokens: 2001,
    });
    EngineStatus {
        started: started.collect(),
        ..report(names)
    }
}

// Guards against slots that stay pinned by ended requests until their entries' next calls, while
// requests are refused because no slot is free.
#[test]
fn permit_of_an_ended_request_is_released() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name) in [(1, "a"), (2, "b"), (3, "c")] {
        broker.request_permit(request(number, name, 0), at(0));
    }
    broker.observe(&running(&["a", "b", "c"], &[1, 2, 3]), at(100));
    assert_eq!(broker.available_slots(), 0);
    broker.observe(&running(&["a", "b", "c"], &[1, 3]), at(120));
    assert_eq!((broker.available_slots(), broker.running()), (1, 2));
}

// Guards against the eviction of the adapter of a request that the engine requeued because memory
// was short.
#[test]
fn requeued_request_keeps_its_permit() {
    let mut broker = broker(&["a"]);
    broker.request_permit(request(1, "a", 0), at(0));
    broker.observe(&running(&["a"], &[1]), at(100));
    let short = EngineStatus {
        is_memory_short: true,
        unstarted: 1,
        ..report(&["a"])
    };
    broker.observe(&short, at(120));
    assert_eq!(broker.running(), 1);
}

// Guards against a permit that is never released because its request started and ended between two
// reports and its entry was killed.
#[test]
fn unreported_request_ends_once_the_engine_has_no_unstarted_requests() {
    let mut broker = broker(&["a"]);
    broker.request_permit(request(1, "a", 0), at(0));
    broker.observe(&prefilling(1), at(300));
    assert_eq!(broker.running(), 1);
    broker.observe(&prefilling(0), at(320));
    assert_eq!(broker.running(), 0);
}

// Guards against a refusal although a slot becomes free within the objective. Simulates an engine
// whose three slots are in use by requests of which one ends after 150 ms.
#[test]
fn request_waits_for_a_slot_that_is_expected_in_time() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name) in [(1, "a"), (2, "b"), (3, "c")] {
        broker.request_permit(request(number, name, 0), at(0));
    }
    broker.observe(&running(&["a", "b", "c"], &[1, 2, 3]), at(100));
    assert_eq!(broker.request_permit(request(4, "d", 0), at(100)), None);
    assert_eq!(broker.next_command(at(100)), None);
    broker.observe(&running(&["a", "b", "c"], &[2, 3]), at(150));
    assert_eq!(broker.next_command(at(150)), Some(unload("a")));
    broker.unloaded("a");
    assert_eq!(broker.next_command(at(150)), Some(load("d")));
    let outcomes = broker.observe(&running(&["b", "c", "d"], &[2, 3]), at(450));
    assert_eq!(granted(&outcomes), [4]);
}

// Guards against callers that wait for a slot that does not become free.
#[test]
fn wait_for_a_slot_ends_at_the_objective() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name) in [(1, "a"), (2, "b"), (3, "c")] {
        broker.request_permit(request(number, name, 0), at(0));
    }
    let all = running(&["a", "b", "c"], &[1, 2, 3]);
    broker.observe(&all, at(100));
    assert_eq!(broker.request_permit(request(4, "d", 0), at(100)), None);
    assert!(broker.observe(&all, at(790)).is_empty());
    let outcomes = broker.observe(&all, at(800));
    assert!(matches!(
        outcomes.as_slice(),
        [(
            _,
            PermitOutcome::Refused {
                reason: PermitRefusal::Slots,
                ..
            }
        )]
    ));
}

// Guards against useless prefill of requests whose response could not end before the caller
// disconnects. Simulates an engine that generates a token every 80 ms.
#[test]
fn request_that_cannot_end_in_time_is_refused_at_once() {
    let mut broker = broker(&["a"]);
    broker.request_permit(request(1, "a", 0), at(0));
    for step in 1..200_u64 {
        let mut report = running(&["a"], &[1]);
        report.started[0].tokens += step;
        broker.entry_seen(1, at(step * 80));
        broker.observe(&report, at(step * 80));
    }
    let now = at(16_000);
    let mut short = request(2, "a", 0);
    short.objective = now + time::Duration::from_millis(800);
    short.deadline = now + time::Duration::from_secs(4);
    short.start_deadline = short.deadline;
    let mut long = short.clone();
    long.id.number = 3;
    long.output_tokens = 60;
    let refused = broker.request_permit(long, now);
    assert!(
        matches!(
            refused,
            Some(PermitOutcome::Refused {
                reason: PermitRefusal::Backlog,
                ..
            })
        ),
        "{refused:?}"
    );
    let granted = broker.request_permit(short, now);
    assert!(matches!(granted, Some(PermitOutcome::Granted { .. })));
}

// Guards against an engine that stays empty for seconds after a restart because the broker issued
// the model load to the earlier incarnation.
#[test]
fn refused_model_load_is_retried_soon() {
    let mut broker = SlotBroker::new(LIMITS);
    let empty = EngineStatus {
        incarnation: 7,
        model: ModelState::Empty,
        ..EngineStatus::default()
    };
    broker.observe(&empty, at(0));
    let command = broker.next_command(at(0)).unwrap();
    broker.command_failed(&command, at(5));
    assert_eq!(broker.next_command(at(200)), None);
    assert_eq!(broker.next_command(at(400)), Some(EngineCommand::LoadModel));
}

// Guards against entries that load an adapter elsewhere although it is loading here.
#[test]
fn loading_adapters_are_reported() {
    let mut broker = broker(&["a"]);
    assert!(broker.loading().is_empty());
    for (number, name) in [(1, "c"), (2, "b"), (3, "b")] {
        assert_eq!(broker.request_permit(request(number, name, 0), at(0)), None);
    }
    assert!(broker.next_command(at(0)).is_some());
    assert_eq!(broker.loading(), ["b", "c"]);
}

// Guards against callers that wait until they disconnect. Simulates an engine in prefill with
// urgent requests ahead of one whose caller disconnects after 300 ms.
#[test]
fn request_that_cannot_start_before_its_caller_disconnects_is_refused() {
    let mut broker = broker(&["a"]);
    broker.observe(&prefilling(3), at(0));
    for number in 1..4 {
        assert_eq!(broker.request_permit(request(number, "a", 0), at(0)), None);
    }
    let mut last = request(4, "a", 0);
    last.priority = 2;
    let mut disconnecting = last.clone();
    disconnecting.id.number = 5;
    disconnecting.start_deadline = at(300);
    assert_eq!(broker.request_permit(last, at(0)), None);
    let refused = broker.request_permit(disconnecting, at(0));
    assert!(
        matches!(
            refused,
            Some(PermitOutcome::Refused {
                reason: PermitRefusal::Backlog,
                ..
            })
        ),
        "{refused:?}"
    );
}

// Guards against a retry-after for a free slot that is shorter than the prefill of the prompts ahead.
#[test]
fn retry_after_is_the_longer_of_two_waits() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name) in [(1, "a"), (2, "b"), (3, "c")] {
        broker.request_permit(request(number, name, 0), at(0));
    }
    let busy = EngineStatus {
        unstarted: 7,
        ..report(&["a", "b", "c"])
    };
    broker.observe(&busy, at(100));
    let refused = broker.request_permit(request(4, "d", 0), at(100));
    let Some(PermitOutcome::Refused {
        reason,
        retry_after,
    }) = refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!(reason, PermitRefusal::Backlog);
    // Seven prompts of 90 ms, against about 230 ms for a slot.
    assert!(
        retry_after >= time::Duration::from_millis(600),
        "{retry_after:?}"
    );
}

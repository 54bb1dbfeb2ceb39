//! Adapter slots and permits of one engine.

#[path = "support/adapters.rs"]
mod adapters;
mod support;

use adapters::{broker, load, loaded, report, request, unload};
use decisions::{engine_status::*, permits::*, slot_broker::*};
use support::{LIMITS, at};
use test_case::test_case;

// Guards against an engine that stays unusable after a restart: it has no base model, and refuses
// all commands for adapters.
#[test]
fn empty_engine_gets_one_model_load_command() {
    let mut broker = SlotBroker::new(LIMITS);
    let empty = EngineStatus {
        incarnation: 7,
        model: ModelState::Empty,
        ..EngineStatus::default()
    };
    broker.observe(&empty, at(0));
    let refused = broker.request_permit(request(1, "a", 0), at(0));
    assert!(matches!(
        refused,
        Some(PermitOutcome::Refused {
            reason: PermitRefusal::Engine,
            ..
        })
    ));
    assert_eq!(broker.next_command(at(0)), Some(EngineCommand::LoadModel));
    assert_eq!(broker.next_command(at(100)), None);
    broker.observe(&empty, at(3500));
    assert_eq!(
        broker.next_command(at(3500)),
        Some(EngineCommand::LoadModel)
    );
}

// Guards against refusals by a broker that has just started and has no report of its engine yet.
#[test]
fn request_waits_for_the_first_report() {
    let mut broker = SlotBroker::new(LIMITS);
    assert_eq!(broker.request_permit(request(1, "a", 0), at(0)), None);
    assert_eq!(broker.request_permit(request(2, "b", 0), at(0)), None);
    let outcomes = broker.observe(&report(&["a"]), at(5));
    let id = PermitId {
        entry: 1,
        number: 1,
    };
    assert_eq!(
        outcomes,
        [(id, PermitOutcome::Granted { version: Some(1) })]
    );
    assert_eq!(broker.next_command(at(5)), Some(load("b")));
}

// Guards against a model load while another model is loaded or a command is executed, which would
// exceed the engine's memory.
#[test_case(ModelState::Other, false; "another model is loaded")]
#[test_case(ModelState::Empty, true; "a command is being executed")]
fn no_model_load_is_issued(model: ModelState, is_busy: bool) {
    let mut broker = SlotBroker::new(LIMITS);
    let report = EngineStatus {
        incarnation: 7,
        model,
        is_busy,
        ..EngineStatus::default()
    };
    broker.observe(&report, at(0));
    assert_eq!(broker.next_command(at(0)), None);
}

// Guards against a load beyond the slots after a broker was killed with loads in progress: the
// engine would crash.
#[test]
fn loads_of_an_earlier_broker_reserve_slots() {
    let mut broker = SlotBroker::new(LIMITS);
    let mut first = report(&["a", "b"]);
    first.loading.push(loaded("c", 1));
    broker.observe(&first, at(0));
    assert_eq!(broker.request_permit(request(1, "d", 0), at(0)), None);
    let command = broker.next_command(at(0));
    assert!(
        matches!(command, Some(EngineCommand::Unload { .. })),
        "{command:?}"
    );
}

// Guards against the eviction of an adapter that a request uses.
#[test]
fn pinned_adapter_is_not_evicted() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name) in [(1, "a"), (2, "b"), (3, "c")] {
        let granted = broker.request_permit(request(number, name, 0), at(0));
        assert_eq!(granted, Some(PermitOutcome::Granted { version: Some(1) }));
    }
    let mut urgent = request(4, "d", 0);
    urgent.objective = at(700);
    let refused = broker.request_permit(urgent, at(0));
    assert!(matches!(
        refused,
        Some(PermitOutcome::Refused {
            reason: PermitRefusal::Slots,
            ..
        })
    ));
    broker.release(
        PermitId {
            entry: 1,
            number: 2,
        },
        at(10),
    );
    assert_eq!(broker.request_permit(request(5, "d", 0), at(10)), None);
    assert_eq!(broker.next_command(at(10)), Some(unload("b")));
    broker.unloaded("b");
    assert_eq!(broker.next_command(at(10)), Some(load("d")));
    assert_eq!(broker.next_command(at(10)), None);
}

// Guards against the eviction of an adapter although others have been idle for longer.
#[test]
fn least_recently_used_adapter_is_evicted() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name, time) in [(1, "b", 10), (2, "c", 20), (3, "a", 30)] {
        broker.request_permit(request(number, name, 0), at(time));
        broker.release(PermitId { entry: 1, number }, at(time + 5));
    }
    assert_eq!(broker.request_permit(request(4, "d", 0), at(40)), None);
    assert_eq!(broker.next_command(at(40)), Some(unload("b")));
}

// Guards against a request that starts on an older version than declared.
#[test]
fn request_waits_for_the_required_version() {
    let mut broker = broker(&["a"]);
    assert_eq!(broker.request_permit(request(1, "a", 2), at(0)), None);
    let command = EngineCommand::Load {
        name: "a".to_owned(),
        version: 2,
    };
    assert_eq!(broker.next_command(at(0)), Some(command));
    assert!(broker.observe(&report(&["a"]), at(40)).is_empty());
    let mut updated = report(&[]);
    updated.loaded.push(loaded("a", 2));
    let outcomes = broker.observe(&updated, at(300));
    let id = PermitId {
        entry: 1,
        number: 1,
    };
    assert_eq!(
        outcomes,
        [(id, PermitOutcome::Granted { version: Some(2) })]
    );
}

// Guards against a load beyond the slots while a newer version loads: until then it takes a slot
// beside the version that it replaces.
#[test]
fn newer_version_reserves_its_own_slot() {
    let mut broker = broker(&["a", "b", "c"]);
    assert_eq!(broker.request_permit(request(1, "a", 2), at(0)), None);
    let command = broker.next_command(at(0));
    assert!(
        matches!(command, Some(EngineCommand::Unload { .. })),
        "{command:?}"
    );
    broker.unloaded("b");
    let command = EngineCommand::Load {
        name: "a".to_owned(),
        version: 2,
    };
    assert_eq!(broker.next_command(at(0)), Some(command));
    assert_eq!(broker.request_permit(request(2, "d", 0), at(0)), None);
    assert_eq!(broker.next_command(at(0)), Some(unload("c")));
    broker.unloaded("c");
    assert_eq!(broker.next_command(at(0)), Some(load("d")));
}

// Guards against a newer version that waits for a slot forever although its own is idle.
#[test]
fn idle_adapter_is_evicted_for_its_newer_version() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name) in [(1, "b"), (2, "c")] {
        broker.request_permit(request(number, name, 0), at(0));
    }
    assert_eq!(broker.request_permit(request(3, "a", 2), at(0)), None);
    assert_eq!(broker.next_command(at(0)), Some(unload("a")));
    broker.unloaded("a");
    let command = broker.next_command(at(0));
    assert!(
        matches!(command, Some(EngineCommand::Load { version: 2, .. })),
        "{command:?}"
    );
}

// Guards against slots that stay pinned by an entry that was killed.
#[test]
fn permits_of_a_lost_entry_are_released() {
    let mut broker = broker(&["a", "b", "c"]);
    for (number, name) in [(1, "a"), (2, "b"), (3, "c")] {
        broker.request_permit(request(number, name, 0), at(0));
    }
    assert_eq!(broker.available_slots(), 0);
    broker.entry_seen(2, at(3000));
    broker.schedule(at(3000));
    assert_eq!(broker.available_slots(), 3);
    assert_eq!(broker.entries(at(3000)), 1);
}

// Guards against requests that wait forever because their entry stopped calling.
#[test]
fn waiting_requests_of_a_lost_entry_are_refused() {
    let mut broker = broker(&["a"]);
    assert_eq!(broker.request_permit(request(1, "b", 0), at(0)), None);
    broker.entry_seen(2, at(3000));
    let outcomes = broker.schedule(at(3000));
    assert!(matches!(
        outcomes.as_slice(),
        [(PermitId { number: 1, .. }, PermitOutcome::Refused { .. })]
    ));
}

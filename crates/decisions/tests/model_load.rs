//! Requests at an engine that has restarted without its base model.

#[allow(dead_code)]
mod support;

use std::time;

use decisions::{
    engine_status::{EngineAdapter, EngineCommand, EngineStatus, ModelState},
    model_load::ModelLoad,
    permits::{AdapterRequirement, PermitOutcome, PermitRefusal, PermitRequest},
    slot_broker::{BrokerLimits, SlotBroker},
};
use support::at;
use test_case::test_case;

const LOAD_TIME: time::Duration = time::Duration::from_millis(720);
const LIMITS: BrokerLimits = BrokerLimits {
    adapter_slots: 5,
    parallel_loads: 2,
    batch_slots: 64,
    unstarted: 1,
};
/// Time from a request to the disconnection of its caller.
const PATIENCE_MS: u64 = 4_000;

fn status(model: ModelState, is_busy: bool, loaded: &[&str]) -> EngineStatus {
    EngineStatus {
        incarnation: 7,
        model,
        is_busy,
        loaded: loaded
            .iter()
            .map(|name| EngineAdapter {
                name: (*name).to_owned(),
                version: 1,
            })
            .collect(),
        ..EngineStatus::default()
    }
}

fn empty() -> EngineStatus {
    status(ModelState::Empty, false, &[])
}

fn request(number: u64, received_ms: u64) -> PermitRequest {
    PermitRequest {
        adapter: Some(AdapterRequirement {
            name: format!("a{number}"),
            version: 0,
        }),
        output_tokens: 20,
        objective: at(received_ms + 900),
        start_deadline: at(received_ms + PATIENCE_MS),
        deadline: at(received_ms + PATIENCE_MS),
        ..support::request(number)
    }
}

fn restarted_broker(load_time: time::Duration) -> SlotBroker {
    let mut broker = SlotBroker::new(LIMITS);
    broker.set_model_load_time(Some(load_time));
    broker.observe(&empty(), at(0));
    broker
}

fn reason(outcome: &PermitOutcome) -> Option<PermitRefusal> {
    match outcome {
        PermitOutcome::Refused { reason, .. } => Some(*reason),
        PermitOutcome::Granted { .. } => None,
    }
}

// Guards against callers that are refused by all engines while these load their model, although the
// load takes less time than the callers wait.
#[test]
fn requests_wait_for_a_model_that_loads_in_time() {
    let mut broker = restarted_broker(LOAD_TIME);
    assert_eq!(broker.request_permit(request(1, 0), at(0)), None);
    assert_eq!(broker.next_command(at(5)), Some(EngineCommand::LoadModel));
    assert_eq!(broker.request_permit(request(2, 100), at(100)), None);
    let busy = status(ModelState::Empty, true, &[]);
    for millis in (20..720).step_by(20) {
        assert_eq!(broker.observe(&busy, at(millis)), []);
    }
    let loaded = status(ModelState::Loaded, false, &[]);
    assert_eq!(broker.observe(&loaded, at(740)), []);
    for _ in 0..2 {
        let command = broker.next_command(at(740));
        assert!(matches!(command, Some(EngineCommand::Load { .. })));
    }
    // Both are late by now and get their adapters all the same.
    let loaded = status(ModelState::Loaded, false, &["a1", "a2"]);
    let outcomes = broker.observe(&loaded, at(1_050));
    assert_eq!(outcomes.len(), 1);
    assert_eq!(reason(&outcomes[0].1), None);
}

// Guards against a grant before the model is loaded, which the engine would refuse.
#[test]
fn nothing_is_granted_without_the_model() {
    let mut broker = restarted_broker(LOAD_TIME);
    let mut plain = request(1, 0);
    plain.adapter = None;
    assert_eq!(broker.request_permit(plain, at(0)), None);
    assert_eq!(broker.observe(&empty(), at(20)), []);
}

// Guards against holding a caller until it leaves because the load takes too long, and against a
// return before the load is over.
#[test]
fn model_that_loads_too_late_is_refused_with_its_time() {
    let load_time = time::Duration::from_millis(4_300);
    let mut broker = restarted_broker(load_time);
    let Some(PermitOutcome::Refused {
        reason,
        retry_after,
    }) = broker.request_permit(request(1, 0), at(0))
    else {
        panic!("the request waits");
    };
    assert_eq!(reason, PermitRefusal::Model);
    assert!(retry_after >= load_time, "{retry_after:?}");
}

// Guards against requests that wait for a load that has failed or does not end.
#[test_case(true; "the command was refused")]
#[test_case(false; "the load does not end")]
fn failed_load_refuses_the_waiting_requests(is_refused: bool) {
    let mut broker = restarted_broker(LOAD_TIME);
    assert_eq!(broker.request_permit(request(1, 0), at(0)), None);
    assert_eq!(broker.next_command(at(5)), Some(EngineCommand::LoadModel));
    let now = if is_refused {
        broker.command_failed(&EngineCommand::LoadModel, at(10));
        at(20)
    } else {
        at(2_000)
    };
    let outcomes = broker.observe(&empty(), now);
    assert_eq!(outcomes.len(), 1);
    assert_eq!(reason(&outcomes[0].1), Some(PermitRefusal::Engine));
    let next = broker.request_permit(request(2, 2_000), now);
    assert_eq!(next.as_ref().and_then(reason), Some(PermitRefusal::Engine));
}

// Guards against entries that avoid an engine whose model is loaded in a moment, or prefer it while
// the load takes long.
#[test]
fn backlog_includes_the_wait_for_the_model() {
    let mut broker = restarted_broker(LOAD_TIME);
    assert!(broker.expects_model(at(0)));
    broker.next_command(at(0));
    assert_eq!(broker.backlog(at(20)), time::Duration::from_millis(700));
    assert_eq!(broker.backlog(at(700)), time::Duration::from_millis(20));
    assert!(!broker.expects_model(at(3_000)));
}

// Guards against a model that is expected although the engine holds another one, or although the
// configuration does not say how long its load takes.
#[test_case(Some(LOAD_TIME), ModelState::Other)]
#[test_case(None, ModelState::Empty)]
fn unknown_wait_is_none(load_time: Option<time::Duration>, state: ModelState) {
    let mut model = ModelLoad::default();
    model.set_load_time(load_time);
    model.observe(&status(state, false, &[]), at(0));
    assert_eq!(model.wait(at(0)), None);
}

// Guards against a load time that is forgotten when the engine restarts.
#[test]
fn restart_keeps_the_load_time() {
    let mut model = ModelLoad::default();
    model.set_load_time(Some(LOAD_TIME));
    model.observe(&status(ModelState::Loaded, false, &[]), at(0));
    model.restart();
    assert!(!model.is_loaded());
    assert_eq!(model.wait(at(0)), Some(LOAD_TIME));
}

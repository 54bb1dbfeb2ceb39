//! RPC handler, scheduler and drain of an agent under faults, with in-memory engines and a paused
//! clock.

mod support;

use agent::lifecycle;
use peers::{
    message::{CancelReply, CancelScope, DispatchReply, PollReply, RefusalReason, RunOutcome},
    service::AgentHandler,
};
use support::{
    SECOND, TestAgent, engine::StartFault, is_complete_response, outcome, read_responses,
    refusal_reason, request,
};
use test_case::test_case;

const KEPT_BYTES: usize = 1 << 20;

// Guards against an outdated dispatch from an entry that resumes after its process was paused.
#[tokio::test(start_paused = true)]
async fn suspended_session_refuses_dispatch_until_next_poll() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
    tokio::time::sleep(3 * SECOND).await;
    let reply = agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    assert_eq!(refusal_reason(&reply), Some(RefusalReason::SessionClosed));
    agent.poll(session, Vec::new()).await;
    let reply = agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    assert!(matches!(reply, DispatchReply::Accepted), "{reply:?}");
    assert!(is_complete_response(&agent.read_response(session, 1).await));
}

// Guards against generations that continue for a lost entry, and against a lost kept response.
#[tokio::test(start_paused = true)]
async fn closing_a_session_cancels_streams_except_kept_ones() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    agent.engine.state.lock().token_interval = 4 * SECOND;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let mut kept = agent.completion_dispatch(session, 2, "a@1");
    kept.keep_response = true;
    agent.dispatch(kept).await;
    tokio::time::sleep(60 * SECOND).await;
    assert!(matches!(
        agent.poll(session, Vec::new()).await,
        PollReply::SessionClosed
    ));
    assert_eq!(agent.engine.state.lock().cancels, 1);
    let other = agent.open_session().await;
    let incarnation = agent.state.incarnation;
    let reply = agent.handler.attach(other, incarnation, request(1)).await;
    assert_eq!(reply, CancelReply::Finished);
    let reply = agent.handler.attach(other, incarnation, request(2)).await;
    assert_eq!(reply, CancelReply::Running);
    assert!(is_complete_response(&agent.read_response(other, 2).await));
}

// Guards against unbounded kept responses, and against an evicted one whose request runs again.
#[tokio::test(start_paused = true)]
async fn kept_responses_are_evicted_oldest_first_and_not_rerun() {
    let agent = TestAgent::start(2, 600).await;
    let session = agent.open_session().await;
    for sequence in 1..=3 {
        let mut kept = agent.completion_dispatch(session, sequence, "a@1");
        kept.keep_response = true;
        agent.dispatch(kept).await;
        assert!(is_complete_response(
            &agent.read_response(session, sequence).await
        ));
    }
    let incarnation = agent.state.incarnation;
    let first = agent.handler.attach(session, incarnation, request(1)).await;
    assert_eq!(first, CancelReply::Finished);
    let last = agent.handler.attach(session, incarnation, request(3)).await;
    assert_eq!(last, CancelReply::Running);
    let again = agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    assert!(matches!(again, DispatchReply::AlreadyKnown), "{again:?}");
    assert_eq!(agent.engine.state.lock().starts.len(), 3);
}

// Guards against a request that starts after its caller was told `not_run`.
#[test_case(false; "cancel before the dispatch")]
#[test_case(true; "cancel while the request waits")]
#[tokio::test(start_paused = true)]
async fn cancelled_request_never_starts(is_dispatched: bool) {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
    if is_dispatched {
        agent
            .dispatch(agent.completion_dispatch(session, 1, "a@1"))
            .await;
    }
    let incarnation = agent.state.incarnation;
    let scope = CancelScope::Own;
    let reply = agent.handler.cancel(incarnation, request(1), scope).await;
    assert_eq!(reply, CancelReply::NotRun);
    if is_dispatched {
        let parts = agent.read_response(session, 1).await;
        assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    }
    let reply = agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    assert_eq!(refusal_reason(&reply), Some(RefusalReason::Cancelled));
    tokio::time::sleep(2 * SECOND).await;
    assert!(agent.engine.state.lock().starts.is_empty());
}

// Guards against an entry that cancels a request of another entry's claim, whose caller already
// reads the response, when the request was accepted between `attach` and the cancel.
#[tokio::test(start_paused = true)]
async fn tombstone_does_not_cancel_an_accepted_request() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let incarnation = agent.state.incarnation;
    let scope = CancelScope::UnknownOnly;
    let reply = agent.handler.cancel(incarnation, request(1), scope).await;
    assert_eq!(reply, CancelReply::Running);
    assert!(is_complete_response(&agent.read_response(session, 1).await));
    let reply = agent.handler.cancel(incarnation, request(2), scope).await;
    assert_eq!(reply, CancelReply::NotRun);
    let reply = agent
        .dispatch(agent.completion_dispatch(session, 2, "a@1"))
        .await;
    assert_eq!(refusal_reason(&reply), Some(RefusalReason::Cancelled));
}

// Guards against a waiting request that starts after its session was closed, when its entry may
// already have reported `not_run`.
#[tokio::test(start_paused = true)]
async fn waiting_request_of_a_closed_session_never_starts() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    agent.engine.state.lock().load_duration = 20 * SECOND;
    let session = agent.open_session().await;
    let mut work = agent.completion_dispatch(session, 1, "a@1");
    work.time_left = 60 * SECOND;
    agent.dispatch(work).await;
    tokio::time::sleep(30 * SECOND).await;
    let engine = agent.engine.state.lock();
    assert_eq!(engine.adapters, ["a@1"]);
    assert!(engine.starts.is_empty());
}

// Guards against a repeated dispatch that runs a request twice, with and without a lost reply.
#[test_case(None)]
#[test_case(Some(StartFault::LostReply))]
#[tokio::test(start_paused = true)]
async fn repeated_dispatch_runs_once(fault: Option<StartFault>) {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    agent.engine.state.lock().start_fault = fault;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let again = agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    assert!(matches!(again, DispatchReply::AlreadyKnown), "{again:?}");
    assert!(is_complete_response(&agent.read_response(session, 1).await));
    assert_eq!(agent.engine.state.lock().starts.len(), 1);
}

// Guards against `not_run` for a request that may have run, and `unknown` for one that did not.
#[test_case(StartFault::LostReply, RunOutcome::Unknown, 1)]
#[test_case(StartFault::Unreachable, RunOutcome::NotRun, 0)]
#[tokio::test(start_paused = true)]
async fn failed_start_reports_whether_the_request_ran(
    fault: StartFault,
    expected: RunOutcome,
    starts: usize,
) {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    {
        let mut engine = agent.engine.state.lock();
        engine.start_fault = Some(fault);
        engine.refuses_resume = true;
    }
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let parts = agent.read_response(session, 1).await;
    assert_eq!(outcome(&parts), Some(expected));
    assert_eq!(agent.engine.state.lock().starts.len(), starts);
}

// Guards against an interrupted response that loses or repeats tokens, also after a lost start.
#[test_case(None, &[3])]
#[test_case(Some(StartFault::LostReply), &[0, 3])]
#[tokio::test(start_paused = true)]
async fn interrupted_response_resumes_at_the_next_token(
    fault: Option<StartFault>,
    resumes: &[u64],
) {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    {
        let mut engine = agent.engine.state.lock();
        engine.interrupt_at = Some(3);
        engine.start_fault = fault;
    }
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    assert!(is_complete_response(&agent.read_response(session, 1).await));
    let engine = agent.engine.state.lock();
    assert_eq!(engine.resumes, resumes);
    assert_eq!(engine.starts.len(), 1);
}

// Guards against the eviction of an adapter in use, with and without failed loads.
#[test_case(0)]
#[test_case(2)]
#[tokio::test(start_paused = true)]
async fn pinned_adapter_is_not_evicted(failing_loads: u32) {
    let agent = TestAgent::start(1, KEPT_BYTES).await;
    agent.engine.state.lock().failing_loads = failing_loads;
    let session = agent.open_session().await;
    for (sequence, adapter) in [(1, "a@1"), (2, "b@1"), (3, "a@2")] {
        agent
            .dispatch(agent.completion_dispatch(session, sequence, adapter))
            .await;
    }
    let responses = read_responses(&agent, session, 3).await;
    assert!(
        responses.iter().all(|parts| is_complete_response(parts)),
        "{responses:?}"
    );
    let engine = agent.engine.state.lock();
    assert_eq!((engine.unloads_in_use, engine.starts.len()), (0, 3));
}

// Guards against generations that start after the caller's deadline.
#[tokio::test(start_paused = true)]
async fn expired_request_does_not_run() {
    let agent = TestAgent::start(1, KEPT_BYTES).await;
    agent.engine.state.lock().failing_loads = 2;
    let session = agent.open_session().await;
    let mut late = agent.completion_dispatch(session, 1, "a@1");
    late.time_left = SECOND / 2;
    agent.dispatch(late).await;
    let parts = agent.read_response(session, 1).await;
    assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    assert!(agent.engine.state.lock().starts.is_empty());
}

// Guards against requests that wait forever for an adapter that cannot be loaded.
#[tokio::test(start_paused = true)]
async fn failed_loads_end_requests_as_not_run() {
    let agent = TestAgent::start(1, KEPT_BYTES).await;
    agent.engine.state.lock().failing_loads = 3;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let parts = agent.read_response(session, 1).await;
    assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    assert!(agent.engine.state.lock().starts.is_empty());
}

// Guards against two agents that send commands to one engine.
#[tokio::test(start_paused = true)]
async fn superseded_agent_refuses_requests() {
    let agent = TestAgent::start(1, KEPT_BYTES).await;
    let session = agent.open_session().await;
    agent.engine.state.lock().fencing = 9;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let parts = agent.read_response(session, 1).await;
    assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    let reply = agent
        .dispatch(agent.completion_dispatch(session, 2, "a@1"))
        .await;
    assert_eq!(refusal_reason(&reply), Some(RefusalReason::Superseded));
}

// Guards against requests sent to adapters that a restarted engine no longer holds.
#[tokio::test(start_paused = true)]
async fn adapters_are_reloaded_after_a_cold_restart() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    assert!(is_complete_response(&agent.read_response(session, 1).await));
    {
        let mut engine = agent.engine.state.lock();
        engine.epoch = 2;
        engine.adapters.clear();
        engine.fencing = 0;
    }
    agent.poll(session, Vec::new()).await;
    agent.poll(session, Vec::new()).await;
    agent
        .dispatch(agent.completion_dispatch(session, 2, "a@1"))
        .await;
    assert!(is_complete_response(&agent.read_response(session, 2).await));
}

// Guards against a shutdown that interrupts requests or accepts new ones.
#[tokio::test(start_paused = true)]
async fn drain_delivers_open_requests_and_refuses_new_ones() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let (summary, parts) = tokio::join!(lifecycle::drain(&agent.state, 30 * SECOND), async {
        let reply = agent
            .dispatch(agent.completion_dispatch(session, 2, "a@1"))
            .await;
        assert_eq!(refusal_reason(&reply), Some(RefusalReason::Draining));
        agent.read_response(session, 1).await
    });
    assert!(is_complete_response(&parts));
    assert_eq!(summary.cut_off, 0);
}

// Guards against a shutdown that never ends.
#[tokio::test(start_paused = true)]
async fn drain_ends_at_its_deadline() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    agent.engine.state.lock().token_interval = 60 * SECOND;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    let (summary, ()) = tokio::join!(lifecycle::drain(&agent.state, 5 * SECOND), async {
        for _ in 0..12 {
            agent.poll(session, Vec::new()).await;
        }
    });
    assert_eq!(summary.cut_off, 1);
}

// Guards against two entries with the same idempotency key that take parts from each other, and
// against one that no longer polls and blocks the other.
#[test_case(true; "both poll")]
#[test_case(false; "one does not poll")]
#[tokio::test(start_paused = true)]
async fn two_sessions_read_a_kept_response(polls: bool) {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let (one, other) = (agent.open_session().await, agent.open_session().await);
    let mut kept = agent.completion_dispatch(one, 1, "a@1");
    kept.keep_response = true;
    agent.dispatch(kept).await;
    let incarnation = agent.state.incarnation;
    let reply = agent.handler.attach(other, incarnation, request(1)).await;
    assert_eq!(reply, CancelReply::Running);
    let first = async {
        if polls {
            assert!(is_complete_response(&agent.read_response(one, 1).await));
        }
    };
    let (parts, ()) = tokio::join!(agent.read_response(other, 1), first);
    assert!(is_complete_response(&parts), "{parts:?}");
    assert_eq!(agent.engine.state.lock().starts.len(), 1);
}

// Guards against long requests that block short ones, against a preempted response that loses or
// repeats tokens, and against the eviction of its adapter.
#[tokio::test(start_paused = true)]
async fn preempted_long_requests_complete() {
    let agent = TestAgent::start(1, KEPT_BYTES).await;
    agent.engine.state.lock().tokens_per_event = 1000;
    let session = agent.open_session().await;
    for sequence in 1..=12 {
        agent
            .dispatch(agent.completion_dispatch(session, sequence, "a@1"))
            .await;
    }
    agent
        .dispatch(agent.completion_dispatch(session, 13, "b@1"))
        .await;
    let responses = read_responses(&agent, session, 13).await;
    assert!(
        responses.iter().all(|parts| is_complete_response(parts)),
        "{responses:?}"
    );
    let engine = agent.engine.state.lock();
    assert!(!engine.preemptions.is_empty());
    assert_eq!(engine.preemptions.len(), engine.resumes.len());
    assert_eq!((engine.starts.len(), engine.unloads_in_use), (13, 0));
}

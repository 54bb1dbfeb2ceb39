//! Behaviour of the agent under faults, with a paused clock.

mod support;

use std::sync::Arc;

use agent::lifecycle;
use operators::{patch, snapshot};
use peers::{
    message::{CancelReply, CancelScope, DispatchReply, PollReply, RefusalReason, RunOutcome},
    report_update::ReportUpdate,
    service::AgentHandler,
};
use platform::{log::LogService, reader::CONFIGURATION_STREAM, stand_in::log::MemoryLog};
use support::{SECOND, StartFault, TestAgent, ack, is_whole, outcome, read_all, refusal, request};
use test_case::test_case;

const KEPT: usize = 1 << 20;

// Guards against an entry that was paused and starts work with an old dispatch.
#[tokio::test(start_paused = true)]
async fn suspended_session_takes_no_dispatch_until_it_polls() {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    tokio::time::sleep(3 * SECOND).await;
    let reply = agent.dispatch(agent.work(session, 1, "a@1")).await;
    assert_eq!(refusal(&reply), Some(RefusalReason::SessionClosed));
    agent.poll(session, Vec::new()).await;
    let reply = agent.dispatch(agent.work(session, 1, "a@1")).await;
    assert!(matches!(reply, DispatchReply::Accepted), "{reply:?}");
    assert!(is_whole(&agent.read(session, 1).await));
}

// Guards against work that runs for an entry that is gone, and against a lost kept answer.
#[tokio::test(start_paused = true)]
async fn closed_session_cancels_streams_but_keeps_answers() {
    let agent = TestAgent::start(2, KEPT).await;
    agent.engine.state.lock().token_step = 4 * SECOND;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let mut kept = agent.work(session, 2, "a@1");
    kept.keep_answer = true;
    agent.dispatch(kept).await;
    tokio::time::sleep(60 * SECOND).await;
    assert!(matches!(
        agent.poll(session, Vec::new()).await,
        PollReply::SessionClosed
    ));
    assert_eq!(agent.engine.state.lock().cancels, 1);
    let other = agent.hello().await;
    let incarnation = agent.state.incarnation;
    let reply = agent.handler.attach(other, incarnation, request(1)).await;
    assert_eq!(reply, CancelReply::Finished);
    let reply = agent.handler.attach(other, incarnation, request(2)).await;
    assert_eq!(reply, CancelReply::Running);
    assert!(is_whole(&agent.read(other, 2).await));
}

// Guards against kept answers without bound, and against a dropped one that runs again.
#[tokio::test(start_paused = true)]
async fn kept_answers_are_dropped_oldest_first_and_stay_finished() {
    let agent = TestAgent::start(2, 600).await;
    let session = agent.hello().await;
    for sequence in 1..=3 {
        let mut kept = agent.work(session, sequence, "a@1");
        kept.keep_answer = true;
        agent.dispatch(kept).await;
        assert!(is_whole(&agent.read(session, sequence).await));
    }
    let incarnation = agent.state.incarnation;
    let first = agent.handler.attach(session, incarnation, request(1)).await;
    assert_eq!(first, CancelReply::Finished);
    let last = agent.handler.attach(session, incarnation, request(3)).await;
    assert_eq!(last, CancelReply::Running);
    let again = agent.dispatch(agent.work(session, 1, "a@1")).await;
    assert!(matches!(again, DispatchReply::AlreadyKnown), "{again:?}");
    assert_eq!(agent.engine.state.lock().starts.len(), 3);
}

// Guards against a request that starts after its caller was told `not_run`.
#[test_case(false; "cancel before the dispatch")]
#[test_case(true; "cancel while the request waits")]
#[tokio::test(start_paused = true)]
async fn cancelled_request_never_starts(is_dispatched: bool) {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    if is_dispatched {
        agent.dispatch(agent.work(session, 1, "a@1")).await;
    }
    let incarnation = agent.state.incarnation;
    let scope = CancelScope::Own;
    let reply = agent.handler.cancel(incarnation, request(1), scope).await;
    assert_eq!(reply, CancelReply::NotRun);
    if is_dispatched {
        let parts = agent.read(session, 1).await;
        assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    }
    let reply = agent.dispatch(agent.work(session, 1, "a@1")).await;
    assert_eq!(refusal(&reply), Some(RefusalReason::Cancelled));
    tokio::time::sleep(2 * SECOND).await;
    assert!(agent.engine.state.lock().starts.is_empty());
}

// Guards against an entry that stops the request of another entry's claim, whose caller already
// reads the answer, because it was accepted between `attach` and the cancel.
#[tokio::test(start_paused = true)]
async fn tombstone_for_another_claim_does_not_stop_an_accepted_request() {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let incarnation = agent.state.incarnation;
    let scope = CancelScope::Unseen;
    let reply = agent.handler.cancel(incarnation, request(1), scope).await;
    assert_eq!(reply, CancelReply::Running);
    assert!(is_whole(&agent.read(session, 1).await));
    let reply = agent.handler.cancel(incarnation, request(2), scope).await;
    assert_eq!(reply, CancelReply::NotRun);
    let reply = agent.dispatch(agent.work(session, 2, "a@1")).await;
    assert_eq!(refusal(&reply), Some(RefusalReason::Cancelled));
}

// Guards against a waiting request that starts after its session was closed, which its entry may
// have answered with `not_run`.
#[tokio::test(start_paused = true)]
async fn waiting_request_of_a_closed_session_never_starts() {
    let agent = TestAgent::start(2, KEPT).await;
    agent.engine.state.lock().load_time = 20 * SECOND;
    let session = agent.hello().await;
    let mut work = agent.work(session, 1, "a@1");
    work.time_left = 60 * SECOND;
    agent.dispatch(work).await;
    tokio::time::sleep(30 * SECOND).await;
    let engine = agent.engine.state.lock();
    assert_eq!(engine.adapters, ["a@1"]);
    assert!(engine.starts.is_empty());
}

// Guards against a repeated dispatch that runs a request twice, alone and with a lost reply.
#[test_case(None)]
#[test_case(Some(StartFault::LostReply))]
#[tokio::test(start_paused = true)]
async fn repeated_dispatch_runs_once(fault: Option<StartFault>) {
    let agent = TestAgent::start(2, KEPT).await;
    agent.engine.state.lock().start_fault = fault;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let again = agent.dispatch(agent.work(session, 1, "a@1")).await;
    assert!(matches!(again, DispatchReply::AlreadyKnown), "{again:?}");
    assert!(is_whole(&agent.read(session, 1).await));
    assert_eq!(agent.engine.state.lock().starts.len(), 1);
}

// Guards against `not_run` for a request that may have run, and `unknown` for one that did not.
#[test_case(StartFault::LostReply, RunOutcome::Unknown, 1)]
#[test_case(StartFault::Unreachable, RunOutcome::NotRun, 0)]
#[tokio::test(start_paused = true)]
async fn failed_start_has_the_right_outcome(
    fault: StartFault,
    expected: RunOutcome,
    starts: usize,
) {
    let agent = TestAgent::start(2, KEPT).await;
    {
        let mut engine = agent.engine.state.lock();
        engine.start_fault = Some(fault);
        engine.refuses_resume = true;
    }
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let parts = agent.read(session, 1).await;
    assert_eq!(outcome(&parts), Some(expected));
    assert_eq!(agent.engine.state.lock().starts.len(), starts);
}

// Guards against an interrupted answer that loses or repeats tokens, also after a lost start.
#[test_case(None, &[3])]
#[test_case(Some(StartFault::LostReply), &[0, 3])]
#[tokio::test(start_paused = true)]
async fn interrupted_answer_continues_at_the_next_token(
    fault: Option<StartFault>,
    resumes: &[u64],
) {
    let agent = TestAgent::start(2, KEPT).await;
    {
        let mut engine = agent.engine.state.lock();
        engine.break_at = Some(3);
        engine.start_fault = fault;
    }
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    assert!(is_whole(&agent.read(session, 1).await));
    let engine = agent.engine.state.lock();
    assert_eq!(engine.resumes, resumes);
    assert_eq!(engine.starts.len(), 1);
}

// Guards against the eviction of an adapter that serves a request, alone and with failed loads.
#[test_case(0)]
#[test_case(2)]
#[tokio::test(start_paused = true)]
async fn pinned_adapter_is_not_evicted(load_faults: u32) {
    let agent = TestAgent::start(1, KEPT).await;
    agent.engine.state.lock().load_faults = load_faults;
    let session = agent.hello().await;
    for (sequence, adapter) in [(1, "a@1"), (2, "b@1"), (3, "a@2")] {
        agent.dispatch(agent.work(session, sequence, adapter)).await;
    }
    let answers = read_all(&agent, session, 3).await;
    assert!(answers.iter().all(|parts| is_whole(parts)), "{answers:?}");
    let engine = agent.engine.state.lock();
    assert_eq!((engine.unloads_in_use, engine.starts.len()), (0, 3));
}

// Guards against work for a caller that has given up.
#[tokio::test(start_paused = true)]
async fn expired_request_does_not_run() {
    let agent = TestAgent::start(1, KEPT).await;
    agent.engine.state.lock().load_faults = 2;
    let session = agent.hello().await;
    let mut late = agent.work(session, 1, "a@1");
    late.time_left = SECOND / 2;
    agent.dispatch(late).await;
    let parts = agent.read(session, 1).await;
    assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    assert!(agent.engine.state.lock().starts.is_empty());
}

// Guards against requests that wait for an adapter which cannot be loaded.
#[tokio::test(start_paused = true)]
async fn failing_loads_end_as_not_run() {
    let agent = TestAgent::start(1, KEPT).await;
    agent.engine.state.lock().load_faults = 3;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let parts = agent.read(session, 1).await;
    assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    assert!(agent.engine.state.lock().starts.is_empty());
}

// Guards against two agents that command one engine.
#[tokio::test(start_paused = true)]
async fn superseded_agent_takes_no_more_work() {
    let agent = TestAgent::start(1, KEPT).await;
    let session = agent.hello().await;
    agent.engine.state.lock().fencing = 9;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let parts = agent.read(session, 1).await;
    assert_eq!(outcome(&parts), Some(RunOutcome::NotRun));
    let reply = agent.dispatch(agent.work(session, 2, "a@1")).await;
    assert_eq!(refusal(&reply), Some(RefusalReason::Superseded));
}

// Guards against requests sent to adapters that a restarted engine no longer holds.
#[tokio::test(start_paused = true)]
async fn cold_restart_loads_adapters_again() {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    assert!(is_whole(&agent.read(session, 1).await));
    {
        let mut engine = agent.engine.state.lock();
        engine.epoch = 2;
        engine.adapters.clear();
        engine.fencing = 0;
    }
    agent.poll(session, Vec::new()).await;
    agent.poll(session, Vec::new()).await;
    agent.dispatch(agent.work(session, 2, "a@1")).await;
    assert!(is_whole(&agent.read(session, 2).await));
}

// Guards against a poll on a dead connection that takes parts away from the new connection.
#[tokio::test(start_paused = true)]
async fn newer_poll_ends_an_older_one() {
    let agent = TestAgent::start(2, KEPT).await;
    agent.engine.state.lock().adapters.push("a@1".into());
    let session = agent.hello().await;
    let (old, new) = tokio::join!(agent.poll(session, Vec::new()), async {
        agent.dispatch(agent.work(session, 1, "a@1")).await;
        agent.read(session, 1).await
    });
    let PollReply::Events { events, .. } = old else {
        panic!("{old:?}");
    };
    assert!(events.is_empty(), "{events:?}");
    assert!(is_whole(&new));
}

// Guards against parts that are lost with a poll reply.
#[tokio::test(start_paused = true)]
async fn parts_of_a_lost_reply_are_sent_again() {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    tokio::time::sleep(SECOND).await;
    agent.poll(session, Vec::new()).await;
    agent.poll(session, vec![ack(1, 0)]).await;
    let reply = agent.poll(session, vec![ack(1, 2)]).await;
    let PollReply::Events { events, .. } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(events.first().map(|event| event.index), Some(2));
}

// Guards against peers that get no configuration while the log is down, or an old version.
#[tokio::test(start_paused = true)]
async fn newest_configuration_is_served_and_its_version_reported() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let text = "id: 2f8b3a52-5d8e-4c6a-9c1b-000000000001\nbase: 0\nchanges:\n  - set_service: {name: s, repeatable: true}\n";
    let patch = patch::Patch::from_yaml(text).unwrap();
    let record = snapshot::encode_patch(&patch);
    log.append(CONFIGURATION_STREAM, vec![record.into()])
        .await
        .unwrap();
    let (agent, follower) = TestAgent::start_with_log(log).await;
    tokio::time::sleep(3 * SECOND).await;
    let image = agent.handler.configuration(0).await.unwrap();
    assert_eq!(image.version, 1);
    assert!(agent.handler.configuration(1).await.is_none());
    let session = agent.hello().await;
    let reply = agent.poll(session, Vec::new()).await;
    let PollReply::Events {
        configuration_version,
        ..
    } = reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!(configuration_version, 1);
    follower.close().await;
}

// Guards against load reports in every reply.
#[tokio::test(start_paused = true)]
async fn report_is_sent_when_it_changed_or_is_old() {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    agent.poll(session, Vec::new()).await;
    let is_sent = |reply: &PollReply| {
        let PollReply::Events { report, .. } = reply else {
            panic!("{reply:?}");
        };
        report.is_some()
    };
    agent
        .state
        .context
        .requests
        .sessions()
        .find(session)
        .unwrap()
        .request_report();
    assert!(is_sent(&agent.poll(session, Vec::new()).await));
    let reply = agent.poll_for(session, Vec::new(), SECOND / 10).await;
    assert!(!is_sent(&reply), "nothing changed");
    let reply = agent.poll(session, Vec::new()).await;
    assert!(is_sent(&reply), "500 ms have passed");
}

// Guards against entries that load an adapter elsewhere although it waits for its load here.
#[tokio::test(start_paused = true)]
async fn waiting_loads_are_reported_as_pending() {
    let agent = TestAgent::start(2, KEPT).await;
    agent.engine.state.lock().load_time = 20 * SECOND;
    let session = agent.hello().await;
    for (sequence, adapter) in (1..).zip(["a@1", "b@1", "c@1", "d@1"]) {
        agent.dispatch(agent.work(session, sequence, adapter)).await;
    }
    tokio::time::sleep(SECOND).await;
    let PollReply::Events {
        report: Some(ReportUpdate::Full(report)),
        ..
    } = agent.poll_holding(session, 0).await
    else {
        panic!("a full report is due");
    };
    let replica = &report.replicas[0];
    assert_eq!(replica.loading.len(), 4);
}

// Guards against differences sent to an entry that has lost the report before them.
#[tokio::test(start_paused = true)]
async fn report_is_sent_in_full_unless_the_entry_holds_the_last_one() {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    let update = |reply: PollReply| match reply {
        PollReply::Events { report, .. } => report.expect("a report is due"),
        PollReply::SessionClosed => panic!("the session is closed"),
    };
    let first = update(agent.poll_holding(session, 0).await);
    let held = match &first {
        ReportUpdate::Full(report) => report.sequence,
        ReportUpdate::Changes(_) => panic!("{first:?}"),
    };
    let second = update(agent.poll_holding(session, held).await);
    assert!(matches!(second, ReportUpdate::Changes(_)), "{second:?}");
    let after_loss = update(agent.poll_holding(session, held + 1).await);
    assert!(
        matches!(after_loss, ReportUpdate::Full(_)),
        "{after_loss:?}"
    );
}

// Guards against a shutdown that interrupts requests or takes new ones.
#[tokio::test(start_paused = true)]
async fn drain_delivers_open_requests_and_refuses_new_ones() {
    let agent = TestAgent::start(2, KEPT).await;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let (summary, parts) = tokio::join!(lifecycle::drain(&agent.state, 30 * SECOND), async {
        let reply = agent.dispatch(agent.work(session, 2, "a@1")).await;
        assert_eq!(refusal(&reply), Some(RefusalReason::Draining));
        agent.read(session, 1).await
    });
    assert!(is_whole(&parts));
    assert_eq!(summary.cut_off, 0);
}

// Guards against a shutdown without end.
#[tokio::test(start_paused = true)]
async fn drain_ends_at_its_deadline() {
    let agent = TestAgent::start(2, KEPT).await;
    agent.engine.state.lock().token_step = 60 * SECOND;
    let session = agent.hello().await;
    agent.dispatch(agent.work(session, 1, "a@1")).await;
    let (summary, ()) = tokio::join!(lifecycle::drain(&agent.state, 5 * SECOND), async {
        for _ in 0..12 {
            agent.poll(session, Vec::new()).await;
        }
    });
    assert_eq!(summary.cut_off, 1);
}

// Guards against entries with the same key that take the answer from each other, and against one
// that no longer polls and holds the answer back.
#[test_case(true; "both poll")]
#[test_case(false; "one is silent")]
#[tokio::test(start_paused = true)]
async fn two_sessions_read_a_kept_answer(polls: bool) {
    let agent = TestAgent::start(2, KEPT).await;
    let (one, other) = (agent.hello().await, agent.hello().await);
    let mut kept = agent.work(one, 1, "a@1");
    kept.keep_answer = true;
    agent.dispatch(kept).await;
    let incarnation = agent.state.incarnation;
    let reply = agent.handler.attach(other, incarnation, request(1)).await;
    assert_eq!(reply, CancelReply::Running);
    let first = async {
        if polls {
            assert!(is_whole(&agent.read(one, 1).await));
        }
    };
    let (parts, ()) = tokio::join!(agent.read(other, 1), first);
    assert!(is_whole(&parts), "{parts:?}");
    assert_eq!(agent.engine.state.lock().starts.len(), 1);
}

// Guards against long requests that keep short ones waiting, against a parked answer that loses or
// repeats tokens, and against the eviction of its adapter.
#[tokio::test(start_paused = true)]
async fn long_requests_are_parked_and_stay_whole() {
    let agent = TestAgent::start(1, KEPT).await;
    agent.engine.state.lock().event_tokens = 1000;
    let session = agent.hello().await;
    for sequence in 1..=12 {
        agent.dispatch(agent.work(session, sequence, "a@1")).await;
    }
    agent.dispatch(agent.work(session, 13, "b@1")).await;
    let answers = read_all(&agent, session, 13).await;
    assert!(answers.iter().all(|parts| is_whole(parts)), "{answers:?}");
    let engine = agent.engine.state.lock();
    assert!(!engine.parks.is_empty());
    assert_eq!(engine.parks.len(), engine.resumes.len());
    assert_eq!((engine.starts.len(), engine.unloads_in_use), (13, 0));
}

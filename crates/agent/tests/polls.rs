//! Polls of entries at an agent, with the configuration and the load that they bring, under a paused
//! clock.

mod support;

use std::sync::Arc;

use operators::{patch, snapshot};
use peers::{message::PollReply, report_update::ReportUpdate, service::AgentHandler};
use platform::{log::LogService, reader::CONFIGURATION_STREAM, stand_in::log::MemoryLog};
use support::{SECOND, TestAgent, ack, is_complete_response};

const KEPT_BYTES: usize = 1 << 20;

// Guards against a poll on a dead connection that takes parts from the new connection.
#[tokio::test(start_paused = true)]
async fn newer_poll_ends_an_older_one() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    agent.engine.state.lock().adapters.push("a@1".into());
    let session = agent.open_session().await;
    let (old, new) = tokio::join!(agent.poll(session, Vec::new()), async {
        agent
            .dispatch(agent.completion_dispatch(session, 1, "a@1"))
            .await;
        agent.read_response(session, 1).await
    });
    let PollReply::Events { events, .. } = old else {
        panic!("{old:?}");
    };
    assert!(events.is_empty(), "{events:?}");
    assert!(is_complete_response(&new));
}

// Guards against the loss of the parts in a lost poll reply.
#[tokio::test(start_paused = true)]
async fn parts_of_a_lost_reply_are_resent() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
    agent
        .dispatch(agent.completion_dispatch(session, 1, "a@1"))
        .await;
    tokio::time::sleep(SECOND).await;
    agent.poll(session, Vec::new()).await;
    agent.poll(session, vec![ack(1, 0)]).await;
    let reply = agent.poll(session, vec![ack(1, 2)]).await;
    let PollReply::Events { events, .. } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(events.first().map(|event| event.index), Some(2));
}

// Guards against entries without a current configuration while the log is unavailable.
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
    let session = agent.open_session().await;
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

// Guards against a load report in every poll reply, and against one that is never refreshed.
#[tokio::test(start_paused = true)]
async fn report_is_sent_when_changed_or_outdated() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
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

// Guards against entries that load an adapter elsewhere while its load is pending here.
#[tokio::test(start_paused = true)]
async fn waiting_loads_are_reported_as_pending() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    agent.engine.state.lock().load_duration = 20 * SECOND;
    let session = agent.open_session().await;
    for (sequence, adapter) in (1..).zip(["a@1", "b@1", "c@1", "d@1"]) {
        agent
            .dispatch(agent.completion_dispatch(session, sequence, adapter))
            .await;
    }
    tokio::time::sleep(SECOND).await;
    let PollReply::Events {
        report: Some(ReportUpdate::Full(report)),
        ..
    } = agent.poll_with_held_report(session, 0).await
    else {
        panic!("a full report is due");
    };
    let replica = &report.replicas[0];
    assert_eq!(replica.loading.len(), 4);
}

// Guards against an incremental report for an entry that lacks the report it is based on.
#[tokio::test(start_paused = true)]
async fn full_report_is_sent_unless_the_entry_has_the_last_one() {
    let agent = TestAgent::start(2, KEPT_BYTES).await;
    let session = agent.open_session().await;
    let update = |reply: PollReply| match reply {
        PollReply::Events { report, .. } => report.expect("a report is due"),
        PollReply::SessionClosed => panic!("the session is closed"),
    };
    let first = update(agent.poll_with_held_report(session, 0).await);
    let held = match &first {
        ReportUpdate::Full(report) => report.sequence,
        ReportUpdate::Changes(_) => panic!("{first:?}"),
    };
    let second = update(agent.poll_with_held_report(session, held).await);
    assert!(matches!(second, ReportUpdate::Changes(_)), "{second:?}");
    let after_loss = update(agent.poll_with_held_report(session, held + 1).await);
    assert!(
        matches!(after_loss, ReportUpdate::Full(_)),
        "{after_loss:?}"
    );
}

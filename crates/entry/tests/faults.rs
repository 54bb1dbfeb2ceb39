//! Invariants of the entry with agents that inject faults.

#[allow(dead_code)]
mod support;

use std::time;

use peers::message;
use support::{FakeAgent, Faults, LOOPBACK};
use test_case::test_case;

const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);

// Guards against a response with missing, duplicate or reordered parts (I3), and against a second
// run after a mere transport failure (I5).
#[test_case(Faults { reorder_events: true, ..Faults::default() }; "duplicate and reordered parts")]
#[test_case(Faults { lose_poll: true, ..Faults::default() }; "poll timeout halfway")]
#[test_case(Faults { lose_reply: true, ..Faults::default() }; "lost dispatch reply")]
#[test_case(Faults { lose_reply: true, lose_poll: true, ..Faults::default() }; "lost reply and poll timeout")]
#[test_case(Faults { lose_poll: true, reorder_events: true, ..Faults::default() }; "poll timeout and reordered parts")]
#[tokio::test(flavor = "multi_thread")]
async fn response_is_complete_and_runs_once(faults: Faults) {
    let agent = FakeAgent::new(1, support::text_parts(), faults)
        .start(LOOPBACK)
        .await;
    let entry = support::start_entry(&[&agent], DRAIN_TIMEOUT).await;
    let response = support::complete(entry.address()).await;
    assert!(response.contains("\"one two three\""), "{response}");
    assert_eq!(agent.agent.runs(), 1);
    entry.close().await.unwrap();
}

// Guards against a non-repeatable request running at a second agent (I5) after the dispatch or its
// reply was lost.
#[test_case(Faults { lose_reply: true, ..Faults::default() }; "reply lost")]
#[test_case(Faults { lose_dispatch: true, ..Faults::default() }; "dispatch lost")]
#[test_case(Faults { lose_reply: true, lose_poll: true, ..Faults::default() }; "reply and poll lost")]
#[test_case(Faults { start_after_tombstone: true, ..Faults::default() }; "start after the cancel")]
#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_call_runs_once(faults: Faults) {
    let one = FakeAgent::new(1, support::service_parts(), faults)
        .start(LOOPBACK)
        .await;
    let other = support::start_agent(2, support::service_parts()).await;
    let entry = support::start_entry(&[&one, &other], DRAIN_TIMEOUT).await;
    let response = support::order(entry.address()).await;
    assert!(response.contains("order 7 stored"), "{response}");
    assert_eq!(one.agent.runs() + other.agent.runs(), 1);
    entry.close().await.unwrap();
}

// Guards against `not_run`, or a run at another agent, for a call that a lost incarnation may have
// run (I4, I5).
#[tokio::test(flavor = "multi_thread")]
async fn call_of_a_lost_incarnation_is_unknown() {
    let one = support::start_held_agent(support::service_parts(), 0).await;
    let other = support::start_agent(2, support::service_parts()).await;
    let entry = support::start_entry(&[&one, &other], DRAIN_TIMEOUT).await;
    let call = tokio::spawn(support::order(entry.address()));
    support::eventually(|| async { one.agent.runs() == 1 }).await;
    let address = one.address;
    one.stop().await;
    let _next = FakeAgent::new(3, support::service_parts(), Faults::default())
        .start(address)
        .await;
    let response = call.await.unwrap();
    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
    assert_eq!(other.agent.dispatches(), 0);
    entry.close().await.unwrap();
}

// Guards against a completion that fails when its agent is lost before the first token.
#[tokio::test(flavor = "multi_thread")]
async fn completion_of_a_lost_incarnation_runs_again() {
    let one = support::start_held_agent(support::text_parts(), 0).await;
    let entry = support::start_entry(&[&one], DRAIN_TIMEOUT).await;
    let call = tokio::spawn(support::complete(entry.address()));
    support::eventually(|| async { one.agent.runs() == 1 }).await;
    let address = one.address;
    one.stop().await;
    let next = FakeAgent::new(3, support::text_parts(), Faults::default())
        .start(address)
        .await;
    let response = call.await.unwrap();
    assert!(response.contains("\"one two three\""), "{response}");
    assert_eq!(next.agent.runs(), 1);
    entry.close().await.unwrap();
}

// Guards against restarting a response whose first token has already reached the caller.
#[tokio::test(flavor = "multi_thread")]
async fn started_response_is_not_restarted() {
    let one = support::start_held_agent(support::text_parts(), 1).await;
    let other = FakeAgent::new(
        2,
        support::text_parts(),
        Faults {
            refuse: Some(message::RefusalReason::QueueFull),
            ..Faults::default()
        },
    )
    .start(LOOPBACK)
    .await;
    let entry = support::start_entry(&[&one, &other], DRAIN_TIMEOUT).await;
    let call = tokio::spawn(support::complete(entry.address()));
    support::eventually(|| async { one.agent.runs() == 1 }).await;
    let before = other.agent.dispatches();
    support::eventually(|| async {
        let metrics = support::send(entry.address(), "GET", "/metrics", "").await;
        let mut lines = metrics.lines();
        lines
            .any(|line| line.starts_with("entry_first_token_seconds_count") && line.ends_with(" 1"))
    })
    .await;
    let address = one.address;
    one.stop().await;
    let next = FakeAgent::new(3, support::text_parts(), Faults::default())
        .start(address)
        .await;
    let response = call.await.unwrap();
    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
    assert_eq!(next.agent.dispatches() + other.agent.dispatches(), before);
    entry.close().await.unwrap();
}

// Guards against reporting a refusal to the caller while another agent has capacity.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_runs_at_another_agent() {
    let full = Faults {
        refuse: Some(message::RefusalReason::QueueFull),
        ..Faults::default()
    };
    let one = FakeAgent::new(1, support::service_parts(), full)
        .start(LOOPBACK)
        .await;
    let other = support::start_agent(2, support::service_parts()).await;
    let entry = support::start_entry(&[&one, &other], DRAIN_TIMEOUT).await;
    let response = support::order(entry.address()).await;
    assert!(response.contains("order 7 stored"), "{response}");
    assert_eq!(one.agent.dispatches(), 1);
    let metrics = support::send(entry.address(), "GET", "/metrics", "").await;
    assert!(metrics.contains("reason=\"overloaded\""), "{metrics}");
    entry.close().await.unwrap();
}

// Guards against new requests for an agent that reports that it is leaving (I6).
#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_gets_no_new_requests() {
    let one = support::start_agent(1, support::text_parts()).await;
    let other = support::start_agent(2, support::text_parts()).await;
    let entry = support::start_entry(&[&one, &other], DRAIN_TIMEOUT).await;
    // The policy prefers one agent for this adapter; that agent leaves.
    support::complete(entry.address()).await;
    let (leaving, staying) = match one.agent.dispatches() {
        1 => (&one.agent, &other.agent),
        _ => (&other.agent, &one.agent),
    };
    leaving.set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    support::eventually(|| async {
        let status = support::send(entry.address(), "GET", "/status", "").await;
        status.contains("\"leaving\":true")
    })
    .await;
    for _ in 0..20 {
        let response = support::complete(entry.address()).await;
        assert!(response.contains("\"one two three\""), "{response}");
    }
    assert_eq!(leaving.dispatches(), 1);
    assert_eq!(staying.dispatches(), 20);
    entry.close().await.unwrap();
}

// Guards against a shutdown that interrupts an open request or accepts a new one (I7).
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_finishes_open_requests_and_refuses_new_ones() {
    let agent = support::start_held_agent(support::text_parts(), 1).await;
    let entry = support::start_entry(&[&agent], DRAIN_TIMEOUT).await;
    let address = entry.address();
    let call = tokio::spawn(support::complete(address));
    support::eventually(|| async { agent.agent.runs() == 1 }).await;
    entry.drain();
    let ready = support::send(address, "GET", "/readyz", "").await;
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
    let refused = support::complete(address).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(
        refused.contains("\"code\":\"draining\"") && refused.contains("\"outcome\":\"not_run\"")
    );
    let closing = tokio::spawn(entry.close());
    agent.agent.set_faults(Faults::default());
    assert!(call.await.unwrap().contains("\"one two three\""));
    assert_eq!(closing.await.unwrap().unwrap().cut_off, 0);
    assert_eq!(agent.agent.dispatches(), 1);
}

// Guards against a shutdown that waits without a limit or does not report aborted requests.
#[tokio::test(flavor = "multi_thread")]
async fn drain_deadline_aborts_and_counts_open_requests() {
    let agent = support::start_held_agent(support::text_parts(), 1).await;
    let entry = support::start_entry(&[&agent], time::Duration::from_millis(50)).await;
    let call = tokio::spawn(support::complete(entry.address()));
    support::eventually(|| async { agent.agent.runs() == 1 }).await;
    assert_eq!(entry.close().await.unwrap().cut_off, 1);
    let response = call.await.unwrap();
    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
}

//! Hedging of late completions, with agents that delay their responses.

#[allow(dead_code)]
mod support;

use std::time;

use support::{FakeAgent, Faults, LOOPBACK, RunningAgent};

const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Longer than any deadline in these tests; a call that takes longer hangs.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

async fn held_agents() -> [RunningAgent; 2] {
    let held = Faults {
        hold_after: Some(0),
        ..Faults::default()
    };
    let one = FakeAgent::new(1, support::text_parts(), held);
    let other = FakeAgent::new(2, support::text_parts(), held);
    [one.start(LOOPBACK).await, other.start(LOOPBACK).await]
}

// Guards against a completion that waits for a slow endpoint while another one is idle, a caller
// that gets parts of two responses (I3), and a losing attempt that is not cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn late_completion_gets_one_response() {
    let agents = held_agents().await;
    let entry = support::start_entry(&[&agents[0], &agents[1]], DRAIN_TIMEOUT).await;
    let call = tokio::spawn(support::complete(entry.address()));
    let [one, other] = &agents;
    support::eventually(|| async { one.agent.runs() + other.agent.runs() == 1 }).await;
    let (late, idle) = match one.agent.runs() {
        1 => (&one.agent, &other.agent),
        _ => (&other.agent, &one.agent),
    };
    support::eventually(|| async { idle.runs() == 1 }).await;
    idle.set_faults(Faults::default());
    let answer = tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(answer.matches("one two three").count(), 1, "{answer}");
    support::eventually(|| async { late.cancels() == 1 }).await;
    assert_eq!((late.dispatches(), idle.dispatches()), (1, 1));
    assert_eq!(idle.cancels(), 0);
    let metrics = support::send(entry.address(), "GET", "/metrics", "").await;
    for outcome in ["started", "won"] {
        let mut lines = metrics.lines();
        let is_one = lines.any(|line| {
            line.starts_with("entry_hedges") && line.contains(outcome) && line.ends_with(" 1")
        });
        assert!(is_one, "{metrics}");
    }
}

// Guards against hedging a call that must not run twice (I5). The completion is sent later and is
// hedged, which shows that the hedge delay of the call has passed.
#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_call_is_not_hedged() {
    let agents = held_agents().await;
    let entry = support::start_entry(&[&agents[0], &agents[1]], DRAIN_TIMEOUT).await;
    let [one, other] = &agents;
    let dispatches = || one.agent.dispatches() + other.agent.dispatches();
    let order = tokio::spawn(support::order(entry.address()));
    support::eventually(|| async { dispatches() == 1 }).await;
    let completion = tokio::spawn(support::complete(entry.address()));
    support::eventually(|| async {
        one.agent.last_adapter().is_some() && other.agent.last_adapter().is_some()
    })
    .await;
    assert_eq!(dispatches(), 3);
    order.abort();
    completion.abort();
}

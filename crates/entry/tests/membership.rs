//! Agents that join, leave or stop responding while the entry runs.

#[allow(dead_code)]
mod support;

use std::{
    sync::{Arc, Mutex},
    time,
};

use decisions::{ids, load_times, wait_routing};
use entry::{channels, clock, directory::AgentDirectory, metrics::EntryMetrics};
use peers::message;
use platform::{instances, stand_in};
use stand_in::{instances::MemoryInstances, log::MemoryLog, server, weights::MemoryWeights};
use support::{FakeAgent, Faults, LOOPBACK, RunningAgent};

const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Longer than any deadline in these tests; a call that takes longer hangs.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

fn listed(agent: &RunningAgent, state: instances::InstanceState) -> instances::Instance {
    instances::Instance {
        address: agent.address,
        role: instances::InstanceRole::Agent,
        data_centre: "a".into(),
        state,
    }
}

async fn agent(incarnation: u64) -> RunningAgent {
    FakeAgent::new(incarnation, support::text_parts(), Faults::default())
        .start(LOOPBACK)
        .await
}

// Guards against an agent that is listed at run time and gets no requests, and against one that
// gets requests after it was listed as leaving or removed from the list (I6).
#[tokio::test(flavor = "multi_thread")]
async fn list_changes_take_effect_at_run_time() {
    let list = Arc::new(MemoryInstances::default());
    let services = server::PlatformServices {
        log: Arc::new(MemoryLog::new(1 << 20)),
        instances: list.clone(),
        weights: Arc::new(MemoryWeights::default()),
    };
    let platform = server::PlatformServer::start(services).await.unwrap();
    let [one, other] = [agent(1).await, agent(2).await];
    let live = instances::InstanceState::Live;
    list.set(vec![listed(&one, live)]);
    let entry = support::start_listed_entry(platform.address(), DRAIN_TIMEOUT).await;
    let address = entry.address();
    // Routing prefers different agents for different versions.
    let call = |version: u32| async move {
        let body = format!(r#"{{"model": "notes@{version}", "prompt": "count"}}"#);
        let answer = support::send(address, "POST", "/v1/completions", &body);
        tokio::time::timeout(CALL_TIMEOUT, answer).await.unwrap()
    };
    support::eventually(|| async { call(1).await.contains("one two three") }).await;
    assert_eq!(other.agent.dispatches(), 0);
    let leaving = instances::InstanceState::Leaving;
    list.set(vec![listed(&one, leaving), listed(&other, live)]);
    support::eventually(|| async {
        for version in 1..20 {
            call(version).await;
        }
        other.agent.dispatches() > 0
    })
    .await;
    let before = one.agent.dispatches();
    for list_without_one in [false, true] {
        if list_without_one {
            list.set(vec![listed(&other, live)]);
        }
        for version in 1..20 {
            let answer = call(version).await;
            assert!(answer.contains("one two three"), "{answer}");
        }
        assert_eq!(one.agent.dispatches(), before);
    }
}

// Guards against a response that is lost when a poll to a leaving agent times out (I3, I7), and
// against new requests for that agent (I6).
#[tokio::test(flavor = "multi_thread")]
async fn poll_timeout_at_a_leaving_agent_loses_nothing() {
    let one = support::start_held_agent(support::text_parts(), 1).await;
    let entry = support::start_entry(&[&one], DRAIN_TIMEOUT).await;
    let address = entry.address();
    let call = tokio::spawn(support::complete(address));
    support::eventually(|| async { one.agent.runs() == 1 }).await;
    one.agent.set_faults(Faults {
        leaving: true,
        lose_poll: true,
        ..Faults::default()
    });
    let answer = tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .unwrap()
        .unwrap();
    assert!(answer.contains("one two three"), "{answer}");
    let refused = tokio::time::timeout(CALL_TIMEOUT, support::complete(address)).await;
    let refused = refused.unwrap();
    assert!(refused.contains("\"outcome\":\"not_run\""), "{refused}");
    assert_eq!(one.agent.dispatches(), 1);
}

/// Log drain that records the messages.
#[derive(Default)]
struct RecordedMessages(Mutex<Vec<String>>);

impl slog::Drain for RecordedMessages {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

// Guards against a session between different protocol versions, and against a log record that does
// not name both versions.
#[tokio::test(flavor = "multi_thread")]
async fn protocol_mismatch_is_logged_with_both_versions() {
    let old = Faults {
        protocol: Some(77),
        ..Faults::default()
    };
    let agent = FakeAgent::new(1, support::text_parts(), old)
        .start(LOOPBACK)
        .await;
    let records = Arc::new(RecordedMessages::default());
    let logger = slog::Logger::root(Arc::clone(&records), slog::o!());
    let hello = message::Hello {
        protocol: 76,
        entry: ids::Incarnation(1),
        data_centre: "a".into(),
    };
    let channel = channels::AgentChannel::new(agent.address, hello, logger);
    let metrics = Arc::new(EntryMetrics::new().unwrap());
    let routing = wait_routing::WaitRouting::new(load_times::StoreLimits::default(), 1);
    let clock = clock::EntryClock::default();
    let directory = AgentDirectory::new("a", clock, metrics, Box::new(routing));
    let task = channels::ChannelTask::start(channel, Arc::new(directory));
    support::eventually(|| async { !records.0.lock().unwrap().is_empty() }).await;
    let message = records.0.lock().unwrap()[0].clone();
    assert!(
        message.contains("77") && message.contains("76"),
        "{message}"
    );
    assert!(task.channel.connection().is_none());
    task.close();
}

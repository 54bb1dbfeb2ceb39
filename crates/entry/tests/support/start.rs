//! Starts entries, and provides agent responses.

use std::{net, time};

use entry::{server::EntryServer, settings::EntrySettings};
use peers::message;

use super::{FakeAgent, Faults, LOOPBACK, RunningAgent, eventually, send};

/// Starts an agent without faults.
pub async fn start_agent(incarnation: u64, parts: Vec<message::StreamPart>) -> RunningAgent {
    let agent = FakeAgent::new(incarnation, parts, Faults::default());
    agent.start(LOOPBACK).await
}

/// Starts an agent that pauses each stream after a number of parts.
pub async fn start_held_agent(parts: Vec<message::StreamPart>, held_after: usize) -> RunningAgent {
    let held = Faults {
        hold_after: Some(held_after),
        ..Faults::default()
    };
    FakeAgent::new(1, parts, held).start(LOOPBACK).await
}

/// Completion response with three parts of text.
pub fn text_parts() -> Vec<message::StreamPart> {
    let text = |text: &str| message::StreamPart::Text {
        text: text.into(),
        tokens: 1,
    };
    let end = message::StreamPart::Finished {
        finish_reason: Some("stop".into()),
        prompt_tokens: 1,
        completion_tokens: 3,
    };
    vec![text("one "), text("two "), text("three"), end]
}

/// Response of a plain service.
pub fn service_parts() -> Vec<message::StreamPart> {
    let head = message::StreamPart::Head {
        status: 200,
        content_type: None,
    };
    let end = message::StreamPart::Finished {
        finish_reason: None,
        prompt_tokens: 0,
        completion_tokens: 0,
    };
    vec![
        head,
        message::StreamPart::Bytes(b"order 7 stored".into()),
        end,
    ]
}

pub async fn start_entry(agents: &[&RunningAgent], drain: time::Duration) -> EntryServer {
    start_entry_with_log(agents, drain, None).await
}

pub async fn start_entry_with_log(
    agents: &[&RunningAgent],
    drain: time::Duration,
    log: Option<net::SocketAddr>,
) -> EntryServer {
    let entry = EntryServer::start(EntrySettings {
        log,
        agents: agents.iter().map(|agent| agent.address).collect(),
        ..settings(drain)
    })
    .unwrap();
    let connected = String::from("\"connected\":true");
    eventually(|| async {
        let status = send(entry.address(), "GET", "/status", "").await;
        status.matches(&connected).count() == agents.len()
    })
    .await;
    entry
}

/// Starts an entry that finds its agents only in the instance list.
pub async fn start_listed_entry(list: net::SocketAddr, drain: time::Duration) -> EntryServer {
    let entry = EntryServer::start(EntrySettings {
        instance_list: Some(list),
        ..settings(drain)
    })
    .unwrap();
    eventually(|| async {
        let status = send(entry.address(), "GET", "/status", "").await;
        status.contains("\"connected\":true")
    })
    .await;
    entry
}

fn settings(drain: time::Duration) -> EntrySettings {
    EntrySettings {
        listen: LOOPBACK,
        data_centre: "a".into(),
        threads: 1,
        log: None,
        claim_streams: 16,
        claim_window: time::Duration::from_mins(10),
        instance_list: None,
        agents: Vec::new(),
        base_model: "base".into(),
        default_deadline: time::Duration::from_secs(10),
        drain,
    }
}

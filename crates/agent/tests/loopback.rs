//! Agent process with stand-in engines and services over HTTP on the loopback interface.

use std::{net, time};

use agent::{server::AgentServer, settings};
use decisions::{ids, units};
use endpoints::{stand_in, stand_in_service};
use peers::{
    message::{self, FailureReason, RunOutcome, StreamPart},
    service::{self, AgentRpcClient},
};
use test_case::test_case;

const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Polls within which a response must end; a poll without events takes 500 ms.
const MAX_POLLS: u32 = 60;

struct TestEntry {
    client: AgentRpcClient,
    agent: ids::Incarnation,
    session: ids::SessionId,
}

fn request(sequence: u64) -> ids::RequestId {
    ids::RequestId {
        entry: ids::Incarnation(1),
        sequence,
    }
}

fn completion() -> message::DispatchWork {
    message::DispatchWork::Completion {
        route: message::CompletionRoute::Completions,
        base_model: "base".into(),
        adapter: "notes@3".parse().unwrap(),
        body: br#"{"max_tokens": 5}"#.to_vec(),
    }
}

fn service_call(name: &str) -> message::DispatchWork {
    message::DispatchWork::Service {
        service: name.into(),
        method: "POST".into(),
        path: "/orders".into(),
        content_type: None,
        body: b"two".to_vec(),
    }
}

impl TestEntry {
    async fn connect(agent: &AgentServer) -> Self {
        let client = service::connect(agent.address()).await.unwrap();
        let hello = message::Hello {
            protocol: message::PROTOCOL_VERSION,
            entry: ids::Incarnation(1),
            data_centre: "a".into(),
        };
        let reply = client
            .hello(service::context_with_timeout(CALL_TIMEOUT), hello)
            .await
            .unwrap();
        let message::HelloReply::Welcome(welcome) = reply else {
            panic!("{reply:?}");
        };
        Self {
            client,
            agent: welcome.agent,
            session: welcome.session,
        }
    }

    async fn dispatch(&self, sequence: u64, work: message::DispatchWork) -> message::DispatchReply {
        let dispatch = message::Dispatch {
            session: self.session,
            agent: self.agent,
            request: request(sequence),
            replica: 0,
            priority: units::Priority::Normal,
            operator: "o".into(),
            operator_weight: 1,
            prefix: 0,
            time_left: CALL_TIMEOUT,
            repeatable: false,
            keep_response: false,
            work,
        };
        let call = self
            .client
            .dispatch(service::context_with_timeout(CALL_TIMEOUT), dispatch);
        call.await.unwrap()
    }

    /// Dispatches a request and reads its response.
    async fn run(&self, sequence: u64, work: message::DispatchWork) -> Vec<StreamPart> {
        let reply = self.dispatch(sequence, work).await;
        assert!(
            matches!(reply, message::DispatchReply::Accepted),
            "{reply:?}"
        );
        self.read(sequence).await
    }

    async fn read(&self, sequence: u64) -> Vec<StreamPart> {
        let mut parts = Vec::new();
        for _ in 0..MAX_POLLS {
            let next = parts.len() as u64;
            let poll = message::Poll {
                session: self.session,
                acks: vec![message::StreamAck {
                    request: request(sequence),
                    received: next,
                    consumed: next,
                    is_closed: false,
                }],
                wait: message::MAX_POLL_WAIT,
                base_report: 0,
                report_interval: std::time::Duration::ZERO,
                configuration_version: 0,
                demand: message::PeerDemand::default(),
            };
            let is_ended = matches!(
                parts.last(),
                Some(StreamPart::Finished { .. } | StreamPart::Failed(_))
            );
            let reply = self
                .client
                .poll(service::context_with_timeout(CALL_TIMEOUT), poll)
                .await;
            if is_ended {
                return parts;
            }
            let message::PollReply::Events { events, .. } = reply.unwrap() else {
                panic!("the session is closed");
            };
            for event in events {
                assert_eq!(event.index, parts.len() as u64);
                parts.push(event.part);
            }
        }
        panic!("the stream did not end: {parts:?}");
    }
}

fn response_text(parts: &[StreamPart]) -> String {
    let texts = parts.iter().filter_map(|part| match part {
        StreamPart::Text { text, .. } => Some(text.as_str()),
        _ => None,
    });
    texts.collect()
}

fn complete_text() -> String {
    (0..5)
        .map(|index| stand_in::token_text("notes@3", "", index))
        .collect()
}

fn failure(parts: &[StreamPart]) -> Option<(RunOutcome, FailureReason)> {
    match parts.last() {
        Some(StreamPart::Failed(failure)) => Some((failure.outcome, failure.reason)),
        _ => None,
    }
}

async fn start_engine_and_agent(
    options: stand_in::EngineOptions,
) -> (stand_in::StandInEngine, AgentServer) {
    let engine = stand_in::StandInEngine::start(options).await.unwrap();
    let replicas = vec![settings::ReplicaSettings {
        address: engine.address(),
        base_model: "base".into(),
        adapter_slots: 2,
        batch_limit: 4,
        checks_fencing: true,
    }];
    let mut settings = settings::AgentSettings::new(LOOPBACK, "a", replicas);
    settings.drain = time::Duration::from_secs(1);
    let agent = AgentServer::start(settings).await.unwrap();
    (engine, agent)
}

// Guards against responses that are lost, repeated or generated again when the replies to a load
// and a generation are lost after they took effect, when a stream goes silent, and when both
// happen.
#[test_case(2, None)]
#[test_case(0, Some(2))]
#[test_case(2, Some(2))]
#[test_case(0, Some(0))]
#[tokio::test(flavor = "multi_thread")]
async fn response_is_complete_and_generated_once(dropped_responses: u32, stall_after: Option<u32>) {
    let (engine, agent) = start_engine_and_agent(stand_in::EngineOptions::default()).await;
    engine.set_faults(stand_in::EngineFaults {
        dropped_responses,
        stall_after,
        ..stand_in::EngineFaults::default()
    });
    let entry = TestEntry::connect(&agent).await;
    let parts = entry.run(1, completion()).await;
    assert_eq!(response_text(&parts), complete_text());
    assert!(matches!(parts.last(), Some(StreamPart::Finished { .. })));
    let counts = engine.counts();
    assert_eq!(counts.generations, 1);
    assert!(counts.resumes > 0);
    assert_eq!(agent.close().await.cut_off, 0);
}

// Guards against the response of another adapter that reaches the caller.
#[tokio::test(flavor = "multi_thread")]
async fn response_of_wrong_adapter_is_rejected() {
    let (engine, agent) = start_engine_and_agent(stand_in::EngineOptions::default()).await;
    engine.set_faults(stand_in::EngineFaults {
        wrong_model: true,
        ..stand_in::EngineFaults::default()
    });
    let entry = TestEntry::connect(&agent).await;
    let parts = entry.run(1, completion()).await;
    assert_eq!(response_text(&parts), "");
    let (_, reason) = failure(&parts).unwrap();
    assert_eq!(reason, FailureReason::WrongAdapter);
    let metrics = agent.metrics();
    assert!(metrics.contains(r#"reason="wrong_adapter""#), "{metrics}");
}

// Guards against a response that restarts after a cold restart of the engine, and against an
// engine that stays unused afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn cold_restart_fails_only_running_requests() {
    let options = stand_in::EngineOptions {
        step_time: time::Duration::from_millis(100),
        ..stand_in::EngineOptions::default()
    };
    let (engine, agent) = start_engine_and_agent(options).await;
    let entry = TestEntry::connect(&agent).await;
    entry.dispatch(1, completion()).await;
    while engine.counts().generations == 0 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    engine.restart_cold();
    let parts = entry.read(1).await;
    let (outcome, _) = failure(&parts).unwrap();
    assert_ne!(outcome, RunOutcome::NotRun);
    let mut sequence = 2;
    while response_text(&entry.run(sequence, completion()).await) != complete_text() {
        sequence += 1;
    }
    assert_eq!(engine.adapters(), ["notes@3"]);
}

// Guards against a repeated call of a plain service, and against a wrong outcome.
#[tokio::test(flavor = "multi_thread")]
async fn service_is_called_at_most_once() {
    let (_engine, idle_agent) = start_engine_and_agent(stand_in::EngineOptions::default()).await;
    idle_agent.close().await;
    let orders = stand_in_service::StandInService::start().await.unwrap();
    let closed = tokio::net::TcpListener::bind(LOOPBACK).await.unwrap();
    let closed_address = closed.local_addr().unwrap();
    drop(closed);
    let mut settings = settings::AgentSettings::new(LOOPBACK, "a", Vec::new());
    for (name, address) in [("orders", orders.address()), ("gone", closed_address)] {
        settings.services.push(settings::ServiceSettings {
            name: name.into(),
            address,
            timeout: CALL_TIMEOUT,
        });
    }
    let agent = AgentServer::start(settings).await.unwrap();
    let entry = TestEntry::connect(&agent).await;
    let parts = entry.run(1, service_call("orders")).await;
    assert!(matches!(parts[0], StreamPart::Head { status: 200, .. }));
    assert_eq!(parts[1], StreamPart::Bytes(b"two".to_vec()));
    assert!(matches!(parts[2], StreamPart::Finished { .. }));
    let again = entry.dispatch(1, service_call("orders")).await;
    assert!(matches!(again, message::DispatchReply::AlreadyKnown));
    orders.set_faults(stand_in_service::ServiceFaults {
        drop_responses: true,
        ..stand_in_service::ServiceFaults::default()
    });
    let parts = entry.run(2, service_call("orders")).await;
    assert_eq!(failure(&parts).unwrap().0, RunOutcome::Unknown);
    let parts = entry.run(3, service_call("gone")).await;
    assert_eq!(failure(&parts).unwrap().0, RunOutcome::NotRun);
    let calls = [1, 2, 3].map(|sequence| orders.calls(&request(sequence).to_string()));
    assert_eq!(calls, [1, 1, 0]);
}

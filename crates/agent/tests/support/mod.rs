//! Agent with one in-memory engine, driven through its RPC handler under a paused clock.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod engine;

use std::{sync::Arc, time};

use agent::{handler, handler::RpcHandler, lifecycle, server, settings};
use decisions::{ids, units};
use endpoints::client::ModelEngine;
use peers::{message, service::AgentHandler};
use platform::{
    follower::{ConfigurationFollower, PublishedState},
    log::LogService,
};
use telemetry::{logs, metrics};
use tokio::sync::watch;

use engine::FakeEngine;

pub const SECOND: time::Duration = time::Duration::from_secs(1);
pub const RESPONSE_TOKENS: u64 = 5;

/// Agent in front of one in-memory engine.
pub struct TestAgent {
    pub engine: Arc<FakeEngine>,
    pub state: Arc<handler::AgentState>,
    pub handler: RpcHandler,
    _tasks: tokio::task::JoinSet<()>,
}

pub fn replica_settings(slots: u16, port: u16) -> settings::ReplicaSettings {
    settings::ReplicaSettings {
        address: ([127, 0, 0, 1], port).into(),
        base_model: "base".into(),
        adapter_slots: slots,
        batch_limit: 8,
        checks_fencing: true,
    }
}

impl TestAgent {
    pub async fn start(slots: u16, kept_bytes: usize) -> Self {
        Self::start_configured(slots, kept_bytes, None).await
    }

    pub async fn start_with_log(log: Arc<dyn LogService>) -> (Self, ConfigurationFollower) {
        let follower = server::start_follower(log, &logs::discard_logger());
        let agent = Self::start_configured(2, 1 << 20, Some(follower.state())).await;
        (agent, follower)
    }

    async fn start_configured(
        slots: u16,
        kept_bytes: usize,
        configuration: Option<watch::Receiver<PublishedState>>,
    ) -> Self {
        let listen = ([127, 0, 0, 1], 0).into();
        let replicas = vec![replica_settings(slots, 1)];
        let mut settings = settings::AgentSettings::new(listen, "a", replicas);
        settings.kept_bytes = kept_bytes;
        let engine = FakeEngine::new();
        let endpoints = lifecycle::AgentEndpoints {
            engines: vec![Arc::clone(&engine) as Arc<dyn ModelEngine>],
            services: Vec::new(),
        };
        let registry = metrics::MetricsRegistry::new().unwrap();
        let logger = logs::discard_logger();
        let mut state = lifecycle::build_state(&settings, endpoints, logger, &registry.meter());
        state.configuration = configuration;
        let state = Arc::new(state);
        let tasks = lifecycle::start_tasks(&state).await;
        Self {
            engine,
            handler: RpcHandler(Arc::clone(&state)),
            state,
            _tasks: tasks,
        }
    }

    pub async fn open_session(&self) -> ids::SessionId {
        let hello = message::Hello {
            protocol: message::PROTOCOL_VERSION,
            entry: ids::Incarnation(1),
            data_centre: "a".into(),
        };
        match self.handler.hello(hello).await {
            message::HelloReply::Welcome(welcome) => welcome.session,
            reply => panic!("{reply:?}"),
        }
    }

    pub async fn dispatch(&self, dispatch: message::Dispatch) -> message::DispatchReply {
        self.handler.dispatch(dispatch).await
    }

    pub fn completion_dispatch(
        &self,
        session: ids::SessionId,
        sequence: u64,
        adapter: &str,
    ) -> message::Dispatch {
        message::Dispatch {
            session,
            agent: self.state.incarnation,
            request: request(sequence),
            replica: 0,
            priority: units::Priority::Normal,
            operator: "o".into(),
            operator_weight: 1,
            prefix: 0,
            time_left: 10 * SECOND,
            repeatable: false,
            keep_response: false,
            work: message::DispatchWork::Completion {
                route: message::CompletionRoute::Completions,
                base_model: "base".into(),
                adapter: adapter.parse().unwrap(),
                body: b"{}".to_vec(),
            },
        }
    }

    pub async fn poll(
        &self,
        session: ids::SessionId,
        acks: Vec<message::StreamAck>,
    ) -> message::PollReply {
        self.poll_for(session, acks, message::MAX_POLL_WAIT).await
    }

    /// Polls as an entry that has received this load report.
    pub async fn poll_with_held_report(
        &self,
        session: ids::SessionId,
        held: u64,
    ) -> message::PollReply {
        let poll = message::Poll {
            base_report: held,
            ..poll_message(session, Vec::new(), message::MAX_POLL_WAIT)
        };
        self.handler.poll(poll).await
    }

    pub async fn poll_for(
        &self,
        session: ids::SessionId,
        acks: Vec<message::StreamAck>,
        wait: time::Duration,
    ) -> message::PollReply {
        let poll = poll_message(session, acks, wait);
        self.handler.poll(poll).await
    }

    /// Polls until the stream of a request ends and checks that its indexes are contiguous.
    pub async fn read_response(
        &self,
        session: ids::SessionId,
        sequence: u64,
    ) -> Vec<message::StreamPart> {
        let mut parts = Vec::new();
        let mut acks = Vec::new();
        for _ in 0..200 {
            let reply = self.poll(session, acks.clone()).await;
            let message::PollReply::Events { events, .. } = reply else {
                panic!("{reply:?}");
            };
            let own_events = events
                .into_iter()
                .filter(|event| event.request == request(sequence));
            for event in own_events {
                assert_eq!(event.index, parts.len() as u64);
                parts.push(event.part);
            }
            acks = vec![ack(sequence, parts.len() as u64)];
            if parts.last().is_some_and(is_last) {
                self.poll(session, acks).await;
                return parts;
            }
        }
        panic!("the stream did not end: {parts:?}");
    }
}

pub fn request(sequence: u64) -> ids::RequestId {
    ids::RequestId {
        entry: ids::Incarnation(1),
        sequence,
    }
}

pub fn ack(sequence: u64, next: u64) -> message::StreamAck {
    message::StreamAck {
        request: request(sequence),
        received: next,
        consumed: next,
        is_closed: false,
    }
}

pub fn is_last(part: &message::StreamPart) -> bool {
    matches!(
        part,
        message::StreamPart::Finished { .. } | message::StreamPart::Failed(_)
    )
}

/// Whether the parts are the complete response of the in-memory engine.
pub fn is_complete_response(parts: &[message::StreamPart]) -> bool {
    let texts = parts.iter().filter_map(|part| match part {
        message::StreamPart::Text { text, .. } => Some(text.as_str()),
        _ => None,
    });
    texts.eq(["0", "1", "2", "3", "4"])
        && matches!(parts.last(), Some(message::StreamPart::Finished { .. }))
}

pub fn outcome(parts: &[message::StreamPart]) -> Option<message::RunOutcome> {
    match parts.last() {
        Some(message::StreamPart::Failed(failure)) => Some(failure.outcome),
        _ => None,
    }
}

pub fn refusal_reason(reply: &message::DispatchReply) -> Option<message::RefusalReason> {
    match reply {
        message::DispatchReply::Refused { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Reads the responses of requests 1 to `count` concurrently.
pub async fn read_responses(
    agent: &TestAgent,
    session: ids::SessionId,
    count: u64,
) -> Vec<Vec<message::StreamPart>> {
    let mut responses: Vec<Vec<message::StreamPart>> = Vec::new();
    responses.resize_with(usize::try_from(count).unwrap(), Vec::new);
    for _ in 0..400 {
        let acks = (1..).zip(&responses);
        let acks = acks.map(|(sequence, parts)| ack(sequence, parts.len() as u64));
        let reply = agent.poll(session, acks.collect()).await;
        let message::PollReply::Events { events, .. } = reply else {
            panic!("{reply:?}");
        };
        for event in events {
            let parts = &mut responses[usize::try_from(event.request.sequence - 1).unwrap()];
            assert_eq!(event.index, parts.len() as u64);
            parts.push(event.part);
        }
        if responses
            .iter()
            .all(|parts| parts.last().is_some_and(is_last))
        {
            return responses;
        }
    }
    panic!("not all streams ended: {responses:?}");
}

fn poll_message(
    session: ids::SessionId,
    acks: Vec<message::StreamAck>,
    wait: time::Duration,
) -> message::Poll {
    message::Poll {
        session,
        acks,
        wait,
        base_report: 0,
        report_interval: time::Duration::ZERO,
        configuration_version: 0,
        demand: message::PeerDemand::default(),
    }
}

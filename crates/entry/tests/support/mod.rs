//! Fake agent that injects faults, and helpers to start and call an entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    net,
    sync::{Arc, atomic},
    time,
};

use decisions::ids;
use futures::{FutureExt, future, future::BoxFuture};
use parking_lot::Mutex;
use peers::{message, report_update, service};
use tokio::{sync, task};

pub use self::{caller::*, start::*};

mod caller;
mod start;

pub const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Maximum delay of the reply to a cancel.
const MAX_CANCEL_DELAY: time::Duration = time::Duration::from_secs(1);

/// Independent faults of a fake agent.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Loses the reply to the next dispatch, whose request runs.
    pub lose_reply: bool,
    /// Loses the next dispatch before the request runs.
    pub lose_dispatch: bool,
    /// Sends every event twice, first in reverse order.
    pub reorder_events: bool,
    /// Loses the events of the next poll, which never ends.
    pub lose_poll: bool,
    /// Pauses streams after this number of parts until the limit is raised.
    pub hold_after: Option<usize>,
    /// Handles the next dispatch only after its tombstone was inserted.
    pub start_after_tombstone: bool,
    /// Delays the reply to the next cancel until another cancel or `MAX_CANCEL_DELAY`.
    pub delay_cancel: bool,
    /// Protocol version of the agent, which rejects every entry.
    pub protocol: Option<u32>,
    pub refuse: Option<message::RefusalReason>,
    pub leaving: bool,
}

pub struct FakeAgent {
    pub incarnation: ids::Incarnation,
    parts: Vec<message::StreamPart>,
    state: Mutex<FakeState>,
    wake: sync::Notify,
    dispatches: atomic::AtomicUsize,
    cancels: atomic::AtomicUsize,
}

#[derive(Default)]
struct FakeState {
    faults: Faults,
    /// Next part to send, by running request and reading session.
    streams: BTreeMap<(ids::RequestId, ids::SessionId), usize>,
    sessions: u64,
    last_adapter: Option<String>,
    tombstones: Vec<ids::RequestId>,
    /// Configuration image for entries that cannot read the log.
    image: Option<message::ConfigurationImage>,
}

pub struct RunningAgent {
    pub agent: Arc<FakeAgent>,
    pub address: net::SocketAddr,
    task: task::JoinHandle<()>,
}

impl FakeAgent {
    pub fn new(incarnation: u64, parts: Vec<message::StreamPart>, faults: Faults) -> Arc<Self> {
        let state = FakeState {
            faults,
            ..FakeState::default()
        };
        Arc::new(Self {
            incarnation: ids::Incarnation(incarnation),
            parts,
            state: Mutex::new(state),
            wake: sync::Notify::new(),
            dispatches: atomic::AtomicUsize::new(0),
            cancels: atomic::AtomicUsize::new(0),
        })
    }

    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
        self.wake.notify_waiters();
    }

    pub fn set_image(&self, image: message::ConfigurationImage) {
        self.state.lock().image = Some(image);
    }

    /// Adapter of the last completion that was dispatched.
    pub fn last_adapter(&self) -> Option<String> {
        self.state.lock().last_adapter.clone()
    }

    /// Number of requests that ran.
    pub fn runs(&self) -> usize {
        let state = self.state.lock();
        let runs: BTreeSet<_> = state.streams.keys().map(|(request, _)| *request).collect();
        runs.len()
    }

    pub fn dispatches(&self) -> usize {
        self.dispatches.load(atomic::Ordering::SeqCst)
    }

    pub fn cancels(&self) -> usize {
        self.cancels.load(atomic::Ordering::SeqCst)
    }

    pub async fn start(self: Arc<Self>, address: net::SocketAddr) -> RunningAgent {
        let listener = service::AgentListener::bind(address).await.unwrap();
        let address = listener.address();
        let handler: Arc<dyn service::AgentHandler> = self.clone();
        let task = tokio::spawn(listener.serve(handler));
        RunningAgent {
            agent: self,
            address,
            task,
        }
    }

    fn report(&self) -> message::LoadReport {
        message::LoadReport {
            sequence: 1,
            leaving: self.state.lock().faults.leaving,
            replicas: vec![message::ReplicaReport {
                replica: 0,
                base_model: "base".into(),
                ready: true,
                adapter_slots: 8,
                batch_limit: 16,
                running: 0,
                queued: 0,
                wait_millis: [0; 3],
                adapters: Vec::new(),
                loading: Vec::new(),
            }],
            services: vec!["orders".into()],
            waiting_loads: 0,
        }
    }

    fn accept(&self, dispatch: &message::Dispatch) -> message::DispatchReply {
        let mut state = self.state.lock();
        let refused = |reason| message::DispatchReply::Refused {
            reason,
            retry_after: time::Duration::ZERO,
        };
        if let Some(reason) = state.faults.refuse {
            return refused(reason);
        }
        if state.tombstones.contains(&dispatch.request) {
            return refused(message::RefusalReason::Cancelled);
        }
        let key = (dispatch.request, dispatch.session);
        if let message::DispatchWork::Completion { adapter, .. } = &dispatch.work {
            state.last_adapter = Some(adapter.to_string());
        }
        if state.streams.keys().any(|(known, _)| *known == key.0) {
            return message::DispatchReply::AlreadyKnown;
        }
        state.streams.insert(key, 0);
        drop(state);
        self.wake.notify_waiters();
        message::DispatchReply::Accepted
    }

    fn is_known(&self, request: ids::RequestId) -> bool {
        let state = self.state.lock();
        state.streams.keys().any(|(known, _)| *known == request)
    }

    fn pending_events(&self, session: ids::SessionId) -> Vec<message::StreamEvent> {
        let mut state = self.state.lock();
        let limit = state
            .faults
            .hold_after
            .unwrap_or(usize::MAX)
            .min(self.parts.len());
        let mut events = Vec::new();
        for ((request, reader), sent) in &mut state.streams {
            if *reader != session {
                continue;
            }
            for index in *sent..limit {
                events.push(message::StreamEvent {
                    request: *request,
                    index: index as u64,
                    part: self.parts[index].clone(),
                });
            }
            *sent = limit.max(*sent);
        }
        if state.faults.reorder_events {
            let reversed = events.iter().rev().cloned();
            return reversed.chain(events.iter().cloned()).collect();
        }
        events
    }

    async fn answer_poll(&self, poll: message::Poll) -> message::PollReply {
        for ack in &poll.acks {
            if let Some(sent) = self
                .state
                .lock()
                .streams
                .get_mut(&(ack.request, poll.session))
            {
                *sent = usize::try_from(ack.received).unwrap();
            }
        }
        let deadline = tokio::time::Instant::now() + poll.wait;
        let events = loop {
            let woken = self.wake.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            let events = self.pending_events(poll.session);
            if !events.is_empty() || tokio::time::timeout_at(deadline, woken).await.is_err() {
                break events;
            }
        };
        let is_lost = {
            let faults = &mut self.state.lock().faults;
            !events.is_empty() && std::mem::take(&mut faults.lose_poll)
        };
        if is_lost {
            future::pending::<()>().await;
        }
        message::PollReply::Events {
            events,
            report: Some(report_update::ReportUpdate::Full(self.report())),
            configuration_version: 0,
        }
    }
}

impl service::AgentHandler for FakeAgent {
    fn hello(&self, _: message::Hello) -> BoxFuture<'_, message::HelloReply> {
        let protocol = self.state.lock().faults.protocol;
        if let Some(agent_protocol) = protocol {
            let reply = message::HelloReply::ProtocolMismatch { agent_protocol };
            return future::ready(reply).boxed();
        }
        let session = {
            let mut state = self.state.lock();
            state.sessions += 1;
            ids::SessionId(state.sessions)
        };
        let welcome = message::Welcome {
            agent: self.incarnation,
            session,
            data_centre: "a".into(),
            report: self.report(),
        };
        future::ready(message::HelloReply::Welcome(welcome)).boxed()
    }

    fn dispatch(&self, dispatch: message::Dispatch) -> BoxFuture<'_, message::DispatchReply> {
        async move {
            self.dispatches.fetch_add(1, atomic::Ordering::SeqCst);
            let (loses_dispatch, loses_reply, starts_after_tombstone) = {
                let faults = &mut self.state.lock().faults;
                let loses_dispatch = std::mem::take(&mut faults.lose_dispatch);
                let loses_reply = std::mem::take(&mut faults.lose_reply);
                let starts_after_tombstone = std::mem::take(&mut faults.start_after_tombstone);
                (loses_dispatch, loses_reply, starts_after_tombstone)
            };
            if loses_dispatch {
                future::pending::<()>().await;
            }
            if starts_after_tombstone {
                let is_cancelled = || self.state.lock().tombstones.contains(&dispatch.request);
                eventually(|| async { is_cancelled() }).await;
            }
            let reply = self.accept(&dispatch);
            if loses_reply {
                future::pending::<()>().await;
            }
            reply
        }
        .boxed()
    }

    fn poll(&self, poll: message::Poll) -> BoxFuture<'_, message::PollReply> {
        self.answer_poll(poll).boxed()
    }

    fn attach(
        &self,
        session: ids::SessionId,
        agent: ids::Incarnation,
        request: ids::RequestId,
    ) -> BoxFuture<'_, message::CancelReply> {
        let is_known = self.is_known(request);
        if is_known {
            let mut state = self.state.lock();
            state.streams.insert((request, session), 0);
            drop(state);
            self.wake.notify_waiters();
        }
        let reply = match (agent == self.incarnation, is_known) {
            (false, _) => message::CancelReply::WrongIncarnation,
            (true, true) => message::CancelReply::Running,
            (true, false) => message::CancelReply::NotRun,
        };
        future::ready(reply).boxed()
    }

    fn cancel(
        &self,
        agent: ids::Incarnation,
        request: ids::RequestId,
        _: message::CancelScope,
    ) -> BoxFuture<'_, message::CancelReply> {
        self.cancels.fetch_add(1, atomic::Ordering::SeqCst);
        let is_known = self.is_known(request);
        let mut state = self.state.lock();
        let reply = if agent != self.incarnation {
            message::CancelReply::WrongIncarnation
        } else if is_known {
            message::CancelReply::Running
        } else {
            state.tombstones.push(request);
            message::CancelReply::NotRun
        };
        let is_delayed = std::mem::take(&mut state.faults.delay_cancel);
        drop(state);
        async move {
            if is_delayed {
                let limit = tokio::time::Instant::now() + MAX_CANCEL_DELAY;
                while self.cancels() == 1 && tokio::time::Instant::now() < limit {
                    tokio::time::sleep(time::Duration::from_millis(5)).await;
                }
            }
            reply
        }
        .boxed()
    }

    fn configuration(&self, _: u64) -> BoxFuture<'_, Option<message::ConfigurationImage>> {
        future::ready(self.state.lock().image.clone()).boxed()
    }
}

impl RunningAgent {
    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

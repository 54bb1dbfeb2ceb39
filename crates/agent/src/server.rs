//! Agent process: sessions, request shards and the RPC handler.

use std::{sync::Arc, time};

use decisions::{ids, request_table, units};
use endpoints::{client::ModelEngine, http_engine};
use futures::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;
use peers::{message, service};
use snafu::{ResultExt, Snafu};
use tokio::{sync, task};

use crate::{adapters, executor, settings, streams};

const SHARD_COUNT: usize = 16;
/// Parts in one poll reply, which bounds its size.
const MAX_EVENTS: usize = 1024;

/// Reason why an agent cannot start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    #[snafu(display("{source}"))]
    Listen { source: service::PeerError },
}

/// Running agent process.
pub struct AgentServer {
    state: Arc<AgentState>,
    address: std::net::SocketAddr,
    task: task::JoinHandle<()>,
}

struct AgentState {
    incarnation: ids::Incarnation,
    settings: settings::AgentSettings,
    started: time::Instant,
    workers: Vec<Arc<executor::ReplicaWorker>>,
    shards: Vec<Mutex<RequestShard>>,
    sessions: Mutex<Vec<Arc<AgentSession>>>,
}

#[derive(Default)]
struct RequestShard {
    table: request_table::RequestTable,
    streams: Vec<Arc<streams::OutputStream>>,
}

struct AgentSession {
    id: ids::SessionId,
    ready: Mutex<Vec<ids::RequestId>>,
    wake: sync::Notify,
}

impl AgentServer {
    /// Binds the address and serves entries.
    ///
    /// # Errors
    /// [`AgentError`] when the address cannot be bound.
    pub async fn start(settings: settings::AgentSettings) -> Result<Self, AgentError> {
        let listener = service::AgentListener::bind(settings.listen)
            .await
            .context(ListenSnafu)?;
        let address = listener.address();
        let mut workers = Vec::new();
        for (replica, replica_settings) in (0..).zip(&settings.replicas) {
            workers.push(Arc::new(start_worker(replica, replica_settings).await));
        }
        let state = Arc::new(AgentState {
            incarnation: ids::Incarnation(rand::random()),
            settings,
            started: time::Instant::now(),
            workers,
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            sessions: Mutex::default(),
        });
        let handler = Arc::new(RpcHandler(Arc::clone(&state)));
        let task = tokio::spawn(listener.serve(handler));
        Ok(Self {
            state,
            address,
            task,
        })
    }

    /// Address on which the agent listens.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> ids::Incarnation {
        self.state.incarnation
    }

    /// Stops serving at once.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn start_worker(
    replica: u16,
    settings: &settings::ReplicaSettings,
) -> executor::ReplicaWorker {
    let engine: Arc<dyn ModelEngine> = Arc::new(http_engine::HttpEngine::new(settings.address));
    let fencing = engine
        .status()
        .await
        .map_or(1, |status| status.fencing.saturating_add(1));
    let capacity = usize::from(settings.adapter_slots);
    executor::ReplicaWorker {
        replica,
        settings: settings.clone(),
        slots: Arc::new(adapters::AdapterSlots::new(Arc::clone(&engine), capacity)),
        engine,
        fencing,
    }
}

struct RpcHandler(Arc<AgentState>);

impl service::AgentHandler for RpcHandler {
    fn hello(&self, hello: message::Hello) -> BoxFuture<'_, message::HelloReply> {
        let reply = self.0.open_session(&hello);
        async move { reply }.boxed()
    }

    fn dispatch(&self, dispatch: message::Dispatch) -> BoxFuture<'_, message::DispatchReply> {
        let reply = AgentState::dispatch(&self.0, dispatch);
        async move { reply }.boxed()
    }

    fn poll(&self, poll: message::Poll) -> BoxFuture<'_, message::PollReply> {
        async move { self.0.poll(poll).await }.boxed()
    }

    fn attach(
        &self,
        session: ids::SessionId,
        agent: ids::Incarnation,
        request: ids::RequestId,
    ) -> BoxFuture<'_, message::CancelReply> {
        let reply = self.0.attach(session, agent, request);
        async move { reply }.boxed()
    }

    fn cancel(
        &self,
        agent: ids::Incarnation,
        request: ids::RequestId,
    ) -> BoxFuture<'_, message::CancelReply> {
        let reply = self.0.cancel(agent, request);
        async move { reply }.boxed()
    }

    fn configuration(
        &self,
        _known_version: u64,
    ) -> BoxFuture<'_, Option<message::ConfigurationImage>> {
        async { None }.boxed()
    }
}

impl AgentState {
    fn now(&self) -> units::Timestamp {
        units::Timestamp(0) + self.started.elapsed()
    }

    fn shard(&self, request: ids::RequestId) -> &Mutex<RequestShard> {
        let hash = request.entry.0 ^ request.sequence;
        let index = usize::try_from(hash % SHARD_COUNT as u64).unwrap_or(0);
        &self.shards[index]
    }

    fn open_session(&self, hello: &message::Hello) -> message::HelloReply {
        if hello.protocol != message::PROTOCOL_VERSION {
            return message::HelloReply::ProtocolMismatch {
                agent_protocol: message::PROTOCOL_VERSION,
            };
        }
        let session = Arc::new(AgentSession {
            id: ids::SessionId(rand::random()),
            ready: Mutex::default(),
            wake: sync::Notify::new(),
        });
        let id = session.id;
        let mut sessions = self.sessions.lock();
        let position = sessions.partition_point(|other| other.id < id);
        sessions.insert(position, session);
        message::HelloReply::Welcome(message::Welcome {
            agent: self.incarnation,
            session: id,
            data_centre: self.settings.data_centre.clone(),
            report: self.report(),
        })
    }

    fn session(&self, id: ids::SessionId) -> Option<Arc<AgentSession>> {
        let sessions = self.sessions.lock();
        let position = sessions
            .binary_search_by_key(&id, |session| session.id)
            .ok()?;
        Some(Arc::clone(&sessions[position]))
    }

    fn dispatch(state: &Arc<Self>, dispatch: message::Dispatch) -> message::DispatchReply {
        if dispatch.agent != state.incarnation {
            return refused(message::RefusalReason::WrongIncarnation);
        }
        let Some(session) = state.session(dispatch.session) else {
            return refused(message::RefusalReason::SessionClosed);
        };
        let Some(worker) = state.workers.get(usize::from(dispatch.replica)) else {
            return refused(message::RefusalReason::AdapterUnavailable);
        };
        let message::Work::Completion {
            route,
            base_model,
            adapter,
            body,
        } = dispatch.work
        else {
            return refused(message::RefusalReason::UnknownService);
        };
        if worker.settings.base_model != base_model {
            return refused(message::RefusalReason::WrongBaseModel);
        }
        let request = dispatch.request;
        let stream = streams::OutputStream::new(request, session.id, dispatch.keep_answer);
        let stream = Arc::new(stream);
        {
            let mut shard = state.shard(request).lock();
            match shard.table.admit(request, state.now()) {
                Ok(()) => shard.insert(Arc::clone(&stream)),
                Err(request_table::RequestState::CancelledBeforeStart) => {
                    return refused(message::RefusalReason::Cancelled);
                }
                Err(_) => return message::DispatchReply::AlreadyKnown,
            }
        }
        let task = executor::CompletionTask {
            request,
            route,
            adapter,
            priority: dispatch.priority,
            body,
        };
        tokio::spawn(Self::execute(
            Arc::clone(state),
            Arc::clone(worker),
            task,
            stream,
        ));
        message::DispatchReply::Accepted
    }

    async fn execute(
        state: Arc<Self>,
        worker: Arc<executor::ReplicaWorker>,
        task: executor::CompletionTask,
        stream: Arc<streams::OutputStream>,
    ) {
        let request = task.request;
        let start = || {
            let mut shard = state.shard(request).lock();
            shard.table.start(request, state.now())
        };
        let last = worker
            .run(task, &stream, start, || state.wake(&stream))
            .await;
        stream.end(last);
        let mut shard = state.shard(request).lock();
        shard.table.finish(request, state.now());
        drop(shard);
        state.wake(&stream);
    }

    fn wake(&self, stream: &streams::OutputStream) {
        let Some(session) = self.session(stream.session()) else {
            return;
        };
        let mut ready = session.ready.lock();
        if !ready.contains(&stream.request()) {
            ready.push(stream.request());
        }
        drop(ready);
        session.wake.notify_one();
    }

    async fn poll(&self, poll: message::Poll) -> message::PollReply {
        let Some(session) = self.session(poll.session) else {
            return message::PollReply::SessionClosed;
        };
        for ack in &poll.acks {
            self.acknowledge(&session, ack);
        }
        let mut events = Vec::new();
        let wait = poll.wait.min(message::POLL_WAIT);
        let _ = tokio::time::timeout(wait, async {
            loop {
                let woken = session.wake.notified();
                self.collect(&session, &mut events);
                if !events.is_empty() {
                    return;
                }
                woken.await;
            }
        })
        .await;
        message::PollReply::Events {
            events,
            report: Some(self.report()),
            configuration_version: 0,
        }
    }

    fn acknowledge(&self, session: &AgentSession, ack: &message::StreamAck) {
        let mut shard = self.shard(ack.request).lock();
        let Some(stream) = shard.stream(ack.request) else {
            return;
        };
        stream.acknowledge(ack.received, ack.consumed);
        if stream.is_drained() {
            shard.remove(ack.request);
            return;
        }
        if stream.has_unsent() {
            session.ready.lock().push(ack.request);
        }
    }

    fn collect(&self, session: &AgentSession, events: &mut Vec<message::StreamEvent>) {
        let ready = std::mem::take(&mut *session.ready.lock());
        for request in ready {
            let stream = self.shard(request).lock().stream(request);
            let Some(stream) = stream else { continue };
            let limit = MAX_EVENTS.saturating_sub(events.len());
            stream.take_unsent(limit, events);
            if stream.has_unsent() {
                session.ready.lock().push(request);
            }
        }
    }

    fn attach(
        &self,
        session: ids::SessionId,
        agent: ids::Incarnation,
        request: ids::RequestId,
    ) -> message::CancelReply {
        if agent != self.incarnation {
            return message::CancelReply::WrongIncarnation;
        }
        let shard = self.shard(request).lock();
        let Some(stream) = shard.stream(request) else {
            return message::CancelReply::NotRun;
        };
        drop(shard);
        if !stream.attach(session) {
            return message::CancelReply::Finished;
        }
        self.wake(&stream);
        message::CancelReply::Running
    }

    fn cancel(&self, agent: ids::Incarnation, request: ids::RequestId) -> message::CancelReply {
        if agent != self.incarnation {
            return message::CancelReply::WrongIncarnation;
        }
        let mut shard = self.shard(request).lock();
        let outcome = shard.table.cancel(request, self.now());
        if let Some(stream) = shard.stream(request) {
            stream.cancel();
        }
        match outcome {
            request_table::CancelOutcome::NotRun => message::CancelReply::NotRun,
            request_table::CancelOutcome::Running => message::CancelReply::Running,
            request_table::CancelOutcome::Finished | request_table::CancelOutcome::Failed => {
                message::CancelReply::Finished
            }
        }
    }

    fn report(&self) -> message::LoadReport {
        let replicas = self.workers.iter().map(|worker| message::ReplicaReport {
            replica: worker.replica,
            base_model: worker.settings.base_model.clone(),
            ready: true,
            adapter_slots: worker.settings.adapter_slots,
            batch_limit: worker.settings.batch_limit,
            running: 0,
            queued: 0,
            wait_millis: [0; 3],
            adapters: worker.slots.resident(),
            loading: Vec::new(),
        });
        message::LoadReport {
            sequence: 0,
            leaving: false,
            replicas: replicas.collect(),
            services: Vec::new(),
            waiting_loads: 0,
        }
    }
}

impl RequestShard {
    fn insert(&mut self, stream: Arc<streams::OutputStream>) {
        let position = self
            .streams
            .partition_point(|other| other.request() < stream.request());
        self.streams.insert(position, stream);
    }

    fn stream(&self, request: ids::RequestId) -> Option<Arc<streams::OutputStream>> {
        let position = self.position(request)?;
        Some(Arc::clone(&self.streams[position]))
    }

    fn remove(&mut self, request: ids::RequestId) {
        if let Some(position) = self.position(request) {
            self.streams.remove(position);
        }
    }

    fn position(&self, request: ids::RequestId) -> Option<usize> {
        self.streams
            .binary_search_by_key(&request, |stream| stream.request())
            .ok()
    }
}

fn refused(reason: message::RefusalReason) -> message::DispatchReply {
    message::DispatchReply::Refused {
        reason,
        retry_after: time::Duration::from_secs(1),
    }
}

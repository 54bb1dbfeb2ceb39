//! RPC handler for calls from entries.

use std::{
    sync::{Arc, atomic},
    time,
};

use decisions::ids;
use endpoints::{client, service::ServiceCall};
use futures::{FutureExt, future::BoxFuture};
use operators::snapshot;
use peers::{message, service};
use platform::follower;
use tokio::sync::watch;

use crate::{replica, reports, requests, services, sessions, streams};

/// Maximum number of parts in one poll reply.
const MAX_POLL_EVENTS: usize = 1024;
/// Limit on the bytes of parts in one poll reply, exceeded by at most one part.
const MAX_POLL_BYTES: usize = 1 << 20;
/// Retry-after of refusals for which no wait is predicted.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// State behind the RPC interface.
pub struct AgentState {
    pub incarnation: ids::Incarnation,
    pub data_centre: String,
    pub context: Arc<replica::AgentContext>,
    pub replicas: Vec<Arc<replica::ReplicaDriver>>,
    pub services: Vec<Arc<services::ServiceProxy>>,
    pub reports: reports::ReportCache,
    /// Configuration published by the log follower, if a log address is set.
    pub configuration: Option<watch::Receiver<follower::PublishedState>>,
    pub is_draining: atomic::AtomicBool,
}

/// RPC interface of an agent.
pub struct RpcHandler(pub Arc<AgentState>);

impl service::AgentHandler for RpcHandler {
    fn hello(&self, hello: message::Hello) -> BoxFuture<'_, message::HelloReply> {
        let reply = self.0.hello(&hello);
        async move { reply }.boxed()
    }

    fn dispatch(&self, dispatch: message::Dispatch) -> BoxFuture<'_, message::DispatchReply> {
        let reply = self.0.dispatch(dispatch);
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
        scope: message::CancelScope,
    ) -> BoxFuture<'_, message::CancelReply> {
        let reply = self.0.cancel(agent, request, scope);
        async move { reply }.boxed()
    }

    fn configuration(
        &self,
        known_version: u64,
    ) -> BoxFuture<'_, Option<message::ConfigurationImage>> {
        let image = self.0.configuration_image(known_version);
        async move { image }.boxed()
    }
}

impl AgentState {
    fn is_draining(&self) -> bool {
        self.is_draining.load(atomic::Ordering::SeqCst)
    }

    fn configuration_version(&self) -> u64 {
        let configuration = self.configuration.as_ref();
        configuration
            .and_then(|state| {
                state
                    .borrow()
                    .as_ref()
                    .map(|state| state.configuration.version())
            })
            .unwrap_or(0)
    }

    fn configuration_image(&self, known_version: u64) -> Option<message::ConfigurationImage> {
        let state = self.configuration.as_ref()?.borrow().clone()?;
        if state.configuration.version() <= known_version {
            return None;
        }
        let image = snapshot::encode_image(&state);
        Some(message::ConfigurationImage {
            version: image.version,
            as_of: image.as_of,
            state: image.state,
        })
    }

    fn report(&self) -> Arc<message::LoadReport> {
        self.reports.current(&self.replicas, self.is_draining())
    }

    fn hello(&self, hello: &message::Hello) -> message::HelloReply {
        if hello.protocol != message::PROTOCOL_VERSION {
            return message::HelloReply::ProtocolMismatch {
                agent_protocol: message::PROTOCOL_VERSION,
            };
        }
        let context = &self.context;
        let sessions = context.requests.sessions();
        // An entry with a session may reconnect while the agent drains, to read its open streams.
        if self.is_draining() && !sessions.has_entry(hello.entry) {
            return message::HelloReply::Draining;
        }
        let session = sessions.open(hello.entry, context.clock.now());
        telemetry::logs::info(
            &context.logger,
            telemetry::events::SESSION_OPENED,
            "session opened",
        );
        message::HelloReply::Welcome(message::Welcome {
            agent: self.incarnation,
            session: session.id(),
            data_centre: self.data_centre.clone(),
            report: message::LoadReport::clone(&self.report()),
        })
    }

    fn dispatch(&self, dispatch: message::Dispatch) -> message::DispatchReply {
        let priority = dispatch.priority;
        let time_left = dispatch.time_left;
        let replica = self.replicas.get(usize::from(dispatch.replica));
        self.accept_dispatch(dispatch).unwrap_or_else(|reason| {
            self.context.metrics.record_refusal(reason);
            let retry_after = match (reason, replica) {
                (message::RefusalReason::QueueFull, Some(replica)) => {
                    replica.retry_after(priority, time_left)
                }
                _ => DEFAULT_RETRY_AFTER,
            };
            message::DispatchReply::Refused {
                reason,
                retry_after,
            }
        })
    }

    fn accept_dispatch(
        &self,
        dispatch: message::Dispatch,
    ) -> Result<message::DispatchReply, message::RefusalReason> {
        if dispatch.agent != self.incarnation {
            return Err(message::RefusalReason::WrongIncarnation);
        }
        let now = self.context.clock.now();
        let session = self.context.requests.sessions().find(dispatch.session);
        let session = session
            .filter(|session| session.is_active(now))
            .ok_or(message::RefusalReason::SessionClosed)?;
        if self.is_draining() {
            return Err(message::RefusalReason::Draining);
        }
        let request = dispatch.request;
        let stream = streams::OutputStream::new(request, session.id(), dispatch.keep_response);
        let stream = Arc::new(stream);
        match dispatch.work {
            message::DispatchWork::Completion {
                route,
                base_model,
                adapter,
                body,
            } => {
                let replica = self
                    .replicas
                    .get(usize::from(dispatch.replica))
                    .ok_or(message::RefusalReason::AdapterUnavailable)?;
                if let Some(reason) = replica.refusal_reason(&base_model) {
                    return Err(reason);
                }
                if let Some(reply) = self.admit_request(&stream, &session)? {
                    return Ok(reply);
                }
                replica.enqueue(replica::CompletionTask {
                    generation: client::GenerationCall {
                        request,
                        path: route_path(route),
                        adapter,
                        priority: dispatch.priority,
                        body,
                    },
                    operator: dispatch.operator,
                    weight: dispatch.operator_weight,
                    deadline: now + dispatch.time_left,
                    stream,
                });
            }
            message::DispatchWork::Service {
                service,
                method,
                path,
                content_type,
                body,
            } => {
                let position = self
                    .services
                    .binary_search_by(|other| other.name.cmp(&service))
                    .map_err(|_| message::RefusalReason::UnknownService)?;
                if let Some(reply) = self.admit_request(&stream, &session)? {
                    return Ok(reply);
                }
                let proxy = Arc::clone(&self.services[position]);
                let call = ServiceCall {
                    request,
                    method,
                    path,
                    content_type,
                    body,
                };
                tokio::spawn(proxy.relay_call(Arc::clone(&self.context), call, stream));
            }
        }
        Ok(message::DispatchReply::Accepted)
    }

    /// Admits the request of a stream; returns a reply if the request is already known.
    fn admit_request(
        &self,
        stream: &Arc<streams::OutputStream>,
        session: &sessions::AgentSession,
    ) -> Result<Option<message::DispatchReply>, message::RefusalReason> {
        use decisions::request_table::RequestState;

        match self.context.requests.admit(stream, session) {
            requests::Admission::Admitted => Ok(None),
            requests::Admission::SessionClosed => Err(message::RefusalReason::SessionClosed),
            requests::Admission::Known(RequestState::CancelledBeforeStart) => {
                Err(message::RefusalReason::Cancelled)
            }
            requests::Admission::Known(_) => Ok(Some(message::DispatchReply::AlreadyKnown)),
        }
    }

    async fn poll(&self, poll: message::Poll) -> message::PollReply {
        let context = &self.context;
        let session = context.requests.sessions().find(poll.session);
        let Some(session) = session.filter(|session| session.record_poll(context.clock.now()))
        else {
            return message::PollReply::SessionClosed;
        };
        self.update_demand(&poll.demand);
        let poll_number = {
            let mut newest_poll = session.newest_poll();
            *newest_poll += 1;
            for ack in &poll.acks {
                context.requests.acknowledge(&session, ack);
            }
            *newest_poll
        };
        session.interrupt_poll();
        let mut events = Vec::new();
        let wait = poll.wait.min(message::MAX_POLL_WAIT);
        let _ = tokio::time::timeout(wait, async {
            loop {
                let changed = session.changed();
                let is_newest = self.collect_events(&session, poll_number, &mut events);
                if !is_newest || !events.is_empty() || session.is_report_due() {
                    return;
                }
                changed.await;
            }
        })
        .await;
        let report = self.report();
        let update = session.take_report_update(&report, &poll, context.clock.now());
        message::PollReply::Events {
            events,
            report: update,
            configuration_version: self.configuration_version(),
        }
    }

    /// Collects parts for poll `poll_number`; false if a newer poll has arrived.
    fn collect_events(
        &self,
        session: &sessions::AgentSession,
        poll_number: u64,
        events: &mut Vec<message::StreamEvent>,
    ) -> bool {
        let newest_poll = session.newest_poll();
        if *newest_poll != poll_number {
            return false;
        }
        let mut bytes = 0;
        while events.len() < MAX_POLL_EVENTS && bytes < MAX_POLL_BYTES {
            let Some(request) = session.pop_ready_stream() else {
                break;
            };
            let Some(stream) = self.context.requests.stream(request) else {
                continue;
            };
            let id = session.id();
            bytes += stream.take_unsent(id, MAX_POLL_EVENTS, MAX_POLL_BYTES - bytes, events);
            if stream.mark_ready(id) {
                session.push_ready_stream(request);
            }
        }
        true
    }

    fn update_demand(&self, peers: &message::PeerDemand) {
        let replicas = self.replicas.iter();
        let loads: usize = replicas.map(|replica| replica.waiting_loads()).sum();
        let own = u32::try_from(loads).unwrap_or(u32::MAX);
        let now = self.context.clock.now();
        self.context.budget.update_demand(own, peers, now);
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
        // Without the session the stream keeps its readers; the entry may attach again.
        let Some(session) = self.context.requests.sessions().find(session) else {
            return message::CancelReply::Running;
        };
        self.context.requests.attach(&session, request)
    }

    fn cancel(
        &self,
        agent: ids::Incarnation,
        request: ids::RequestId,
        scope: message::CancelScope,
    ) -> message::CancelReply {
        if agent != self.incarnation {
            return message::CancelReply::WrongIncarnation;
        }
        let reply = match scope {
            message::CancelScope::Own => self.context.requests.cancel(request),
            message::CancelScope::UnknownOnly => self.context.requests.insert_tombstone(request),
        };
        if reply == message::CancelReply::NotRun {
            for replica in &self.replicas {
                replica.remove_waiting(request);
            }
        }
        reply
    }
}

fn route_path(route: message::CompletionRoute) -> &'static str {
    match route {
        message::CompletionRoute::Completions => "/v1/completions",
        message::CompletionRoute::ChatCompletions => "/v1/chat/completions",
    }
}

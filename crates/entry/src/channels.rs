//! Channel of an entry to one agent: connection, session and polling.
//!
//! A connection on which a poll times out is replaced; the session and its streams resume at the
//! next part. A new incarnation at the same address ends the streams of the previous one.

use std::{net, sync::Arc, time};

use decisions::ids;
use parking_lot::Mutex;
use peers::{message, report_update, service};
use snafu::Snafu;
use telemetry::{events, logs};
use tokio::task;

use crate::streams;

/// Timeout of a poll: the agent's wait plus a round trip.
const POLL_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const MIN_RECONNECT_DELAY: time::Duration = time::Duration::from_millis(100);
const MAX_RECONNECT_DELAY: time::Duration = time::Duration::from_secs(1);
/// A protocol mismatch lasts until a rollout ends, so retries are infrequent.
const MISMATCH_RETRY_DELAY: time::Duration = time::Duration::from_secs(10);

/// Observer of the events of a channel.
pub trait ChannelObserver: Send + Sync {
    /// A connection was opened to this incarnation.
    fn opened(&self, channel: &Arc<AgentChannel>, welcome: &message::Welcome);
    /// A load report arrived.
    fn reported(
        &self,
        address: net::SocketAddr,
        agent: ids::Incarnation,
        report: &message::LoadReport,
    );
    /// The connection was lost; the incarnation may still be running.
    fn disconnected(&self, address: net::SocketAddr);
    /// The incarnation at this address was replaced by another one.
    fn replaced(&self, agent: ids::Incarnation);
    /// Version of the configuration in effect, sent with each poll.
    fn configuration_version(&self) -> u64;
    /// Minimum interval between two load reports of one agent.
    fn report_interval(&self) -> time::Duration;
    /// Adapter load demand of all other agents, sent with each poll.
    fn demand(&self, agent: ids::Incarnation) -> message::PeerDemand;
}

/// Channel to one agent.
pub struct AgentChannel {
    address: net::SocketAddr,
    hello: message::Hello,
    logger: slog::Logger,
    state: Mutex<Option<AgentConnection>>,
    /// Last load report, the base of the differences that the agent sends.
    report: Mutex<message::LoadReport>,
    pub streams: streams::StreamTable,
}

/// Live connection with an open session.
#[derive(Clone)]
pub struct AgentConnection {
    pub client: service::AgentRpcClient,
    pub agent: ids::Incarnation,
    pub session: ids::SessionId,
}

#[derive(Debug, Snafu)]
enum OpenError {
    #[snafu(display("{source}"))]
    Connect { source: service::PeerError },
    #[snafu(display("no reply to `hello`: {message}"))]
    Hello { message: String },
    #[snafu(display(
        "the agent uses protocol version {agent_version}, this entry {entry_version}; run the same release on both"
    ))]
    Mismatch {
        entry_version: u32,
        agent_version: u32,
    },
    #[snafu(display("the agent is draining and accepts no sessions"))]
    Draining,
}

/// Reason to stop polling a connection.
enum PollFailure {
    NoReply,
    SessionClosed,
}

impl AgentChannel {
    /// Creates a channel; [`AgentChannel::run`] connects it.
    #[must_use]
    pub fn new(address: net::SocketAddr, hello: message::Hello, logger: slog::Logger) -> Self {
        Self {
            address,
            hello,
            logger,
            state: Mutex::default(),
            report: Mutex::default(),
            streams: streams::StreamTable::default(),
        }
    }

    /// Address of the agent.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Live connection, if any.
    #[must_use]
    pub fn connection(&self) -> Option<AgentConnection> {
        self.state.lock().clone()
    }

    /// Keeps the channel connected until the task is dropped.
    pub async fn run(self: Arc<Self>, observer: Arc<dyn ChannelObserver>) {
        let mut previous: Option<AgentConnection> = None;
        let mut last_connected = tokio::time::Instant::now();
        let mut delay = MIN_RECONNECT_DELAY;
        let mut is_mismatch_logged = false;
        loop {
            match self.open(previous.as_ref(), observer.as_ref()).await {
                Ok((connection, welcome)) => {
                    delay = MIN_RECONNECT_DELAY;
                    is_mismatch_logged = false;
                    *self.state.lock() = Some(connection.clone());
                    *self.report.lock() = welcome.report.clone();
                    observer.opened(&self, &welcome);
                    self.log_info(events::SESSION_OPENED, "session opened");
                    previous = Some(connection.clone());
                    let failure = self.poll_loop(&connection, observer.as_ref()).await;
                    *self.state.lock() = None;
                    observer.disconnected(self.address);
                    last_connected = tokio::time::Instant::now();
                    if let PollFailure::SessionClosed = failure {
                        // The agent cancelled the streams when it closed the session.
                        previous = None;
                        self.streams.fail_all(&session_closed_failure());
                    }
                    self.log_info(events::SESSION_LOST, "connection lost; reconnecting");
                }
                Err(OpenError::Draining) => delay = MAX_RECONNECT_DELAY,
                Err(error @ OpenError::Mismatch { .. }) => {
                    delay = MISMATCH_RETRY_DELAY;
                    if !std::mem::replace(&mut is_mismatch_logged, true) {
                        let message = format!("{}: {error}", self.address);
                        logs::error(&self.logger, events::PEER_VERSION_REFUSED, &message);
                    }
                }
                Err(_) => {
                    observer.disconnected(self.address);
                    delay = (delay * 2).min(MAX_RECONNECT_DELAY);
                }
            }
            // After this time the agent has closed the session or is no longer running.
            if self.connection().is_none() && last_connected.elapsed() >= message::SESSION_TIMEOUT {
                previous = None;
                self.streams.fail_all(&agent_lost_failure());
            }
            tokio::time::sleep(delay).await;
        }
    }

    async fn open(
        &self,
        previous: Option<&AgentConnection>,
        observer: &dyn ChannelObserver,
    ) -> Result<(AgentConnection, message::Welcome), OpenError> {
        let client = service::connect(self.address)
            .await
            .map_err(|source| OpenError::Connect { source })?;
        let hello = client.hello(
            service::context_with_timeout(CALL_TIMEOUT),
            self.hello.clone(),
        );
        let welcome = match hello.await.map_err(|error| OpenError::Hello {
            message: error.to_string(),
        })? {
            message::HelloReply::Welcome(welcome) => welcome,
            message::HelloReply::ProtocolMismatch { agent_protocol } => {
                return Err(OpenError::Mismatch {
                    entry_version: self.hello.protocol,
                    agent_version: agent_protocol,
                });
            }
            message::HelloReply::Draining => return Err(OpenError::Draining),
        };
        let mut session = welcome.session;
        match previous {
            Some(previous) if previous.agent == welcome.agent => session = previous.session,
            Some(previous) => {
                self.streams.fail_all(&agent_lost_failure());
                observer.replaced(previous.agent);
                self.log_info(
                    events::AGENT_RESTARTED,
                    "agent restarted with a new incarnation",
                );
            }
            None => {}
        }
        let agent = welcome.agent;
        let connection = AgentConnection {
            client,
            agent,
            session,
        };
        Ok((connection, welcome))
    }

    async fn poll_loop(
        &self,
        connection: &AgentConnection,
        observer: &dyn ChannelObserver,
    ) -> PollFailure {
        let mut acks = self.streams.all_acks();
        loop {
            let poll = self.poll(connection, acks, message::MAX_POLL_WAIT, observer);
            tokio::pin!(poll);
            let outcome = loop {
                tokio::select! {
                    outcome = &mut poll => break outcome,
                    () = self.streams.wait_for_urgent_ack() => {}
                }
                // A concurrent poll without a wait opens the window at once. Parts that it receives
                // out of order are dropped and requested again by index.
                let acks = self.streams.changed_acks();
                let wait = time::Duration::ZERO;
                if let Err(failure) = self.poll(connection, acks, wait, observer).await {
                    break Err(failure);
                }
            };
            if let Err(failure) = outcome {
                return failure;
            }
            acks = self.streams.changed_acks();
        }
    }

    async fn poll(
        &self,
        connection: &AgentConnection,
        acks: Vec<message::StreamAck>,
        wait: time::Duration,
        observer: &dyn ChannelObserver,
    ) -> Result<(), PollFailure> {
        let poll = message::Poll {
            session: connection.session,
            acks,
            wait,
            base_report: self.report.lock().sequence,
            report_interval: observer.report_interval(),
            configuration_version: observer.configuration_version(),
            demand: observer.demand(connection.agent),
        };
        let call = connection
            .client
            .poll(service::context_with_timeout(POLL_TIMEOUT), poll);
        match call.await {
            Ok(message::PollReply::Events { events, report, .. }) => {
                if let Some(report) = report.and_then(|update| self.apply_report_update(update)) {
                    observer.reported(self.address, connection.agent, &report);
                }
                for event in events {
                    self.streams.receive(event);
                }
                Ok(())
            }
            Ok(message::PollReply::SessionClosed) => Err(PollFailure::SessionClosed),
            Err(_) => Err(PollFailure::NoReply),
        }
    }

    /// Applies an update to the current report. `None` if a concurrent poll received a newer report
    /// or the update has another base; the next poll names the base that the entry has.
    fn apply_report_update(
        &self,
        update: report_update::ReportUpdate,
    ) -> Option<message::LoadReport> {
        let mut current = self.report.lock();
        let report = update.apply(&current).ok()?;
        if report.sequence < current.sequence {
            return None;
        }
        current.clone_from(&report);
        Some(report)
    }

    fn log_info(&self, event: events::LogEvent, message: &str) {
        logs::info(&self.logger, event, &format!("{}: {message}", self.address));
    }
}

/// Running channel task.
pub struct ChannelTask {
    pub channel: Arc<AgentChannel>,
    task: task::JoinHandle<()>,
}

impl ChannelTask {
    /// Starts the task of a channel.
    #[must_use]
    pub fn start(channel: AgentChannel, observer: Arc<dyn ChannelObserver>) -> Self {
        let channel = Arc::new(channel);
        let task = tokio::spawn(Arc::clone(&channel).run(observer));
        Self { channel, task }
    }

    /// Stops the channel; open streams end with an unknown outcome.
    pub fn close(self) {}
}

impl Drop for ChannelTask {
    fn drop(&mut self) {
        self.task.abort();
        self.channel.streams.fail_all(&agent_lost_failure());
    }
}

fn agent_lost_failure() -> message::StreamFailure {
    unknown_outcome("the agent restarted or was removed while the request was open")
}

fn session_closed_failure() -> message::StreamFailure {
    unknown_outcome("the agent closed the session after it was inactive for too long")
}

fn unknown_outcome(message: &str) -> message::StreamFailure {
    message::StreamFailure {
        outcome: message::RunOutcome::Unknown,
        reason: message::FailureReason::EndpointFailed,
        message: message.into(),
    }
}

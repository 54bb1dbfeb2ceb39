//! Channel of an entry to one agent: connection, session and heartbeat.

use std::{net, sync::Arc, time};

use decisions::ids;
use parking_lot::Mutex;
use peers::{message, service};
use tokio::task;

use crate::relay;

/// Time in which a poll must be answered: the agent's wait plus the time for a round trip.
const POLL_LIMIT: time::Duration = time::Duration::from_millis(1500);
const CALL_LIMIT: time::Duration = time::Duration::from_secs(2);
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(100);

/// Channel to one agent.
pub struct AgentChannel {
    address: net::SocketAddr,
    hello: message::Hello,
    state: Mutex<ChannelState>,
    pub streams: relay::StreamTable,
}

#[derive(Default)]
struct ChannelState {
    connection: Option<Connection>,
    report: message::LoadReport,
}

/// Live connection with an open session.
#[derive(Clone)]
pub struct Connection {
    pub client: service::AgentRpcClient,
    pub agent: ids::Incarnation,
    pub session: ids::SessionId,
}

impl AgentChannel {
    /// Creates a channel; [`AgentChannel::run`] connects it.
    #[must_use]
    pub fn new(address: net::SocketAddr, hello: message::Hello) -> Self {
        Self {
            address,
            hello,
            state: Mutex::default(),
            streams: relay::StreamTable::default(),
        }
    }

    /// Live connection, if any.
    #[must_use]
    pub fn connection(&self) -> Option<Connection> {
        self.state.lock().connection.clone()
    }

    /// Last load report.
    #[must_use]
    pub fn report(&self) -> message::LoadReport {
        self.state.lock().report.clone()
    }

    /// Keeps the channel connected until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut previous: Option<Connection> = None;
        loop {
            if let Some(connection) = self.open(previous.as_ref()).await {
                self.state.lock().connection = Some(connection.clone());
                previous = Some(connection.clone());
                self.poll_loop(&connection).await;
                self.state.lock().connection = None;
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn open(&self, previous: Option<&Connection>) -> Option<Connection> {
        let client = service::connect(self.address).await.ok()?;
        let hello = client.hello(service::deadline(CALL_LIMIT), self.hello.clone());
        let Ok(message::HelloReply::Welcome(welcome)) = hello.await else {
            return None;
        };
        self.state.lock().report = welcome.report;
        let mut session = welcome.session;
        if let Some(previous) = previous {
            if previous.agent == welcome.agent {
                session = previous.session;
            } else {
                self.streams.fail_all(&agent_lost());
            }
        }
        Some(Connection {
            client,
            agent: welcome.agent,
            session,
        })
    }

    async fn poll_loop(&self, connection: &Connection) {
        let mut all = true;
        loop {
            let poll = message::Poll {
                session: connection.session,
                acks: self.streams.acks(all),
                wait: message::POLL_WAIT,
                configuration_version: 0,
                demand: 0,
            };
            all = false;
            let call = connection.client.poll(service::deadline(POLL_LIMIT), poll);
            match call.await {
                Ok(message::PollReply::Events { events, report, .. }) => {
                    if let Some(report) = report {
                        self.state.lock().report = report;
                    }
                    for event in events {
                        self.streams.receive(event);
                    }
                }
                Ok(message::PollReply::SessionClosed) | Err(_) => return,
            }
        }
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
    pub fn start(channel: AgentChannel) -> Self {
        let channel = Arc::new(channel);
        let task = tokio::spawn(Arc::clone(&channel).run());
        Self { channel, task }
    }

    /// Stops the channel.
    pub fn close(self) {
        self.task.abort();
    }
}

fn agent_lost() -> message::StreamFailure {
    message::StreamFailure {
        outcome: message::RunOutcome::Unknown,
        reason: message::FailureReason::EndpointFailed,
        message: "the agent restarted while the request ran".into(),
    }
}

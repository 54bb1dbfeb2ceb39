//! Connection of an entry to one broker.
//!
//! A call that gets no answer in time drops the connection, because an open connection may be
//! silent for good; the next call opens a new one after a pause.

use std::{net, time};

use decisions::units;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::Notify;

use crate::{message, service};

const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(250);
/// Time beyond the deadline of a request in which a broker must answer.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(300);
/// Pause after a failure.
const PAUSE: time::Duration = time::Duration::from_millis(700);

/// Reason why a broker gave no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    #[snafu(display("the broker failed a moment ago"))]
    Paused,
    #[snafu(display("{source}"))]
    Connect { source: service::BrokerError },
    #[snafu(display("no answer: {message}"))]
    NoAnswer { message: String },
}

impl CallError {
    /// Whether the broker's instance is silent, which concerns its engine too. A broker that has
    /// only ended refuses connections.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        match self {
            Self::Paused => false,
            Self::Connect { source } => source.is_timeout(),
            Self::NoAnswer { .. } => true,
        }
    }
}

#[derive(Default)]
struct ClientState {
    connection: Option<service::BrokerRpcClient>,
    paused_until: units::Timestamp,
    released: Vec<u64>,
}

/// Client of one broker.
pub struct BrokerClient {
    address: net::SocketAddr,
    state: Mutex<ClientState>,
    /// Ends the open calls of a connection that was found silent.
    lost: Notify,
}

impl BrokerClient {
    /// Client that connects with its first call.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            state: Mutex::default(),
            lost: Notify::new(),
        }
    }

    /// Address of the broker.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Whether calls are expected to be answered.
    #[must_use]
    pub fn is_reachable(&self, now: units::Timestamp) -> bool {
        now >= self.state.lock().paused_until
    }

    /// Gives up a place with the next call.
    pub fn release(&self, number: u64) {
        self.state.lock().released.push(number);
    }

    /// Whether places are given up of which the broker has not been told.
    #[must_use]
    pub fn has_released(&self) -> bool {
        !self.state.lock().released.is_empty()
    }

    /// Asks for a place.
    ///
    /// # Errors
    /// [`CallError`] when there is no answer in time.
    pub async fn place(
        &self,
        mut call: message::PlaceCall,
        now: units::Timestamp,
    ) -> Result<message::PlaceReply, CallError> {
        let connection = self.connect(now).await?;
        call.released = std::mem::take(&mut self.state.lock().released);
        let mut released = call.released.clone();
        released.push(call.number);
        let limit = call.deadline + ANSWER_LIMIT;
        let asked = time::Instant::now();
        let reply = tokio::select! {
            reply = connection.place(service::deadline(limit), call) => reply,
            // A heartbeat has found the connection silent; waiting on would only hold the request.
            () = self.lost.notified() => {
                self.state.lock().released.extend(released);
                return Err(CallError::NoAnswer {
                    message: "the connection was given up".to_owned(),
                });
            }
        };
        reply.map_err(|error| self.fail(released, &error.to_string(), now + asked.elapsed()))
    }

    /// Fetches the engine's state.
    ///
    /// # Errors
    /// [`CallError`] when there is no answer in time.
    pub async fn view(
        &self,
        entry: u64,
        engine: message::EngineSetup,
        now: units::Timestamp,
    ) -> Result<message::EngineView, CallError> {
        let connection = self.connect(now).await?;
        let released = std::mem::take(&mut self.state.lock().released);
        let call = message::ViewCall {
            entry,
            engine,
            released: released.clone(),
        };
        let view = connection.view(service::deadline(ANSWER_LIMIT), call).await;
        view.map_err(|error| self.fail(released, &error.to_string(), now + ANSWER_LIMIT))
    }

    async fn connect(&self, now: units::Timestamp) -> Result<service::BrokerRpcClient, CallError> {
        {
            let state = self.state.lock();
            if now < state.paused_until {
                return Err(CallError::Paused);
            }
            if let Some(connection) = &state.connection {
                return Ok(connection.clone());
            }
        }
        match service::connect(self.address, CONNECT_LIMIT).await {
            Ok(connection) => {
                self.state.lock().connection = Some(connection.clone());
                Ok(connection)
            }
            Err(source) => {
                self.state.lock().paused_until = now + CONNECT_LIMIT + PAUSE;
                Err(CallError::Connect { source })
            }
        }
    }

    /// Drops the connection and gives up the places of the lost call once more.
    fn fail(&self, released: Vec<u64>, message: &str, now: units::Timestamp) -> CallError {
        let mut state = self.state.lock();
        state.released.extend(released);
        state.connection = None;
        state.paused_until = now + PAUSE;
        self.lost.notify_waiters();
        CallError::NoAnswer {
            message: message.to_owned(),
        }
    }
}

//! Connection of an entry to one broker.
//!
//! A call without a response in time drops the connection, because a peer that is frozen or cut
//! off may never close it; the next call reconnects after a delay.

use std::{net, time};

use decisions::{quota_account, quota_ledger, software_version, units};
use parking_lot::Mutex;
use snafu::Snafu;
use tarpc::client;
use tokio::sync::Notify;

use crate::{message, quotas, service, stream_book};

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time in which the broker must respond: after the deadline of a request for a permit, otherwise
/// after the call.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Delay before reconnecting after a failure.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Reason why a broker gave no response.
#[derive(Debug, Snafu)]
pub enum CallError {
    #[snafu(display("the broker failed recently; not reconnecting yet"))]
    BackingOff { has_ended: bool },
    #[snafu(display("{source}"))]
    Connect { source: service::BrokerError },
    #[snafu(display("no response: {message}"))]
    NoResponse { message: String, has_ended: bool },
}

impl CallError {
    /// Whether the broker's whole instance is unresponsive, which includes its engine. If only the
    /// broker process has ended, connections are refused.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        match self {
            Self::BackingOff { .. } => false,
            Self::Connect { source } => source.is_timeout(),
            Self::NoResponse { .. } => true,
        }
    }

    /// How an owner of quotas is lost with the call.
    #[must_use]
    pub fn owner_loss(&self) -> quota_account::OwnerLoss {
        let has_ended = match self {
            Self::BackingOff { has_ended } | Self::NoResponse { has_ended, .. } => *has_ended,
            Self::Connect { source } => source.is_refused(),
        };
        if has_ended {
            quota_account::OwnerLoss::Ended
        } else {
            quota_account::OwnerLoss::Silent
        }
    }
}

#[derive(Default)]
struct ClientState {
    connection: Option<service::BrokerRpcClient>,
    retry_at: units::Timestamp,
    /// The broker's process had ended at the last failure.
    has_ended: bool,
    released: Vec<u64>,
    /// Number of failed calls and connections.
    losses: u64,
}

/// Client of one broker.
pub struct BrokerClient {
    address: net::SocketAddr,
    state: Mutex<ClientState>,
    /// Cancels the open calls of a connection that was dropped.
    disconnected: Notify,
}

impl BrokerClient {
    /// Creates a client that connects on its first call.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            state: Mutex::default(),
            disconnected: Notify::new(),
        }
    }

    /// Address of the broker.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Whether no failure is recent enough to hold back calls.
    #[must_use]
    pub fn is_reachable(&self, now: units::Timestamp) -> bool {
        now >= self.state.lock().retry_at
    }

    /// Number of failed calls and connections. The broker may have restarted at each.
    #[must_use]
    pub fn losses(&self) -> u64 {
        self.state.lock().losses
    }

    /// Queues the release of a permit for the next call.
    pub fn release(&self, number: u64) {
        self.state.lock().released.push(number);
    }

    /// Whether released permits have not been sent to the broker yet.
    #[must_use]
    pub fn has_released(&self) -> bool {
        !self.state.lock().released.is_empty()
    }

    /// Requests a permit.
    ///
    /// # Errors
    /// [`CallError`] when there is no response in time.
    pub async fn request_permit(
        &self,
        mut call: message::PermitCall,
        now: units::Timestamp,
    ) -> Result<message::PermitReply, CallError> {
        let connection = self.connect(now).await?;
        call.released = std::mem::take(&mut self.state.lock().released);
        let mut released = call.released.clone();
        released.push(call.number);
        let limit = call.deadline + RESPONSE_MARGIN;
        let asked = time::Instant::now();
        let reply = tokio::select! {
            reply = connection.request_permit(service::deadline(limit), call) => reply,
            // A heartbeat timed out on this connection; waiting on would only delay the request.
            () = self.disconnected.notified() => {
                self.state.lock().released.extend(released);
                return Err(CallError::NoResponse {
                    message: "the connection was dropped".to_owned(),
                    has_ended: false,
                });
            }
        };
        reply.map_err(|error| self.disconnect(released, &error, now + asked.elapsed()))
    }

    /// Sends a heartbeat and the queued releases, and fetches the engine's state.
    ///
    /// # Errors
    /// [`CallError`] when there is no response in time.
    pub async fn heartbeat(
        &self,
        entry: u64,
        engine: message::EngineSpec,
        known_adapters: Option<u64>,
        quarantine: message::QuarantineReport,
        now: units::Timestamp,
    ) -> Result<message::EngineView, CallError> {
        let connection = self.connect(now).await?;
        let released = std::mem::take(&mut self.state.lock().released);
        let call = message::HeartbeatCall {
            entry,
            engine,
            released: released.clone(),
            known_adapters,
            quarantine,
        };
        let view = connection
            .heartbeat(service::deadline(RESPONSE_MARGIN), call)
            .await;
        view.map_err(|error| self.disconnect(released, &error, now + RESPONSE_MARGIN))
    }

    /// Sends a heartbeat of an entry whose configuration has quotas.
    ///
    /// # Errors
    /// [`CallError`] when there is no response in time.
    pub async fn heartbeat_with_quotas(
        &self,
        mut call: message::HeartbeatCall,
        report: quotas::QuotaReport,
        now: units::Timestamp,
    ) -> Result<quotas::QuotaHeartbeatReply, CallError> {
        let connection = self.connect(now).await?;
        let released = std::mem::take(&mut self.state.lock().released);
        call.released.clone_from(&released);
        let limit = service::deadline(RESPONSE_MARGIN);
        let reply = connection.heartbeat_with_quotas(limit, call, report).await;
        reply.map_err(|error| self.disconnect(released, &error, now + RESPONSE_MARGIN))
    }

    /// Charges a request to a quota that the broker owns.
    ///
    /// # Errors
    /// [`CallError`] when there is no response in time. The connection is kept then, for calls that
    /// may wait longer.
    pub async fn charge_quota(
        &self,
        call: quotas::QuotaCall,
        now: units::Timestamp,
    ) -> Result<quota_ledger::ChargeDecision, CallError> {
        let connection = self.connect(now).await?;
        let limit = service::deadline(RESPONSE_MARGIN);
        let reply = connection.charge_quota(limit, call).await;
        reply.map_err(|error| self.record_late(&error, now))
    }

    /// Tells the broker of streams that have begun.
    ///
    /// # Errors
    /// [`CallError`] when there is no response in time. The connection is kept then, as for quotas.
    pub async fn record_streams(
        &self,
        starts: Vec<stream_book::StreamStart>,
        now: units::Timestamp,
    ) -> Result<(), CallError> {
        let connection = self.connect(now).await?;
        let limit = service::deadline(RESPONSE_MARGIN);
        let reply = connection.record_streams(limit, starts).await;
        reply.map_err(|error| self.record_late(&error, now))
    }

    /// Asks for the software version that began a stream; `None` if the broker does not know it.
    ///
    /// # Errors
    /// [`CallError`] when there is no response in time. The connection is kept then, as for quotas.
    pub async fn find_stream(
        &self,
        stream: u64,
        now: units::Timestamp,
    ) -> Result<Option<software_version::SoftwareVersion>, CallError> {
        let connection = self.connect(now).await?;
        let limit = service::deadline(RESPONSE_MARGIN);
        let reply = connection.find_stream(limit, stream).await;
        reply.map_err(|error| self.record_late(&error, now))
    }

    /// Drops the connection unless the call only had no response in time.
    fn record_late(&self, error: &client::RpcError, now: units::Timestamp) -> CallError {
        match error {
            client::RpcError::DeadlineExceeded => {
                self.state.lock().losses += 1;
                CallError::NoResponse {
                    message: error.to_string(),
                    has_ended: false,
                }
            }
            _ => self.disconnect(Vec::new(), error, now),
        }
    }

    async fn connect(&self, now: units::Timestamp) -> Result<service::BrokerRpcClient, CallError> {
        {
            let state = self.state.lock();
            if now < state.retry_at {
                return Err(CallError::BackingOff {
                    has_ended: state.has_ended,
                });
            }
            if let Some(connection) = &state.connection {
                return Ok(connection.clone());
            }
        }
        match service::connect(self.address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                self.state.lock().connection = Some(connection.clone());
                Ok(connection)
            }
            Err(source) => {
                let mut state = self.state.lock();
                state.losses += 1;
                state.retry_at = now + CONNECT_TIMEOUT + RETRY_DELAY;
                state.has_ended = source.is_refused();
                Err(CallError::Connect { source })
            }
        }
    }

    /// Drops the connection and queues the releases of the lost call again.
    fn disconnect(
        &self,
        released: Vec<u64>,
        error: &client::RpcError,
        now: units::Timestamp,
    ) -> CallError {
        let has_ended = matches!(
            error,
            client::RpcError::Shutdown | client::RpcError::Channel(_)
        );
        let mut state = self.state.lock();
        state.losses += 1;
        state.released.extend(released);
        state.connection = None;
        state.retry_at = now + RETRY_DELAY;
        state.has_ended = has_ended;
        self.disconnected.notify_waiters();
        CallError::NoResponse {
            message: error.to_string(),
            has_ended,
        }
    }
}

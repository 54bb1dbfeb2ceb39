//! RPC interface of a broker.

use std::{io, net, sync::Arc, time};

use decisions::{quota_ledger, software_version};
use futures::{StreamExt, future::BoxFuture};
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tarpc::{client, context, serde_transport::tcp, server, server::Channel, tokio_serde::formats};
use tokio::{
    net::{TcpListener, TcpStream},
    task,
};

use crate::{message, quotas, stream_book};

/// Maximum message length; calls are small, so a longer one is an error.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Idle time before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interface served by a broker.
#[tarpc::service]
pub trait BrokerRpc {
    /// Requests a permit and waits until the adapter is loaded.
    async fn request_permit(call: message::PermitCall) -> message::PermitReply;
    /// Heartbeat that fetches the engine's state.
    async fn heartbeat(call: message::HeartbeatCall) -> message::EngineView;
    /// Heartbeat of an entry whose configuration has quotas.
    async fn heartbeat_with_quotas(
        call: message::HeartbeatCall,
        report: quotas::QuotaReport,
    ) -> quotas::QuotaHeartbeatReply;
    /// Charges a request to the quota of its organisation.
    async fn charge_quota(call: quotas::QuotaCall) -> quota_ledger::ChargeDecision;
    /// Records starts of streams.
    async fn record_streams(starts: Vec<stream_book::StreamStart>);
    /// Software version that began a stream, if the broker knows it.
    async fn find_stream(stream: u64) -> Option<software_version::SoftwareVersion>;
}

/// Broker side of [`BrokerRpc`], as a trait object for the listener.
pub trait BrokerHandler: Send + Sync {
    /// Requests a permit and waits until the adapter is loaded.
    fn request_permit(&self, call: message::PermitCall) -> BoxFuture<'_, message::PermitReply>;
    /// Heartbeat that fetches the engine's state.
    fn heartbeat(&self, call: message::HeartbeatCall) -> message::EngineView;
}

#[derive(Clone)]
struct RpcAdapter {
    handler: Arc<dyn BrokerHandler>,
    quotas: Arc<dyn quotas::QuotaOwner>,
    streams: Arc<dyn stream_book::StreamKeeper>,
}

impl BrokerRpc for RpcAdapter {
    async fn request_permit(
        self,
        _: context::Context,
        call: message::PermitCall,
    ) -> message::PermitReply {
        self.handler.request_permit(call).await
    }

    async fn heartbeat(
        self,
        _: context::Context,
        call: message::HeartbeatCall,
    ) -> message::EngineView {
        self.handler.heartbeat(call)
    }

    async fn heartbeat_with_quotas(
        self,
        _: context::Context,
        call: message::HeartbeatCall,
        report: quotas::QuotaReport,
    ) -> quotas::QuotaHeartbeatReply {
        let quotas = self.quotas.record_heartbeat(call.entry, &report);
        quotas::QuotaHeartbeatReply {
            view: self.handler.heartbeat(call),
            quotas,
        }
    }

    async fn charge_quota(
        self,
        _: context::Context,
        call: quotas::QuotaCall,
    ) -> quota_ledger::ChargeDecision {
        self.quotas.charge(&call)
    }

    async fn record_streams(self, _: context::Context, starts: Vec<stream_book::StreamStart>) {
        self.streams.record_streams(starts);
    }

    async fn find_stream(
        self,
        _: context::Context,
        stream: u64,
    ) -> Option<software_version::SoftwareVersion> {
        self.streams.find_stream(stream)
    }
}

/// Error of a broker's connection or listener.
#[derive(Debug, Snafu)]
pub enum BrokerError {
    #[snafu(display("cannot connect to the broker at {address}: {source}"))]
    Connect {
        address: net::SocketAddr,
        source: io::Error,
    },
    #[snafu(display("no connection to the broker at {address} within {limit:?}"))]
    ConnectTimeout {
        address: net::SocketAddr,
        limit: time::Duration,
    },
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Listen {
        address: net::SocketAddr,
        source: io::Error,
    },
}

impl BrokerError {
    /// Whether no process listens there.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Connect { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }

    /// Whether the peer did not respond at all.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::ConnectTimeout { .. })
    }
}

/// Connects to a broker.
///
/// # Errors
/// [`BrokerError`] when the connection is refused or takes longer than `limit`.
pub async fn connect(
    address: net::SocketAddr,
    limit: time::Duration,
) -> Result<BrokerRpcClient, BrokerError> {
    let mut connecting = tcp::connect(address, formats::Bincode::default);
    connecting.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    let transport = tokio::time::timeout(limit, connecting)
        .await
        .ok()
        .ok_or(BrokerError::ConnectTimeout { address, limit })?
        .context(ConnectSnafu { address })?;
    set_socket_options(transport.get_ref()).context(ConnectSnafu { address })?;
    Ok(BrokerRpcClient::new(client::Config::default(), transport).spawn())
}

/// Serves calls until the task is dropped.
///
/// # Errors
/// [`BrokerError::Listen`] when the address is in use.
pub async fn serve(
    address: net::SocketAddr,
    handler: Arc<dyn BrokerHandler>,
    quotas: Arc<dyn quotas::QuotaOwner>,
    streams: Arc<dyn stream_book::StreamKeeper>,
) -> Result<(), BrokerError> {
    let mut incoming = tcp::listen(address, formats::Bincode::default)
        .await
        .context(ListenSnafu { address })?;
    incoming.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    let adapter = RpcAdapter {
        handler,
        quotas,
        streams,
    };
    let mut channels = task::JoinSet::new();
    while let Some(transport) = incoming.next().await {
        let Ok(transport) = transport else { continue };
        if set_socket_options(transport.get_ref()).is_err() {
            continue;
        }
        let channel = server::BaseChannel::with_defaults(transport);
        let calls = channel.execute(adapter.clone().serve());
        channels.spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
        while channels.try_join_next().is_some() {}
    }
    Ok(())
}

/// Binds a listener.
///
/// # Errors
/// [`BrokerError::Listen`] when the address is in use.
pub async fn bind(address: net::SocketAddr) -> Result<TcpListener, BrokerError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Call context with a deadline of `limit` from now.
#[must_use]
pub fn deadline(limit: time::Duration) -> context::Context {
    let mut call = context::current();
    call.deadline = time::Instant::now() + limit;
    call
}

/// Sends small messages without delay and detects a vanished peer.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

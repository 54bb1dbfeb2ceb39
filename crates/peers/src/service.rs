//! RPC interface of an agent, with its client and listener.

use std::{io, net, sync::Arc, time};

use decisions::ids;
use futures::{StreamExt, future::BoxFuture};
use snafu::{ResultExt, Snafu};
use tarpc::{client, context, serde_transport::tcp, server, server::Channel, tokio_serde::formats};
use tokio::task;

use crate::message;

/// Interface served by an agent.
#[tarpc::service]
pub trait AgentRpc {
    /// Opens a session.
    async fn hello(hello: message::Hello) -> message::HelloReply;
    /// Submits a request.
    async fn dispatch(dispatch: message::Dispatch) -> message::DispatchReply;
    /// Heartbeat that fetches the output of all streams of a session.
    async fn poll(poll: message::Poll) -> message::PollReply;
    /// Moves the stream of a known request to another session, from part 0.
    async fn attach(
        session: ids::SessionId,
        agent: ids::Incarnation,
        request: ids::RequestId,
    ) -> message::CancelReply;
    /// Prevents or stops the run of a request.
    async fn cancel(
        agent: ids::Incarnation,
        request: ids::RequestId,
        scope: message::CancelScope,
    ) -> message::CancelReply;
    /// Newest configuration, if newer than the version given.
    async fn configuration(known_version: u64) -> Option<message::ConfigurationImage>;
}

/// Object-safe form of [`AgentRpc`], implemented by the agent.
pub trait AgentHandler: Send + Sync {
    /// Opens a session.
    fn hello(&self, hello: message::Hello) -> BoxFuture<'_, message::HelloReply>;
    /// Submits a request.
    fn dispatch(&self, dispatch: message::Dispatch) -> BoxFuture<'_, message::DispatchReply>;
    /// Heartbeat that fetches the output of all streams of a session.
    fn poll(&self, poll: message::Poll) -> BoxFuture<'_, message::PollReply>;
    /// Moves the stream of a known request to another session, from part 0.
    fn attach(
        &self,
        session: ids::SessionId,
        agent: ids::Incarnation,
        request: ids::RequestId,
    ) -> BoxFuture<'_, message::CancelReply>;
    /// Prevents or stops the run of a request.
    fn cancel(
        &self,
        agent: ids::Incarnation,
        request: ids::RequestId,
        scope: message::CancelScope,
    ) -> BoxFuture<'_, message::CancelReply>;
    /// Newest configuration, if newer than the version given.
    fn configuration(
        &self,
        known_version: u64,
    ) -> BoxFuture<'_, Option<message::ConfigurationImage>>;
}

#[derive(Clone)]
struct AgentRpcServer(Arc<dyn AgentHandler>);

impl AgentRpc for AgentRpcServer {
    async fn hello(self, _: context::Context, hello: message::Hello) -> message::HelloReply {
        self.0.hello(hello).await
    }

    async fn dispatch(
        self,
        _: context::Context,
        dispatch: message::Dispatch,
    ) -> message::DispatchReply {
        self.0.dispatch(dispatch).await
    }

    async fn poll(self, _: context::Context, poll: message::Poll) -> message::PollReply {
        self.0.poll(poll).await
    }

    async fn attach(
        self,
        _: context::Context,
        session: ids::SessionId,
        agent: ids::Incarnation,
        request: ids::RequestId,
    ) -> message::CancelReply {
        self.0.attach(session, agent, request).await
    }

    async fn cancel(
        self,
        _: context::Context,
        agent: ids::Incarnation,
        request: ids::RequestId,
        scope: message::CancelScope,
    ) -> message::CancelReply {
        self.0.cancel(agent, request, scope).await
    }

    async fn configuration(
        self,
        _: context::Context,
        known_version: u64,
    ) -> Option<message::ConfigurationImage> {
        self.0.configuration(known_version).await
    }
}

/// Reason why a call to a peer failed.
#[derive(Debug, Snafu)]
pub enum PeerError {
    #[snafu(display(
        "cannot connect to {address}; check that the process runs and the address in the settings"
    ))]
    Connect {
        address: net::SocketAddr,
        source: io::Error,
    },
    #[snafu(display("no connection to {address} within {timeout:?}; check the network path"))]
    ConnectTimeout {
        address: net::SocketAddr,
        timeout: time::Duration,
    },
    #[snafu(display("cannot listen on {address}; check that no other process uses it"))]
    Listen {
        address: net::SocketAddr,
        source: io::Error,
    },
}

/// Connects to an agent within [`message::SESSION_SUSPEND_TIMEOUT`].
///
/// # Errors
/// [`PeerError`] when the connection is refused or takes too long.
pub async fn connect(address: net::SocketAddr) -> Result<AgentRpcClient, PeerError> {
    let timeout = message::SESSION_SUSPEND_TIMEOUT;
    let connecting = tcp::connect(address, formats::Bincode::default);
    let transport = tokio::time::timeout(timeout, connecting)
        .await
        .ok()
        .ok_or(PeerError::ConnectTimeout { address, timeout })?
        .context(ConnectSnafu { address })?;
    set_nodelay(&transport).context(ConnectSnafu { address })?;
    Ok(AgentRpcClient::new(client::Config::default(), transport).spawn())
}

/// Bound listener of an agent that does not serve calls yet.
pub struct AgentListener {
    incoming: AgentIncoming,
}

type AgentIncoming = tcp::Incoming<
    tarpc::ClientMessage<AgentRpcRequest>,
    tarpc::Response<AgentRpcResponse>,
    AgentCodec,
    fn() -> AgentCodec,
>;

type AgentCodec =
    formats::Bincode<tarpc::ClientMessage<AgentRpcRequest>, tarpc::Response<AgentRpcResponse>>;

impl AgentListener {
    /// Binds the agent's address.
    ///
    /// # Errors
    /// [`PeerError::Listen`] when the address is in use.
    pub async fn bind(address: net::SocketAddr) -> Result<Self, PeerError> {
        let codec: fn() -> AgentCodec = formats::Bincode::default;
        let incoming = tcp::listen(address, codec)
            .await
            .context(ListenSnafu { address })?;
        Ok(Self { incoming })
    }

    /// Address on which the agent listens.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.incoming.local_addr()
    }

    /// Serves calls until the task is dropped.
    pub async fn serve(mut self, handler: Arc<dyn AgentHandler>) {
        let mut channels = task::JoinSet::new();
        while let Some(transport) = self.incoming.next().await {
            let Ok(transport) = transport else { continue };
            if set_nodelay(&transport).is_err() {
                continue;
            }
            let channel = server::BaseChannel::with_defaults(transport);
            let calls = channel.execute(AgentRpcServer(Arc::clone(&handler)).serve());
            channels.spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
            while channels.try_join_next().is_some() {}
        }
    }
}

/// Call context with a deadline of `timeout` from now.
#[must_use]
pub fn context_with_timeout(timeout: time::Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = time::Instant::now() + timeout;
    context
}

fn set_nodelay<Item, SinkItem, Codec>(
    transport: &tarpc::serde_transport::Transport<tokio::net::TcpStream, Item, SinkItem, Codec>,
) -> io::Result<()> {
    transport.get_ref().set_nodelay(true)
}

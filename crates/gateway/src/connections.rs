//! Pool of HTTP connections to replicas.
//!
//! A connection carries one request at a time. It returns to the pool only after a complete
//! response; dropping it earlier closes it, which cancels the request at the replica.

use std::{
    io, net,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Collected, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task, time::Instant};

/// Idle time before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time within which sent bytes must be acknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Idle time after which a connection is not reused, unless the replica states a shorter one.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Maximum length of the head of a response, and of a read. Hundreds of connections may each hold a
/// few reads.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of interim responses (1xx) to one request.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Label of [`SendError::NotSent`].
pub const NOT_SENT_LABEL: &str = "connection_closed";

/// Reason why a request has no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        address: net::SocketAddr,
        source: io::Error,
    },
    #[snafu(display("no connection to {address} within {limit:?}"))]
    ConnectTimeout {
        address: net::SocketAddr,
        limit: time::Duration,
    },
    #[snafu(display("the connection closed before the request was sent"))]
    NotSent {
        /// Body of the request, which may be sent again.
        body: Bytes,
    },
    #[snafu(display("cannot set up the connection to {address}: {source}"))]
    Handshake {
        address: net::SocketAddr,
        source: hyper::Error,
    },
    #[snafu(display("the connection broke after the request was sent: {source}"))]
    Lost { source: hyper::Error },
    #[snafu(display("the head of the response has more than {limit} bytes"))]
    HeadTooLong { limit: usize },
    #[snafu(display("more than {limit} interim responses"))]
    InterimOverflow { limit: u32 },
}

impl SendError {
    /// Whether no byte of the request reached the replica.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::Handshake { .. }
            | Self::NotSent { .. } => true,
            Self::Lost { .. } | Self::HeadTooLong { .. } | Self::InterimOverflow { .. } => false,
        }
    }

    /// Whether the replica does not listen.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let Self::Connect { source, .. } = self else {
            return false;
        };
        source.kind() == io::ErrorKind::ConnectionRefused
    }

    /// Whether the connection ended before the head of the response, which a crash of the replica
    /// may have caused.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        matches!(self, Self::Lost { .. })
    }

    /// Label in logs and counters.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Connect { .. } => "connect_failed",
            Self::ConnectTimeout { .. } => "connect_timeout",
            Self::NotSent { .. } | Self::Handshake { .. } => NOT_SENT_LABEL,
            Self::Lost { .. } => "connection_lost",
            Self::HeadTooLong { .. } => "head_too_long",
            Self::InterimOverflow { .. } => "interim_overflow",
        }
    }
}

/// Open connection to a replica.
pub struct ReplicaConnection {
    address: net::SocketAddr,
    /// Replica for which the connection was opened.
    replica: String,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: task::AbortHandle,
    is_reused: bool,
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ReplicaConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`SendError`] when it is refused or takes longer than `limit`.
    pub async fn open(
        address: net::SocketAddr,
        replica: &str,
        limit: time::Duration,
    ) -> Result<Self, SendError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connecting)
            .await
            .ok()
            .ok_or(SendError::ConnectTimeout { address, limit })?
            .context(ConnectSnafu { address })?;
        set_socket_options(&stream).context(ConnectSnafu { address })?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu { address })?;
        let driver = tokio::spawn(async move {
            // An error reaches the request on the connection, if there is one.
            let _ = driver.await;
        });
        Ok(Self {
            address,
            replica: replica.to_owned(),
            sender,
            driver: driver.abort_handle(),
            is_reused: false,
        })
    }

    /// Whether the connection has carried a request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError`], which tells whether the request may have reached the replica.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            let body = recover_body(request).await;
            return Err(SendError::NotSent { body });
        }
        let interim_count = self.limit_interim_responses(&mut request);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                if let Some(request) = error.take_message() {
                    let body = recover_body(request).await;
                    return Err(SendError::NotSent { body });
                }
                let limit = MAX_INTERIM_RESPONSES;
                if interim_count.load(Ordering::Relaxed) > limit {
                    return Err(SendError::InterimOverflow { limit });
                }
                Err(lost_error(error.into_error()))
            }
        }
    }

    /// Closes the connection when there are too many interim responses, which `hyper` skips.
    fn limit_interim_responses(&self, request: &mut Request<Full<Bytes>>) -> Arc<AtomicU32> {
        let count = Arc::new(AtomicU32::new(0));
        let (counted, driver) = (Arc::clone(&count), self.driver.clone());
        hyper::ext::on_informational(request, move |_| {
            if counted.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                driver.abort();
            }
        });
        count
    }
}

/// Body of a request that was not sent.
async fn recover_body(request: Request<Full<Bytes>>) -> Bytes {
    let body = request.into_body().collect().await;
    body.map_or_else(|never| match never {}, Collected::to_bytes)
}

fn lost_error(source: hyper::Error) -> SendError {
    if source.is_parse_too_large() {
        let limit = MAX_HEAD_BYTES;
        return SendError::HeadTooLong { limit };
    }
    SendError::Lost { source }
}

struct IdleConnection {
    connection: ReplicaConnection,
    until: Instant,
}

/// Idle connections, sorted by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to a replica.
    pub fn take(&self, address: net::SocketAddr, replica: &str) -> Option<ReplicaConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
        let position = idle.iter().rposition(|entry| {
            entry.connection.address == address
                && entry.connection.replica == replica
                && entry.connection.sender.is_ready()
        })?;
        Some(idle.remove(position).connection)
    }

    /// Returns a connection after a complete response. `idle_timeout` is the replica's own.
    pub fn put(&self, mut connection: ReplicaConnection, idle_timeout: Option<time::Duration>) {
        let limit = idle_timeout.map_or(IDLE_TIMEOUT, |limit| limit.mul_f64(0.6).min(IDLE_TIMEOUT));
        if limit.is_zero() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.lock();
        let address = connection.address;
        let same = idle
            .iter()
            .filter(|entry| entry.connection.address == address);
        if same.count() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let position = idle.partition_point(|entry| entry.connection.address <= address);
        let until = Instant::now() + limit;
        idle.insert(position, IdleConnection { connection, until });
    }

    /// Drops the idle connections to an address whose replica is gone or unreachable.
    pub fn remove_idle(&self, address: net::SocketAddr) {
        self.idle
            .lock()
            .retain(|entry| entry.connection.address != address);
    }
}

/// Idle timeout that a response states for its connection; zero if it must not be reused.
#[must_use]
pub fn idle_timeout(headers: &http::HeaderMap) -> Option<time::Duration> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Some(time::Duration::ZERO);
    }
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(time::Duration::from_secs)
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    // A linger time of zero resets the connection on close. A request still in flight to a frozen
    // or partitioned replica is then lost, instead of running after its caller has left.
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT))
}

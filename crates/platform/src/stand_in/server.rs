//! HTTP server of the stand-ins; [`crate::http`] describes the protocol.

use std::{io, net, sync::Arc, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body, service};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task,
};

use crate::{
    http as protocol,
    instances::InstanceList,
    log::{LogBatch, LogError, LogService},
    weights::{WeightError, WeightStore},
};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of concurrent connections; further ones wait.
const MAX_CONNECTIONS: usize = 256;
/// Wait after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Services behind one address.
#[derive(Clone)]
pub struct PlatformServices {
    pub log: Arc<dyn LogService>,
    pub instances: Arc<dyn InstanceList>,
    pub weights: Arc<dyn WeightStore>,
}

/// Running server.
pub struct PlatformServer {
    address: net::SocketAddr,
    task: task::JoinHandle<()>,
}

struct StandInResponse {
    status: http::StatusCode,
    body: Vec<u8>,
}

impl PlatformServer {
    /// Serves on a free loopback port.
    ///
    /// # Errors
    /// The socket error when no port can be bound.
    pub async fn start(services: PlatformServices) -> io::Result<Self> {
        Self::start_at((net::Ipv4Addr::LOCALHOST, 0).into(), services).await
    }

    /// Serves at an address.
    ///
    /// # Errors
    /// The socket error when the address cannot be bound.
    pub async fn start_at(
        address: net::SocketAddr,
        services: PlatformServices,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, services));
        Ok(Self { address, task })
    }

    /// Address to connect to.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops the server and drops its connections.
    pub async fn close(self) {
        self.task.abort();
        // Always the error of the aborted task.
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, services: PlatformServices) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Aborting this task drops the set, which closes the connections.
    let mut connections = task::JoinSet::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        let services = services.clone();
        connections.spawn(async move {
            serve(stream, services).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, services: PlatformServices) {
    let handler = service::service_fn(move |request| {
        let services = services.clone();
        async move { respond(request, &services).await }
    });
    // Fails when the client disconnects or a fault drops the reply.
    let _ = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

/// Handles a request; an error closes the connection without a response.
async fn respond(
    request: http::Request<body::Incoming>,
    services: &PlatformServices,
) -> io::Result<http::Response<Full<Bytes>>> {
    let served = route(request, services).await?;
    let mut response = http::Response::new(Full::new(Bytes::from(served.body)));
    *response.status_mut() = served.status;
    Ok(response)
}

async fn route(
    request: http::Request<body::Incoming>,
    services: &PlatformServices,
) -> io::Result<StandInResponse> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let is_get = head.method == http::Method::GET;
    let is_post = head.method == http::Method::POST;
    if let Some(stream) = path.strip_prefix("/log/").filter(|_| is_get) {
        return read(services, stream, head.uri.query().unwrap_or_default()).await;
    }
    if let Some(stream) = path.strip_prefix("/log/").filter(|_| is_post) {
        return append(services, stream, body).await;
    }
    if let Some(adapter) = path.strip_prefix("/weights/").filter(|_| is_post) {
        return Ok(load(services, adapter).await);
    }
    if path == "/instances" && is_get {
        return Ok(match services.instances.list().await {
            Ok(listing) => ok_response(&protocol::InstancesResponse {
                instances: listing.instances,
            }),
            Err(_) => empty_response(http::StatusCode::SERVICE_UNAVAILABLE),
        });
    }
    Ok(empty_response(http::StatusCode::NOT_FOUND))
}

async fn append(
    services: &PlatformServices,
    stream: &str,
    body: body::Incoming,
) -> io::Result<StandInResponse> {
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(empty_response(http::StatusCode::PAYLOAD_TOO_LARGE));
    };
    let Ok(body) = serde_json::from_slice::<protocol::AppendRequest>(&body.to_bytes()) else {
        return Ok(empty_response(http::StatusCode::BAD_REQUEST));
    };
    let records = body.records.into_iter().map(Bytes::from).collect();
    match services.log.append(stream, records).await {
        Ok(first_offset) => Ok(ok_response(&protocol::AppendResponse { first_offset })),
        Err(error) => log_error_response(error),
    }
}

async fn read(
    services: &PlatformServices,
    stream: &str,
    query: &str,
) -> io::Result<StandInResponse> {
    let (Some(from), Some(max)) = (
        query_parameter(query, "from"),
        query_parameter(query, "max"),
    ) else {
        return Ok(empty_response(http::StatusCode::BAD_REQUEST));
    };
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    match services.log.read(stream, from, max).await {
        Ok(batch) => Ok(ok_response(&read_response(batch))),
        Err(error) => log_error_response(error),
    }
}

async fn load(services: &PlatformServices, adapter: &str) -> StandInResponse {
    match services.weights.load(adapter).await {
        Ok(()) => empty_response(http::StatusCode::OK),
        Err(WeightError::RateLimited { retry_after }) => {
            let millis = retry_after.as_millis() + 1;
            let retry_after_millis = u64::try_from(millis).unwrap_or(u64::MAX);
            let mut response = ok_response(&protocol::RateLimitResponse { retry_after_millis });
            response.status = http::StatusCode::TOO_MANY_REQUESTS;
            response
        }
        Err(WeightError::Unavailable { .. }) => {
            empty_response(http::StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

fn log_error_response(error: LogError) -> io::Result<StandInResponse> {
    match error {
        LogError::NotApplied { .. } => Ok(empty_response(http::StatusCode::SERVICE_UNAVAILABLE)),
        LogError::Refused { .. } => Ok(empty_response(http::StatusCode::BAD_REQUEST)),
        LogError::OffsetExpired { first_retained } => {
            let mut response = ok_response(&protocol::OffsetExpiredResponse { first_retained });
            response.status = http::StatusCode::GONE;
            Ok(response)
        }
        LogError::MaybeApplied { message } => Err(io::Error::other(message)),
    }
}

fn read_response(batch: LogBatch) -> protocol::ReadResponse {
    let records = batch.records.into_iter();
    protocol::ReadResponse {
        first_retained: batch.first_retained,
        end: batch.end,
        records: records
            .map(|record| protocol::RecordBody {
                offset: record.offset,
                payload: record.payload.to_vec(),
            })
            .collect(),
    }
}

fn query_parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?
        .parse()
        .ok()
}

fn ok_response<T: Serialize>(value: &T) -> StandInResponse {
    StandInResponse {
        status: http::StatusCode::OK,
        // Serialization to memory fails only for maps whose keys are not strings.
        body: serde_json::to_vec(value).unwrap_or_default(),
    }
}

fn empty_response(status: http::StatusCode) -> StandInResponse {
    StandInResponse {
        status,
        body: b"{}".to_vec(),
    }
}

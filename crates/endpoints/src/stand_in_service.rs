//! Stand-in for a plain service on loopback; it counts calls by request id.

use std::{io, net, sync::Arc, time};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service};
use hyper_util::{rt, server::conn::auto};
use parking_lot::Mutex;
use tokio::{net::TcpListener, task};

use crate::http_engine;

/// Maximum number of request ids with a call count; calls with further ids are not counted.
const MAX_COUNTED_IDS: usize = 1 << 16;

/// Injected faults of a stand-in service.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Delay before the response.
    pub delay: time::Duration,
    /// Whether the connection closes without a response after the call was counted.
    pub drop_responses: bool,
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    /// Sorted by request id.
    calls: Vec<CallCount>,
}

struct CallCount {
    request_id: String,
    calls: u64,
}

/// Running stand-in service; it echoes the request body.
pub struct StandInService {
    address: net::SocketAddr,
    state: Arc<Mutex<ServiceState>>,
    task: task::JoinHandle<()>,
}

impl StandInService {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// The error of the operating system when no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at((net::Ipv4Addr::LOCALHOST, 0).into()).await
    }

    /// Starts a service at an address.
    ///
    /// # Errors
    /// The error of the operating system when the address cannot be bound.
    pub async fn start_at(address: net::SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::default();
        let task = tokio::spawn(accept_connections(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Address of the service.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Number of calls with this request id.
    #[must_use]
    pub fn calls(&self, request_id: &str) -> u64 {
        let state = self.state.lock();
        let position = state
            .calls
            .binary_search_by(|other| other.request_id.as_str().cmp(request_id));
        position.map_or(0, |position| state.calls[position].calls)
    }

    /// Number of counted calls.
    #[must_use]
    pub fn total_calls(&self) -> u64 {
        self.state
            .lock()
            .calls
            .iter()
            .map(|count| count.calls)
            .sum()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().faults = faults;
    }

    /// Stops the service.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<Mutex<ServiceState>>) {
    let mut connections = task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        connections.spawn(async move {
            let handler =
                service::service_fn(move |request| echo_body(request, Arc::clone(&state)));
            let _ = auto::Builder::new(rt::TokioExecutor::new())
                .http1_only()
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn echo_body(
    request: Request<Incoming>,
    state: Arc<Mutex<ServiceState>>,
) -> io::Result<Response<Full<Bytes>>> {
    let request_id = request.headers().get(http_engine::REQUEST_ID_HEADER);
    let request_id = request_id
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let faults = state.lock().count_call(request_id);
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    tokio::time::sleep(faults.delay).await;
    if faults.drop_responses {
        return Err(io::Error::other("the response is dropped"));
    }
    Ok(Response::new(Full::new(body)))
}

impl ServiceState {
    fn count_call(&mut self, request_id: &str) -> ServiceFaults {
        let found = self
            .calls
            .binary_search_by(|other| other.request_id.as_str().cmp(request_id));
        match found {
            Ok(position) => self.calls[position].calls += 1,
            Err(position) if self.calls.len() < MAX_COUNTED_IDS => {
                let request_id = request_id.to_owned();
                self.calls.insert(
                    position,
                    CallCount {
                        request_id,
                        calls: 1,
                    },
                );
            }
            Err(_) => {}
        }
        self.faults.clone()
    }
}

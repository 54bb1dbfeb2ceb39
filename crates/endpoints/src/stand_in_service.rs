//! Stand-in for a plain service on loopback that counts its calls.

use std::{io, net, sync::Arc, time};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service};
use hyper_util::{rt, server::conn::auto};
use parking_lot::Mutex;
use tokio::{net::TcpListener, task};

use crate::http_engine;

/// Keys that are counted; further ones are not.
const KEYS_KEPT: usize = 1 << 16;

/// Behaviour of a stand-in service.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Time before the answer.
    pub delay: time::Duration,
    /// The connection closes without an answer after the call was counted.
    pub drop_responses: bool,
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    /// Sorted by key.
    calls: Vec<KeyCalls>,
}

struct KeyCalls {
    key: String,
    calls: u64,
}

/// Running stand-in service; it answers with the body of the call.
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
        let task = tokio::spawn(accept(listener, Arc::clone(&state)));
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

    /// Calls with the request id `key`.
    #[must_use]
    pub fn calls(&self, key: &str) -> u64 {
        let state = self.state.lock();
        let position = state
            .calls
            .binary_search_by(|other| other.key.as_str().cmp(key));
        position.map_or(0, |position| state.calls[position].calls)
    }

    /// Calls with any request id.
    #[must_use]
    pub fn total_calls(&self) -> u64 {
        self.state.lock().calls.iter().map(|key| key.calls).sum()
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

async fn accept(listener: TcpListener, state: Arc<Mutex<ServiceState>>) {
    let mut connections = task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        connections.spawn(async move {
            let handler = service::service_fn(move |request| answer(request, Arc::clone(&state)));
            let _ = auto::Builder::new(rt::TokioExecutor::new())
                .http1_only()
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn answer(
    request: Request<Incoming>,
    state: Arc<Mutex<ServiceState>>,
) -> io::Result<Response<Full<Bytes>>> {
    let key = request.headers().get(http_engine::REQUEST_ID_HEADER);
    let key = key
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let faults = state.lock().count(key);
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    tokio::time::sleep(faults.delay).await;
    if faults.drop_responses {
        return Err(io::Error::other("the reply is lost"));
    }
    Ok(Response::new(Full::new(body)))
}

impl ServiceState {
    fn count(&mut self, key: &str) -> ServiceFaults {
        let found = self
            .calls
            .binary_search_by(|other| other.key.as_str().cmp(key));
        match found {
            Ok(position) => self.calls[position].calls += 1,
            Err(position) if self.calls.len() < KEYS_KEPT => {
                let key = key.to_owned();
                self.calls.insert(position, KeyCalls { key, calls: 1 });
            }
            Err(_) => {}
        }
        self.faults.clone()
    }
}

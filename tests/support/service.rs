//! Plain service that counts its calls by body and can delay its responses.

use std::{collections::BTreeMap, convert::Infallible, net, sync::Arc};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service};
use hyper_util::{rt, server::conn::auto};
use parking_lot::Mutex;
use tokio::{net::TcpListener, sync::watch, task};

/// Running service; a call's body identifies the order that must be stored once.
pub struct OrderService {
    address: net::SocketAddr,
    calls: Arc<Mutex<BTreeMap<String, u64>>>,
    is_held: watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

impl OrderService {
    /// Starts the service on a free loopback port.
    pub async fn start() -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::default();
        let is_held = watch::Sender::new(false);
        let task = tokio::spawn(accept(listener, Arc::clone(&calls), is_held.clone()));
        Self {
            address,
            calls,
            is_held,
            task,
        }
    }

    /// Address of the service.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Calls with this body, counted when they arrive.
    pub fn call_count(&self, body: &str) -> u64 {
        self.calls.lock().get(body).copied().unwrap_or(0)
    }

    /// Delays all responses until it is called with `false`.
    pub fn hold_responses(&self, is_held: bool) {
        self.is_held.send_replace(is_held);
    }
}

impl Drop for OrderService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    calls: Arc<Mutex<BTreeMap<String, u64>>>,
    is_held: watch::Sender<bool>,
) {
    let mut connections = task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (calls, is_held) = (Arc::clone(&calls), is_held.subscribe());
        connections.spawn(async move {
            let handler = service::service_fn(move |request| {
                handle_call(request, Arc::clone(&calls), is_held.clone())
            });
            let _ = auto::Builder::new(rt::TokioExecutor::new())
                .http1_only()
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn handle_call(
    request: Request<Incoming>,
    calls: Arc<Mutex<BTreeMap<String, u64>>>,
    mut is_held: watch::Receiver<bool>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let body = request.into_body().collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    *calls.lock().entry(text.clone()).or_default() += 1;
    let _ = is_held.wait_for(|is_held| !is_held).await;
    Ok(Response::new(Full::new(Bytes::from(stored_response(
        &text,
    )))))
}

/// Response to the order with this body.
pub fn stored_response(body: &str) -> String {
    format!("stored {body}")
}

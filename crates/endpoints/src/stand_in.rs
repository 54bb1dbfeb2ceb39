//! Stand-in for a model engine on loopback.
//!
//! It uses continuous batching: every step generates one token of each running request. The text
//! of a token names the adapter version, the prompt's hash and the position, so a caller can check
//! that a response is complete and its own.

use std::{collections::VecDeque, io, net, sync::Arc, time};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, combinators};
use hyper::{body::Incoming, service};
use hyper_util::{rt, server::conn::auto};
use parking_lot::Mutex;
use platform::weights::WeightStore;
use tokio::{
    net::TcpListener,
    sync::{self, watch},
    task,
};

pub use crate::stand_in_requests::token_text;
use crate::{
    client, stand_in_adapters,
    stand_in_requests::{self, text_response},
};

pub(crate) type ResponseBody = combinators::UnsyncBoxBody<Bytes, io::Error>;
/// Response, or an error that closes the connection without a response.
pub(crate) type EngineResponse = io::Result<Response<ResponseBody>>;

/// Maximum number of past statuses kept for [`EngineFaults::status_age`].
const MAX_PAST_STATUSES: usize = 64;

/// Behaviour of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub base_model: String,
    pub adapter_slots: usize,
    pub batch_limit: usize,
    /// Duration of one step, which generates one token of each running request.
    pub step_time: time::Duration,
    /// Load time of an adapter without a weight store.
    pub load_time: time::Duration,
    /// Whether commands with an outdated fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            base_model: "base".into(),
            adapter_slots: 8,
            batch_limit: 16,
            step_time: time::Duration::from_millis(5),
            load_time: time::Duration::from_millis(250),
            checks_fencing: true,
        }
    }
}

/// Injected faults of a stand-in engine, in effect until they are replaced.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineFaults {
    /// Factor on the step time; 0 counts as 1.
    pub slow_factor: u32,
    /// Whether loads are refused immediately.
    pub refuse_loads: bool,
    /// Whether loads fail after their load time.
    pub fail_loads: bool,
    /// Number of loads and generations that take effect without a response.
    pub dropped_responses: u32,
    /// Number of tokens after which a stream stalls; a resumed stream does not.
    pub stall_after: Option<u32>,
    /// Whether responses name another model.
    pub wrong_model: bool,
    /// Age of the reported status.
    pub status_age: time::Duration,
}

/// Counters of a stand-in engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineCounts {
    pub loads: u64,
    pub unloads: u64,
    /// Unloads of an adapter with open requests.
    pub unloads_in_use: u64,
    pub generations: u64,
    pub resumes: u64,
    pub cancelled: u64,
    pub preempted: u64,
    pub largest_batch: u16,
    /// Request ids of the first generations, in order of start.
    pub request_ids: Vec<String>,
}

pub(crate) struct EngineState {
    pub(crate) options: EngineOptions,
    pub(crate) store: Option<Arc<dyn WeightStore>>,
    pub(crate) faults: EngineFaults,
    pub(crate) epoch: u64,
    pub(crate) restarts: watch::Sender<u64>,
    pub(crate) adapters: Vec<String>,
    pub(crate) requests: Vec<stand_in_requests::EngineRequest>,
    pub(crate) running: u16,
    pub(crate) fencing: u64,
    pub(crate) counts: EngineCounts,
    past_statuses: VecDeque<TimedStatus>,
}

struct TimedStatus {
    at: tokio::time::Instant,
    status: client::EngineStatus,
}

/// Running stand-in engine.
pub struct StandInEngine {
    address: net::SocketAddr,
    state: Arc<Mutex<EngineState>>,
    task: task::JoinHandle<()>,
}

impl StandInEngine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    /// The error of the operating system when no port can be bound.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        Self::start_with_store(options, None).await
    }

    /// Starts an engine that loads adapters from a weight store, if one is given.
    ///
    /// # Errors
    /// The error of the operating system when no port can be bound.
    pub async fn start_with_store(
        options: EngineOptions,
        store: Option<Arc<dyn WeightStore>>,
    ) -> io::Result<Self> {
        Self::start_at((net::Ipv4Addr::LOCALHOST, 0).into(), options, store).await
    }

    /// Starts an engine at an address.
    ///
    /// # Errors
    /// The error of the operating system when the address cannot be bound.
    pub async fn start_at(
        address: net::SocketAddr,
        options: EngineOptions,
        store: Option<Arc<dyn WeightStore>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let batch = Arc::new(sync::Semaphore::new(options.batch_limit));
        let state = Arc::new(Mutex::new(EngineState {
            options,
            store,
            faults: EngineFaults::default(),
            epoch: 1,
            restarts: watch::channel(1).0,
            adapters: Vec::new(),
            requests: Vec::new(),
            running: 0,
            fencing: 0,
            counts: EngineCounts::default(),
            past_statuses: VecDeque::new(),
        }));
        let task = tokio::spawn(accept_connections(listener, Arc::clone(&state), batch));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Address of the engine.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Counters so far.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.state.lock().counts.clone()
    }

    /// Sorted names of the loaded adapters.
    #[must_use]
    pub fn adapters(&self) -> Vec<String> {
        self.state.lock().adapters.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().faults = faults;
    }

    /// Restarts without adapters, requests and fencing number, and breaks all streams.
    pub fn restart_cold(&self) {
        let mut state = self.state.lock();
        state.epoch += 1;
        state.adapters.clear();
        state.requests.clear();
        state.running = 0;
        state.fencing = 0;
        let epoch = state.epoch;
        state.restarts.send_replace(epoch);
    }

    /// Stops the engine.
    pub fn close(self) {
        self.task.abort();
    }
}

impl EngineState {
    pub(crate) fn step_duration(&self) -> time::Duration {
        self.options.step_time * self.faults.slow_factor.max(1)
    }

    /// Consumes one dropped response and returns whether there was one.
    pub(crate) fn take_dropped_response(&mut self) -> bool {
        let is_lost = self.faults.dropped_responses > 0;
        self.faults.dropped_responses = self.faults.dropped_responses.saturating_sub(1);
        is_lost
    }
}

async fn accept_connections(
    listener: TcpListener,
    state: Arc<Mutex<EngineState>>,
    batch: Arc<sync::Semaphore>,
) {
    let mut connections = task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let (state, batch) = (Arc::clone(&state), Arc::clone(&batch));
        connections.spawn(async move {
            let handler = service::service_fn(move |request| {
                let state = Arc::clone(&state);
                let batch = Arc::clone(&batch);
                async move { route(request, state, batch).await }
            });
            let _ = auto::Builder::new(rt::TokioExecutor::new())
                .http1_only()
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn route(
    request: Request<Incoming>,
    state: Arc<Mutex<EngineState>>,
    batch: Arc<sync::Semaphore>,
) -> EngineResponse {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(text_response(
            StatusCode::BAD_REQUEST,
            "incomplete request body",
        ));
    };
    let body = body.to_bytes();
    match parts.uri.path() {
        "/v1/status" => Ok(report_status(&state)),
        "/v1/load_lora_adapter" => stand_in_adapters::load(&parts, &body, &state).await,
        "/v1/unload_lora_adapter" => Ok(stand_in_adapters::unload(&parts, &body, &state)),
        "/v1/completions" => stand_in_requests::generate(&parts, &body, &state, batch, false),
        "/v1/chat/completions" => stand_in_requests::generate(&parts, &body, &state, batch, true),
        path => Ok(route_by_id(path, parts.uri.query(), &body, &state, batch)),
    }
}

/// Routes below `/v1/requests/{id}`.
fn route_by_id(
    path: &str,
    query: Option<&str>,
    body: &[u8],
    state: &Arc<Mutex<EngineState>>,
    batch: Arc<sync::Semaphore>,
) -> Response<ResponseBody> {
    let path = path.strip_prefix("/v1/requests/").unwrap_or_default();
    match path.split_once('/') {
        Some((id, "events")) => {
            let from = query.and_then(|query| query.strip_prefix("from=")?.parse().ok());
            stand_in_requests::resume(state, id, from.unwrap_or(0), batch)
        }
        Some((id, "cancel")) => stand_in_requests::cancel(state, id, body),
        _ => text_response(StatusCode::NOT_FOUND, "unknown path"),
    }
}

fn report_status(state: &Mutex<EngineState>) -> Response<ResponseBody> {
    let mut state = state.lock();
    let now = tokio::time::Instant::now();
    let open_count = state
        .requests
        .iter()
        .filter(|request| request.is_open())
        .count();
    let open_count = u16::try_from(open_count).unwrap_or(u16::MAX);
    let status = client::EngineStatus {
        epoch: state.epoch,
        base_model: state.options.base_model.clone(),
        running: state.running,
        queued: open_count.saturating_sub(state.running),
        fencing: state.fencing,
        adapters: state.adapters.clone(),
    };
    state
        .past_statuses
        .push_back(TimedStatus { at: now, status });
    let min_age = state.faults.status_age;
    while state.past_statuses.len() > MAX_PAST_STATUSES
        || state
            .past_statuses
            .get(1)
            .is_some_and(|second| now - second.at >= min_age)
    {
        state.past_statuses.pop_front();
    }
    let oldest = state.past_statuses.front().map(|oldest| &oldest.status);
    let body = serde_json::to_string(&oldest).unwrap_or_default();
    text_response(StatusCode::OK, &body)
}

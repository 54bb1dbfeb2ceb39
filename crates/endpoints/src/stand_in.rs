//! Stand-in for a model engine on loopback.
//!
//! It batches continuously: in every step each running request gets one token. The text names the
//! adapter version and the position, so a caller can check that an answer is whole and its own.

use std::{convert::Infallible, io, net, sync::Arc, time};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators};
use hyper::{
    body::{Frame, Incoming},
    service,
};
use hyper_util::{rt, server::conn::auto};
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::{net::TcpListener, sync, task};
use xxhash_rust::xxh3;

use crate::{client, http_engine};

type ResponseBody = combinators::UnsyncBoxBody<Bytes, Infallible>;

/// Behaviour of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub base_model: String,
    pub adapter_slots: usize,
    pub batch_limit: usize,
    /// Time of one step, which gives each running request one token.
    pub step: time::Duration,
    /// Time to load one adapter.
    pub load: time::Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            base_model: "base".into(),
            adapter_slots: 8,
            batch_limit: 16,
            step: time::Duration::from_millis(5),
            load: time::Duration::from_millis(250),
            checks_fencing: true,
        }
    }
}

/// Counters of a stand-in engine, for checks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineCounts {
    pub loads: u64,
    pub generations: u64,
    /// Request ids of all generations, in order of start.
    pub started: Vec<String>,
}

struct EngineState {
    options: EngineOptions,
    adapters: Vec<String>,
    running: u16,
    fencing: u64,
    counts: EngineCounts,
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
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let batch = Arc::new(sync::Semaphore::new(options.batch_limit));
        let state = Arc::new(Mutex::new(EngineState {
            options,
            adapters: Vec::new(),
            running: 0,
            fencing: 0,
            counts: EngineCounts::default(),
        }));
        let task = tokio::spawn(accept(listener, Arc::clone(&state), batch));
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

    /// Stops the engine.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(
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
        let state = Arc::clone(&state);
        let batch = Arc::clone(&batch);
        connections.spawn(async move {
            let handler = service::service_fn(move |request| {
                let state = Arc::clone(&state);
                let batch = Arc::clone(&batch);
                async move { Ok::<_, Infallible>(route(request, state, batch).await) }
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
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return plain(StatusCode::BAD_REQUEST, "the body is incomplete");
    };
    let body = body.to_bytes();
    match parts.uri.path() {
        "/v1/status" => report(&state),
        "/v1/load_lora_adapter" => load(&parts, &body, &state).await,
        "/v1/unload_lora_adapter" => unload(&parts, &body, &state),
        "/v1/completions" => generate(&parts, &body, state, batch, false).await,
        "/v1/chat/completions" => generate(&parts, &body, state, batch, true).await,
        _ => plain(StatusCode::NOT_FOUND, "unknown path"),
    }
}

fn report(state: &Mutex<EngineState>) -> Response<ResponseBody> {
    let state = state.lock();
    let status = client::EngineStatus {
        epoch: 1,
        base_model: state.options.base_model.clone(),
        running: state.running,
        queued: 0,
        fencing: state.fencing,
        adapters: state.adapters.clone(),
    };
    let body = serde_json::to_string(&status).unwrap_or_default();
    plain(StatusCode::OK, &body)
}

#[derive(Deserialize)]
struct AdapterOrder {
    lora_name: String,
}

/// Checks the fencing number of an order and reads its adapter name.
fn read_order(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Mutex<EngineState>,
) -> Result<String, Box<Response<ResponseBody>>> {
    let fencing = parts
        .headers
        .get(http_engine::FENCING_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let order: AdapterOrder = serde_json::from_slice(body)
        .map_err(|error| Box::new(plain(StatusCode::BAD_REQUEST, &error.to_string())))?;
    let mut state = state.lock();
    if state.options.checks_fencing && fencing < state.fencing {
        let mut response = plain(StatusCode::PRECONDITION_FAILED, "old fencing number");
        let current = http::HeaderValue::from(state.fencing);
        response
            .headers_mut()
            .insert(http_engine::FENCING_HEADER, current);
        return Err(Box::new(response));
    }
    state.fencing = state.fencing.max(fencing);
    Ok(order.lora_name)
}

async fn load(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Mutex<EngineState>,
) -> Response<ResponseBody> {
    let name = match read_order(parts, body, state) {
        Ok(name) => name,
        Err(response) => return *response,
    };
    let duration = state.lock().options.load;
    tokio::time::sleep(duration).await;
    let mut state = state.lock();
    state.counts.loads += 1;
    let Err(position) = state.adapters.binary_search(&name) else {
        return plain(StatusCode::OK, "loaded before");
    };
    if state.adapters.len() >= state.options.adapter_slots {
        return plain(StatusCode::CONFLICT, "no free adapter slot");
    }
    state.adapters.insert(position, name);
    plain(StatusCode::OK, "loaded")
}

fn unload(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Mutex<EngineState>,
) -> Response<ResponseBody> {
    let name = match read_order(parts, body, state) {
        Ok(name) => name,
        Err(response) => return *response,
    };
    let mut state = state.lock();
    match state.adapters.binary_search(&name) {
        Ok(position) => {
            state.adapters.remove(position);
            plain(StatusCode::OK, "unloaded")
        }
        Err(_) => plain(StatusCode::NOT_FOUND, "not loaded"),
    }
}

#[derive(Deserialize)]
struct GenerateBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

impl GenerateBody {
    /// Prompt, or the last message of a chat.
    fn input(&self) -> &str {
        match self.messages.last() {
            Some(message) => &message.content,
            None => &self.prompt,
        }
    }
}

fn default_max_tokens() -> u32 {
    16
}

async fn generate(
    parts: &http::request::Parts,
    body: &[u8],
    state: Arc<Mutex<EngineState>>,
    batch: Arc<sync::Semaphore>,
    chat: bool,
) -> Response<ResponseBody> {
    let body: GenerateBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return plain(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let Ok(permit) = batch.acquire_owned().await else {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    };
    let step = {
        let mut state = state.lock();
        if state.adapters.binary_search(&body.model).is_err() {
            return plain(StatusCode::NOT_FOUND, "the adapter is not loaded");
        }
        let request = parts
            .headers
            .get(http_engine::REQUEST_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        state.counts.generations += 1;
        state.counts.started.push(request);
        state.running += 1;
        state.options.step
    };
    let running = RunningRequest {
        state,
        _permit: permit,
    };
    let prompt = body.input().to_owned();
    let tokens = futures::stream::unfold((0, running), move |(index, running)| {
        let model = body.model.clone();
        let prompt = prompt.clone();
        async move {
            if index > body.max_tokens {
                return None;
            }
            if index < body.max_tokens {
                tokio::time::sleep(step).await;
            }
            let event = event(&model, &prompt, index, body.max_tokens, chat);
            let frame = Frame::data(Bytes::from(event));
            Some((Ok::<_, Infallible>(frame), (index + 1, running)))
        }
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(tokens)));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// Text of token `index` of the answer of `model` to `prompt`.
#[must_use]
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let hash = xxh3::xxh3_64(prompt.as_bytes());
    format!("{model}:{hash:016x}:{index} ")
}

fn event(model: &str, prompt: &str, index: u32, max_tokens: u32, chat: bool) -> String {
    if index == max_tokens {
        let usage = serde_json::json!({"prompt_tokens": 1, "completion_tokens": max_tokens});
        let choice = serde_json::json!({"index": 0, "text": "", "finish_reason": "length"});
        let chunk = serde_json::json!({"model": model, "choices": [choice], "usage": usage});
        return format!("data: {chunk}\n\ndata: [DONE]\n\n");
    }
    let text = token_text(model, prompt, index);
    let choice = if chat {
        serde_json::json!({"index": 0, "delta": {"content": text}})
    } else {
        serde_json::json!({"index": 0, "text": text})
    };
    let chunk = serde_json::json!({"model": model, "choices": [choice]});
    format!("data: {chunk}\n\n")
}

/// Place of a request in the batch, given back on drop.
struct RunningRequest {
    state: Arc<Mutex<EngineState>>,
    _permit: sync::OwnedSemaphorePermit,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.lock().running -= 1;
    }
}

fn plain(status: StatusCode, body: &str) -> Response<ResponseBody> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let mut response = Response::new(BodyExt::boxed_unsync(body));
    *response.status_mut() = status;
    response
}

//! Generations of a stand-in engine and their event streams.
//!
//! The text of a token follows from its number, so a generation is only a counter and its answer
//! can be read again from any position.

use std::{io, sync::Arc, time};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::sync::{self, watch};
use xxhash_rust::xxh3;

use crate::{
    http_engine,
    stand_in::{EngineState, Reply, ResponseBody},
};

/// Interval of heartbeats.
const HEARTBEAT: time::Duration = time::Duration::from_millis(500);
/// Time without a reader after which a generation is stopped.
const READER_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Ended generations that can still be read.
const ENDED_KEPT: usize = 1024;
/// Request ids kept for checks.
const STARTED_KEPT: usize = 1 << 16;

/// Generation known to the engine.
#[derive(Clone)]
pub(crate) struct EngineRequest {
    id: String,
    pub(crate) model: String,
    prompt: Arc<str>,
    max_tokens: u32,
    is_chat: bool,
    progress: Arc<watch::Sender<Progress>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    produced: u32,
    is_ended: bool,
    is_preempted: bool,
    /// Increases with every pause; the producer of an earlier turn stops.
    turn: u32,
}

#[derive(Default, Deserialize)]
struct CancelBody {
    #[serde(default)]
    keep: bool,
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

impl EngineRequest {
    pub(crate) fn is_open(&self) -> bool {
        !self.progress.borrow().is_ended
    }

    fn end(&self) {
        self.progress
            .send_modify(|progress| progress.is_ended = true);
    }
}

/// Starts a generation and answers with its events.
pub(crate) fn generate(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Arc<Mutex<EngineState>>,
    batch: Arc<sync::Semaphore>,
    is_chat: bool,
) -> Reply {
    let body: GenerateBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return Ok(plain(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let id = parts.headers.get(http_engine::REQUEST_ID_HEADER);
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let request = EngineRequest {
        id: id.to_owned(),
        prompt: body.input().into(),
        model: body.model,
        max_tokens: body.max_tokens,
        is_chat,
        progress: Arc::new(watch::channel(Progress::default()).0),
    };
    let is_lost = {
        let mut state = state.lock();
        if state.adapters.binary_search(&request.model).is_err() {
            return Ok(plain(StatusCode::NOT_FOUND, "the adapter is not loaded"));
        }
        state.counts.generations += 1;
        if state.counts.request_ids.len() < STARTED_KEPT {
            state.counts.request_ids.push(request.id.clone());
        }
        state.add_request(request.clone());
        state.take_dropped_response()
    };
    let events = read_events(state, &request, 0, true);
    tokio::spawn(produce(Arc::clone(state), request, batch));
    if is_lost {
        return Err(io::Error::other("the reply is lost"));
    }
    Ok(events)
}

/// Answers with the events of a known generation from `from` on.
pub(crate) fn resume(
    state: &Arc<Mutex<EngineState>>,
    id: &str,
    from: u32,
    batch: Arc<sync::Semaphore>,
) -> Response<ResponseBody> {
    let request = {
        let mut state = state.lock();
        state.counts.resumes += 1;
        state.find_request(id)
    };
    match request {
        Some(request) => {
            let events = read_events(state, &request, from, false);
            let was_preempted = request.progress.send_if_modified(|progress| {
                std::mem::replace(&mut progress.is_preempted, false) && !progress.is_ended
            });
            if was_preempted {
                tokio::spawn(produce(Arc::clone(state), request, batch));
            }
            events
        }
        None => plain(StatusCode::NOT_FOUND, "unknown request"),
    }
}

/// Stops a generation, or pauses it when the body asks to keep it.
pub(crate) fn cancel(state: &Mutex<EngineState>, id: &str, body: &[u8]) -> Response<ResponseBody> {
    let body: CancelBody = serde_json::from_slice(body).unwrap_or_default();
    let mut state = state.lock();
    let Some(request) = state.find_request(id) else {
        return plain(StatusCode::NOT_FOUND, "unknown request");
    };
    if request.is_open() && body.keep {
        state.counts.preempted += 1;
        request.progress.send_modify(|progress| {
            progress.is_preempted = true;
            progress.turn += 1;
        });
    } else if request.is_open() {
        state.counts.cancelled += 1;
        request.end();
    }
    plain(StatusCode::OK, "cancelled")
}

impl EngineState {
    fn add_request(&mut self, request: EngineRequest) {
        self.requests.push(request);
        let ended = self.requests.iter().filter(|other| !other.is_open());
        if ended.count() > ENDED_KEPT {
            let first = self.requests.iter().position(|other| !other.is_open());
            self.requests.remove(first.unwrap_or(0));
        }
    }

    fn find_request(&self, id: &str) -> Option<EngineRequest> {
        let mut requests = self.requests.iter();
        requests.find(|request| request.id == id).cloned()
    }
}

async fn produce(
    state: Arc<Mutex<EngineState>>,
    request: EngineRequest,
    batch: Arc<sync::Semaphore>,
) {
    let Ok(_permit) = batch.acquire_owned().await else {
        return;
    };
    let epoch = {
        let mut state = state.lock();
        state.running += 1;
        state.counts.largest_batch = state.counts.largest_batch.max(state.running);
        state.epoch
    };
    let mut read = tokio::time::Instant::now();
    let Progress {
        mut produced, turn, ..
    } = *request.progress.borrow();
    let is_current = || request.progress.borrow().turn == turn;
    while produced < request.max_tokens && request.is_open() && is_current() {
        let step = state.lock().step();
        tokio::time::sleep(step).await;
        if request.progress.receiver_count() > 0 {
            read = tokio::time::Instant::now();
        } else if read.elapsed() > READER_LIMIT {
            break;
        }
        if !is_current() {
            break;
        }
        produced += 1;
        request
            .progress
            .send_modify(|progress| progress.produced = produced);
    }
    if is_current() {
        request.end();
    }
    let mut state = state.lock();
    if state.epoch == epoch {
        state.running -= 1;
    }
}

struct EventCursor {
    state: Arc<Mutex<EngineState>>,
    request: EngineRequest,
    progress: watch::Receiver<Progress>,
    epoch: watch::Receiver<u64>,
    index: u32,
    /// Whether the stream can be told to go silent.
    is_first: bool,
    is_ended: bool,
}

fn read_events(
    state: &Arc<Mutex<EngineState>>,
    request: &EngineRequest,
    from: u32,
    is_first: bool,
) -> Response<ResponseBody> {
    let cursor = EventCursor {
        state: Arc::clone(state),
        progress: request.progress.subscribe(),
        epoch: state.lock().restarts.subscribe(),
        request: request.clone(),
        index: from,
        is_first,
        is_ended: false,
    };
    let events = futures::stream::unfold(cursor, |mut cursor| async move {
        let event = cursor.next().await?;
        let frame = event.map(|event| Frame::data(Bytes::from(event)));
        Some((frame, cursor))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    response
}

impl EventCursor {
    async fn next(&mut self) -> Option<io::Result<String>> {
        if self.is_ended {
            return None;
        }
        let faults = self.state.lock().faults.clone();
        let is_silent = faults.stall_after.is_some_and(|limit| self.index >= limit);
        if is_silent && self.is_first {
            std::future::pending::<()>().await;
        }
        loop {
            let progress = *self.progress.borrow_and_update();
            if self.index < progress.produced {
                self.index += 1;
                return Some(Ok(self.text(self.index - 1, faults.wrong_model)));
            }
            if progress.is_ended {
                self.is_ended = true;
                return Some(Ok(self.end(faults.wrong_model)));
            }
            tokio::select! {
                changed = self.progress.changed() => if changed.is_err() {
                    return None;
                },
                _ = self.epoch.changed() => {
                    self.is_ended = true;
                    return Some(Err(io::Error::other("the engine restarts")));
                }
                () = tokio::time::sleep(HEARTBEAT) => return Some(Ok(": heartbeat\n\n".into())),
            }
        }
    }

    fn model(&self, is_wrong: bool) -> &str {
        if is_wrong {
            return "other@1";
        }
        &self.request.model
    }

    fn text(&self, index: u32, is_wrong: bool) -> String {
        let text = token_text(&self.request.model, &self.request.prompt, index);
        let choice = if self.request.is_chat {
            serde_json::json!({"index": 0, "delta": {"content": text}})
        } else {
            serde_json::json!({"index": 0, "text": text})
        };
        let chunk = serde_json::json!({"model": self.model(is_wrong), "choices": [choice]});
        format!("id: {index}\ndata: {chunk}\n\n")
    }

    fn end(&self, is_wrong: bool) -> String {
        let produced = self.progress.borrow().produced;
        let reason = if produced < self.request.max_tokens {
            "abort"
        } else {
            "length"
        };
        let usage = serde_json::json!({"prompt_tokens": 1, "completion_tokens": produced});
        let choice = serde_json::json!({"index": 0, "text": "", "finish_reason": reason});
        let model = self.model(is_wrong);
        let chunk = serde_json::json!({"model": model, "choices": [choice], "usage": usage});
        format!("data: {chunk}\n\ndata: [DONE]\n\n")
    }
}

/// Text of token `index` of the answer of `model` to `prompt`.
#[must_use]
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let hash = xxh3::xxh3_64(prompt.as_bytes());
    format!("{model}:{hash:016x}:{index} ")
}

/// Answer with a text.
pub(crate) fn plain(status: StatusCode, body: &str) -> Response<ResponseBody> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let body = body.map_err(|never| match never {});
    let mut response = Response::new(BodyExt::boxed_unsync(body));
    *response.status_mut() = status;
    response
}

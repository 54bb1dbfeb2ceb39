//! Generations of a stand-in engine and their event streams.
//!
//! The text of a token is a function of its index, so a generation is stored as a counter and its
//! response can be read again from any position.

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
    stand_in::{EngineResponse, EngineState, ResponseBody},
};

const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time without a reader after which a generation ends.
const READER_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Maximum number of ended generations that can still be read.
const MAX_ENDED_REQUESTS: usize = 1024;
/// Maximum number of request ids in the counters.
const MAX_COUNTED_IDS: usize = 1 << 16;

/// Generation that the engine knows.
#[derive(Clone)]
pub(crate) struct EngineRequest {
    id: String,
    pub(crate) model: String,
    prompt: Arc<str>,
    max_tokens: u32,
    is_chat: bool,
    progress: Arc<watch::Sender<GenerationProgress>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct GenerationProgress {
    produced: u32,
    is_ended: bool,
    is_preempted: bool,
    /// Number of preemptions. A token producer stops when it increases.
    preemptions: u32,
}

#[derive(Default, Deserialize)]
struct CancelRequest {
    #[serde(default)]
    keep: bool,
}

#[derive(Deserialize)]
struct GenerateRequest {
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

impl GenerateRequest {
    /// Last message of a chat, or the prompt.
    fn input_text(&self) -> &str {
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

/// Starts a generation and responds with its events.
pub(crate) fn generate(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Arc<Mutex<EngineState>>,
    batch: Arc<sync::Semaphore>,
    is_chat: bool,
) -> EngineResponse {
    let body: GenerateRequest = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return Ok(text_response(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let id = parts.headers.get(http_engine::REQUEST_ID_HEADER);
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let request = EngineRequest {
        id: id.to_owned(),
        prompt: body.input_text().into(),
        model: body.model,
        max_tokens: body.max_tokens,
        is_chat,
        progress: Arc::new(watch::channel(GenerationProgress::default()).0),
    };
    let is_lost = {
        let mut state = state.lock();
        if state.adapters.binary_search(&request.model).is_err() {
            return Ok(text_response(
                StatusCode::NOT_FOUND,
                "the adapter is not loaded",
            ));
        }
        state.counts.generations += 1;
        if state.counts.request_ids.len() < MAX_COUNTED_IDS {
            state.counts.request_ids.push(request.id.clone());
        }
        state.add_request(request.clone());
        state.take_dropped_response()
    };
    let events = read_events(state, &request, 0, true);
    tokio::spawn(produce_tokens(Arc::clone(state), request, batch));
    if is_lost {
        return Err(io::Error::other("the response is dropped"));
    }
    Ok(events)
}

/// Responds with the events of a known generation from index `from`, and continues the generation
/// if it is preempted.
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
                tokio::spawn(produce_tokens(Arc::clone(state), request, batch));
            }
            events
        }
        None => text_response(StatusCode::NOT_FOUND, "unknown request"),
    }
}

/// Cancels a generation, or preempts it if the body has `keep`.
pub(crate) fn cancel(state: &Mutex<EngineState>, id: &str, body: &[u8]) -> Response<ResponseBody> {
    let body: CancelRequest = serde_json::from_slice(body).unwrap_or_default();
    let mut state = state.lock();
    let Some(request) = state.find_request(id) else {
        return text_response(StatusCode::NOT_FOUND, "unknown request");
    };
    if request.is_open() && body.keep {
        state.counts.preempted += 1;
        request.progress.send_modify(|progress| {
            progress.is_preempted = true;
            progress.preemptions += 1;
        });
    } else if request.is_open() {
        state.counts.cancelled += 1;
        request.end();
    }
    text_response(StatusCode::OK, "cancelled")
}

impl EngineState {
    fn add_request(&mut self, request: EngineRequest) {
        self.requests.push(request);
        let ended = self.requests.iter().filter(|other| !other.is_open());
        if ended.count() > MAX_ENDED_REQUESTS {
            let first = self.requests.iter().position(|other| !other.is_open());
            self.requests.remove(first.unwrap_or(0));
        }
    }

    fn find_request(&self, id: &str) -> Option<EngineRequest> {
        let mut requests = self.requests.iter();
        requests.find(|request| request.id == id).cloned()
    }
}

async fn produce_tokens(
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
    let mut last_read = tokio::time::Instant::now();
    let GenerationProgress {
        mut produced,
        preemptions,
        ..
    } = *request.progress.borrow();
    let is_current = || request.progress.borrow().preemptions == preemptions;
    while produced < request.max_tokens && request.is_open() && is_current() {
        let step = state.lock().step_duration();
        tokio::time::sleep(step).await;
        if request.progress.receiver_count() > 0 {
            last_read = tokio::time::Instant::now();
        } else if last_read.elapsed() > READER_TIMEOUT {
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
    progress: watch::Receiver<GenerationProgress>,
    epoch: watch::Receiver<u64>,
    index: u32,
    /// Whether the stream can stall; resumed streams cannot.
    can_stall: bool,
    is_ended: bool,
}

fn read_events(
    state: &Arc<Mutex<EngineState>>,
    request: &EngineRequest,
    from: u32,
    can_stall: bool,
) -> Response<ResponseBody> {
    let cursor = EventCursor {
        state: Arc::clone(state),
        progress: request.progress.subscribe(),
        epoch: state.lock().restarts.subscribe(),
        request: request.clone(),
        index: from,
        can_stall,
        is_ended: false,
    };
    let events = futures::stream::unfold(cursor, |mut cursor| async move {
        let event = cursor.next_event().await?;
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
    async fn next_event(&mut self) -> Option<io::Result<String>> {
        if self.is_ended {
            return None;
        }
        let faults = self.state.lock().faults.clone();
        let is_stalled = faults.stall_after.is_some_and(|limit| self.index >= limit);
        if is_stalled && self.can_stall {
            std::future::pending::<()>().await;
        }
        loop {
            let progress = *self.progress.borrow_and_update();
            if self.index < progress.produced {
                self.index += 1;
                return Some(Ok(self.text_event(self.index - 1, faults.wrong_model)));
            }
            if progress.is_ended {
                self.is_ended = true;
                return Some(Ok(self.end_event(faults.wrong_model)));
            }
            tokio::select! {
                changed = self.progress.changed() => if changed.is_err() {
                    return None;
                },
                _ = self.epoch.changed() => {
                    self.is_ended = true;
                    return Some(Err(io::Error::other("the engine restarted")));
                }
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                    return Some(Ok(": heartbeat\n\n".into()));
                }
            }
        }
    }

    fn model(&self, is_wrong: bool) -> &str {
        if is_wrong {
            return "other@1";
        }
        &self.request.model
    }

    fn text_event(&self, index: u32, is_wrong: bool) -> String {
        let text = token_text(&self.request.model, &self.request.prompt, index);
        let choice = if self.request.is_chat {
            serde_json::json!({"index": 0, "delta": {"content": text}})
        } else {
            serde_json::json!({"index": 0, "text": text})
        };
        let chunk = serde_json::json!({"model": self.model(is_wrong), "choices": [choice]});
        format!("id: {index}\ndata: {chunk}\n\n")
    }

    fn end_event(&self, is_wrong: bool) -> String {
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

/// Text of token `index` in the response of `model` to `prompt`.
#[must_use]
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let hash = xxh3::xxh3_64(prompt.as_bytes());
    format!("{model}:{hash:016x}:{index} ")
}

/// Response with a plain-text body.
pub(crate) fn text_response(status: StatusCode, body: &str) -> Response<ResponseBody> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let body = body.map_err(|never| match never {});
    let mut response = Response::new(BodyExt::boxed_unsync(body));
    *response.status_mut() = status;
    response
}

//! Model engine over HTTP.
//!
//! Generations use the `OpenAI` routes with server-sent events. Orders are `POST
//! /v1/load_lora_adapter` and `POST /v1/unload_lora_adapter` with a JSON object `lora_name`;
//! the header `x-fencing-number` carries the fencing number, and status 412 with the current
//! number in the same header refuses an old one. `GET /v1/status` reports the state.

use std::{net, time};

use bytes::Bytes;
use decisions::{ids, units};
use futures::{StreamExt, future};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect},
    rt,
};
use serde::Deserialize;

use crate::client::{self, EndpointError, ModelEngine};

/// Header with the fencing number of an order.
pub const FENCING_HEADER: &str = "x-fencing-number";
/// Header with the request id of a generation.
pub const REQUEST_HEADER: &str = "x-request-id";
const STATUS_LIMIT: time::Duration = time::Duration::from_secs(2);
const ORDER_LIMIT: time::Duration = time::Duration::from_secs(30);
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Engine reached over HTTP.
pub struct HttpEngine {
    address: net::SocketAddr,
    client: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl HttpEngine {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(STATUS_LIMIT));
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Self { address, client }
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
    }

    async fn send(
        &self,
        builder: http::request::Builder,
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, EndpointError> {
        let request = builder
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| self.malformed(&error))?;
        let response = self.client.request(request).await.map_err(|error| {
            let endpoint = self.address.to_string();
            let message = error.to_string();
            if error.is_connect() {
                EndpointError::Unreachable { endpoint, message }
            } else {
                EndpointError::Interrupted { endpoint, message }
            }
        })?;
        self.check(response).await
    }

    async fn check(
        &self,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, EndpointError> {
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let endpoint = self.address.to_string();
        if status == StatusCode::PRECONDITION_FAILED {
            let current = response
                .headers()
                .get(FENCING_HEADER)
                .and_then(|value| value.to_str().ok()?.parse().ok())
                .unwrap_or(u64::MAX);
            return Err(EndpointError::Fenced { endpoint, current });
        }
        let message = response
            .into_body()
            .collect()
            .await
            .map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned())
            .unwrap_or_default();
        Err(EndpointError::Refused {
            endpoint,
            status: status.as_u16(),
            message,
        })
    }

    async fn order(
        &self,
        path: &str,
        adapter: &ids::AdapterRef,
        fencing: u64,
    ) -> Result<(), EndpointError> {
        let builder = self
            .request(Method::POST, path)
            .header(FENCING_HEADER, fencing);
        let body = serde_json::json!({ "lora_name": adapter.to_string() });
        let sending = self.send(builder, body.to_string().into_bytes());
        self.within(ORDER_LIMIT, sending).await.map(drop)
    }

    async fn within<T>(
        &self,
        limit: time::Duration,
        work: impl Future<Output = Result<T, EndpointError>>,
    ) -> Result<T, EndpointError> {
        let outcome = tokio::time::timeout(limit, work).await;
        outcome.unwrap_or_else(|_| {
            Err(EndpointError::Timeout {
                endpoint: self.address.to_string(),
                limit,
            })
        })
    }

    async fn read_status(&self) -> Result<client::EngineStatus, EndpointError> {
        let response = self
            .send(self.request(Method::GET, "/v1/status"), Vec::new())
            .await?;
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| self.interrupted(&error))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| self.malformed(&error))
    }

    async fn start(
        &self,
        generation: client::Generation,
    ) -> Result<client::TokenStream, EndpointError> {
        let mut body: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(&generation.body).map_err(|error| self.malformed(&error))?;
        let model = generation.adapter.to_string();
        body.insert("model".into(), model.clone().into());
        body.insert("stream".into(), true.into());
        body.insert(
            "priority".into(),
            engine_priority(generation.priority).into(),
        );
        let body = serde_json::to_vec(&body).map_err(|error| self.malformed(&error))?;
        let builder = self
            .request(Method::POST, generation.path)
            .header(REQUEST_HEADER, generation.request.to_string());
        let response = self.send(builder, body).await?;
        let reader = EventReader {
            endpoint: self.address.to_string(),
            model,
            body: response.into_body(),
            buffer: Vec::new(),
            done: false,
        };
        let events = futures::stream::unfold(reader, |mut reader| async move {
            let event = reader.next().await?;
            Some((event, reader))
        });
        Ok(events.boxed())
    }

    fn interrupted(&self, error: &dyn std::error::Error) -> EndpointError {
        EndpointError::Interrupted {
            endpoint: self.address.to_string(),
            message: error.to_string(),
        }
    }

    fn malformed(&self, error: &dyn std::error::Error) -> EndpointError {
        EndpointError::Malformed {
            endpoint: self.address.to_string(),
            message: error.to_string(),
        }
    }
}

impl ModelEngine for HttpEngine {
    fn status(&self) -> future::BoxFuture<'_, Result<client::EngineStatus, EndpointError>> {
        Box::pin(self.within(STATUS_LIMIT, self.read_status()))
    }

    fn load_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>> {
        Box::pin(self.order("/v1/load_lora_adapter", adapter, fencing))
    }

    fn unload_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>> {
        Box::pin(self.order("/v1/unload_lora_adapter", adapter, fencing))
    }

    fn generate(
        &self,
        generation: client::Generation,
    ) -> future::BoxFuture<'_, Result<client::TokenStream, EndpointError>> {
        Box::pin(self.start(generation))
    }
}

/// Engines serve the lowest number first.
fn engine_priority(priority: units::Priority) -> i8 {
    match priority {
        units::Priority::High => -1,
        units::Priority::Normal => 0,
        units::Priority::Low => 1,
    }
}

#[derive(Deserialize)]
struct Chunk {
    model: String,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
}

/// Reader of server-sent events that checks the model name of every chunk.
struct EventReader {
    endpoint: String,
    model: String,
    body: Incoming,
    buffer: Vec<u8>,
    done: bool,
}

impl EventReader {
    async fn next(&mut self) -> Option<Result<client::TokenEvent, EndpointError>> {
        while !self.done {
            if let Some(line) = self.take_line() {
                match self.parse(&line) {
                    Ok(None) => continue,
                    Ok(Some(event)) => return Some(Ok(event)),
                    Err(error) => return Some(Err(self.fail(error))),
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                let error = self.malformed("an event is longer than 1 MiB");
                return Some(Err(self.fail(error)));
            }
            let frame = self.body.frame().await;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => {
                    let error = self.interrupted(&error.to_string());
                    return Some(Err(self.fail(error)));
                }
                None => {
                    let error = self.interrupted("the stream ended without [DONE]");
                    return Some(Err(self.fail(error)));
                }
            }
        }
        None
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
        while line.last().is_some_and(u8::is_ascii_whitespace) {
            line.pop();
        }
        Some(line)
    }

    fn parse(&mut self, line: &[u8]) -> Result<Option<client::TokenEvent>, EndpointError> {
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(None);
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return Ok(None);
        }
        let chunk: Chunk =
            serde_json::from_slice(data).map_err(|error| self.malformed(&error.to_string()))?;
        if chunk.model != self.model {
            let message = format!("asked for {} but {} answered", self.model, chunk.model);
            return Err(EndpointError::WrongAdapter {
                endpoint: self.endpoint.clone(),
                message,
            });
        }
        Ok(chunk_event(chunk))
    }

    fn fail(&mut self, error: EndpointError) -> EndpointError {
        self.done = true;
        error
    }

    fn interrupted(&self, message: &str) -> EndpointError {
        EndpointError::Interrupted {
            endpoint: self.endpoint.clone(),
            message: message.to_owned(),
        }
    }

    fn malformed(&self, message: &str) -> EndpointError {
        EndpointError::Malformed {
            endpoint: self.endpoint.clone(),
            message: message.to_owned(),
        }
    }
}

fn chunk_event(chunk: Chunk) -> Option<client::TokenEvent> {
    let choice = chunk.choices.into_iter().next();
    let finish_reason = choice
        .as_ref()
        .and_then(|choice| choice.finish_reason.clone());
    if finish_reason.is_some() || chunk.usage.is_some() {
        let usage = chunk.usage.unwrap_or(Usage {
            prompt_tokens: 0,
            completion_tokens: 0,
        });
        return Some(client::TokenEvent::Finished {
            finish_reason,
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
        });
    }
    let choice = choice?;
    let delta = choice.delta.and_then(|delta| delta.content);
    let text = choice.text.or(delta)?;
    Some(client::TokenEvent::Text { text, tokens: 1 })
}

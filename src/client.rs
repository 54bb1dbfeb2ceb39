//! HTTP client of the load generator.

use std::{net, time};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect},
    rt,
};
use serde::Deserialize;

/// Time without data after which a streamed response counts as lost.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Client for entries.
pub struct LoadClient {
    client: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

/// Streamed response as the caller received it.
#[derive(Debug, Default)]
pub struct StreamedResponse {
    /// Text of each token.
    pub texts: Vec<String>,
    /// The `[DONE]` event was received.
    pub is_done: bool,
    pub error: Option<ResponseError>,
    pub first_token: Option<time::Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<time::Duration>,
}

/// Error in a response of an entry.
#[derive(Clone, Debug, Deserialize)]
pub struct ResponseError {
    pub code: String,
    pub outcome: String,
    pub message: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ResponseError,
}

#[derive(Deserialize)]
struct ChunkBody {
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    text: String,
    finish_reason: Option<String>,
}

impl Default for LoadClient {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadClient {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Self { client }
    }

    /// Sends a streamed completion and collects its response.
    pub async fn stream_completion(
        &self,
        entry: net::SocketAddr,
        body: &serde_json::Value,
        deadline: time::Duration,
    ) -> StreamedResponse {
        let mut streamed = StreamedResponse::default();
        let request = Request::post(format!("http://{entry}/v1/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-deadline-ms", deadline.as_millis().to_string())
            .body(Full::new(Bytes::from(body.to_string())));
        let sent = time::Instant::now();
        let outcome = match request {
            Ok(request) => self.read_response(request, sent, &mut streamed).await,
            Err(error) => Err(error.to_string()),
        };
        if let Err(message) = outcome
            && streamed.error.is_none()
        {
            streamed.error = Some(connection_error(message));
        }
        streamed
    }

    /// Sends a request and returns its status and whole body.
    ///
    /// # Errors
    /// The message of the connection error.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<(u16, Bytes), String> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    }

    /// Whether an entry accepts requests.
    pub async fn is_ready(&self, entry: net::SocketAddr) -> bool {
        let request = Request::get(format!("http://{entry}/readyz")).body(Full::default());
        let Ok(request) = request else { return false };
        matches!(self.send(request).await, Ok((200, _)))
    }

    /// Reads the state of an entry.
    ///
    /// # Errors
    /// The message of the connection error, or the status of the response.
    pub async fn status(&self, entry: net::SocketAddr) -> Result<serde_json::Value, String> {
        let request = Request::get(format!("http://{entry}/status")).body(Full::default());
        let request = request.map_err(|error| error.to_string())?;
        let (status, body) = self.send(request).await?;
        if status != 200 {
            return Err(format!("status {status}"));
        }
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    async fn read_response(
        &self,
        request: Request<Full<Bytes>>,
        sent: time::Instant,
        streamed: &mut StreamedResponse,
    ) -> Result<(), String> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            let body: ErrorBody =
                serde_json::from_slice(&body).map_err(|error| error.to_string())?;
            streamed.error = Some(body.error);
            return Ok(());
        }
        read_events(response.into_body(), sent, streamed).await
    }
}

async fn read_events(
    mut body: Incoming,
    sent: time::Instant,
    streamed: &mut StreamedResponse,
) -> Result<(), String> {
    let mut buffer = Vec::new();
    let mut last = sent;
    loop {
        let frame = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| "the response stalled".to_owned())? else {
            return Ok(());
        };
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            record_event(data.trim_ascii(), sent, &mut last, streamed)?;
        }
    }
}

fn record_event(
    data: &[u8],
    sent: time::Instant,
    last: &mut time::Instant,
    streamed: &mut StreamedResponse,
) -> Result<(), String> {
    if data == b"[DONE]" {
        streamed.is_done = true;
        return Ok(());
    }
    if let Ok(body) = serde_json::from_slice::<ErrorBody>(data) {
        streamed.error = Some(body.error);
        return Ok(());
    }
    let chunk: ChunkBody = serde_json::from_slice(data).map_err(|error| error.to_string())?;
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Ok(());
    };
    if choice.finish_reason.is_some() {
        return Ok(());
    }
    let now = time::Instant::now();
    if streamed.first_token.is_none() {
        streamed.first_token = Some(now - sent);
    } else {
        streamed.token_gaps.push(now - *last);
    }
    *last = now;
    streamed.texts.push(choice.text);
    Ok(())
}

fn connection_error(message: String) -> ResponseError {
    ResponseError {
        code: "connection".into(),
        outcome: "unknown".into(),
        message,
    }
}

//! Test caller of an entry over HTTP.

use std::net;

use endpoints::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Deadline of requests without an explicit one, in milliseconds.
const DEADLINE_MILLIS: u32 = 30_000;

/// Response as a caller received it.
#[derive(Debug)]
pub struct TestResponse {
    /// 0 when the connection ended before a status.
    pub status: u16,
    pub body: String,
}

impl TestResponse {
    /// Concatenated text of a streamed completion.
    pub fn text(&self) -> String {
        let events = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        events
            .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
            .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    /// Whether the completion has all tokens in order, from this adapter version, and its end marker.
    pub fn is_complete(&self, model: &str, prompt: &str, tokens: u32) -> bool {
        let texts = (0..tokens).map(|index| stand_in::token_text(model, prompt, index));
        self.text() == texts.collect::<String>() && self.body.contains("[DONE]")
    }

    /// Outcome in the error body or in the error event of a stream.
    pub fn outcome(&self) -> Option<String> {
        let mut lines = self.body.lines();
        let event = lines.find_map(|line| line.strip_prefix("data: {\"error\"").map(|_| line));
        let body = event.map_or(self.body.as_str(), |line| &line["data: ".len()..]);
        let body: serde_json::Value = serde_json::from_str(body).ok()?;
        body["error"]["outcome"].as_str().map(str::to_owned)
    }
}

/// Requests a streamed completion.
pub async fn stream_completion(
    entry: net::SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> TestResponse {
    stream_completion_within(entry, model, prompt, tokens, DEADLINE_MILLIS).await
}

/// Requests a streamed completion with a deadline for its first token.
pub async fn stream_completion_within(
    entry: net::SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
    deadline_millis: u32,
) -> TestResponse {
    let body = serde_json::json!({
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": true,
    });
    let headers = format!("content-type: application/json\r\nx-deadline-ms: {deadline_millis}\r\n");
    send(
        entry,
        "POST",
        "/v1/completions",
        &headers,
        &body.to_string(),
    )
    .await
}

/// Posts an order to the service `orders` with an idempotency key, which is also its body.
pub async fn post_order(entry: net::SocketAddr, key: &str, deadline_millis: u32) -> TestResponse {
    let headers = format!("idempotency-key: {key}\r\nx-deadline-ms: {deadline_millis}\r\n");
    send(entry, "POST", "/services/orders/new", &headers, key).await
}

/// Status of an entry, `null` while it is not reachable.
pub async fn status(entry: net::SocketAddr) -> serde_json::Value {
    let response = send(entry, "GET", "/status", "", "").await;
    serde_json::from_str(&response.body).unwrap_or_default()
}

/// Configuration version of an entry, 0 while it is not reachable.
pub async fn configuration_version(entry: net::SocketAddr) -> u64 {
    let status = status(entry).await;
    status["configuration_version"].as_u64().unwrap_or(0)
}

/// Sends a request and reads the response until the connection ends.
pub async fn send(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> TestResponse {
    let mut received = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address).await {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(request.as_bytes()).await.is_ok() {
            // A killed process resets the connection; the data received before is still used.
            let _ = stream.read_to_end(&mut received).await;
        }
    }
    parse_response(&received)
}

fn parse_response(received: &[u8]) -> TestResponse {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = if is_chunked {
        join_chunks(body)
    } else {
        body.to_owned()
    };
    TestResponse {
        status: status.unwrap_or(0),
        body,
    }
}

fn join_chunks(mut body: &str) -> String {
    let mut joined = String::new();
    while let Some((length, rest)) = body.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap_or(0);
        let Some(chunk) = rest.get(..length) else {
            break;
        };
        joined.push_str(chunk);
        body = rest[length..].trim_start_matches("\r\n");
    }
    joined
}

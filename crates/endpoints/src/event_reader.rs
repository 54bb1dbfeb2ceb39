//! Reader of the server-sent events of a generation.

use std::time;

use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::client::{self, EndpointError};

/// Time without data after which a stream counts as lost; heartbeats are more frequent.
pub const STREAM_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reads the events of `model` from a body that starts at text event `from`.
#[must_use]
pub fn read_events(
    endpoint: String,
    model: String,
    body: Incoming,
    from: u64,
) -> client::TokenStream {
    let reader = EventReader {
        endpoint,
        model,
        body,
        buffer: Vec::new(),
        is_done: false,
        next_index: from,
        event_id: None,
        requires_ids: from > 0,
    };
    let events = futures::stream::unfold(reader, |mut reader| async move {
        let event = reader.next_event().await?;
        Some((event, reader))
    });
    events.boxed()
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

/// Reader that checks the model name of every chunk.
struct EventReader {
    endpoint: String,
    model: String,
    body: Incoming,
    buffer: Vec<u8>,
    is_done: bool,
    /// Number of the next text event.
    next_index: u64,
    /// Number of the current event in its `id` field.
    event_id: Option<u64>,
    /// Whether events must be numbered. Without numbers, a stream restarted from the beginning
    /// could not be distinguished from a resumed one.
    requires_ids: bool,
}

impl EventReader {
    async fn next_event(&mut self) -> Option<Result<client::TokenEvent, EndpointError>> {
        while !self.is_done {
            if let Some(line) = self.take_line() {
                match self.parse_line(&line) {
                    Ok(None) => continue,
                    Ok(Some(event)) => return Some(Ok(event)),
                    Err(error) => return Some(Err(self.finish_with(error))),
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                let error = self.malformed("an event exceeds 1 MiB");
                return Some(Err(self.finish_with(error)));
            }
            let reading = tokio::time::timeout(STREAM_IDLE_TIMEOUT, self.body.frame());
            let Ok(frame) = reading.await else {
                let error = EndpointError::Timeout {
                    endpoint: self.endpoint.clone(),
                    limit: STREAM_IDLE_TIMEOUT,
                };
                return Some(Err(self.finish_with(error)));
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => {
                    let error = self.interrupted(&error.to_string());
                    return Some(Err(self.finish_with(error)));
                }
                None => {
                    let error = self.interrupted("the stream ended before [DONE]");
                    return Some(Err(self.finish_with(error)));
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

    fn parse_line(&mut self, line: &[u8]) -> Result<Option<client::TokenEvent>, EndpointError> {
        if let Some(id) = line.strip_prefix(b"id:") {
            let id = str::from_utf8(id).unwrap_or_default().trim();
            self.event_id = id.parse().ok();
            return Ok(None);
        }
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(None);
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.is_done = true;
            return Ok(None);
        }
        let chunk: Chunk =
            serde_json::from_slice(data).map_err(|error| self.malformed(&error.to_string()))?;
        if chunk.model != self.model {
            let message = format!("requested {}, received {}", self.model, chunk.model);
            return Err(EndpointError::WrongAdapter {
                endpoint: self.endpoint.clone(),
                message,
            });
        }
        match decode_chunk(chunk) {
            Some(event @ client::TokenEvent::Text { .. }) => Ok(self.advance()?.then_some(event)),
            event => Ok(event),
        }
    }

    /// Returns whether the current text event is the next one; repeated events are skipped.
    fn advance(&mut self) -> Result<bool, EndpointError> {
        let id = self.event_id.take();
        if id.is_none() && self.requires_ids {
            return Err(self.malformed("a resumed stream lacks event numbers"));
        }
        let id = id.unwrap_or(self.next_index);
        if id > self.next_index {
            let message = format!("event {} is missing before {id}", self.next_index);
            return Err(self.malformed(&message));
        }
        let is_next = id == self.next_index;
        self.next_index += u64::from(is_next);
        Ok(is_next)
    }

    fn finish_with(&mut self, error: EndpointError) -> EndpointError {
        self.is_done = true;
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

fn decode_chunk(chunk: Chunk) -> Option<client::TokenEvent> {
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

//! Answers in the `OpenAI` form and in the form of a plain service.

use std::time;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use serde::Serialize;

use crate::{
    completion::CompletionKind,
    error,
    handler::{self, ResponsePart},
};

const KEEP_ALIVE_COMMENT: &[u8] = b": keep-alive\n\n";

/// Renders the parts of one completion.
pub struct CompletionRenderer {
    kind: CompletionKind,
    model: String,
    created: u64,
}

/// Whole answer of a plain service.
#[derive(Debug)]
pub struct ServiceResponse {
    pub status: u16,
    pub content_type: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Serialize)]
struct Chunk<'a> {
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Clone, Copy, Serialize)]
struct Usage {
    #[serde(rename = "prompt_tokens")]
    prompt: u32,
    #[serde(rename = "completion_tokens")]
    completion: u32,
    #[serde(rename = "total_tokens")]
    total: u32,
}

impl CompletionRenderer {
    /// Creates a renderer that repeats the caller's model name.
    #[must_use]
    pub fn new(kind: CompletionKind, model: &str) -> Self {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        Self {
            kind,
            model: model.to_owned(),
            created: since_epoch.map_or(0, |duration| duration.as_secs()),
        }
    }

    /// Server-sent event of one part.
    #[must_use]
    pub fn event(&self, part: &ResponsePart) -> Bytes {
        let event = match part {
            ResponsePart::Text(text) => format!("data: {}\n\n", self.chunk(text, None, None)),
            ResponsePart::Finished {
                finish_reason,
                prompt_tokens,
                completion_tokens,
            } => {
                let usage = usage(*prompt_tokens, *completion_tokens);
                let chunk = self.chunk("", finish_reason.as_deref(), Some(usage));
                format!("data: {chunk}\n\ndata: [DONE]\n\n")
            }
            ResponsePart::Failed(error) => format!("data: {}\n\n", error.body()),
            ResponsePart::Head { .. } | ResponsePart::Bytes(_) => String::new(),
        };
        Bytes::from(event)
    }

    /// Whole answer as one JSON object.
    ///
    /// # Errors
    /// The error with which the answer failed.
    pub async fn collect(
        &self,
        mut parts: handler::ResponseStream,
    ) -> Result<String, error::CallerError> {
        let mut text = String::new();
        while let Some(part) = parts.next().await {
            match part {
                ResponsePart::Text(more) => text.push_str(&more),
                ResponsePart::Finished {
                    finish_reason,
                    prompt_tokens,
                    completion_tokens,
                } => {
                    let usage = usage(prompt_tokens, completion_tokens);
                    return Ok(self.whole(&text, finish_reason.as_deref(), usage));
                }
                ResponsePart::Failed(error) => return Err(error),
                ResponsePart::Head { .. } | ResponsePart::Bytes(_) => {}
            }
        }
        Err(incomplete())
    }

    fn chunk(&self, text: &str, finish_reason: Option<&str>, usage: Option<Usage>) -> String {
        let (object, text, delta) = match self.kind {
            CompletionKind::Completion => ("text_completion", Some(text), None),
            CompletionKind::Chat => ("chat.completion.chunk", None, Some(assistant(text))),
        };
        let choice = Choice {
            index: 0,
            text,
            delta,
            message: None,
            finish_reason,
        };
        self.json(object, choice, usage)
    }

    fn whole(&self, text: &str, finish_reason: Option<&str>, usage: Usage) -> String {
        let (object, text, message) = match self.kind {
            CompletionKind::Completion => ("text_completion", Some(text), None),
            CompletionKind::Chat => ("chat.completion", None, Some(assistant(text))),
        };
        let choice = Choice {
            index: 0,
            text,
            delta: None,
            message,
            finish_reason,
        };
        self.json(object, choice, Some(usage))
    }

    fn json(&self, object: &'static str, choice: Choice<'_>, usage: Option<Usage>) -> String {
        let chunk = Chunk {
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&chunk).unwrap_or_default()
    }
}

/// Adds a comment after each `interval` in which the stream sends nothing, so that proxies do not
/// close it.
pub fn keep_alive<S>(events: S, interval: time::Duration) -> impl Stream<Item = Bytes> + Send
where
    S: Stream<Item = Bytes> + Send + Unpin,
{
    stream::unfold(events, move |mut events| async move {
        match tokio::time::timeout(interval, events.next()).await {
            Ok(event) => Some((event?, events)),
            Err(_) => Some((Bytes::from_static(KEEP_ALIVE_COMMENT), events)),
        }
    })
}

/// Collects the whole answer of a service.
///
/// # Errors
/// The error with which the answer failed.
pub async fn collect_service_response(
    mut parts: handler::ResponseStream,
) -> Result<ServiceResponse, error::CallerError> {
    let mut answer = ServiceResponse {
        status: 200,
        content_type: None,
        body: Vec::new(),
    };
    while let Some(part) = parts.next().await {
        match part {
            ResponsePart::Head {
                status,
                content_type,
            } => {
                answer.status = status;
                answer.content_type = content_type;
            }
            ResponsePart::Bytes(bytes) => answer.body.extend(bytes),
            ResponsePart::Finished { .. } => return Ok(answer),
            ResponsePart::Failed(error) => return Err(error),
            ResponsePart::Text(_) => {}
        }
    }
    Err(incomplete())
}

fn assistant(content: &str) -> Message<'_> {
    Message {
        role: "assistant",
        content,
    }
}

fn usage(prompt: u32, completion: u32) -> Usage {
    Usage {
        prompt,
        completion,
        total: prompt.saturating_add(completion),
    }
}

fn incomplete() -> error::CallerError {
    error::CallerError {
        code: error::ErrorCode::OutcomeUnknown,
        outcome: error::RequestOutcome::Unknown,
        message: "the answer ended early; the request may have run".into(),
        retry_after: None,
    }
}

/// List of models as the `OpenAI` interface gives it. Adapters have no time of creation.
#[must_use]
pub fn models(models: &[handler::ModelName]) -> serde_json::Value {
    let data: Vec<_> = models
        .iter()
        .map(|model| {
            serde_json::json!({
                "id": model.name, "object": "model", "created": 0, "owned_by": model.operator,
            })
        })
        .collect();
    serde_json::json!({"object": "list", "data": data})
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against proxies that close a stream whose next token takes long, and against an event
    // that is lost when the comment is sent.
    #[tokio::test(start_paused = true)]
    async fn silent_stream_sends_comments_and_then_the_event() {
        let second = time::Duration::from_secs(1);
        let event = Box::pin(stream::once(async move {
            tokio::time::sleep(second * 5 / 2).await;
            Bytes::from_static(b"data: x\n\n")
        }));
        let sent: Vec<_> = keep_alive(event, second).collect().await;
        assert_eq!(sent[..2], [KEEP_ALIVE_COMMENT, KEEP_ALIVE_COMMENT]);
        assert_eq!(sent[2..], ["data: x\n\n"]);
    }
}

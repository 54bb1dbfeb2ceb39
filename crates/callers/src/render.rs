//! Rendering of responses in the `OpenAI` format, and of plain services.

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

/// Renders the parts of one completion response.
pub struct CompletionRenderer {
    kind: CompletionKind,
    model: String,
    created: u64,
}

/// Complete response of a plain service.
#[derive(Debug)]
pub struct ServiceResponse {
    pub status: u16,
    pub content_type: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatMessage<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Clone, Copy, Serialize)]
struct TokenUsage {
    #[serde(rename = "prompt_tokens")]
    prompt: u32,
    #[serde(rename = "completion_tokens")]
    completion: u32,
    #[serde(rename = "total_tokens")]
    total: u32,
}

impl CompletionRenderer {
    /// Creates a renderer whose responses carry the caller's model name.
    #[must_use]
    pub fn new(kind: CompletionKind, model: &str) -> Self {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        Self {
            kind,
            model: model.to_owned(),
            created: since_epoch.map_or(0, |duration| duration.as_secs()),
        }
    }

    /// Renders one part as server-sent events.
    #[must_use]
    pub fn event(&self, part: &ResponsePart) -> Bytes {
        let event = match part {
            ResponsePart::Text(text) => format!("data: {}\n\n", self.chunk_json(text, None, None)),
            ResponsePart::Finished {
                finish_reason,
                prompt_tokens,
                completion_tokens,
            } => {
                let usage = token_usage(*prompt_tokens, *completion_tokens);
                let chunk = self.chunk_json("", finish_reason.as_deref(), Some(usage));
                format!("data: {chunk}\n\ndata: [DONE]\n\n")
            }
            ResponsePart::Failed(error) => format!("data: {}\n\n", error.body()),
            ResponsePart::Head { .. } | ResponsePart::Bytes(_) => String::new(),
        };
        Bytes::from(event)
    }

    /// Collects the complete response into one JSON object.
    ///
    /// # Errors
    /// The error with which the response failed.
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
                    let usage = token_usage(prompt_tokens, completion_tokens);
                    return Ok(self.response_json(&text, finish_reason.as_deref(), usage));
                }
                ResponsePart::Failed(error) => return Err(error),
                ResponsePart::Head { .. } | ResponsePart::Bytes(_) => {}
            }
        }
        Err(incomplete_response())
    }

    fn chunk_json(
        &self,
        text: &str,
        finish_reason: Option<&str>,
        usage: Option<TokenUsage>,
    ) -> String {
        let (object, text, delta) = match self.kind {
            CompletionKind::Completion => ("text_completion", Some(text), None),
            CompletionKind::Chat => ("chat.completion.chunk", None, Some(assistant_message(text))),
        };
        let choice = CompletionChoice {
            index: 0,
            text,
            delta,
            message: None,
            finish_reason,
        };
        self.choice_json(object, choice, usage)
    }

    fn response_json(&self, text: &str, finish_reason: Option<&str>, usage: TokenUsage) -> String {
        let (object, text, message) = match self.kind {
            CompletionKind::Completion => ("text_completion", Some(text), None),
            CompletionKind::Chat => ("chat.completion", None, Some(assistant_message(text))),
        };
        let choice = CompletionChoice {
            index: 0,
            text,
            delta: None,
            message,
            finish_reason,
        };
        self.choice_json(object, choice, Some(usage))
    }

    fn choice_json(
        &self,
        object: &'static str,
        choice: CompletionChoice<'_>,
        usage: Option<TokenUsage>,
    ) -> String {
        let chunk = CompletionBody {
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

/// Collects the complete response of a service.
///
/// # Errors
/// The error with which the response failed.
pub async fn collect_service_response(
    mut parts: handler::ResponseStream,
) -> Result<ServiceResponse, error::CallerError> {
    let mut response = ServiceResponse {
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
                response.status = status;
                response.content_type = content_type;
            }
            ResponsePart::Bytes(bytes) => response.body.extend(bytes),
            ResponsePart::Finished { .. } => return Ok(response),
            ResponsePart::Failed(error) => return Err(error),
            ResponsePart::Text(_) => {}
        }
    }
    Err(incomplete_response())
}

fn assistant_message(content: &str) -> ChatMessage<'_> {
    ChatMessage {
        role: "assistant",
        content,
    }
}

fn token_usage(prompt: u32, completion: u32) -> TokenUsage {
    TokenUsage {
        prompt,
        completion,
        total: prompt.saturating_add(completion),
    }
}

fn incomplete_response() -> error::CallerError {
    error::CallerError {
        code: error::ErrorCode::OutcomeUnknown,
        outcome: error::RequestOutcome::Unknown,
        message: "the response ended early; the request may have run".into(),
        retry_after: None,
    }
}

/// List of models in the `OpenAI` format. Adapters have no creation time, so `created` is 0.
#[must_use]
pub fn model_list(models: &[handler::ModelName]) -> serde_json::Value {
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

    // Guards against proxies that close an idle stream, and against an event that is lost when a
    // keep-alive comment is sent.
    #[tokio::test(start_paused = true)]
    async fn idle_stream_sends_comments_and_then_the_event() {
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

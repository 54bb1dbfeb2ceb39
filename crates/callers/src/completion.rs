//! Bodies of completion and chat requests.

use serde::Deserialize;

use crate::{error, handler};

/// Route of a completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    Completion,
    Chat,
}

/// Checked completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    pub kind: CompletionKind,
    /// `adapter` or `adapter@version`.
    pub model: String,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Longest answer, in tokens, if the caller limits it.
    pub max_tokens: Option<u32>,
    pub options: handler::RequestOptions,
    /// Caller's JSON object.
    pub body: Vec<u8>,
}

#[derive(Deserialize)]
struct BodyFields {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    prompt: Option<serde::de::IgnoredAny>,
    messages: Option<serde::de::IgnoredAny>,
    n: Option<u32>,
}

/// Reads the body of a completion request.
///
/// # Errors
/// [`error::CallerError`] with `invalid_request` that names the field at fault.
pub fn read_completion(
    kind: CompletionKind,
    options: handler::RequestOptions,
    body: Vec<u8>,
) -> Result<CompletionRequest, error::CallerError> {
    let fields: BodyFields = serde_json::from_slice(&body)
        .map_err(|error| invalid(&format!("the body is not a valid request: {error}")))?;
    let input = match kind {
        CompletionKind::Completion => fields.prompt.is_some(),
        CompletionKind::Chat => fields.messages.is_some(),
    };
    if !input {
        return Err(invalid(match kind {
            CompletionKind::Completion => "`prompt` is missing; give the text to complete",
            CompletionKind::Chat => "`messages` is missing; give a list of messages",
        }));
    }
    if fields.n.is_some_and(|n| n != 1) {
        return Err(invalid("`n` must be 1; send one request per answer"));
    }
    Ok(CompletionRequest {
        kind,
        model: fields.model,
        stream: fields.stream,
        max_tokens: fields.max_tokens,
        options,
        body,
    })
}

fn invalid(message: &str) -> error::CallerError {
    error::CallerError::not_run(error::ErrorCode::InvalidRequest, message)
}

//! Bodies of completion and chat requests.

use serde::Deserialize;

use crate::{error, handler};

/// Deepest nesting of a body; agents and engines parse it with a stack.
const MAX_NESTING: usize = 64;

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
pub fn parse_completion(
    kind: CompletionKind,
    options: handler::RequestOptions,
    body: Vec<u8>,
) -> Result<CompletionRequest, error::CallerError> {
    if nesting(&body) > MAX_NESTING {
        return Err(invalid(
            "the body is nested more than 64 levels deep; flatten it",
        ));
    }
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

/// Depth of arrays and objects in a JSON text, without parsing it.
fn nesting(body: &[u8]) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut is_text, mut is_escaped) = (false, false);
    for byte in body {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_text => is_escaped = true,
            b'"' => is_text = !is_text,
            _ if is_text => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

fn invalid(message: &str) -> error::CallerError {
    error::CallerError::not_run(error::ErrorCode::InvalidRequest, message)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn read(body: &[u8]) -> Result<CompletionRequest, error::CallerError> {
        let options = handler::RequestOptions::default();
        parse_completion(CompletionKind::Completion, options, body.to_vec())
    }

    proptest! {
        // Guards against a body that causes a panic or an error without a stable code.
        #[test]
        fn any_body_is_read_or_refused(body in proptest::collection::vec(any::<u8>(), 0..200)) {
            if let Err(error) = read(&body) {
                prop_assert_eq!(error.code, error::ErrorCode::InvalidRequest);
                prop_assert_eq!(error.outcome, error::RequestOutcome::NotRun);
            }
        }

        // Guards against fields of a wrong type that are taken for absent ones.
        #[test]
        fn wrong_types_are_refused(field in "model|stream|max_tokens|n", number in any::<f64>()) {
            let value = serde_json::json!(number + 0.5);
            let mut body = serde_json::json!({"model": "notes", "prompt": "a"});
            body[&field] = if field == "model" { serde_json::json!([1]) } else { value };
            prop_assume!(!body[&field].is_null());
            prop_assert!(read(body.to_string().as_bytes()).is_err());
        }
    }

    // Guards against a nesting that overflows the stack.
    #[test]
    fn deep_nesting_is_refused() {
        let depth = 100_000;
        let body = format!(
            r#"{{"model":"a","prompt":{}{}}}"#,
            "[".repeat(depth),
            "]".repeat(depth)
        );
        assert!(read(body.as_bytes()).is_err());
        let brackets = r#"{"model":"a","prompt":"\"[[[["}"#;
        assert_eq!(nesting(brackets.as_bytes()), 1);
    }
}

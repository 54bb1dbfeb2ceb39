//! Bodies of completion and chat requests.

use serde::Deserialize;

use crate::{error, handler};

/// Deepest nesting of a body, since agents and engines parse it recursively.
const MAX_NESTING_DEPTH: usize = 64;

/// Route of a completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    Completion,
    Chat,
}

/// Validated completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    pub kind: CompletionKind,
    /// `adapter` or `adapter@version`.
    pub model: String,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Longest response in tokens, if the caller limits it.
    pub max_tokens: Option<u32>,
    pub options: handler::RequestOptions,
    /// Unchanged JSON body.
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

/// Parses the body of a completion request.
///
/// # Errors
/// [`error::CallerError`] with `invalid_request` that names the invalid field.
pub fn parse_completion(
    kind: CompletionKind,
    options: handler::RequestOptions,
    body: Vec<u8>,
) -> Result<CompletionRequest, error::CallerError> {
    if nesting_depth(&body) > MAX_NESTING_DEPTH {
        return Err(invalid_request(
            "the body is nested more than 64 levels deep; flatten it",
        ));
    }
    let fields: BodyFields = serde_json::from_slice(&body)
        .map_err(|error| invalid_request(&format!("the body is not a valid request: {error}")))?;
    let has_input = match kind {
        CompletionKind::Completion => fields.prompt.is_some(),
        CompletionKind::Chat => fields.messages.is_some(),
    };
    if !has_input {
        return Err(invalid_request(match kind {
            CompletionKind::Completion => "`prompt` is missing; give the text to complete",
            CompletionKind::Chat => "`messages` is missing; give a list of messages",
        }));
    }
    if fields.n.is_some_and(|n| n != 1) {
        return Err(invalid_request(
            "`n` must be 1; send one request per response",
        ));
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

/// Nesting depth of arrays and objects in a JSON text, without parsing it.
fn nesting_depth(body: &[u8]) -> usize {
    let (mut depth, mut max_depth) = (0_usize, 0);
    let (mut is_string, mut is_escaped) = (false, false);
    for byte in body {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_string => is_escaped = true,
            b'"' => is_string = !is_string,
            _ if is_string => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        max_depth = max_depth.max(depth);
    }
    max_depth
}

fn invalid_request(message: &str) -> error::CallerError {
    error::CallerError::not_run(error::ErrorCode::InvalidRequest, message)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn parse(body: &[u8]) -> Result<CompletionRequest, error::CallerError> {
        let options = handler::RequestOptions::default();
        parse_completion(CompletionKind::Completion, options, body.to_vec())
    }

    proptest! {
        // Guards against a body that causes a panic or an error without a stable code.
        #[test]
        fn any_body_is_parsed_or_rejected(body in proptest::collection::vec(any::<u8>(), 0..200)) {
            if let Err(error) = parse(&body) {
                prop_assert_eq!(error.code, error::ErrorCode::InvalidRequest);
                prop_assert_eq!(error.outcome, error::RequestOutcome::NotRun);
            }
        }

        // Guards against fields of a wrong type that are treated as absent.
        #[test]
        fn wrong_types_are_rejected(field in "model|stream|max_tokens|n", number in any::<f64>()) {
            let value = serde_json::json!(number + 0.5);
            let mut body = serde_json::json!({"model": "notes", "prompt": "a"});
            body[&field] = if field == "model" { serde_json::json!([1]) } else { value };
            prop_assume!(!body[&field].is_null());
            prop_assert!(parse(body.to_string().as_bytes()).is_err());
        }
    }

    // Guards against deep nesting that overflows the stack.
    #[test]
    fn deep_nesting_is_rejected() {
        let depth = 100_000;
        let body = format!(
            r#"{{"model":"a","prompt":{}{}}}"#,
            "[".repeat(depth),
            "]".repeat(depth)
        );
        assert!(parse(body.as_bytes()).is_err());
        let brackets = r#"{"model":"a","prompt":"\"[[[["}"#;
        assert_eq!(nesting_depth(brackets.as_bytes()), 1);
    }
}

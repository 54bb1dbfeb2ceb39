//! Parts of an agent's response as the HTTP interface takes them.

use callers::handler::ResponsePart;
use peers::message;

use crate::caller_errors;

/// Part of a response for the caller.
#[must_use]
pub fn convert(part: message::StreamPart) -> ResponsePart {
    match part {
        message::StreamPart::Head {
            status,
            content_type,
        } => ResponsePart::Head {
            status,
            content_type,
        },
        message::StreamPart::Text { text, .. } => ResponsePart::Text(text),
        message::StreamPart::Bytes(bytes) => ResponsePart::Bytes(bytes),
        message::StreamPart::Finished {
            finish_reason,
            prompt_tokens,
            completion_tokens,
        } => ResponsePart::Finished {
            finish_reason,
            prompt_tokens,
            completion_tokens,
        },
        message::StreamPart::Failed(failure) => {
            ResponsePart::Failed(caller_errors::stream_error(&failure))
        }
    }
}

//! Request headers: deadline, priority, idempotency key and the caller's key.

use std::time;

use decisions::{caller_key, units};
use http::HeaderMap;

use crate::{error, handler};

/// Milliseconds until the first token or a service's response is due.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// `low`, `normal` or `high`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Key under which a request that must not be repeated runs at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 256;
const MAX_DEADLINE_MILLIS: u64 = 3_600_000;

/// Scheme of the caller's key in the `authorization` header.
const KEY_SCHEME: &str = "bearer";

/// Key of the caller; `None` if it is missing, malformed or given twice.
#[must_use]
pub fn parse_caller_key(headers: &HeaderMap) -> Option<caller_key::CallerKey> {
    let mut values = headers.get_all(http::header::AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.trim().split_once(' ')?;
    let key = caller_key::CallerKey::new(key.trim());
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && key.is_sendable()).then_some(key)
}

/// Parses the options of a request.
///
/// # Errors
/// [`error::CallerError`] that names the header and its allowed values.
pub fn parse_options(headers: &HeaderMap) -> Result<handler::RequestOptions, error::CallerError> {
    Ok(handler::RequestOptions {
        deadline: parse_deadline(headers)?,
        priority: parse_priority(headers)?,
        idempotency_key: parse_idempotency_key(headers)?,
        organisation: None,
    })
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<time::Duration>, error::CallerError> {
    let Some(value) = header_text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    match value.parse() {
        Ok(millis @ 1..=MAX_DEADLINE_MILLIS) => Ok(Some(time::Duration::from_millis(millis))),
        _ => Err(invalid_request(
            "x-deadline-ms must be a whole number of milliseconds from 1 to 3600000",
        )),
    }
}

fn parse_priority(headers: &HeaderMap) -> Result<Option<units::Priority>, error::CallerError> {
    match header_text(headers, PRIORITY_HEADER)? {
        None => Ok(None),
        Some("low") => Ok(Some(units::Priority::Low)),
        Some("normal") => Ok(Some(units::Priority::Normal)),
        Some("high") => Ok(Some(units::Priority::High)),
        Some(_) => Err(invalid_request("x-priority must be low, normal or high")),
    }
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, error::CallerError> {
    match header_text(headers, IDEMPOTENCY_HEADER)? {
        None => Ok(None),
        Some(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.to_owned())),
        Some(_) => Err(invalid_request(
            "idempotency-key must have 1 to 256 characters",
        )),
    }
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, error::CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value.trim())),
        Err(_) => Err(invalid_request(&format!("{name} must be plain ASCII"))),
    }
}

fn invalid_request(message: &str) -> error::CallerError {
    error::CallerError::not_run(error::ErrorCode::InvalidRequest, message)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        // Guards against header bytes that cause a panic or are not validated.
        #[test]
        fn any_header_is_parsed_or_rejected(value in proptest::collection::vec(any::<u8>(), 0..300)) {
            for name in [DEADLINE_HEADER, PRIORITY_HEADER, IDEMPOTENCY_HEADER] {
                let Ok(value) = http::HeaderValue::from_bytes(&value) else { continue };
                let mut headers = HeaderMap::new();
                headers.insert(name, value);
                match parse_options(&headers) {
                    Ok(options) => {
                        let key = options.idempotency_key.unwrap_or("key".into());
                        prop_assert!((1..=MAX_KEY_BYTES).contains(&key.len()));
                    }
                    Err(error) => prop_assert_eq!(error.code, error::ErrorCode::InvalidRequest),
                }
            }
        }
    }
}

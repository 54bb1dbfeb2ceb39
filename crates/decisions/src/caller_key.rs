//! Key by which a caller is known.
//!
//! The type prints nothing of the key, so that it cannot reach a log or an error by mistake.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Key of a caller.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CallerKey(Box<str>);

impl CallerKey {
    /// Key with this text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Text of the key, for hashing. It must not be printed.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Length of the key, in bytes.
    #[must_use]
    pub fn byte_length(&self) -> usize {
        self.0.len()
    }

    /// Whether a header can hold the key.
    #[must_use]
    pub fn is_sendable(&self) -> bool {
        !self.0.is_empty() && self.0.bytes().all(|byte| byte.is_ascii_graphic())
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}

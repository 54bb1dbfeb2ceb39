//! Version of a replica's software.
//!
//! Versions have no order. Replicas of two versions may serve side by side, but what they write does
//! not fit together in one stream.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Longest name that is kept as it is, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Name of a version; empty for replicas that state none.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Version of a name. A longer name than 64 bytes is replaced by its hash, which bounds the memory
    /// of all that keep versions.
    #[must_use]
    pub fn new(name: &str) -> Self {
        if name.len() <= MAX_NAME_BYTES {
            return Self(name.into());
        }
        Self(format!("{:032x}", xxh3::xxh3_128(name.as_bytes())).into())
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

//! Organisations of callers and the keys by which they are known.

use decisions::caller_key;
use serde::{Deserialize, Serialize};

/// Largest number of organisations; further ones are skipped.
pub const MAX_ORGANISATIONS: usize = 1_024;
/// Largest number of keys of one organisation.
pub const MAX_KEYS: usize = 64;
/// Allowed lengths of a key, in bytes. Shorter keys can be guessed.
pub const KEY_BYTES: std::ops::RangeInclusive<usize> = 16..=256;

/// One organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    pub name: Box<str>,
    /// Keys of its callers, ascending.
    pub keys: Box<[caller_key::CallerKey]>,
}

impl OrganisationEntry {
    /// Size of the name and the keys, in bytes.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        let keys = self.keys.iter().map(caller_key::CallerKey::byte_length);
        self.name.len() + size_of_val(&*self.keys) + keys.sum::<usize>()
    }

    /// Whether a key belongs to the organisation.
    #[must_use]
    pub fn has_key(&self, key: &caller_key::CallerKey) -> bool {
        self.keys.binary_search(key).is_ok()
    }
}

/// Whether a text may be a key.
#[must_use]
pub fn is_valid_key(key: &caller_key::CallerKey) -> bool {
    KEY_BYTES.contains(&key.byte_length()) && key.is_sendable()
}

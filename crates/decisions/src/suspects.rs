//! Ids of what may crash a replica: a part of a prompt that requests share, or a whole request.
//!
//! Both kinds share one number space, so that crashes are attributed to either of them alike.

/// Set in the ids of whole requests.
const REQUEST_BIT: u64 = 1 << 63;

/// Id of a prompt part.
#[must_use]
pub fn prompt_part(id: u64) -> u64 {
    id & !REQUEST_BIT
}

/// Id of all requests with a hash of their content.
#[must_use]
pub fn whole_request(hash: u64) -> u64 {
    hash | REQUEST_BIT
}

/// Whether an id is that of a whole request.
#[must_use]
pub fn is_whole_request(id: u64) -> bool {
    id & REQUEST_BIT != 0
}

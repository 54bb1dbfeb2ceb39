//! Ids of what may crash a replica: a part of a prompt that requests share, or a whole request.
//!
//! Both kinds share one number space, so that crashes are attributed to either of them alike. The id
//! of a generation, which stands for one request and its repeats, is in that space as well, but is no
//! cause: it shows that replicas were lost one after the other.

use std::time;

/// Time for which a request counts as one that has just started. An engine that its input crashes
/// ends in this time, maybe with the first events sent.
pub const START_PERIOD: time::Duration = time::Duration::from_millis(150);

/// Set in the ids of whole requests.
const REQUEST_BIT: u64 = 1 << 63;
/// Set in the ids of generations.
const GENERATION_BIT: u64 = 1 << 62;

/// Id of a prompt part.
#[must_use]
pub fn prompt_part(id: u64) -> u64 {
    id & !(REQUEST_BIT | GENERATION_BIT)
}

/// Id of all requests with a hash of their content.
#[must_use]
pub fn whole_request(hash: u64) -> u64 {
    hash & !GENERATION_BIT | REQUEST_BIT
}

/// Id of one generation, with a hash of its content and its whole prompt.
#[must_use]
pub fn generation(hash: u64) -> u64 {
    hash & !REQUEST_BIT | GENERATION_BIT
}

/// Whether an id is that of a whole request.
#[must_use]
pub fn is_whole_request(id: u64) -> bool {
    id & REQUEST_BIT != 0
}

/// Whether an id is that of a generation.
#[must_use]
pub fn is_generation(id: u64) -> bool {
    id & GENERATION_BIT != 0
}

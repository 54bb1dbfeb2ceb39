//! Ids of what may crash a replica: a part of a prompt that requests share, or a whole request.
//!
//! Both kinds share one number space, so that crashes are attributed to either of them alike.

use std::time;

/// Time for which a request counts as one that has just started. An engine that its input crashes ends
/// in this time, maybe with the first events sent.
pub const START_PERIOD: time::Duration = time::Duration::from_millis(150);

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

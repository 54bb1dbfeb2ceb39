//! Software versions that began recent streams.
//!
//! A caller that takes up a broken stream names the attempt that brought its first event. The stream
//! may go on only at the version that wrote this event, also at another gateway.

use std::time;

use xxhash_rust::xxh3;

use crate::{expiring_map, software_version};

/// Shortest time for which the start of a stream is kept. A caller that takes it up may count its time
/// to wait anew.
const MIN_KEEP_TIME: time::Duration = time::Duration::from_secs(30);
/// Longest time for which the start of a stream is kept.
pub const MAX_KEEP_TIME: time::Duration = time::Duration::from_mins(10);

/// Software versions by stream, as a broker keeps them. A stream begins once, so what is known of it
/// holds.
pub type StreamOrigins = expiring_map::ExpiringMap<software_version::SoftwareVersion>;

/// Id of a stream of a service, begun by one attempt of a caller.
#[must_use]
pub fn stream_id(service: &str, attempt: &str) -> u64 {
    xxh3::xxh3_64_with_seed(attempt.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
}

/// Time for which the start of a stream is kept whose caller waits for a time.
#[must_use]
pub fn keep_time(wait: time::Duration) -> time::Duration {
    wait.clamp(MIN_KEEP_TIME, MAX_KEEP_TIME)
}

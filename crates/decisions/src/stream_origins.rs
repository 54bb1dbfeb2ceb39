//! Software versions that began recent streams.
//!
//! A caller that takes up a broken stream names the attempt that brought its first event. The stream
//! may go on only at the version that wrote this event, also at another gateway.

use xxhash_rust::xxh3;

use crate::{expiring_map, software_version};

/// Software versions by stream, as a broker keeps them. A stream begins once, so what is known of it
/// holds.
pub type StreamOrigins = expiring_map::ExpiringMap<software_version::SoftwareVersion>;

/// Id of a stream of a service, begun by one attempt of a caller.
#[must_use]
pub fn stream_id(service: &str, attempt: &str) -> u64 {
    xxh3::xxh3_64_with_seed(attempt.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
}

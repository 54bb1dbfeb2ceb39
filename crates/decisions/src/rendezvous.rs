//! Rendezvous order of brokers.
//!
//! All gateways that know the same brokers order them alike for one key without talking to each
//! other. A lost broker moves only the keys for which it was the first.

use std::net;

use xxhash_rust::xxh3;

/// Rank of a broker for a key; the lowest one is the first.
#[must_use]
pub fn rank(key: u64, broker: net::SocketAddr) -> u64 {
    let mut bytes = [0; 18];
    let ip = match broker.ip() {
        net::IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        net::IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&broker.port().to_le_bytes());
    xxh3::xxh3_64_with_seed(&bytes, key)
}

//! Consistent-hash ring that gives all entries the same candidate endpoints for an adapter.
//!
//! Rendezvous hashing over all endpoints costs one hash per endpoint. The ring first narrows them
//! to a bounded number of neighbours of the adapter's hash, which are then ranked by rendezvous
//! hash.

use xxhash_rust::xxh3;

use crate::ids;

/// Points of one endpoint on the ring; more points balance the endpoints' shares.
const POINTS_PER_ENDPOINT: u64 = 16;
/// Maximum number of points visited for one adapter.
const MAX_VISITED_POINTS: usize = 64;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RingPoint {
    hash: u64,
    slot: usize,
}

/// Points of the endpoints of one base model, sorted by hash.
#[derive(Debug, Default)]
pub struct HashRing {
    points: Vec<RingPoint>,
}

/// Endpoint with its rendezvous hash for one adapter; the lowest is preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RankedEndpoint {
    pub rank: u64,
    pub slot: usize,
}

impl HashRing {
    /// Adds the points of an endpoint.
    pub fn add(&mut self, endpoint: ids::EndpointId, slot: usize) {
        let points = (0..POINTS_PER_ENDPOINT).map(|number| RingPoint {
            hash: hash(endpoint, number),
            slot,
        });
        self.points.extend(points);
        self.points.sort_unstable();
    }

    /// Removes the points of an endpoint.
    pub fn remove(&mut self, slot: usize) {
        self.points.retain(|point| point.slot != slot);
    }

    /// Collects up to `limit` distinct slots that `accept` allows, in ring order from the adapter's
    /// hash.
    pub fn neighbours(
        &self,
        adapter: ids::AdapterId,
        limit: usize,
        mut accept: impl FnMut(usize) -> bool,
        found: &mut Vec<usize>,
    ) {
        found.clear();
        let start = self.points.partition_point(|point| point.hash < adapter.0);
        let (before, after) = self.points.split_at(start);
        for point in after.iter().chain(before).take(MAX_VISITED_POINTS) {
            if found.len() == limit {
                return;
            }
            if !found.contains(&point.slot) && accept(point.slot) {
                found.push(point.slot);
            }
        }
    }
}

/// Rendezvous hash of an adapter and an endpoint.
#[must_use]
pub fn rendezvous_hash(adapter: ids::AdapterId, endpoint: ids::EndpointId) -> u64 {
    hash(endpoint, adapter.0)
}

fn hash(endpoint: ids::EndpointId, seed: u64) -> u64 {
    let mut bytes = [0; 10];
    bytes[..8].copy_from_slice(&endpoint.agent.0.to_le_bytes());
    bytes[8..].copy_from_slice(&endpoint.replica.to_le_bytes());
    xxh3::xxh3_64_with_seed(&bytes, seed)
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against adapter loads caused by a lost endpoint: its removal must not move the
    // adapters of other endpoints.
    #[test]
    fn removal_moves_only_adapters_of_the_removed_endpoint() {
        let mut ring = HashRing::default();
        for slot in 0..20_u16 {
            let endpoint = ids::EndpointId {
                agent: ids::Incarnation(u64::from(slot)),
                replica: 0,
            };
            ring.add(endpoint, usize::from(slot));
        }
        let adapters: Vec<_> = (0..500_u64)
            .map(|number| ids::AdapterId(xxh3::xxh3_64(&number.to_le_bytes())))
            .collect();
        let first = |ring: &HashRing, adapter| {
            let mut found = Vec::new();
            ring.neighbours(adapter, 1, |_| true, &mut found);
            found[0]
        };
        let before: Vec<_> = adapters.iter().map(|id| first(&ring, *id)).collect();
        ring.remove(7);
        for (adapter, old) in adapters.iter().zip(before) {
            assert!(old == 7 || first(&ring, *adapter) == old);
        }
    }
}

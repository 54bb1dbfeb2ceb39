//! Choice of the broker that owns the quota of an organisation.
//!
//! All gateways that reach the same brokers choose the same owner without talking to each other. A
//! lost broker moves only the organisations that it owned.

use std::net;

use xxhash_rust::xxh3;

use crate::rendezvous;

/// Hash that stands for an instance or an organisation in messages.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Broker that may own quotas.
#[derive(Clone, Copy, Debug)]
struct KnownBroker {
    address: net::SocketAddr,
    /// Cleared by a failure, until a heartbeat succeeds.
    is_reachable: bool,
}

/// Brokers that may own quotas, sorted by address.
#[derive(Debug, Default)]
pub struct OwnerList {
    brokers: Vec<KnownBroker>,
}

impl OwnerList {
    /// Takes over sorted addresses and returns those that are no longer listed. A new broker counts
    /// as reachable until a call fails.
    pub fn update(&mut self, addresses: &[net::SocketAddr]) -> Vec<net::SocketAddr> {
        let known = self.brokers.iter().map(|broker| broker.address);
        if known.eq(addresses.iter().copied()) {
            return Vec::new();
        }
        let known = self.brokers.iter().map(|broker| broker.address);
        let removed = known.filter(|address| addresses.binary_search(address).is_err());
        let removed = removed.collect();
        let brokers = addresses.iter().map(|address| KnownBroker {
            address: *address,
            is_reachable: self
                .find(*address)
                .is_none_or(|position| self.brokers[position].is_reachable),
        });
        self.brokers = brokers.collect();
        removed
    }

    /// Records whether a broker responds; true if that has changed.
    pub fn set_reachable(&mut self, address: net::SocketAddr, is_reachable: bool) -> bool {
        let Some(position) = self.find(address) else {
            return false;
        };
        let was_reachable =
            std::mem::replace(&mut self.brokers[position].is_reachable, is_reachable);
        was_reachable != is_reachable
    }

    /// Owner of an organisation's quota: the first in rendezvous order that responds.
    #[must_use]
    pub fn choose(&self, organisation: u64) -> Option<net::SocketAddr> {
        let reachable = self.brokers.iter().filter(|broker| broker.is_reachable);
        let addresses = reachable.map(|broker| broker.address);
        addresses.min_by_key(|address| rendezvous::rank(organisation, *address))
    }

    fn find(&self, address: net::SocketAddr) -> Option<usize> {
        let found = self
            .brokers
            .binary_search_by_key(&address, |broker| broker.address);
        found.ok()
    }
}

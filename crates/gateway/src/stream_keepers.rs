//! Choice of the brokers that keep the origin of a stream.

use std::{net, sync::Arc, time};

use broker::client;
use decisions::{rendezvous, software_version, units};

use crate::{replica, replica_table};

impl replica_table::ReplicaTable {
    /// Addresses of the brokers that may be told of streams: those that respond and do not leave.
    #[must_use]
    pub fn available_brokers(
        &self,
        engine_services: &[String],
        now: units::Timestamp,
    ) -> Vec<net::SocketAddr> {
        let available = self.engines(engine_services).filter(|replica| {
            replica.accepts_requests(now)
                && !self.is_leaving(replica)
                && replica.broker.is_reachable(now)
        });
        available.map(|replica| replica.broker.address()).collect()
    }

    /// Broker at an address.
    #[must_use]
    pub fn broker(&self, address: net::SocketAddr) -> Option<Arc<client::BrokerClient>> {
        let mut replicas = self.replicas.iter();
        let found = replicas.find(|replica| replica.broker.address() == address)?;
        Some(Arc::clone(&found.broker))
    }

    /// Brokers that may know a stream, also those that leave: the first ones in its rendezvous order.
    #[must_use]
    pub fn stream_keepers(
        &self,
        engine_services: &[String],
        stream: u64,
        count: usize,
    ) -> Vec<Arc<client::BrokerClient>> {
        let mut ranked: Vec<_> = self
            .engines(engine_services)
            .map(|replica| {
                let address = replica.broker.address();
                (rendezvous::rank(stream, address), address, replica)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, address, _)| (*rank, *address));
        // Two records may name one address while a replica is replaced.
        ranked.dedup_by_key(|(_, address, _)| *address);
        let first = ranked.iter().take(count);
        first
            .map(|(.., replica)| Arc::clone(&replica.broker))
            .collect()
    }

    /// The one software version that a service has had for a span of time until now.
    #[must_use]
    pub fn sole_software(
        &self,
        service: &str,
        span: time::Duration,
        now: units::Timestamp,
    ) -> Option<software_version::SoftwareVersion> {
        self.software.sole_version(service, span, now)
    }

    fn engines(&self, engine_services: &[String]) -> impl Iterator<Item = &replica::Replica> {
        let replicas = self.replicas.iter();
        replicas.filter(|replica| engine_services.contains(&replica.record.service))
    }
}

//! Choice of the brokers that keep the origin of a stream.

use std::{net, sync::Arc, time};

use broker::client;
use decisions::{rendezvous, software_version, stream_starts, units};

use crate::{boot_clock, replica, replica_table};

impl replica_table::ReplicaTable {
    /// Brokers that may be told of streams: those that respond and do not leave.
    #[must_use]
    pub fn available_brokers(
        &self,
        engine_services: &[String],
        now: units::Timestamp,
    ) -> Vec<stream_starts::StreamKeeper> {
        let available = self.engines(engine_services).filter(|replica| {
            replica.accepts_requests(now)
                && !self.is_leaving(replica)
                && replica.broker.is_reachable(now)
        });
        let keepers = available.map(|replica| stream_starts::StreamKeeper {
            address: replica.broker.address(),
            losses: replica.broker.losses(),
        });
        keepers.collect()
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
    ) -> Option<software_version::SoftwareVersion> {
        let now = boot_clock::now();
        self.software.sole_version(service, span, now)
    }

    /// Records the software versions of all replicas, by the clock that counts suspension: another
    /// version may come meanwhile.
    pub(crate) fn record_software(&mut self) {
        let listed = self.replicas.iter().map(|replica| {
            let record = &replica.record;
            (record.service.as_str(), &record.software)
        });
        self.software.record(listed, boot_clock::now());
    }

    /// Whether a replica has a software version and may still be sent requests.
    #[must_use]
    pub fn has_software(
        &self,
        id: &str,
        software: &software_version::SoftwareVersion,
        now: units::Timestamp,
    ) -> bool {
        let found = self.find(id).ok();
        found.is_some_and(|position| self.replicas[position].record.software == *software)
            && self.accepts_requests(id, now)
    }

    /// Whether a replica of a service that does not leave has a software version.
    #[must_use]
    pub fn lists_software(
        &self,
        service: &str,
        software: &software_version::SoftwareVersion,
        now: units::Timestamp,
    ) -> bool {
        let mut replicas = self.replicas.iter();
        replicas.any(|replica| {
            replica.record.service == service
                && replica.record.software == *software
                && replica.accepts_requests(now)
                && !self.is_leaving(replica)
        })
    }

    fn engines(&self, engine_services: &[String]) -> impl Iterator<Item = &replica::Replica> {
        let replicas = self.replicas.iter();
        replicas.filter(|replica| engine_services.contains(&replica.record.service))
    }
}

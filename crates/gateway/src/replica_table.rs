//! Table of replicas in one gateway.
//!
//! Records from the store are merged with the state from responses and brokers. A replica that is
//! draining, or no longer in the store, gets no more requests. After an outage of the store,
//! missing replicas are kept for a grace period, because live ones publish their records again. Its
//! end is checked at every choice, because the next read of the store may come much later.
//! `replica_updates` applies the changes of the store.

use std::{net, time};

use decisions::{
    data_centre_choice, departures, replica_notices, software_history, software_version, units,
};

use crate::{held_records, remote_traffic, replica, store};

/// Number of brokers that relay crashes, so that the loss of some of them does not matter.
const RELAY_COUNT: usize = 3;

/// Change of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaTableChange {
    Listed {
        id: String,
        address: net::SocketAddr,
    },
    Draining {
        id: String,
    },
    Removed {
        id: String,
        address: net::SocketAddr,
    },
    /// The record was not applied, as it contradicts what was read in an earlier history.
    Held {
        id: String,
    },
    Unreadable {
        id: String,
    },
}

impl ReplicaTableChange {
    /// Id of the replica.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Listed { id, .. }
            | Self::Draining { id }
            | Self::Removed { id, .. }
            | Self::Held { id }
            | Self::Unreadable { id } => id,
        }
    }
}

/// Table of replicas, sorted by id.
pub struct ReplicaTable {
    pub(crate) data_centre: String,
    pub(crate) broker_port: u16,
    pub(crate) replicas: Vec<replica::Replica>,
    pub(crate) notices: replica_notices::ReplicaNotices,
    pub(crate) remote: remote_traffic::RemoteTraffic,
    pub(crate) departures: departures::Departures,
    pub(crate) held: held_records::HeldRecords,
    /// Software versions that were listed.
    pub(crate) software: software_history::SoftwareHistory,
    /// Position after the newest batch; a complete listing read before it removes nothing.
    pub(crate) next: store::StorePosition,
}

impl ReplicaTable {
    /// Creates an empty table of a gateway in a data centre.
    #[must_use]
    pub fn new(data_centre: &str, broker_port: u16) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            broker_port,
            replicas: Vec::new(),
            notices: replica_notices::ReplicaNotices::default(),
            remote: remote_traffic::RemoteTraffic::new(
                data_centre,
                data_centre_choice::RemotePolicy::default(),
            ),
            departures: departures::Departures::default(),
            held: held_records::HeldRecords::default(),
            software: software_history::SoftwareHistory::default(),
            next: store::StorePosition::default(),
        }
    }

    /// Sets the policy for requests to other data centres.
    #[must_use]
    pub fn with_remote_policy(mut self, policy: data_centre_choice::RemotePolicy) -> Self {
        self.remote = remote_traffic::RemoteTraffic::new(&self.data_centre, policy);
        self
    }

    /// Whether a replica exists, is not leaving and has not asked for a pause.
    #[must_use]
    pub fn accepts_requests(&self, id: &str, now: units::Timestamp) -> bool {
        let found = self.find(id).ok();
        found.is_some_and(|position| self.is_usable(&self.replicas[position], now))
    }

    /// Replica that accepts requests, without the fields of a request.
    #[must_use]
    pub fn find_available(
        &self,
        id: &str,
        now: units::Timestamp,
    ) -> Option<replica::ChosenReplica> {
        let replica = &self.replicas[self.find(id).ok()?];
        let is_available = replica.accepts_requests(now) && !self.is_leaving(replica);
        is_available.then(|| replica.to_chosen(now))
    }

    /// Addresses of the brokers that relay crashes between gateways. All gateways that know the
    /// same engines choose the same ones.
    #[must_use]
    pub fn relays(&self) -> Vec<net::SocketAddr> {
        let engines = self.replicas.iter().filter(|replica| replica.is_engine());
        let mut brokers: Vec<_> = engines
            .map(|replica| (replica.address_hash(), replica.broker.address()))
            .collect();
        brokers.sort_unstable();
        brokers.truncate(RELAY_COUNT);
        brokers.into_iter().map(|(_, address)| address).collect()
    }

    /// Shortest time until a replica of a service, and of a software version if one is needed, wants
    /// requests again, if all that could take them have asked for a pause.
    #[must_use]
    pub fn shortest_pause(
        &self,
        service: &str,
        software: Option<&software_version::SoftwareVersion>,
        now: units::Timestamp,
    ) -> Option<time::Duration> {
        let replicas = self.replicas.iter().filter(|replica| {
            replica.record.service == service
                && software.is_none_or(|needed| replica.record.software == *needed)
                && replica.accepts_requests(now)
                && !self.is_leaving(replica)
        });
        let pauses = replicas.map(|replica| self.pause_left(replica, now));
        pauses.min().filter(|pause| !pause.is_zero())
    }

    /// Address of a replica's broker.
    #[must_use]
    pub fn broker_address(&self, id: &str) -> Option<net::SocketAddr> {
        let position = self.find(id).ok()?;
        Some(self.replicas[position].broker.address())
    }

    /// Number of replicas that are not leaving.
    #[must_use]
    pub fn available_count(&self, now: units::Timestamp) -> usize {
        let available = self
            .replicas
            .iter()
            .filter(|replica| replica.accepts_requests(now));
        available.count()
    }

    /// Replicas of a service for which `is_selected` holds, without the fields of a request.
    #[must_use]
    pub fn service_replicas(
        &self,
        service: &str,
        is_selected: impl Fn(&replica::Replica) -> bool,
        now: units::Timestamp,
    ) -> Vec<replica::ChosenReplica> {
        let replicas = self
            .replicas
            .iter()
            .filter(|replica| replica.record.service == service && is_selected(replica));
        replicas.map(|replica| replica.to_chosen(now)).collect()
    }

    /// Largest number of entries that any broker reports.
    #[must_use]
    pub fn entry_count(&self, now: units::Timestamp) -> Option<u32> {
        let views = self
            .replicas
            .iter()
            .filter_map(|replica| replica.fresh_view(now));
        views.map(|view| view.entries).max()
    }

    /// Whether replicas are kept although their records are missing.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        let mut replicas = self.replicas.iter();
        replicas.any(|replica| replica.missing_until.is_some())
    }

    pub(crate) fn is_usable(&self, replica: &replica::Replica, now: units::Timestamp) -> bool {
        replica.accepts_requests(now)
            && !self.is_leaving(replica)
            && self.pause_left(replica, now).is_zero()
    }

    pub(crate) fn is_leaving(&self, replica: &replica::Replica) -> bool {
        let record = &replica.record;
        self.notices.is_leaving(&record.id, record.incarnation)
    }

    fn pause_left(&self, replica: &replica::Replica, now: units::Timestamp) -> time::Duration {
        let record = &replica.record;
        self.notices.pause_left(&record.id, record.incarnation, now)
    }

    pub(crate) fn find(&self, id: &str) -> Result<usize, usize> {
        self.replicas
            .binary_search_by(|replica| replica.record.id.as_str().cmp(id))
    }

    pub(crate) fn find_mut(&mut self, id: &str) -> Option<&mut replica::Replica> {
        let position = self.find(id).ok()?;
        self.replicas.get_mut(position)
    }
}

//! Table of replicas in one gateway.
//!
//! Records from the store are merged with the state from responses and brokers. A replica that is
//! draining, or no longer in the store, gets no more requests. After an outage of the store,
//! missing replicas are kept for a grace period, because live ones publish their records again. Its
//! end is checked at every choice, because the next read of the store may come much later.

use std::{net, time};

use decisions::{data_centre_choice, replica_notices, units};

use crate::{remote_traffic, replica, store};

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
            | Self::Unreadable { id } => id,
        }
    }
}

/// Table of replicas, sorted by id.
pub struct ReplicaTable {
    pub(crate) data_centre: String,
    broker_port: u16,
    pub(crate) replicas: Vec<replica::Replica>,
    pub(crate) notices: replica_notices::ReplicaNotices,
    pub(crate) remote: remote_traffic::RemoteTraffic,
    /// Offset after the newest batch; a complete listing read before it removes nothing.
    next_offset: u64,
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
            next_offset: 0,
        }
    }

    /// Sets the policy for requests to other data centres.
    #[must_use]
    pub fn with_remote_policy(mut self, policy: data_centre_choice::RemotePolicy) -> Self {
        self.remote = remote_traffic::RemoteTraffic::new(&self.data_centre, policy);
        self
    }

    /// Applies changes from the store. Missing replicas are kept until `keep_until`, if it is set.
    pub fn apply_batch(
        &mut self,
        batch: store::ChangeBatch<store::ReplicaChange>,
        keep_until: Option<units::Timestamp>,
    ) -> Vec<ReplicaTableChange> {
        let mut changes = Vec::new();
        let is_current = batch.next.offset >= self.next_offset;
        let mut listed = Vec::new();
        for (offset, change) in batch.changes {
            match change {
                store::ReplicaChange::Updated(record) => {
                    listed.push(record.id.clone());
                    changes.extend(self.upsert(offset, record));
                }
                store::ReplicaChange::Removed { id } => match keep_until {
                    Some(until) => self.mark_missing(&id, offset, until),
                    None => changes.extend(self.remove(&id, offset)),
                },
                store::ReplicaChange::Unreadable { id } => {
                    changes.push(ReplicaTableChange::Unreadable { id });
                }
            }
        }
        if batch.is_complete && is_current {
            changes.extend(self.remove_missing(&listed, keep_until));
        }
        self.next_offset = self.next_offset.max(batch.next.offset);
        changes
    }

    /// Removes missing replicas whose grace period has passed.
    pub fn remove_expired(&mut self, now: units::Timestamp) -> Vec<ReplicaTableChange> {
        let gone = self
            .replicas
            .iter()
            .filter(|replica| replica.is_expired(now));
        let changes = gone.map(replica::Replica::removal).collect();
        self.replicas.retain(|replica| !replica.is_expired(now));
        changes
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

    /// Shortest time until a replica of a service wants requests again, if all that could take them
    /// have asked for a pause.
    #[must_use]
    pub fn shortest_pause(&self, service: &str, now: units::Timestamp) -> Option<time::Duration> {
        let replicas = self.replicas.iter().filter(|replica| {
            replica.record.service == service
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

    fn upsert(&mut self, offset: u64, record: store::ReplicaRecord) -> Option<ReplicaTableChange> {
        let id = record.id.clone();
        self.remote.add_data_centre(&record.data_centre);
        match self.find(&id) {
            Ok(position) => self.replicas[position].update_record(offset, record),
            Err(position) => {
                let address = record.address;
                let replica = replica::Replica::new(offset, record, self.broker_port);
                self.replicas.insert(position, replica);
                Some(ReplicaTableChange::Listed { id, address })
            }
        }
    }

    fn remove(&mut self, id: &str, offset: u64) -> Option<ReplicaTableChange> {
        let position = self.find(id).ok()?;
        if offset < self.replicas[position].offset {
            return None;
        }
        Some(self.replicas.remove(position).removal())
    }

    /// Keeps a replica whose record may have expired during an outage.
    fn mark_missing(&mut self, id: &str, offset: u64, keep_until: units::Timestamp) {
        if let Some(replica) = self.find_mut(id)
            && offset >= replica.offset
        {
            replica.missing_until.get_or_insert(keep_until);
        }
    }

    fn remove_missing(
        &mut self,
        listed: &[String],
        keep_until: Option<units::Timestamp>,
    ) -> Vec<ReplicaTableChange> {
        let mut changes = Vec::new();
        for replica in &mut self.replicas {
            if listed.contains(&replica.record.id) {
                replica.missing_until = None;
            } else if let Some(until) = keep_until {
                replica.missing_until.get_or_insert(until);
            } else {
                changes.push(replica.removal());
            }
        }
        if keep_until.is_none() {
            self.replicas
                .retain(|replica| listed.contains(&replica.record.id));
        }
        changes
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

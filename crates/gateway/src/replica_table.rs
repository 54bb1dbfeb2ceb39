//! Table of replicas in one gateway.
//!
//! Records from the store are merged with the state from responses and brokers. A replica that is
//! draining, or no longer in the store, gets no more requests. After an outage of the store,
//! missing replicas are kept for a grace period, because live ones publish their records again. Its
//! end is checked at every choice, because the next read of the store may come much later.
//!
//! Offsets compare within one history of the store. What was read in an earlier one still holds: a
//! replica that drains goes on to drain, and one that has left, or an earlier start of one,
//! does not come back because an older copy lists it.

use std::{net, time};

use decisions::{data_centre_choice, departures, replica_notices, units};

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
    broker_port: u16,
    pub(crate) replicas: Vec<replica::Replica>,
    pub(crate) notices: replica_notices::ReplicaNotices,
    pub(crate) remote: remote_traffic::RemoteTraffic,
    departures: departures::Departures,
    held: held_records::HeldRecords,
    /// Position after the newest batch; a complete listing read before it removes nothing.
    next: store::StorePosition,
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
            next: store::StorePosition::default(),
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
        now: units::Timestamp,
    ) -> Vec<ReplicaTableChange> {
        let mut changes = Vec::new();
        let is_new_history = batch.next.history != self.next.history;
        if is_new_history {
            self.begin_history(batch.next.history);
        }
        let is_current = batch.next.offset >= self.next.offset;
        let mut listed = Vec::new();
        for (offset, change) in batch.changes {
            match change {
                store::ReplicaChange::Updated(record) => {
                    listed.push(record.id.clone());
                    let change = if is_new_history {
                        self.apply_returned(offset, record, now)
                    } else {
                        self.apply_written(offset, record)
                    };
                    changes.extend(change);
                }
                store::ReplicaChange::Removed { id } => {
                    self.held.replace(&id);
                    match keep_until {
                        Some(until) => self.mark_missing(&id, offset, until),
                        None => changes.extend(self.remove(&id, offset, now)),
                    }
                }
                store::ReplicaChange::Unreadable { id } => {
                    changes.push(ReplicaTableChange::Unreadable { id });
                }
            }
        }
        if batch.is_complete && is_current {
            changes.extend(self.remove_missing(&listed, keep_until, now));
        }
        self.next.offset = self.next.offset.max(batch.next.offset);
        changes
    }

    /// Removes missing replicas whose grace period has passed, and lists those whose records were held
    /// back for long enough.
    pub fn apply_due(&mut self, now: units::Timestamp) -> Vec<ReplicaTableChange> {
        let mut changes = self.remove_where(|replica| replica.is_expired(now), now);
        for (offset, record) in self.held.take_due(now) {
            changes.extend(self.upsert(offset, record));
        }
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

    /// Applies a record from the first listing of a history, which may be older than what is known.
    fn apply_returned(
        &mut self,
        offset: u64,
        record: store::ReplicaRecord,
        now: units::Timestamp,
    ) -> Option<ReplicaTableChange> {
        if self.contradicts(&record, now) {
            let id = record.id.clone();
            self.held.hold(offset, record, now);
            return Some(ReplicaTableChange::Held { id });
        }
        let record = self.keep_draining(record);
        self.upsert(offset, record)
    }

    /// Applies a record that was written in the current history, or is read again.
    fn apply_written(
        &mut self,
        offset: u64,
        record: store::ReplicaRecord,
    ) -> Option<ReplicaTableChange> {
        if self.held.holds(&record.id, offset) {
            return None;
        }
        let is_read_again = self
            .find(&record.id)
            .is_ok_and(|position| self.replicas[position].offset == offset);
        let record = if is_read_again {
            self.keep_draining(record)
        } else {
            record
        };
        self.upsert(offset, record)
    }

    fn upsert(&mut self, offset: u64, record: store::ReplicaRecord) -> Option<ReplicaTableChange> {
        let id = record.id.clone();
        self.remote.add_data_centre(&record.data_centre);
        self.held.replace(&id);
        self.departures.forget(&id);
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

    /// Begins another history of the store, in which all records are listed anew.
    fn begin_history(&mut self, history: u64) {
        self.next = store::StorePosition { history, offset: 0 };
        self.held.clear();
        for replica in &mut self.replicas {
            replica.offset = 0;
        }
    }

    /// Whether a record from the first listing of a history is older than what is known.
    fn contradicts(&self, record: &store::ReplicaRecord, now: units::Timestamp) -> bool {
        let known = self.find(&record.id).ok();
        let is_earlier_start = known.is_some_and(|position| {
            record.incarnation < self.replicas[position].record.incarnation
        });
        is_earlier_start
            || self
                .departures
                .has_left(&record.id, record.incarnation, now)
    }

    /// Adds the draining of a replica to a record from an older copy, which does not tell of it.
    fn keep_draining(&self, mut record: store::ReplicaRecord) -> store::ReplicaRecord {
        if let Ok(position) = self.find(&record.id) {
            let known = &self.replicas[position].record;
            let is_same_start = known.incarnation == record.incarnation;
            record.is_draining |= known.is_draining && is_same_start;
        }
        record
    }

    fn remove(
        &mut self,
        id: &str,
        offset: u64,
        now: units::Timestamp,
    ) -> Option<ReplicaTableChange> {
        let is_gone =
            |replica: &replica::Replica| replica.record.id == id && offset >= replica.offset;
        self.remove_where(is_gone, now).pop()
    }

    fn remove_where(
        &mut self,
        is_gone: impl Fn(&replica::Replica) -> bool,
        now: units::Timestamp,
    ) -> Vec<ReplicaTableChange> {
        let gone: Vec<_> = self
            .replicas
            .extract_if(.., |replica| is_gone(replica))
            .collect();
        for replica in &gone {
            let record = &replica.record;
            self.departures.record(&record.id, record.incarnation, now);
        }
        gone.iter().map(replica::Replica::removal).collect()
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
        now: units::Timestamp,
    ) -> Vec<ReplicaTableChange> {
        for replica in &mut self.replicas {
            if listed.contains(&replica.record.id) {
                replica.missing_until = None;
            } else if let Some(until) = keep_until {
                replica.missing_until.get_or_insert(until);
            }
        }
        if keep_until.is_some() {
            return Vec::new();
        }
        self.remove_where(|replica| !listed.contains(&replica.record.id), now)
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

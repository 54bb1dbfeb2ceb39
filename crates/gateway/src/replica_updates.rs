//! Changes that the store makes to a gateway's table of replicas.
//!
//! Offsets compare within one history of the store. What was read in an earlier one still holds: a
//! replica that drains goes on to drain, and one that has left, or an earlier start of one,
//! does not come back because an older copy lists it.

use decisions::units;

use crate::{
    replica,
    replica_table::{ReplicaTable, ReplicaTableChange},
    store,
};

impl ReplicaTable {
    /// Applies changes from the store. Missing replicas are kept until `keep_until`, if it is set.
    pub fn apply_batch(
        &mut self,
        batch: store::ChangeBatch<store::ReplicaChange>,
        keep_until: Option<units::Timestamp>,
        now: units::Timestamp,
    ) -> Vec<ReplicaTableChange> {
        // Replicas that leave with this batch have served until now.
        self.record_software();
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
                    self.held.drop_record(&id);
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
        self.record_software();
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
        self.held.drop_record(&id);
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
        // An older copy may lack replicas of another software version.
        self.software.end_span();
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
}

//! Records that contradict what a gateway has read before the store returned from an older copy.
//!
//! The first listing after a return holds records from the copy beside those that were written again.
//! One that names a replica that has left, or an earlier start of a replica, is held back until
//! the store has had time to take what was lost. If nothing newer has come by then, it is true.

use std::time;

use decisions::units;

use crate::store;

/// Time for which a record is held back. Live replicas write again within seconds of the store's return.
const HOLD_TIME: time::Duration = time::Duration::from_secs(10);

struct HeldRecord {
    offset: u64,
    record: store::ReplicaRecord,
    until: units::Timestamp,
}

/// Records that are held back, in the order in which they were listed.
#[derive(Default)]
pub(crate) struct HeldRecords {
    records: Vec<HeldRecord>,
}

impl HeldRecords {
    /// Holds a record back.
    pub(crate) fn hold(
        &mut self,
        offset: u64,
        record: store::ReplicaRecord,
        now: units::Timestamp,
    ) {
        self.records.push(HeldRecord {
            offset,
            record,
            until: now + HOLD_TIME,
        });
    }

    /// Whether the record of a replica at an offset is held back.
    pub(crate) fn holds(&self, id: &str, offset: u64) -> bool {
        let mut records = self.records.iter();
        records.any(|held| held.record.id == id && held.offset == offset)
    }

    /// Drops the record of a replica, because a newer one was written.
    pub(crate) fn drop_record(&mut self, id: &str) {
        self.records.retain(|held| held.record.id != id);
    }

    /// Drops all records, because the store lists them anew.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
    }

    /// Takes the records that were held back for long enough, with their offsets.
    pub(crate) fn take_due(&mut self, now: units::Timestamp) -> Vec<(u64, store::ReplicaRecord)> {
        let due = self.records.extract_if(.., |held| held.until <= now);
        due.map(|held| (held.offset, held.record)).collect()
    }
}

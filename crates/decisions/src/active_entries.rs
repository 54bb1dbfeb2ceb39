//! Entries that called a broker recently, and the prompt parts that they keep from engines.
//!
//! An entry that starts anew knows nothing of the parts that it kept from engines before. What lost
//! entries have told last therefore holds for a while, unless another entry has outlived them,
//! which knows better by then.

use std::time;

use crate::units;

/// Time without calls after which an entry is removed.
const INACTIVITY_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Time from its first call for which an entry is new, enough for several calls.
const NEW_ENTRY_TIME: time::Duration = time::Duration::from_secs(2);
/// Time from the last call of a lost entry for which its blocked parts hold. By then they are due to be
/// tried again.
const LOST_PARTS_TIME: time::Duration = time::Duration::from_mins(1);
/// Maximum number of lost entries that are kept; the oldest yields.
const MAX_LOST_ENTRIES: usize = 64;

#[derive(Debug)]
struct EntryActivity {
    incarnation: u64,
    first_call: units::Timestamp,
    last_call: units::Timestamp,
    /// Prompt parts that the entry keeps from engines.
    blocked_parts: Vec<u64>,
}

/// Entries by incarnation with the time of their last call.
#[derive(Debug, Default)]
pub struct ActiveEntries {
    entries: Vec<EntryActivity>,
    /// Removed entries that kept parts from engines, in the order of their removal.
    lost: Vec<EntryActivity>,
}

impl EntryActivity {
    fn is_active(&self, now: units::Timestamp) -> bool {
        now.since(self.last_call) < INACTIVITY_TIMEOUT
    }

    /// Whether it was there before the last call of another entry and has called long after it.
    fn outlives(&self, other: &Self) -> bool {
        self.first_call <= other.last_call
            && self.last_call.since(other.last_call) > INACTIVITY_TIMEOUT
    }
}

impl ActiveEntries {
    /// Records a call of an entry.
    pub fn record_call(&mut self, incarnation: u64, now: units::Timestamp) {
        let found = self
            .entries
            .iter_mut()
            .find(|entry| entry.incarnation == incarnation);
        match found {
            Some(entry) => entry.last_call = now,
            None => self.entries.push(EntryActivity {
                incarnation,
                first_call: now,
                last_call: now,
                blocked_parts: Vec::new(),
            }),
        }
    }

    /// Records the prompt parts that an entry keeps from engines.
    pub fn record_blocked_parts(&mut self, incarnation: u64, parts: Vec<u64>) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.incarnation == incarnation) {
            entry.blocked_parts = parts;
        }
    }

    /// Prompt parts that other entries keep from engines, or have kept until they were lost, sorted.
    #[must_use]
    pub fn parts_blocked_by_others(&self, incarnation: u64, now: units::Timestamp) -> Vec<u64> {
        let active = self.entries.iter().filter(|entry| entry.is_active(now));
        let others = active.filter(|entry| entry.incarnation != incarnation);
        let mut parts: Vec<u64> = others
            .chain(&self.lost)
            .flat_map(|entry| entry.blocked_parts.iter().copied())
            .collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Removes entries without recent calls.
    pub fn expire(&mut self, now: units::Timestamp) {
        let (active, inactive) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|entry| entry.is_active(now));
        self.entries = active;
        let inactive: Vec<EntryActivity> = inactive;
        let blocking = inactive.into_iter();
        self.lost
            .extend(blocking.filter(|entry| !entry.blocked_parts.is_empty()));
        let entries = &self.entries;
        self.lost.retain(|lost| {
            let is_recent = now.since(lost.last_call) < LOST_PARTS_TIME;
            is_recent && !entries.iter().any(|entry| entry.outlives(lost))
        });
        let excess = self.lost.len().saturating_sub(MAX_LOST_ENTRIES);
        self.lost.drain(..excess);
    }

    /// Whether an entry has called and was not removed since.
    #[must_use]
    pub fn contains(&self, incarnation: u64) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.incarnation == incarnation)
    }

    /// Whether an entry has called for a short time only, so that it knows nothing of before.
    #[must_use]
    pub fn is_new(&self, incarnation: u64, now: units::Timestamp) -> bool {
        let found = self
            .entries
            .iter()
            .find(|entry| entry.incarnation == incarnation);
        found.is_none_or(|entry| now.since(entry.first_call) < NEW_ENTRY_TIME)
    }

    /// Number of entries with a recent call.
    #[must_use]
    pub fn active_count(&self, now: units::Timestamp) -> usize {
        let active = self.entries.iter().filter(|entry| entry.is_active(now));
        active.count()
    }
}

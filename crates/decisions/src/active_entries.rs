//! Entries that called a broker recently.

use std::time;

use crate::units;

/// Time without calls after which an entry is removed.
const INACTIVITY_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

#[derive(Debug)]
struct EntryActivity {
    incarnation: u64,
    last_call: units::Timestamp,
    /// Prompt parts that the entry keeps from engines.
    blocked_parts: Vec<u64>,
}

/// Entries by incarnation with the time of their last call.
#[derive(Debug, Default)]
pub struct ActiveEntries {
    entries: Vec<EntryActivity>,
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

    /// Prompt parts that other entries with a recent call keep from engines, sorted.
    #[must_use]
    pub fn parts_blocked_by_others(&self, incarnation: u64, now: units::Timestamp) -> Vec<u64> {
        let others = self.entries.iter().filter(|entry| {
            entry.incarnation != incarnation && now.since(entry.last_call) < INACTIVITY_TIMEOUT
        });
        let mut parts: Vec<u64> = others
            .flat_map(|entry| entry.blocked_parts.iter().copied())
            .collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Removes entries without recent calls.
    pub fn expire(&mut self, now: units::Timestamp) {
        self.entries
            .retain(|entry| now.since(entry.last_call) < INACTIVITY_TIMEOUT);
    }

    /// Whether an entry has called and was not removed since.
    #[must_use]
    pub fn contains(&self, incarnation: u64) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.incarnation == incarnation)
    }

    /// Number of entries with a recent call.
    #[must_use]
    pub fn active_count(&self, now: units::Timestamp) -> usize {
        let active = self
            .entries
            .iter()
            .filter(|entry| now.since(entry.last_call) < INACTIVITY_TIMEOUT);
        active.count()
    }
}

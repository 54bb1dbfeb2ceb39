//! Entries that use a broker, known by their calls.

use std::time;

use crate::units;

/// Time after which a silent entry is forgotten.
const SILENCE: time::Duration = time::Duration::from_millis(2500);

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    last_call: units::Timestamp,
}

/// Entries heard of lately.
#[derive(Debug, Default)]
pub struct ActiveEntries {
    entries: Vec<Entry>,
}

impl ActiveEntries {
    /// Notes a call of an entry.
    pub fn record_call(&mut self, incarnation: u64, now: units::Timestamp) {
        let found = self
            .entries
            .iter_mut()
            .find(|entry| entry.incarnation == incarnation);
        match found {
            Some(entry) => entry.last_call = now,
            None => self.entries.push(Entry {
                incarnation,
                last_call: now,
            }),
        }
    }

    /// Forgets silent entries.
    pub fn expire(&mut self, now: units::Timestamp) {
        self.entries
            .retain(|entry| now.since(entry.last_call) < SILENCE);
    }

    /// Whether an entry was heard of and not forgotten.
    #[must_use]
    pub fn contains(&self, incarnation: u64) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.incarnation == incarnation)
    }

    /// Number of entries heard of lately.
    #[must_use]
    pub fn active_count(&self, now: units::Timestamp) -> usize {
        let heard = self
            .entries
            .iter()
            .filter(|entry| now.since(entry.last_call) < SILENCE);
        heard.count()
    }
}

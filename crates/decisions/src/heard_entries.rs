//! Entries that use a broker, known by their calls.

use std::time;

use crate::units;

/// Time after which a silent entry is forgotten.
const SILENCE: time::Duration = time::Duration::from_millis(2500);

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    heard_at: units::Timestamp,
}

/// Entries heard of lately.
#[derive(Debug, Default)]
pub struct HeardEntries {
    entries: Vec<Entry>,
}

impl HeardEntries {
    /// Notes a call of an entry.
    pub fn heard(&mut self, incarnation: u64, now: units::Timestamp) {
        let found = self
            .entries
            .iter_mut()
            .find(|entry| entry.incarnation == incarnation);
        match found {
            Some(entry) => entry.heard_at = now,
            None => self.entries.push(Entry {
                incarnation,
                heard_at: now,
            }),
        }
    }

    /// Forgets silent entries.
    pub fn expire(&mut self, now: units::Timestamp) {
        self.entries
            .retain(|entry| now.since(entry.heard_at) < SILENCE);
    }

    /// Whether an entry was heard of and not forgotten.
    #[must_use]
    pub fn is_known(&self, incarnation: u64) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.incarnation == incarnation)
    }

    /// Number of entries heard of lately.
    #[must_use]
    pub fn count(&self, now: units::Timestamp) -> usize {
        let heard = self
            .entries
            .iter()
            .filter(|entry| now.since(entry.heard_at) < SILENCE);
        heard.count()
    }
}

//! Bounded map whose entries are forgotten at a time of their own.

use std::collections::{BTreeMap, BTreeSet};

use crate::units;

/// Maximum number of entries; the one that would be forgotten first yields.
const MAX_ENTRIES: usize = 16_384;

#[derive(Clone, Debug)]
struct ExpiringEntry<V> {
    value: V,
    keep_until: units::Timestamp,
}

/// Values by key.
#[derive(Clone, Debug)]
pub struct ExpiringMap<V> {
    entries: BTreeMap<u64, ExpiringEntry<V>>,
    /// Keys in the order in which they are forgotten.
    expiries: BTreeSet<(units::Timestamp, u64)>,
}

impl<V> Default for ExpiringMap<V> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }
}

impl<V> ExpiringMap<V> {
    /// Adds a value unless the key has one.
    pub fn insert(
        &mut self,
        key: u64,
        value: V,
        keep_until: units::Timestamp,
        now: units::Timestamp,
    ) {
        self.forget_expired(now);
        if self.entries.contains_key(&key) {
            return;
        }
        if self.entries.len() >= MAX_ENTRIES
            && let Some((_, first)) = self.expiries.pop_first()
        {
            self.entries.remove(&first);
        }
        self.expiries.insert((keep_until, key));
        self.entries
            .insert(key, ExpiringEntry { value, keep_until });
    }

    /// Value of a key that is not to be forgotten yet.
    #[must_use]
    pub fn get(&self, key: u64, now: units::Timestamp) -> Option<&V> {
        let entry = self.entries.get(&key)?;
        (now < entry.keep_until).then_some(&entry.value)
    }

    /// All entries that are not to be forgotten yet: key, time of forgetting and value.
    pub fn iter_mut(
        &mut self,
        now: units::Timestamp,
    ) -> impl Iterator<Item = (u64, units::Timestamp, &mut V)> {
        self.forget_expired(now);
        let entries = self.entries.iter_mut();
        entries.map(|(key, entry)| (*key, entry.keep_until, &mut entry.value))
    }

    fn forget_expired(&mut self, now: units::Timestamp) {
        while let Some((keep_until, key)) = self.expiries.first().copied()
            && keep_until <= now
        {
            self.expiries.pop_first();
            self.entries.remove(&key);
        }
    }
}

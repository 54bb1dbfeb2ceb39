//! Adapter slots of one engine, as its broker sees them.
//!
//! Loaded and loading adapters take a slot, and so does a newer version beside the one that it
//! replaces. Only an adapter that no permit pins is evicted, the least recently used one first.

use std::{collections::VecDeque, time};

use crate::{engine_status, permits, units};

/// Number of unloaded adapters that the engine is assumed to reload quickly.
const RECENT_ADAPTERS: usize = 30;
/// Time after which an unreported load is issued again.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_millis(2500);
/// Backoff before a refused load is issued again.
pub const LOAD_BACKOFF: time::Duration = time::Duration::from_millis(300);

#[derive(Debug)]
struct Slot {
    adapter: engine_status::EngineAdapter,
    permits: u32,
    used_at: units::Timestamp,
}

#[derive(Debug)]
struct Loading {
    name: String,
    issued_at: units::Timestamp,
}

/// Slots of one engine.
#[derive(Debug, Default)]
pub struct AdapterSlots {
    /// Sorted by name.
    slots: Vec<Slot>,
    loading: Vec<Loading>,
    /// Adapters whose load was refused, with the end of their backoff.
    refused: Vec<(String, units::Timestamp)>,
    recent: VecDeque<String>,
}

impl AdapterSlots {
    /// Applies the engine's report. `permits_of` counts the permits that pin an adapter.
    pub fn observe(
        &mut self,
        report: &engine_status::EngineStatus,
        permits_of: impl Fn(&str) -> u32,
        now: units::Timestamp,
    ) {
        self.loading.retain(|loading| {
            let is_loading = report
                .loading
                .iter()
                .any(|adapter| adapter.name == loading.name);
            is_loading || now.since(loading.issued_at) < LOAD_TIMEOUT
        });
        self.apply_loaded(&report.loaded, permits_of, now);
        self.adopt_loading(&report.loading, now);
        self.refused.retain(|(_, until)| now < *until);
    }

    /// Removes all adapters after the engine restarted empty.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether an adapter is loaded in the required version.
    #[must_use]
    pub fn is_usable(&self, required: &permits::AdapterRequirement) -> bool {
        let position = self.find(&required.name).ok();
        position.is_some_and(|position| {
            !self.is_loading(&required.name)
                && self.slots[position].adapter.version >= required.version
        })
    }

    /// Whether an adapter is loaded in any version or loading.
    #[must_use]
    pub fn is_present(&self, name: &str) -> bool {
        self.is_loading(name) || self.find(name).is_ok()
    }

    /// Whether a load of the adapter is needed and may be issued now.
    #[must_use]
    pub fn needs_load(
        &self,
        required: &permits::AdapterRequirement,
        now: units::Timestamp,
    ) -> bool {
        let is_refused = self
            .refused
            .iter()
            .any(|(name, until)| *name == required.name && now < *until);
        !is_refused && !self.is_loading(&required.name) && !self.is_usable(required)
    }

    /// Pins an adapter for one permit and returns its version; `None` if it is not loaded.
    pub fn pin(&mut self, name: &str, now: units::Timestamp) -> Option<u32> {
        let position = self.find(name).ok()?;
        let slot = &mut self.slots[position];
        slot.permits += 1;
        slot.used_at = now;
        Some(slot.adapter.version)
    }

    /// Releases the pin of one permit.
    pub fn unpin(&mut self, name: &str, now: units::Timestamp) {
        if let Ok(position) = self.find(name) {
            let slot = &mut self.slots[position];
            slot.permits = slot.permits.saturating_sub(1);
            slot.used_at = now;
        }
    }

    /// Unpinned adapter to evict for another one: the least recently used one that no request waits
    /// for, or else the older version of the required adapter itself.
    #[must_use]
    pub fn eviction_candidate(
        &self,
        required: &permits::AdapterRequirement,
        is_required: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let idle = || self.slots.iter().filter(|slot| slot.permits == 0);
        let other = idle()
            .filter(|slot| !is_required(&slot.adapter.name))
            .min_by_key(|slot| slot.used_at);
        let own = || idle().find(|slot| slot.adapter.name == required.name);
        other.or_else(own).map(|slot| slot.adapter.name.clone())
    }

    /// Records that a load was issued.
    pub fn load_issued(&mut self, name: &str, now: units::Timestamp) {
        self.loading.push(Loading {
            name: name.to_owned(),
            issued_at: now,
        });
    }

    /// Records that the engine refused a load, or that its response was lost.
    pub fn load_failed(&mut self, name: &str, now: units::Timestamp) {
        self.loading.retain(|loading| loading.name != name);
        self.refused.retain(|(refused, _)| refused != name);
        self.refused.push((name.to_owned(), now + LOAD_BACKOFF));
    }

    /// Records that the engine has unloaded an adapter.
    pub fn unloaded(&mut self, name: &str) {
        if let Ok(position) = self.find(name) {
            self.slots.remove(position);
        }
        self.record_unloaded(name);
    }

    /// Slots in use or reserved by loads. A newer version takes a slot of its own until it replaces
    /// the loaded one.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.slots.len() + self.loading.len()
    }

    /// Number of loads in progress.
    #[must_use]
    pub fn loads(&self) -> usize {
        self.loading.len()
    }

    /// Number of slots whose adapter is unpinned.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.slots.iter().filter(|slot| slot.permits == 0).count()
    }

    /// Adapters in slots, sorted by name.
    pub fn loaded(&self) -> impl Iterator<Item = &engine_status::EngineAdapter> {
        self.slots.iter().map(|slot| &slot.adapter)
    }

    /// Names of loading adapters.
    pub fn loading(&self) -> impl Iterator<Item = &str> {
        self.loading.iter().map(|loading| loading.name.as_str())
    }

    /// Names of adapters that were unloaded recently.
    pub fn recent(&self) -> impl Iterator<Item = &str> {
        self.recent.iter().map(String::as_str)
    }

    fn is_loading(&self, name: &str) -> bool {
        self.loading.iter().any(|loading| loading.name == name)
    }

    fn apply_loaded(
        &mut self,
        loaded: &[engine_status::EngineAdapter],
        permits_of: impl Fn(&str) -> u32,
        now: units::Timestamp,
    ) {
        let unloaded: Vec<String> = self
            .slots
            .iter()
            .filter(|slot| {
                !loaded
                    .iter()
                    .any(|adapter| adapter.name == slot.adapter.name)
            })
            .map(|slot| slot.adapter.name.clone())
            .collect();
        for name in unloaded {
            self.unloaded(&name);
        }
        for adapter in loaded {
            match self.find(&adapter.name) {
                Ok(position) if self.slots[position].adapter.version < adapter.version => {
                    self.slots[position].adapter.version = adapter.version;
                    self.loading.retain(|loading| loading.name != adapter.name);
                }
                Ok(_) => {}
                Err(position) => {
                    self.loading.retain(|loading| loading.name != adapter.name);
                    self.recent.retain(|name| *name != adapter.name);
                    let slot = Slot {
                        adapter: adapter.clone(),
                        permits: permits_of(&adapter.name),
                        used_at: now,
                    };
                    self.slots.insert(position, slot);
                }
            }
        }
    }

    /// Counts loads that an earlier broker of this engine issued.
    fn adopt_loading(&mut self, loading: &[engine_status::EngineAdapter], now: units::Timestamp) {
        for adapter in loading {
            if !self.is_loading(&adapter.name) {
                self.load_issued(&adapter.name, now);
            }
        }
    }

    fn record_unloaded(&mut self, name: &str) {
        self.recent.retain(|recent| recent != name);
        self.recent.push_back(name.to_owned());
        if self.recent.len() > RECENT_ADAPTERS {
            self.recent.pop_front();
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|slot| slot.adapter.name.as_str().cmp(name))
    }
}

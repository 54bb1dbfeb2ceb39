//! Adapter slots of one engine.

use std::sync::Arc;

use decisions::ids;
use endpoints::client::{EndpointError, ModelEngine};
use parking_lot::Mutex;
use tokio::sync;

/// Adapters of one engine and the requests that pin them.
pub struct AdapterSlots {
    engine: Arc<dyn ModelEngine>,
    capacity: usize,
    resident: Mutex<Vec<ResidentAdapter>>,
    /// Loads run one after the other.
    loading: sync::Mutex<()>,
    changed: sync::Notify,
}

struct ResidentAdapter {
    adapter: ids::AdapterRef,
    pins: u32,
    /// Counter value of the last use.
    used: u64,
}

/// Pin of one request; the adapter is not evicted while it exists.
pub struct AdapterPin {
    slots: Arc<AdapterSlots>,
    adapter: ids::AdapterRef,
}

impl AdapterSlots {
    /// Creates the slots of an engine without resident adapters.
    #[must_use]
    pub fn new(engine: Arc<dyn ModelEngine>, capacity: usize) -> Self {
        Self {
            engine,
            capacity,
            resident: Mutex::new(Vec::new()),
            loading: sync::Mutex::new(()),
            changed: sync::Notify::new(),
        }
    }

    /// Pins an adapter, loading it first if needed.
    ///
    /// # Errors
    /// The engine's error when it does not load the adapter.
    pub async fn pin(
        slots: &Arc<Self>,
        adapter: &ids::AdapterRef,
        fencing: u64,
    ) -> Result<AdapterPin, EndpointError> {
        if let Some(pin) = Self::try_pin(slots, adapter) {
            return Ok(pin);
        }
        let _loading = slots.loading.lock().await;
        loop {
            if let Some(pin) = Self::try_pin(slots, adapter) {
                return Ok(pin);
            }
            let changed = slots.changed.notified();
            if slots.make_room(fencing).await? {
                break;
            }
            changed.await;
        }
        slots.engine.load_adapter(adapter, fencing).await?;
        slots.insert(adapter);
        Ok(AdapterPin {
            slots: Arc::clone(slots),
            adapter: adapter.clone(),
        })
    }

    /// Ids of the resident adapters, sorted.
    #[must_use]
    pub fn resident(&self) -> Vec<ids::AdapterId> {
        let resident = self.resident.lock();
        let mut adapters: Vec<_> = resident.iter().map(|entry| entry.adapter.id()).collect();
        adapters.sort_unstable();
        adapters
    }

    fn try_pin(slots: &Arc<Self>, adapter: &ids::AdapterRef) -> Option<AdapterPin> {
        let mut resident = slots.resident.lock();
        let position = resident
            .binary_search_by(|entry| entry.adapter.cmp(adapter))
            .ok()?;
        let used = next_use(&resident);
        let entry = &mut resident[position];
        entry.pins += 1;
        entry.used = used;
        Some(AdapterPin {
            slots: Arc::clone(slots),
            adapter: adapter.clone(),
        })
    }

    /// Frees a slot; false when all adapters are pinned.
    async fn make_room(&self, fencing: u64) -> Result<bool, EndpointError> {
        let victim = {
            let mut resident = self.resident.lock();
            if resident.len() < self.capacity {
                return Ok(true);
            }
            let unpinned = resident.iter().enumerate();
            let victim = unpinned
                .filter(|(_, entry)| entry.pins == 0)
                .min_by_key(|(_, entry)| entry.used)
                .map(|(position, _)| position);
            let Some(position) = victim else {
                return Ok(false);
            };
            resident.remove(position)
        };
        self.engine.unload_adapter(&victim.adapter, fencing).await?;
        Ok(true)
    }

    fn insert(&self, adapter: &ids::AdapterRef) {
        let mut resident = self.resident.lock();
        let used = next_use(&resident);
        let position = resident.partition_point(|entry| entry.adapter < *adapter);
        let entry = ResidentAdapter {
            adapter: adapter.clone(),
            pins: 1,
            used,
        };
        resident.insert(position, entry);
    }
}

impl Drop for AdapterPin {
    fn drop(&mut self) {
        let mut resident = self.slots.resident.lock();
        let position = resident.binary_search_by(|entry| entry.adapter.cmp(&self.adapter));
        if let Ok(position) = position {
            resident[position].pins -= 1;
        }
        drop(resident);
        self.slots.changed.notify_waiters();
    }
}

fn next_use(resident: &[ResidentAdapter]) -> u64 {
    let last = resident.iter().map(|entry| entry.used).max();
    last.unwrap_or(0) + 1
}

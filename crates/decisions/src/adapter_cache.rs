//! Adapter cache of one engine, as its agent manages it.
//!
//! Every adapter version is an adapter of its own (`adapter@version`). An adapter with requests in
//! flight is pinned and never evicted. Loads are ordered by the time left per waiting request. An
//! [`eviction::EvictionPolicy`] decides which unpinned adapter is evicted.

use rand::Rng;

use crate::{eviction, ids, load_queue, units};

/// A prefetch needs this many times the value of the adapter it replaces, because a prefetch
/// costs a load that no waiting request needs.
const PREFETCH_GAIN: f64 = 2.0;

/// Load of one adapter that may be commanded now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadPlan {
    pub adapter: ids::AdapterId,
    /// Adapter to unload first.
    pub evict: Option<ids::AdapterId>,
    /// Engine start that the load belongs to; a reply from before a restart is ignored.
    generation: u64,
}

/// Pin of one request in flight. A release from before a restart of the engine is ignored, as it
/// would otherwise take away the pin of a newer request.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "an unreleased pin keeps the adapter in its slot"]
pub struct AdapterPin {
    adapter: ids::AdapterId,
    generation: u64,
}

/// Adapter with high demand, as reported by entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotAdapter {
    pub adapter: ids::AdapterId,
    /// Requests per second in the region.
    pub rate: f64,
    /// Replicas that hold it.
    pub copies: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotState {
    Loading,
    Resident,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    adapter: ids::AdapterId,
    state: SlotState,
    pins: u32,
    last_used: units::Timestamp,
    /// Loaded for waiting requests although the policy would not keep it.
    is_transient: bool,
}

/// Slots of one engine and the loads that wait for them.
pub struct AdapterCache {
    capacity: usize,
    /// Increases with every cold restart of the engine.
    generation: u64,
    /// Sorted by adapter.
    slots: Vec<Slot>,
    loads: load_queue::LoadQueue,
    demand: eviction::DemandTable,
    policy: Box<dyn eviction::EvictionPolicy>,
}

impl AdapterCache {
    /// Empty cache of an engine that holds `capacity` adapters.
    #[must_use]
    pub fn new(capacity: usize, policy: Box<dyn eviction::EvictionPolicy>) -> Self {
        Self {
            capacity,
            generation: 0,
            slots: Vec::new(),
            loads: load_queue::LoadQueue::default(),
            demand: eviction::DemandTable::default(),
            policy,
        }
    }

    /// Counts the demand of a new request; a request on an adapter that is not resident then
    /// waits for its load.
    pub fn request(
        &mut self,
        adapter: ids::AdapterId,
        deadline: units::Timestamp,
        now: units::Timestamp,
    ) {
        self.demand.count(adapter, now);
        if !self.is_resident(adapter) {
            self.loads.push(adapter, deadline);
        }
    }

    /// Sets the earliest deadline of the requests that wait for an adapter after some left the queue;
    /// `None` withdraws the load if it has not started.
    pub fn set_deadline(&mut self, adapter: ids::AdapterId, deadline: Option<units::Timestamp>) {
        self.loads.set_deadline(adapter, deadline);
    }

    /// Sets the number of copies on other replicas, as reported by peers.
    pub fn set_copies(&mut self, adapter: ids::AdapterId, copies: u32, now: units::Timestamp) {
        self.demand.set_copies(adapter, copies, now);
    }

    /// Pins a resident adapter for one request; `None` when it is not resident.
    pub fn pin(&mut self, adapter: ids::AdapterId, now: units::Timestamp) -> Option<AdapterPin> {
        let generation = self.generation;
        let slot = self.slot_mut(adapter)?;
        if slot.state != SlotState::Resident {
            return None;
        }
        slot.pins += 1;
        slot.last_used = now;
        Some(AdapterPin {
            adapter,
            generation,
        })
    }

    /// Releases the pin of a request that has ended.
    #[expect(clippy::needless_pass_by_value, reason = "a pin is released once")]
    pub fn unpin(&mut self, pin: AdapterPin, now: units::Timestamp) {
        let AdapterPin {
            adapter,
            generation,
        } = pin;
        if generation != self.generation {
            return;
        }
        if let Some(slot) = self.slot_mut(adapter) {
            slot.pins = slot.pins.saturating_sub(1);
            slot.last_used = now;
        }
    }

    /// Starts the most urgent load, evicting an unpinned adapter if needed. The caller commands the
    /// engine and reports [`Self::loaded`] or [`Self::load_failed`].
    pub fn next_load(
        &mut self,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
    ) -> Option<LoadPlan> {
        let is_absent = |adapter| self.slot_position(adapter).is_err();
        let adapter = self.loads.earliest(now, is_absent)?;
        let evict = match self.free_slots() {
            0 => Some(self.eviction_candidate(now)?.adapter),
            _ => None,
        };
        let usage = self.demand.usage(adapter, now, now);
        let is_transient = !self.policy.admits(&usage, rng.random());
        Some(self.reserve_slot(adapter, evict, is_transient, now))
    }

    /// Starts the load of a further copy of the hottest adapter, when a slot is free or holds an
    /// adapter of far lower value, and no request waits for a load.
    pub fn prefetch(&mut self, hot: &[HotAdapter], now: units::Timestamp) -> Option<LoadPlan> {
        if self.waiting_loads() > 0 {
            return None;
        }
        let usage = |hot: &HotAdapter| eviction::AdapterUsage {
            rate: hot.rate,
            copies_elsewhere: hot.copies,
            last_used: now,
        };
        let (hottest, value) = hot
            .iter()
            .filter(|hot| self.slot_position(hot.adapter).is_err())
            .filter(|hot| !self.loads.is_backing_off(hot.adapter, now))
            .map(|hot| (hot.adapter, self.policy.value(&usage(hot), now)))
            .max_by(|(_, left), (_, right)| left.total_cmp(right))?;
        let evict = match self.free_slots() {
            0 => {
                let candidate = self.eviction_candidate(now)?;
                let current = self.value(&candidate, now);
                if value < current * PREFETCH_GAIN {
                    return None;
                }
                Some(candidate.adapter)
            }
            _ => None,
        };
        Some(self.reserve_slot(hottest, evict, false, now))
    }

    /// Records a completed load.
    pub fn loaded(&mut self, plan: &LoadPlan, now: units::Timestamp) {
        if plan.generation != self.generation {
            return;
        }
        let Some(slot) = self.slot_mut(plan.adapter) else {
            return;
        };
        slot.state = SlotState::Resident;
        slot.last_used = now;
        self.loads.remove(plan.adapter);
    }

    /// Records a failed load and returns the time of the next attempt; `None` for a load from
    /// before a restart.
    pub fn load_failed(
        &mut self,
        plan: &LoadPlan,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
    ) -> Option<units::Timestamp> {
        if plan.generation != self.generation {
            return None;
        }
        let position = self.slot_position(plan.adapter).ok()?;
        if self.slots[position].state != SlotState::Loading {
            return None;
        }
        self.slots.remove(position);
        Some(self.loads.fail(plan.adapter, now, rng))
    }

    /// Failed loads in a row of an adapter.
    #[must_use]
    pub fn failures(&self, adapter: ids::AdapterId) -> u32 {
        self.loads.failures(adapter)
    }

    /// Forgets slots, pins and loads after a cold restart of the engine, which may report another
    /// capacity. Demand and waiting deadlines are those of callers and remain.
    pub fn reset(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.generation += 1;
        self.slots.clear();
        self.loads.reset();
    }

    /// Adopts the adapters that the engine lists as loaded when the agent starts.
    pub fn adopt(&mut self, adapters: &[ids::AdapterId], now: units::Timestamp) {
        for adapter in adapters {
            if self.free_slots() > 0 && self.slot_position(*adapter).is_err() {
                let plan = self.reserve_slot(*adapter, None, false, now);
                self.loaded(&plan, now);
            }
        }
    }

    /// Drops demand that has decayed and backoffs that have ended with no request waiting.
    pub fn expire(&mut self, now: units::Timestamp) {
        self.demand.expire(now);
        self.loads.expire(now);
    }

    /// Resident adapters, sorted.
    #[must_use]
    pub fn resident(&self) -> Vec<ids::AdapterId> {
        self.adapters_in_state(SlotState::Resident)
    }

    /// Adapters being loaded, sorted.
    #[must_use]
    pub fn loading(&self) -> Vec<ids::AdapterId> {
        self.adapters_in_state(SlotState::Loading)
    }

    /// Adapters that are being loaded or wait for their load, sorted. Entries send further requests
    /// for them here instead of causing a second load elsewhere.
    #[must_use]
    pub fn pending(&self) -> Vec<ids::AdapterId> {
        let waiting = self.loads.waiting();
        let mut pending: Vec<_> = waiting
            .filter(|adapter| self.slot_position(*adapter).is_err())
            .chain(self.loading())
            .collect();
        pending.sort_unstable();
        pending.dedup();
        pending
    }

    /// Adapters that wait for a load that has not started.
    #[must_use]
    pub fn waiting_loads(&self) -> usize {
        let waiting = self.loads.waiting();
        let absent = waiting.filter(|adapter| self.slot_position(*adapter).is_err());
        absent.count()
    }

    /// Requests in flight on an adapter.
    #[must_use]
    pub fn pins(&self, adapter: ids::AdapterId) -> u32 {
        let position = self.slot_position(adapter);
        position.map_or(0, |position| self.slots[position].pins)
    }

    fn adapters_in_state(&self, state: SlotState) -> Vec<ids::AdapterId> {
        let slots = self.slots.iter().filter(|slot| slot.state == state);
        slots.map(|slot| slot.adapter).collect()
    }

    fn is_resident(&self, adapter: ids::AdapterId) -> bool {
        self.slot_position(adapter)
            .is_ok_and(|position| self.slots[position].state == SlotState::Resident)
    }

    fn free_slots(&self) -> usize {
        self.capacity.saturating_sub(self.slots.len())
    }

    fn value(&self, slot: &Slot, now: units::Timestamp) -> f64 {
        let usage = self.demand.usage(slot.adapter, slot.last_used, now);
        self.policy.value(&usage, now)
    }

    /// Unpinned resident adapter to evict: transient ones first, then the lowest value.
    fn eviction_candidate(&self, now: units::Timestamp) -> Option<Slot> {
        self.slots
            .iter()
            .filter(|slot| slot.state == SlotState::Resident && slot.pins == 0)
            .min_by(|left, right| {
                let by_value = || self.value(left, now).total_cmp(&self.value(right, now));
                let transient_first = right.is_transient.cmp(&left.is_transient);
                transient_first.then_with(by_value)
            })
            .copied()
    }

    fn reserve_slot(
        &mut self,
        adapter: ids::AdapterId,
        evict: Option<ids::AdapterId>,
        is_transient: bool,
        now: units::Timestamp,
    ) -> LoadPlan {
        self.slots.retain(|slot| Some(slot.adapter) != evict);
        let slot = Slot {
            adapter,
            state: SlotState::Loading,
            pins: 0,
            last_used: now,
            is_transient,
        };
        let position = self.slots.partition_point(|other| other.adapter < adapter);
        self.slots.insert(position, slot);
        LoadPlan {
            adapter,
            evict,
            generation: self.generation,
        }
    }

    fn slot_position(&self, adapter: ids::AdapterId) -> Result<usize, usize> {
        self.slots
            .binary_search_by_key(&adapter, |slot| slot.adapter)
    }

    fn slot_mut(&mut self, adapter: ids::AdapterId) -> Option<&mut Slot> {
        let position = self.slot_position(adapter).ok()?;
        self.slots.get_mut(position)
    }
}

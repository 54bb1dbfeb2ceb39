//! Endpoints of one entry with their load, adapters and an index from adapter to holders.
//!
//! Reports lag, so each endpoint also keeps the requests that this entry sent since the report was
//! made, and the adapters whose load these requests caused.

use std::collections;

use crate::{endpoint_state, hash_ring, ids, routing, stragglers, units};

/// Endpoints of one base model.
#[derive(Debug, Default)]
pub struct ModelGroup {
    pub name: String,
    pub ring: hash_ring::HashRing,
    pub stragglers: stragglers::StragglerTable,
    /// Positions of the endpoints that accept new requests, sorted.
    pub routable: Vec<usize>,
}

/// Position of an endpoint in the table.
#[derive(Clone, Copy, Debug)]
struct EndpointSlot {
    endpoint: ids::EndpointId,
    slot: usize,
}

/// Endpoints with their indexes.
#[derive(Debug, Default)]
pub struct EndpointTable {
    states: Vec<Option<endpoint_state::EndpointState>>,
    /// Unused positions in `states`.
    free: Vec<usize>,
    /// Sorted by endpoint.
    slots: Vec<EndpointSlot>,
    /// Base models are few and never removed, so that positions stay valid.
    models: Vec<ModelGroup>,
    /// A tree, because inserting into a sorted vector of 21,000 adapters moves half a megabyte.
    holders: collections::BTreeMap<ids::AdapterId, Vec<hash_ring::RankedEndpoint>>,
    /// Loads in flight or expected at all endpoints.
    loading: u32,
}

impl EndpointTable {
    /// Adds an endpoint; false when it is already known.
    pub fn add(&mut self, location: &routing::EndpointLocation) -> bool {
        let Err(position) = self.position(location.endpoint) else {
            return false;
        };
        let state = endpoint_state::EndpointState::new(location);
        let slot = if let Some(slot) = self.free.pop() {
            self.states[slot] = Some(state);
            slot
        } else {
            self.states.push(Some(state));
            self.states.len() - 1
        };
        let endpoint = location.endpoint;
        self.slots.insert(position, EndpointSlot { endpoint, slot });
        true
    }

    /// Removes an endpoint and its state.
    pub fn remove(&mut self, endpoint: ids::EndpointId) {
        let Ok(position) = self.position(endpoint) else {
            return;
        };
        let slot = self.slots.remove(position).slot;
        let Some(state) = self.states[slot].take() else {
            return;
        };
        if let Some(model) = state.model {
            self.leave_model(endpoint, slot, model);
        }
        self.reindex(endpoint, slot, &state.adapters, &[]);
        self.free.push(slot);
    }

    /// Applies a report and returns the number of loads that it shows for the first time; `None`
    /// when the endpoint is unknown or the report is outdated.
    pub fn report(
        &mut self,
        endpoint: ids::EndpointId,
        report: &routing::EndpointReport,
        now: units::Timestamp,
    ) -> Option<u32> {
        let slot = self.slot(endpoint)?;
        let model = self.intern(&report.base_model);
        let state = self.states[slot].as_mut()?;
        let previous = state.model;
        let before = state.apply_report(report, model, now)?;
        let after = state.adapters.clone();
        let appeared = self.reindex(endpoint, slot, &before, &after);
        self.update_routable(endpoint);
        if previous == Some(model) {
            return Some(appeared);
        }
        if let Some(previous) = previous {
            self.leave_model(endpoint, slot, previous);
        }
        self.join_model(endpoint, slot, model, now);
        // The adapters of a newly discovered endpoint were loaded some time ago.
        Some(0)
    }

    /// Counts a request that the last report does not include; true when it causes a load.
    pub fn dispatched(
        &mut self,
        endpoint: ids::EndpointId,
        request: ids::RequestId,
        adapter: ids::AdapterId,
        now: units::Timestamp,
    ) -> bool {
        let Some(slot) = self.slot(endpoint) else {
            return false;
        };
        let Some(state) = self.states[slot].as_mut() else {
            return false;
        };
        state.sent(request, now);
        if !state.expect_load(adapter, now) {
            return false;
        }
        self.index(adapter, endpoint, slot);
        self.loading += 1;
        true
    }

    /// Stops counting a request that has ended.
    pub fn ended(&mut self, endpoint: ids::EndpointId, request: ids::RequestId) {
        if let Some(state) = self.state_mut(endpoint) {
            state.ended(request);
        }
    }

    /// Stops expecting an adapter after an attempt that did not run.
    pub fn load_cancelled(&mut self, endpoint: ids::EndpointId, adapter: ids::AdapterId) {
        let Some(state) = self.state_mut(endpoint) else {
            return;
        };
        if state.cancel_load(adapter) {
            self.unindex(adapter, endpoint);
            self.loading -= 1;
        }
    }

    /// Stops new requests to an endpoint.
    pub fn set_leaving(&mut self, endpoint: ids::EndpointId) {
        if let Some(state) = self.state_mut(endpoint) {
            state.leaving = true;
        }
        self.update_routable(endpoint);
    }

    /// Endpoints that hold or load an adapter, in rendezvous order.
    #[must_use]
    pub fn holders(&self, adapter: ids::AdapterId) -> &[hash_ring::RankedEndpoint] {
        self.holders.get(&adapter).map_or(&[], Vec::as_slice)
    }

    /// Position of a base model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<usize> {
        self.models.iter().position(|model| model.name == name)
    }

    /// Endpoints of a base model.
    #[must_use]
    pub fn group(&self, model: usize) -> &ModelGroup {
        &self.models[model]
    }

    /// Times of the endpoints that serve the same base model as this one.
    pub fn stragglers_of(
        &mut self,
        endpoint: ids::EndpointId,
    ) -> Option<&mut stragglers::StragglerTable> {
        let model = self.state(self.slot(endpoint)?)?.model?;
        Some(&mut self.models[model].stragglers)
    }

    /// State of the endpoint at a position.
    #[must_use]
    pub fn state(&self, slot: usize) -> Option<&endpoint_state::EndpointState> {
        self.states[slot].as_ref()
    }

    fn state_mut(
        &mut self,
        endpoint: ids::EndpointId,
    ) -> Option<&mut endpoint_state::EndpointState> {
        let slot = self.slot(endpoint)?;
        self.states[slot].as_mut()
    }

    /// Loads in flight or expected at all endpoints.
    #[must_use]
    pub fn loading(&self) -> u32 {
        self.loading
    }

    fn position(&self, endpoint: ids::EndpointId) -> Result<usize, usize> {
        self.slots
            .binary_search_by_key(&endpoint, |slot| slot.endpoint)
    }

    fn slot(&self, endpoint: ids::EndpointId) -> Option<usize> {
        let position = self.position(endpoint).ok()?;
        Some(self.slots[position].slot)
    }

    fn intern(&mut self, name: &str) -> usize {
        self.model(name).unwrap_or_else(|| {
            self.models.push(ModelGroup {
                name: name.to_owned(),
                ..ModelGroup::default()
            });
            self.models.len() - 1
        })
    }

    fn join_model(
        &mut self,
        endpoint: ids::EndpointId,
        slot: usize,
        model: usize,
        now: units::Timestamp,
    ) {
        let group = &mut self.models[model];
        group.ring.add(endpoint, slot);
        group.stragglers.add(endpoint, now);
        self.update_routable(endpoint);
    }

    fn leave_model(&mut self, endpoint: ids::EndpointId, slot: usize, model: usize) {
        let group = &mut self.models[model];
        group.ring.remove(slot);
        group.stragglers.remove(endpoint);
        group.routable.retain(|other| *other != slot);
    }

    /// Updates the list of routable endpoints after a state change.
    fn update_routable(&mut self, endpoint: ids::EndpointId) {
        let Some(slot) = self.slot(endpoint) else {
            return;
        };
        let Some(state) = self.states[slot].as_ref() else {
            return;
        };
        let Some(model) = state.model else {
            return;
        };
        let routable = &mut self.models[model].routable;
        match (routable.binary_search(&slot), state.takes_work()) {
            (Ok(position), false) => {
                routable.remove(position);
            }
            (Err(position), true) => routable.insert(position, slot),
            _ => {}
        }
    }

    /// Applies the difference of two sorted lists to the index; returns the number of adapters that
    /// are newly reported as loaded or loading.
    fn reindex(
        &mut self,
        endpoint: ids::EndpointId,
        slot: usize,
        before: &[endpoint_state::EndpointAdapter],
        after: &[endpoint_state::EndpointAdapter],
    ) -> u32 {
        self.loading = self.loading + endpoint_state::count_loading(after)
            - endpoint_state::count_loading(before);
        for adapter in before {
            if endpoint_state::position_of(after, adapter.adapter).is_err() {
                self.unindex(adapter.adapter, endpoint);
            }
        }
        let mut appeared = 0;
        for adapter in after {
            let known = endpoint_state::position_of(before, adapter.adapter);
            if known.is_err() {
                self.index(adapter.adapter, endpoint, slot);
            }
            // An expected load counts once it is reported, because it may start late or never.
            let is_expected = |state| state == endpoint_state::LoadState::Expected;
            let was_started = known.is_ok_and(|known| !is_expected(before[known].state));
            if !was_started && !is_expected(adapter.state) {
                appeared += 1;
            }
        }
        appeared
    }

    fn index(&mut self, adapter: ids::AdapterId, endpoint: ids::EndpointId, slot: usize) {
        let rank = hash_ring::rendezvous_hash(adapter, endpoint);
        let ranked = hash_ring::RankedEndpoint { rank, slot };
        let holders = self.holders.entry(adapter).or_default();
        if let Err(position) = holders.binary_search(&ranked) {
            holders.insert(position, ranked);
        }
    }

    fn unindex(&mut self, adapter: ids::AdapterId, endpoint: ids::EndpointId) {
        let rank = hash_ring::rendezvous_hash(adapter, endpoint);
        let Some(holders) = self.holders.get_mut(&adapter) else {
            return;
        };
        if let Ok(position) = holders.binary_search_by_key(&rank, |holder| holder.rank) {
            holders.remove(position);
        }
        if holders.is_empty() {
            self.holders.remove(&adapter);
        }
    }
}

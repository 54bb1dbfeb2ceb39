//! Cost of the endpoints that may take a request.

use std::time;

use crate::{batch_reserve, endpoint_state, endpoint_table, hash_ring, routing, units};

/// Cost of a full batch in addition to the predicted wait, so that new copies go to idle endpoints.
const FULL_BATCH_COST: time::Duration = time::Duration::from_millis(40);
/// Share of the batch that may fill before [`QUEUEING_COST`] applies. The rest absorbs the requests
/// that other entries send before the next report.
const UNCROWDED_SHARE: f64 = 0.75;
/// Additional cost of a batch that is full; about the time until one of its requests ends. It lets
/// other holders fill, and copies be made, before requests queue.
const QUEUEING_COST: time::Duration = time::Duration::from_millis(600);
/// Cost of each unit of slowness beyond 1, as later tokens are slow as well.
const SLOWNESS_COST: time::Duration = time::Duration::from_millis(100);
/// Cost of an eviction at an idle endpoint, as a share of the load time.
const EVICTION_COST: f64 = 0.25;

/// Endpoint that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Position in the endpoint table.
    pub slot: usize,
    pub rank: u64,
    pub state: routing::AdapterState,
    /// Predicted time in the queue and for loading the adapter.
    pub wait: time::Duration,
    /// Predicted time to the first token.
    pub first_token: time::Duration,
    pub cost: time::Duration,
}

/// Values that are the same for all candidates of one choice.
#[derive(Clone, Copy)]
pub struct Prediction<'a> {
    pub table: &'a endpoint_table::EndpointTable,
    pub request: &'a routing::RoutingRequest<'a>,
    pub model: usize,
    pub load_time: time::Duration,
    pub request_time: time::Duration,
    pub first_token: time::Duration,
    pub now: units::Timestamp,
}

impl Prediction<'_> {
    /// Whether the endpoint may take the request.
    #[must_use]
    pub fn is_usable(&self, slot: usize) -> bool {
        self.table.state(slot).is_some_and(|state| {
            state.model == Some(self.model)
                && state.takes_work()
                && !self.request.exclude.contains(&state.endpoint)
        })
    }

    /// Whether the endpoint holds or loads the adapter.
    #[must_use]
    pub fn is_holder(&self, slot: usize) -> bool {
        self.table
            .state(slot)
            .is_some_and(|state| state.find_adapter(self.request.adapter).is_some())
    }

    /// Cost of an endpoint, `None` when it may not take the request.
    #[must_use]
    pub fn candidate(&self, slot: usize) -> Option<Candidate> {
        if !self.is_usable(slot) {
            return None;
        }
        let state = self.table.state(slot)?;
        let (adapter_state, load_wait) = self.load_wait(state);
        let queue_wait = self.queue_wait(state);
        let stragglers = &self.table.group(self.model).stragglers;
        let slowness = stragglers.slowness(state.endpoint, self.now);
        // The agent loads while the request queues, so the longer of both counts.
        let wait = queue_wait.max(load_wait);
        let first_token = (queue_wait + self.first_token)
            .mul_f64(slowness)
            .max(load_wait + self.first_token.mul_f64(slowness))
            + state.distance * 2;
        let filled = f64::from(state.outstanding()) / f64::from(self.usable_batch_slots(state));
        let congestion = ((filled - UNCROWDED_SHARE) / (1.0 - UNCROWDED_SHARE)).clamp(0.0, 1.0);
        Some(Candidate {
            slot,
            rank: hash_ring::rendezvous_hash(self.request.adapter, state.endpoint),
            state: adapter_state,
            wait,
            first_token,
            cost: first_token
                + FULL_BATCH_COST.mul_f64(filled.min(1.0))
                + QUEUEING_COST.mul_f64(congestion)
                + SLOWNESS_COST.mul_f64(slowness - 1.0)
                + self.eviction_cost(state, adapter_state),
        })
    }

    /// Batch slots that the request may use.
    fn usable_batch_slots(&self, state: &endpoint_state::EndpointState) -> u32 {
        let limit = usize::try_from(state.batch_limit).unwrap_or(usize::MAX);
        let reserved = match self.request.priority {
            units::Priority::High => 0,
            _ => batch_reserve::reserved_slots(limit),
        };
        u32::try_from(limit - reserved).unwrap_or(u32::MAX)
    }

    /// Time until a new request enters the batch.
    fn queue_wait(&self, state: &endpoint_state::EndpointState) -> time::Duration {
        let free = self
            .usable_batch_slots(state)
            .saturating_sub(state.occupied);
        let behind = state.unreported().saturating_sub(free);
        let turns = f64::from(behind) / f64::from(state.batch_limit);
        state.waits[self.request.priority as usize] + self.request_time.mul_f64(turns)
    }

    fn load_wait(
        &self,
        state: &endpoint_state::EndpointState,
    ) -> (routing::AdapterState, time::Duration) {
        let Some(adapter) = state.find_adapter(self.request.adapter) else {
            return (routing::AdapterState::Absent, self.load_time);
        };
        if adapter.state == endpoint_state::LoadState::Loaded {
            return (routing::AdapterState::Loaded, time::Duration::ZERO);
        }
        // A load that takes longer than estimated is never treated as done.
        let left = self
            .load_time
            .saturating_sub(self.now.since(adapter.since))
            .max(self.load_time / 8);
        (routing::AdapterState::Loading, left)
    }

    /// Cost of evicting an adapter to free a slot.
    fn eviction_cost(
        &self,
        state: &endpoint_state::EndpointState,
        adapter_state: routing::AdapterState,
    ) -> time::Duration {
        let has_free_slot = state.adapters.len() < state.adapter_slots;
        if adapter_state != routing::AdapterState::Absent || has_free_slot {
            return time::Duration::ZERO;
        }
        // Reports do not say which adapters are pinned. Many requests share few adapters, so some
        // slot is nearly always free to be reused; a busy endpoint only makes that less certain.
        let pinned = f64::from(state.outstanding()) / f64::from(state.batch_limit);
        // The evicted adapter may have to be loaded again by a later request.
        self.load_time.mul_f64(EVICTION_COST + pinned.min(1.0))
    }
}

/// Lowest cost of the candidates.
#[must_use]
pub fn lowest_cost(candidates: &[Candidate]) -> Option<time::Duration> {
    candidates.iter().map(|candidate| candidate.cost).min()
}

/// First candidate whose cost is within the margin of the lowest.
#[must_use]
pub fn preferred(candidates: &[Candidate], margin: time::Duration) -> Option<Candidate> {
    let lowest = lowest_cost(candidates)?;
    candidates
        .iter()
        .find(|candidate| candidate.cost <= lowest + margin)
        .copied()
}

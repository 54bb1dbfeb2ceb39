//! Loads that wait for a slot, ordered by urgency, with a backoff after failures.

use std::time;

use rand::Rng;

use crate::{ids, load_budget, units};

/// Backoff after the first failed load; doubled with every further failure in a row.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// Longest backoff after failed loads.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(16);

/// Requests that wait for an adapter, and its failed loads.
#[derive(Clone, Copy, Debug)]
struct WaitingLoad {
    adapter: ids::AdapterId,
    /// Earliest deadline; `None` when no request waits.
    deadline: Option<units::Timestamp>,
    /// Requests that wait, at least those since the deadline was last set.
    requests: u32,
    failures: u32,
    not_before: units::Timestamp,
}

impl WaitingLoad {
    /// Sort key: whether the load is too late, the time left per waiting request, and the deadline.
    fn urgency(&self, now: units::Timestamp) -> Option<(bool, time::Duration, units::Timestamp)> {
        let deadline = self.deadline?;
        let is_late = deadline < now + load_budget::NOMINAL_LOAD_TIME;
        let time_per_request = deadline.since(now) / self.requests.max(1);
        Some((is_late, time_per_request, deadline))
    }
}

/// Waiting loads, sorted by adapter.
#[derive(Debug, Default)]
pub struct LoadQueue {
    loads: Vec<WaitingLoad>,
}

impl LoadQueue {
    /// Adds a request that waits for an adapter.
    pub fn push(&mut self, adapter: ids::AdapterId, deadline: units::Timestamp) {
        let load = self.entry(adapter);
        let earliest = load.deadline.map_or(deadline, |other| other.min(deadline));
        load.deadline = Some(earliest);
        load.requests += 1;
    }

    /// Sets the earliest deadline of the requests that still wait; `None` when there are none.
    pub fn set_deadline(&mut self, adapter: ids::AdapterId, deadline: Option<units::Timestamp>) {
        if deadline.is_some() || self.position(adapter).is_ok() {
            let load = self.entry(adapter);
            load.deadline = deadline;
            let remaining = load.requests.saturating_sub(1);
            load.requests = deadline.map_or(0, |_| remaining.max(1));
        }
    }

    /// Removes an adapter that has been loaded.
    pub fn remove(&mut self, adapter: ids::AdapterId) {
        if let Ok(position) = self.position(adapter) {
            self.loads.remove(position);
        }
    }

    /// Records a failed load and returns the time of the next attempt. The backoff is jittered by
    /// up to half, so that agents do not retry together.
    pub fn fail(
        &mut self,
        adapter: ids::AdapterId,
        now: units::Timestamp,
        rng: &mut dyn rand::RngCore,
    ) -> units::Timestamp {
        let load = self.entry(adapter);
        let factor = 1 << load.failures.min(16);
        let backoff = INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        load.failures += 1;
        load.not_before = now + backoff.mul_f64(rng.random_range(1.0..1.5));
        load.not_before
    }

    /// Ends all backoffs; a restarted engine may load what it refused before.
    pub fn reset(&mut self) {
        for load in &mut self.loads {
            load.failures = 0;
            load.not_before = units::Timestamp::default();
        }
    }

    /// Drops backoffs that have ended with no request waiting.
    pub fn expire(&mut self, now: units::Timestamp) {
        self.loads
            .retain(|load| load.deadline.is_some() || load.not_before > now);
    }

    /// Most urgent adapter that is eligible and not in backoff: the one with the least time left
    /// per waiting request. A load that comes too late for its deadline helps later requests only
    /// and yields to those in time, so that an overloaded store does not serve expired work.
    pub fn earliest(
        &self,
        now: units::Timestamp,
        is_eligible: impl Fn(ids::AdapterId) -> bool,
    ) -> Option<ids::AdapterId> {
        self.loads
            .iter()
            .filter(|load| load.not_before <= now && is_eligible(load.adapter))
            .filter_map(|load| Some((load.urgency(now)?, load.adapter)))
            .min()
            .map(|(_, adapter)| adapter)
    }

    /// Adapters with waiting requests, sorted.
    pub fn waiting(&self) -> impl Iterator<Item = ids::AdapterId> {
        let loads = self.loads.iter().filter(|load| load.deadline.is_some());
        loads.map(|load| load.adapter)
    }

    /// Whether the last load failed and its backoff has not ended.
    #[must_use]
    pub fn is_backing_off(&self, adapter: ids::AdapterId, now: units::Timestamp) -> bool {
        self.position(adapter)
            .is_ok_and(|position| self.loads[position].not_before > now)
    }

    /// Failed loads in a row.
    #[must_use]
    pub fn failures(&self, adapter: ids::AdapterId) -> u32 {
        let position = self.position(adapter);
        position.map_or(0, |position| self.loads[position].failures)
    }

    fn position(&self, adapter: ids::AdapterId) -> Result<usize, usize> {
        self.loads
            .binary_search_by_key(&adapter, |load| load.adapter)
    }

    fn entry(&mut self, adapter: ids::AdapterId) -> &mut WaitingLoad {
        let found = self.position(adapter);
        let position = found.unwrap_or_else(|position| {
            let load = WaitingLoad {
                adapter,
                deadline: None,
                requests: 0,
                failures: 0,
                not_before: units::Timestamp::default(),
            };
            self.loads.insert(position, load);
            position
        });
        &mut self.loads[position]
    }
}

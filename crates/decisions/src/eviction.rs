//! Eviction policies for the adapter slots of an engine, and the demand that they depend on.

use std::time;

use crate::{ids, units};

/// Half-life of the demand rate. Popularity shifts within seconds, and one burst must not keep an
/// adapter for minutes.
const DEMAND_HALF_LIFE: time::Duration = time::Duration::from_secs(20);
/// Rate, in requests/s, below which demand is forgotten: one request about 3 min ago.
const NEGLIGIBLE_RATE: f64 = 1e-4;
/// Rate, in requests/s, that counts as popularity 1/2.
const POPULAR_RATE: f64 = 0.5;

/// Recent usage of one adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdapterUsage {
    /// Recent requests per second.
    pub rate: f64,
    /// Copies on other replicas, as reported by peers.
    pub copies_elsewhere: u32,
    pub last_used: units::Timestamp,
}

/// Policy that selects which adapters an engine keeps.
pub trait EvictionPolicy: Send {
    /// Value of an adapter; the lowest is evicted first.
    fn value(&self, usage: &AdapterUsage, now: units::Timestamp) -> f64;

    /// Whether a loaded adapter is kept beyond the requests that need it. `draw` is uniform in
    /// 0..1.
    fn admits(&self, _usage: &AdapterUsage, _draw: f64) -> bool {
        true
    }
}

/// Baseline: evicts the least recently used adapter.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastRecentlyUsed;

/// Evicts the lowest product of recent demand and scarcity of copies elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandScarcity;

/// Cooperative caching: keeps an adapter with probability popularity × (1 − availability), so
/// that replicas do not hold what a neighbour holds already.
#[derive(Clone, Copy, Debug, Default)]
pub struct CooperativeCache;

impl AdapterUsage {
    /// Popularity between 0 and 1.
    fn popularity(&self) -> f64 {
        self.rate / (self.rate + POPULAR_RATE)
    }

    /// Share of the demand that copies elsewhere can take, between 0 and 1.
    fn availability(&self) -> f64 {
        let copies = f64::from(self.copies_elsewhere);
        copies / (copies + 1.0)
    }
}

impl EvictionPolicy for LeastRecentlyUsed {
    fn value(&self, usage: &AdapterUsage, now: units::Timestamp) -> f64 {
        -now.since(usage.last_used).as_secs_f64()
    }
}

impl EvictionPolicy for DemandScarcity {
    fn value(&self, usage: &AdapterUsage, _now: units::Timestamp) -> f64 {
        usage.rate / f64::from(usage.copies_elsewhere.saturating_add(1))
    }
}

impl EvictionPolicy for CooperativeCache {
    fn value(&self, usage: &AdapterUsage, _now: units::Timestamp) -> f64 {
        usage.popularity() * (1.0 - usage.availability())
    }

    fn admits(&self, usage: &AdapterUsage, draw: f64) -> bool {
        draw < usage.popularity() * (1.0 - usage.availability())
    }
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    adapter: ids::AdapterId,
    /// Requests/s at `updated`; decays from there.
    rate: f64,
    copies_elsewhere: u32,
    updated: units::Timestamp,
}

/// Decaying demand per adapter, sorted by adapter.
#[derive(Debug, Default)]
pub struct DemandTable {
    entries: Vec<Demand>,
}

impl DemandTable {
    /// Counts one request.
    pub fn count(&mut self, adapter: ids::AdapterId, now: units::Timestamp) {
        let demand = self.entry(adapter, now);
        demand.rate = demand.rate_at(now) + std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64();
        demand.updated = now;
    }

    /// Sets the copies on other replicas.
    pub fn set_copies(&mut self, adapter: ids::AdapterId, copies: u32, now: units::Timestamp) {
        self.entry(adapter, now).copies_elsewhere = copies;
    }

    /// Usage of an adapter that was last used at `last_used`.
    #[must_use]
    pub fn usage(
        &self,
        adapter: ids::AdapterId,
        last_used: units::Timestamp,
        now: units::Timestamp,
    ) -> AdapterUsage {
        let position = self.position(adapter).ok();
        let demand = position.map(|position| &self.entries[position]);
        AdapterUsage {
            rate: demand.map_or(0.0, |demand| demand.rate_at(now)),
            copies_elsewhere: demand.map_or(0, |demand| demand.copies_elsewhere),
            last_used,
        }
    }

    /// Forgets adapters with negligible demand.
    pub fn expire(&mut self, now: units::Timestamp) {
        self.entries
            .retain(|demand| demand.rate_at(now) >= NEGLIGIBLE_RATE);
    }

    fn position(&self, adapter: ids::AdapterId) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&adapter, |demand| demand.adapter)
    }

    fn entry(&mut self, adapter: ids::AdapterId, now: units::Timestamp) -> &mut Demand {
        let found = self.position(adapter);
        let position = found.unwrap_or_else(|position| {
            let demand = Demand {
                adapter,
                rate: 0.0,
                copies_elsewhere: 0,
                updated: now,
            };
            self.entries.insert(position, demand);
            position
        });
        &mut self.entries[position]
    }
}

impl Demand {
    fn rate_at(&self, now: units::Timestamp) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.rate * (-half_lives).exp2()
    }
}

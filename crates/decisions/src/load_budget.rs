//! Rate limit of one agent's adapter loads from the shared weight store.
//!
//! Agents share the store without a coordinator: each derives its rate from the demand that its
//! peers report and from its own load times, and enforces it with a token bucket.

use std::{ops, time};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::units;

/// Capacity of the store over all agents, in loads per second.
pub const STORE_RATE: f64 = 4.5;
/// Load time without overload of the store.
pub const NOMINAL_LOAD_TIME: time::Duration = time::Duration::from_millis(250);
/// Loads in flight over all agents beyond which load times grow.
pub const STORE_MAX_IN_FLIGHT: f64 = 8.0;
/// Fraction of the static share that an agent keeps without demand, so that a first load need not
/// wait for reports.
const MIN_SHARE: f64 = 0.25;
/// Age beyond which a demand report is ignored. Polls carry reports every 500 ms, and a peer that
/// is silent for 2 s counts as lost.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(3);
/// Load time, relative to [`NOMINAL_LOAD_TIME`], that counts as overload. It exceeds the variation
/// of normal load times.
const OVERLOAD_RATIO: f64 = 1.5;
/// Factor applied to the level after a slow load.
const DECREASE_FACTOR: f64 = 0.6;
/// Increase of the level at a normal load, per second since the previous load. A fixed increase per
/// load would take minutes to recover an agent with a small share.
const INCREASE_PER_SECOND: f64 = 0.1;
/// Maximum time since the previous load that counts for an increase.
const MAX_INCREASE_TIME: time::Duration = time::Duration::from_secs(5);
/// Minimum level, so that the agent keeps observing the store.
const MIN_LEVEL: f64 = 0.05;
/// Time after a decrease during which slow loads are ignored, since they were already in flight.
const DECREASE_COOLDOWN: time::Duration = time::Duration::from_secs(1);
/// Capacity of the token bucket. A larger one would let idle agents burst together.
const BUCKET_CAPACITY: f64 = 1.0;
/// Range of the random token cost of one load. With a cost of exactly 1, agents that start together
/// stay in phase and burst together.
const LOAD_COST: ops::Range<f64> = 0.5..1.5;

/// Waiting loads, as reported by peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadDemand {
    /// Loads waiting at this agent.
    pub own: u32,
    /// Loads waiting at all other agents.
    pub others: u32,
    /// Agents in the region, this one included.
    pub agents: u32,
    /// Time of the oldest report in `others`.
    pub reported: units::Timestamp,
}

/// Policy that sets the load rate of an agent.
pub trait LoadPolicy: Send {
    /// Updates the demand.
    fn update_demand(&mut self, _demand: LoadDemand, _now: units::Timestamp) {}
    /// Records the duration of a completed load.
    fn observe_load_time(&mut self, _elapsed: time::Duration, _now: units::Timestamp) {}
    /// Rate at which this agent may start loads, in loads per second.
    fn rate(&self, now: units::Timestamp) -> f64;
}

/// Equal share of the rate for every agent.
#[derive(Clone, Copy, Debug)]
pub struct StaticShare {
    agents: u32,
}

/// Own demand at a point in time.
#[derive(Clone, Copy, Debug)]
struct OwnDemand {
    at: units::Timestamp,
    waiting: u32,
}

/// Share of the rate by reported demand with a minimum; the static share while reports are missing.
///
/// Reports arrive late, so they are compared with the agent's own demand at the time of the
/// reports. With its current demand, every agent would claim most of the rate when demand rises
/// everywhere at once.
#[derive(Clone, Debug)]
pub struct DemandShare {
    demand: Option<LoadDemand>,
    /// Own demand since the time of the reports, oldest first.
    history: Vec<OwnDemand>,
    fallback: StaticShare,
}

/// Additive increase and multiplicative decrease (AIMD) of the rate by load times.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimeBackoff {
    /// Multiple of `unit_rate`, from [`MIN_LEVEL`] to `max_level`.
    level: f64,
    max_level: f64,
    /// Loads per second at level 1.
    unit_rate: f64,
    last_load: Option<units::Timestamp>,
    last_decrease: Option<units::Timestamp>,
}

/// Default policy: the share by demand, reduced while the store is slow. Fresh reports bound the
/// sum over all agents; load times bound it while reports are stale.
#[derive(Clone, Debug)]
pub struct AdaptiveShare {
    share: DemandShare,
    backoff: LoadTimeBackoff,
}

impl StaticShare {
    /// Share of one of `agents`, a number from the settings or the last count.
    #[must_use]
    pub fn new(agents: u32) -> Self {
        Self {
            agents: agents.max(1),
        }
    }
}

impl LoadPolicy for StaticShare {
    fn rate(&self, _now: units::Timestamp) -> f64 {
        STORE_RATE / f64::from(self.agents)
    }
}

impl DemandShare {
    /// Share that starts as the static share of one of `agents`.
    #[must_use]
    pub fn new(agents: u32) -> Self {
        Self {
            demand: None,
            history: Vec::new(),
            fallback: StaticShare::new(agents),
        }
    }
}

impl LoadPolicy for DemandShare {
    fn update_demand(&mut self, demand: LoadDemand, now: units::Timestamp) {
        // The largest count is kept, since peers that are no longer visible may still be loading.
        self.fallback.agents = self.fallback.agents.max(demand.agents);
        let waiting = demand.own;
        self.history.push(OwnDemand { at: now, waiting });
        let reported = self
            .history
            .partition_point(|own| own.at <= demand.reported);
        let stale = self
            .history
            .partition_point(|own| now.since(own.at) > MAX_REPORT_AGE);
        self.history.drain(..reported.saturating_sub(1).max(stale));
        self.demand = Some(demand);
    }

    fn rate(&self, now: units::Timestamp) -> f64 {
        let fallback = self.fallback.rate(now);
        let Some(demand) = self.demand else {
            return fallback;
        };
        let own = self.history.first();
        let own = own.filter(|own| own.at <= demand.reported);
        let mut own = own.map_or(0, |own| own.waiting);
        if demand.others > 0 {
            // A load may have been requested since the reports. Counting it avoids a wait at the
            // minimum rate until the next reports.
            own = own.max(1);
        }
        let total = f64::from(own) + f64::from(demand.others);
        let is_stale = now.since(demand.reported) > MAX_REPORT_AGE;
        if is_stale || total == 0.0 {
            return fallback;
        }
        // The minimum shares of all agents are subtracted first, so that the shares add up to the
        // rate.
        let share = f64::from(own) / total;
        fallback * MIN_SHARE + STORE_RATE * (1.0 - MIN_SHARE) * share
    }
}

impl LoadTimeBackoff {
    /// Starts at the static share of one of `agents` and may rise to the whole rate. Increases are
    /// relative to the static share, so that the sum over all agents rises equally fast for any
    /// number of agents.
    #[must_use]
    pub fn new(agents: u32) -> Self {
        let agents = f64::from(agents.max(1));
        Self {
            level: 1.0,
            max_level: agents,
            unit_rate: STORE_RATE / agents,
            last_load: None,
            last_decrease: None,
        }
    }
}

impl LoadPolicy for LoadTimeBackoff {
    fn observe_load_time(&mut self, elapsed: time::Duration, now: units::Timestamp) {
        let since = now.since(self.last_load.unwrap_or(now));
        self.last_load = Some(now);
        let is_slow = elapsed > NOMINAL_LOAD_TIME.mul_f64(OVERLOAD_RATIO);
        if !is_slow {
            let seconds = since.min(MAX_INCREASE_TIME).as_secs_f64();
            self.level = (self.level + INCREASE_PER_SECOND * seconds).min(self.max_level);
            return;
        }
        let is_in_cooldown = self
            .last_decrease
            .is_some_and(|last_decrease| now.since(last_decrease) < DECREASE_COOLDOWN);
        if !is_in_cooldown {
            self.level = (self.level * DECREASE_FACTOR).max(MIN_LEVEL);
            self.last_decrease = Some(now);
        }
    }

    fn rate(&self, _now: units::Timestamp) -> f64 {
        self.unit_rate * self.level
    }
}

impl AdaptiveShare {
    /// Share that starts as the static share of one of `agents`.
    #[must_use]
    pub fn new(agents: u32) -> Self {
        Self {
            share: DemandShare::new(agents),
            backoff: LoadTimeBackoff::new(1),
        }
    }
}

impl LoadPolicy for AdaptiveShare {
    fn update_demand(&mut self, demand: LoadDemand, now: units::Timestamp) {
        self.share.update_demand(demand, now);
    }

    fn observe_load_time(&mut self, elapsed: time::Duration, now: units::Timestamp) {
        self.backoff.observe_load_time(elapsed, now);
    }

    fn rate(&self, now: units::Timestamp) -> f64 {
        self.share.rate(now) * self.backoff.level
    }
}

/// Token bucket filled at the rate of a policy.
pub struct LoadBudget {
    policy: Box<dyn LoadPolicy>,
    tokens: f64,
    /// Token cost of the next load.
    next_cost: f64,
    rng: ChaCha8Rng,
    refilled: units::Timestamp,
    in_flight: u32,
}

impl LoadBudget {
    /// Budget that allows one load at once, so that a restarted agent can serve its first request.
    /// The `seed` must differ between agents, for example the incarnation.
    #[must_use]
    pub fn new(policy: Box<dyn LoadPolicy>, seed: u64, now: units::Timestamp) -> Self {
        Self {
            policy,
            tokens: BUCKET_CAPACITY,
            next_cost: 1.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            refilled: now,
            in_flight: 0,
        }
    }

    /// Updates the demand of the policy.
    pub fn update_demand(&mut self, demand: LoadDemand, now: units::Timestamp) {
        self.refill(now);
        self.policy.update_demand(demand, now);
    }

    /// Starts a load if the rate and the limit on loads in flight allow it.
    #[must_use]
    pub fn try_start(&mut self, now: units::Timestamp) -> bool {
        self.refill(now);
        if self.tokens < self.next_cost || f64::from(self.in_flight) >= self.in_flight_limit(now) {
            return false;
        }
        self.tokens -= self.next_cost;
        self.next_cost = self.rng.random_range(LOAD_COST);
        self.in_flight += 1;
        true
    }

    /// Records the end of a load. Failed loads count too, since their duration shows the store's
    /// state.
    pub fn finish(&mut self, elapsed: time::Duration, now: units::Timestamp) {
        self.refill(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.policy.observe_load_time(elapsed, now);
    }

    /// Clears the loads in flight after a cold restart of the engine.
    pub fn reset(&mut self) {
        self.in_flight = 0;
    }

    /// Earliest time of the next load, ignoring the loads in flight.
    #[must_use]
    pub fn next_start(&self, now: units::Timestamp) -> units::Timestamp {
        let missing = (self.next_cost - self.tokens).max(0.0) / self.policy.rate(now);
        self.refilled + time::Duration::from_secs_f64(missing)
    }

    /// Limit on loads in flight: the same share of the store's limit as of its rate, at least one.
    fn in_flight_limit(&self, now: units::Timestamp) -> f64 {
        (STORE_MAX_IN_FLIGHT * self.policy.rate(now) / STORE_RATE).max(1.0)
    }

    fn refill(&mut self, now: units::Timestamp) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.policy.rate(now))
            .min(BUCKET_CAPACITY.max(self.next_cost));
        self.refilled = self.refilled.max(now);
    }
}

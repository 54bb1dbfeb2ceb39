//! Share of one agent in the rate of the weight store.
//!
//! Agents share the store without a coordinator: each derives its rate from what its peers report
//! and from the load times it sees itself, and spends it through a token bucket.

use std::{ops, time};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::units;

/// Loads per second that the store serves, over all agents.
pub const STORE_RATE: f64 = 4.5;
/// Load time while the store is not overloaded.
pub const NOMINAL_LOAD_TIME: time::Duration = time::Duration::from_millis(250);
/// Loads in flight, over all agents, beyond which load times grow.
pub const STORE_MAX_IN_FLIGHT: f64 = 8.0;
/// Part of the static share that an agent keeps however small its demand, so that a first load
/// need not wait for reports.
const FLOOR: f64 = 0.25;
/// Age beyond which a report of demand no longer counts. Polls carry reports every 500 ms, and
/// a peer that is silent for 2 s is given up.
const REPORT_LIFE: time::Duration = time::Duration::from_secs(3);
/// Load time, relative to [`NOMINAL_LOAD_TIME`], that counts as overload. It lies above the spread of
/// normal load times.
const SLOW_RATIO: f64 = 1.5;
/// Factor on the rate after a slow load.
const DECREASE: f64 = 0.6;
/// Addition to the level for each second that ends with a normal load. Per second and not per
/// load, because an agent with a small share would otherwise need minutes to recover.
const INCREASE: f64 = 0.1;
/// Longest time since the last load that counts for an increase.
const MAX_INCREASE_TIME: time::Duration = time::Duration::from_secs(5);
/// Smallest level, so that the agent keeps observing the store.
const MIN_LEVEL: f64 = 0.05;
/// Time after a decrease in which further slow loads change nothing: they were already in flight.
const COOL_DOWN: time::Duration = time::Duration::from_secs(1);
/// Unused tokens that may be saved up. More would let idle agents burst together.
const BURST: f64 = 1.0;
/// Spread of the price of one load. Agents that pay exactly 1 and start together stay in phase
/// and burst together.
const PRICE: ops::Range<f64> = 0.5..1.5;

/// Waiting loads as told by peers.
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

/// Rule by which an agent limits its loads.
pub trait LoadPolicy: Send {
    /// Takes the newest demand.
    fn update_demand(&mut self, _demand: LoadDemand, _now: units::Timestamp) {}
    /// Takes the time of a completed load.
    fn observe_load_time(&mut self, _elapsed: time::Duration, _now: units::Timestamp) {}
    /// Loads per second that this agent may start.
    fn rate(&self, now: units::Timestamp) -> f64;
}

/// Equal share for every agent.
#[derive(Clone, Copy, Debug)]
pub struct StaticShare {
    agents: u32,
}

/// Own demand at one time.
#[derive(Clone, Copy, Debug)]
struct OwnDemand {
    at: units::Timestamp,
    waiting: u32,
}

/// Share by reported demand with a floor; the static share while reports are missing.
///
/// Peers' demand is known late. It is compared with the agent's own demand at the time of the
/// reports: with its present demand, every agent would claim most of the rate when demand rises
/// everywhere at once.
#[derive(Clone, Debug)]
pub struct DemandShare {
    demand: Option<LoadDemand>,
    /// Own demand since the time of the reports, oldest first.
    history: Vec<OwnDemand>,
    fallback: StaticShare,
}

/// Additive increase and multiplicative decrease on the load times of the store.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimeBackoff {
    /// Multiple of `unit_rate`, from [`MIN_LEVEL`] to `max_level`.
    level: f64,
    max_level: f64,
    /// Loads per second at level 1.
    unit_rate: f64,
    observed: Option<units::Timestamp>,
    decreased: Option<units::Timestamp>,
}

/// Default: the share by demand, reduced while the store itself is slow. Reports bound the sum of
/// all agents when they are fresh, load times when they are not.
#[derive(Clone, Debug)]
pub struct AdaptiveShare {
    share: DemandShare,
    control: LoadTimeBackoff,
}

impl StaticShare {
    /// Share among `agents`, as set in the settings or last counted.
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
    /// Share that begins as that of one of `agents`.
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
        // The largest count is kept: when peers vanish from view they may still be loading.
        self.fallback.agents = self.fallback.agents.max(demand.agents);
        let waiting = demand.own;
        self.history.push(OwnDemand { at: now, waiting });
        let reported = self
            .history
            .partition_point(|own| own.at <= demand.reported);
        let stale = self
            .history
            .partition_point(|own| now.since(own.at) > REPORT_LIFE);
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
            // A load may have come up since the reports. Counted as one, it need not wait for the
            // next exchange at the floor's rate.
            own = own.max(1);
        }
        let total = f64::from(own) + f64::from(demand.others);
        let is_stale = now.since(demand.reported) > REPORT_LIFE;
        if is_stale || total == 0.0 {
            return fallback;
        }
        // The floors of all agents are set aside first, so that the shares add up to the rate.
        let share = f64::from(own) / total;
        fallback * FLOOR + STORE_RATE * (1.0 - FLOOR) * share
    }
}

impl LoadTimeBackoff {
    /// Control that begins with the static share of one of `agents` and may rise to the whole
    /// rate. The step of an increase is a part of the static share, so that the sum over all
    /// agents rises equally fast with few and with many.
    #[must_use]
    pub fn new(agents: u32) -> Self {
        let agents = f64::from(agents.max(1));
        Self {
            level: 1.0,
            max_level: agents,
            unit_rate: STORE_RATE / agents,
            observed: None,
            decreased: None,
        }
    }
}

impl LoadPolicy for LoadTimeBackoff {
    fn observe_load_time(&mut self, elapsed: time::Duration, now: units::Timestamp) {
        let since = now.since(self.observed.unwrap_or(now));
        self.observed = Some(now);
        let is_slow = elapsed > NOMINAL_LOAD_TIME.mul_f64(SLOW_RATIO);
        if !is_slow {
            let seconds = since.min(MAX_INCREASE_TIME).as_secs_f64();
            self.level = (self.level + INCREASE * seconds).min(self.max_level);
            return;
        }
        let is_cooling = self
            .decreased
            .is_some_and(|decreased| now.since(decreased) < COOL_DOWN);
        if !is_cooling {
            self.level = (self.level * DECREASE).max(MIN_LEVEL);
            self.decreased = Some(now);
        }
    }

    fn rate(&self, _now: units::Timestamp) -> f64 {
        self.unit_rate * self.level
    }
}

impl AdaptiveShare {
    /// Control that begins with the share of one of `agents`.
    #[must_use]
    pub fn new(agents: u32) -> Self {
        Self {
            share: DemandShare::new(agents),
            control: LoadTimeBackoff::new(1),
        }
    }
}

impl LoadPolicy for AdaptiveShare {
    fn update_demand(&mut self, demand: LoadDemand, now: units::Timestamp) {
        self.share.update_demand(demand, now);
    }

    fn observe_load_time(&mut self, elapsed: time::Duration, now: units::Timestamp) {
        self.control.observe_load_time(elapsed, now);
    }

    fn rate(&self, now: units::Timestamp) -> f64 {
        self.share.rate(now) * self.control.level
    }
}

/// Token bucket that spends the rate of a policy.
pub struct LoadBudget {
    policy: Box<dyn LoadPolicy>,
    tokens: f64,
    /// Tokens that the next load costs.
    price: f64,
    rng: ChaCha8Rng,
    refilled: units::Timestamp,
    in_flight: u32,
}

impl LoadBudget {
    /// Budget with one load available, so that a restarted agent can serve its first request.
    /// Every agent needs a `seed` of its own, for example its incarnation.
    #[must_use]
    pub fn new(policy: Box<dyn LoadPolicy>, seed: u64, now: units::Timestamp) -> Self {
        Self {
            policy,
            tokens: BURST,
            price: 1.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            refilled: now,
            in_flight: 0,
        }
    }

    /// Takes the newest demand.
    pub fn update_demand(&mut self, demand: LoadDemand, now: units::Timestamp) {
        self.refill(now);
        self.policy.update_demand(demand, now);
    }

    /// Whether a load may start now; counts it if so.
    #[must_use]
    pub fn try_start(&mut self, now: units::Timestamp) -> bool {
        self.refill(now);
        if self.tokens < self.price || f64::from(self.in_flight) >= self.in_flight_limit(now) {
            return false;
        }
        self.tokens -= self.price;
        self.price = self.rng.random_range(PRICE);
        self.in_flight += 1;
        true
    }

    /// Records the end of a load, failed ones included: their time also shows the store's state.
    pub fn finish(&mut self, elapsed: time::Duration, now: units::Timestamp) {
        self.refill(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.policy.observe_load_time(elapsed, now);
    }

    /// Forgets the loads in flight after a cold restart of the engine.
    pub fn reset(&mut self) {
        self.in_flight = 0;
    }

    /// Time until the next load may start, without regard to the loads in flight.
    #[must_use]
    pub fn next_start(&self, now: units::Timestamp) -> units::Timestamp {
        let missing = (self.price - self.tokens).max(0.0) / self.policy.rate(now);
        self.refilled + time::Duration::from_secs_f64(missing)
    }

    /// Loads in flight allowed: the same share of the store's limit as of its rate, at least one.
    fn in_flight_limit(&self, now: units::Timestamp) -> f64 {
        (STORE_MAX_IN_FLIGHT * self.policy.rate(now) / STORE_RATE).max(1.0)
    }

    fn refill(&mut self, now: units::Timestamp) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.policy.rate(now)).min(BURST.max(self.price));
        self.refilled = self.refilled.max(now);
    }
}

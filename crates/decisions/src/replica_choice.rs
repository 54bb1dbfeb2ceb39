//! Choice of the replica that gets a request.
//!
//! Each replica is judged by the time until it would begin the request: its backlog, the load of
//! the adapter if it is missing, and the way to another data centre. The rank of the adapter's hash
//! at the replica separates replicas that are otherwise alike, so that all entries send a rarely
//! used adapter to the same one without talking to each other. Load: thousands of adapters on a few
//! slots, of which most are asked for once in a while.

use std::time;

/// Load of an adapter from the weight store, while the store is not crowded.
const COLD_LOAD_COST: time::Duration = time::Duration::from_millis(280);
/// Rest of a load that is under way.
const LOADING_COST: time::Duration = time::Duration::from_millis(150);
/// Load of an adapter that the replica held recently.
const WARM_LOAD_COST: time::Duration = time::Duration::from_millis(40);
/// Added for a replica in another data centre, whose traffic is dear.
const REMOTE_COST: time::Duration = time::Duration::from_millis(25);
/// Added for each replica that ranks before this one, unless it holds the adapter.
const RANK_COST: time::Duration = time::Duration::from_millis(15);
/// Ranks beyond this one are alike.
const MAX_RANK: u32 = 16;
/// Added for a replica that fails all requests; a smaller part of failures adds less.
const FAILURE_COST: time::Duration = time::Duration::from_secs(4);
/// Added while the broker beside a replica does not answer and the adapter is missing.
const NO_BROKER_COST: time::Duration = time::Duration::from_secs(5);

/// Added for a replica that still has to load the base model.
const MODEL_LOAD_COST: time::Duration = time::Duration::from_secs(3);

/// Where the adapter of a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdapterLocation {
    /// In a slot of the replica, or not needed.
    Loaded,
    /// On its way into a slot, or about to be ordered for another request.
    Loading,
    /// The replica held it recently.
    Warm,
    /// In the weight store.
    Cold,
}

/// Whether an engine can take an adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineReadiness {
    /// It holds the base model, and its broker answers.
    Ready,
    /// It still has to load the base model.
    NoModel,
    /// The broker beside it does not answer.
    NoBroker,
}

/// Whether a replica is among those for answers of the request's length.
///
/// An engine reads prompts between the tokens of its running requests, so every prompt delays the
/// next event of a long answer. Long answers therefore get replicas of their own as long as those
/// have room. Load: short answers with long prompts beside a few long streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LengthAffinity {
    Preferred,
    Other,
}

/// Whether the replica at a position of `count`, in an order that all entries share, serves long
/// answers first.
#[must_use]
pub fn prefers_long(position: usize, count: usize) -> bool {
    position < count.div_ceil(REPLICAS_PER_LONG)
}

/// One of so many replicas serves long answers first.
const REPLICAS_PER_LONG: usize = 3;
/// Added for a replica that serves answers of the other length first.
const LENGTH_MISMATCH_COST: time::Duration = time::Duration::from_millis(150);

/// What is known of a replica for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaOption {
    pub adapter: AdapterLocation,
    pub readiness: EngineReadiness,
    pub length_affinity: LengthAffinity,
    /// Time until a slot can take the adapter.
    pub slot_wait: time::Duration,
    /// Time until the replica would begin another request.
    pub backlog: time::Duration,
    pub is_local: bool,
    /// Part of the recent requests that failed, 0 to 1.
    pub failures: f64,
    /// Position of the replica in the order of the adapter's hash.
    pub rank: u32,
}

impl ReplicaOption {
    /// Time until the replica would begin the request, with what else speaks against it.
    #[must_use]
    pub fn cost(&self) -> time::Duration {
        let mut cost = self.backlog + FAILURE_COST.mul_f64(self.failures.clamp(0.0, 1.0));
        if !self.is_local {
            cost += REMOTE_COST;
        }
        if self.length_affinity == LengthAffinity::Other {
            cost += LENGTH_MISMATCH_COST;
        }
        if self.readiness == EngineReadiness::NoModel {
            cost += MODEL_LOAD_COST;
        }
        cost + self.load_cost()
    }

    /// Cost of a slot that the adapter does not have yet.
    fn slot_cost(&self) -> time::Duration {
        self.slot_wait + RANK_COST * self.rank.min(MAX_RANK)
    }

    fn load_cost(&self) -> time::Duration {
        let load = match self.adapter {
            AdapterLocation::Loaded => return time::Duration::ZERO,
            AdapterLocation::Loading => LOADING_COST,
            AdapterLocation::Warm => WARM_LOAD_COST + self.slot_cost(),
            AdapterLocation::Cold => COLD_LOAD_COST + self.slot_cost(),
        };
        let mut cost = load;
        if self.readiness == EngineReadiness::NoBroker {
            cost += NO_BROKER_COST;
        }
        cost
    }
}

/// Position of the option with the lowest cost; of equal ones the better ranked.
#[must_use]
pub fn choose(options: &[ReplicaOption]) -> Option<usize> {
    let best = options
        .iter()
        .enumerate()
        .min_by_key(|(_, option)| (option.cost(), option.rank));
    best.map(|(position, _)| position)
}

/// What is known of a replica of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceOption {
    /// Requests at the replica, as far as known.
    pub outstanding: u32,
    pub slots: u32,
    /// Duration of work now against the usual one.
    pub slowdown: f64,
    pub is_local: bool,
    /// Part of the recent requests that failed, 0 to 1.
    pub failures: f64,
}

/// Added to the cost of a plain service's replica in another data centre, in usual durations.
const SERVICE_REMOTE_COST: f64 = 0.15;
/// Added for a replica of a plain service that fails all requests, in usual durations.
const SERVICE_FAILURE_COST: f64 = 20.0;

impl ServiceOption {
    /// Expected time of the request, in usual durations of work.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let outstanding = f64::from(self.outstanding);
        let waiting = (outstanding + 1.0 - slots).max(0.0) / slots;
        let crowding = 0.1 * outstanding / slots;
        let remote = if self.is_local {
            0.0
        } else {
            SERVICE_REMOTE_COST
        };
        let failing = SERVICE_FAILURE_COST * self.failures.clamp(0.0, 1.0);
        (1.0 + waiting + crowding) * self.slowdown.max(0.1) + remote + failing
    }
}

/// Position of the service option with the lowest cost.
#[must_use]
pub fn choose_service(options: &[ServiceOption]) -> Option<usize> {
    let best = options
        .iter()
        .enumerate()
        .min_by(|(_, one), (_, other)| one.cost().total_cmp(&other.cost()));
    best.map(|(position, _)| position)
}

//! Choice of the replica for a request.
//!
//! The cost of a replica is the expected time until the first event: its backlog, the load of the
//! adapter if it is missing, the request's own work there, and the distance to its data centre.
//! Otherwise equal replicas are ranked by rendezvous hashing of the adapter, so that all entries
//! send a rarely used adapter to the same replica without coordination. There are thousands of
//! adapters for a few slots, and most of them are requested rarely.

use std::time;

use crate::relative_speed;

/// Time to load an adapter from the weight store while the store is not saturated.
pub(crate) const COLD_LOAD_COST: time::Duration = time::Duration::from_millis(280);
/// Remaining time of a load in progress.
const LOADING_COST: time::Duration = time::Duration::from_millis(150);
/// Time to reload an adapter that the replica unloaded recently.
const WARM_LOAD_COST: time::Duration = time::Duration::from_millis(40);
/// Added for each replica that ranks before this one, unless the adapter is loaded here.
const RANK_COST: time::Duration = time::Duration::from_millis(15);
/// Higher ranks cost no more than this one.
const MAX_RANK: u32 = 16;
/// Added for a replica that fails all requests, in proportion to its failure rate.
const FAILURE_COST: time::Duration = time::Duration::from_secs(4);
/// Failure costs below this are ignored, so that one that has faded does not outweigh the rank.
const MIN_FAILURE_COST: time::Duration = time::Duration::from_millis(1);
/// Added while the replica's broker does not respond and the adapter is missing.
const NO_BROKER_COST: time::Duration = time::Duration::from_secs(5);

/// Added for a replica that still has to load the base model.
const MODEL_LOAD_COST: time::Duration = time::Duration::from_secs(3);

/// Location of the adapter of a request, from the nearest to the farthest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AdapterLocation {
    /// Loaded in a slot of the replica, or the request needs none.
    Loaded,
    /// Loading, or about to be loaded for another request.
    Loading,
    /// Unloaded recently from the replica.
    Warm,
    /// Only in the weight store.
    Cold,
}

impl AdapterLocation {
    /// Whether it has a slot of the replica.
    #[must_use]
    pub fn is_present(self) -> bool {
        matches!(self, Self::Loaded | Self::Loading)
    }
}

/// Whether an engine can load an adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineReadiness {
    /// The base model is loaded and the broker responds.
    Ready,
    /// The base model is not loaded yet.
    NoModel,
    /// The broker does not respond.
    NoBroker,
}

/// Whether a replica is preferred for responses of the request's length
/// ([`crate::length_split::LengthSplit`]).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LengthAffinity {
    Preferred,
    Other,
}

/// Added for a replica that prefers responses of the other length.
const LENGTH_MISMATCH_COST: time::Duration = time::Duration::from_millis(150);

/// Known state of a replica for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaOption {
    pub adapter: AdapterLocation,
    pub readiness: EngineReadiness,
    pub length_affinity: LengthAffinity,
    /// Time until a slot is available for the adapter.
    pub slot_wait: time::Duration,
    /// Time until the replica would start another request.
    pub backlog: time::Duration,
    /// The request's own work there.
    pub work: relative_speed::WorkEstimate,
    /// Time that the way to its data centre adds to the request.
    pub distance: time::Duration,
    /// Failure rate of recent requests, 0 to 1.
    pub failures: f64,
    /// Rank of the replica in the rendezvous order of the adapter.
    pub rank: u32,
}

impl ReplicaOption {
    /// Expected time until the first event, plus penalties.
    #[must_use]
    pub fn cost(&self) -> time::Duration {
        let mut cost = self.backlog + self.distance + self.work.cost() + self.failure_cost();
        if self.length_affinity == LengthAffinity::Other {
            cost += LENGTH_MISMATCH_COST;
        }
        if self.readiness == EngineReadiness::NoModel {
            cost += MODEL_LOAD_COST;
        }
        cost + self.load_cost()
    }

    fn failure_cost(&self) -> time::Duration {
        let cost = FAILURE_COST.mul_f64(self.failures.clamp(0.0, 1.0));
        if cost < MIN_FAILURE_COST {
            return time::Duration::ZERO;
        }
        cost
    }

    /// Cost of getting a slot for the adapter.
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

/// Position of the option with the lowest cost; ties go to the lower rank.
#[must_use]
pub fn choose(options: &[ReplicaOption]) -> Option<usize> {
    let best = options
        .iter()
        .enumerate()
        .min_by_key(|(_, option)| (option.cost(), option.rank));
    best.map(|(position, _)| position)
}

/// Known state of a replica of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceOption {
    /// Requests at the replica, as far as known.
    pub outstanding: f64,
    pub slots: u32,
    /// Ratio of the current request duration to the usual one.
    pub slowdown: f64,
    /// Ratio of the usual request duration to that of its peers.
    pub work_ratio: f64,
    /// Usual request duration without queue, if known.
    pub work_time: Option<time::Duration>,
    /// The replica reports that requests wait there.
    pub is_queueing: bool,
    /// Time that the way to its data centre adds to the request, in usual request durations.
    pub distance: f64,
    /// Failure rate of recent requests, 0 to 1.
    pub failures: f64,
}

/// Usual duration of a request to a plain service as a part of its latency objective.
const USUAL_DURATION: f64 = 0.2;
/// Added for a replica of a plain service that fails all requests, in usual request durations.
const SERVICE_FAILURE_COST: f64 = 20.0;

/// Usual duration of a request to a plain service with a latency objective.
#[must_use]
pub fn usual_duration(objective: time::Duration) -> time::Duration {
    objective.mul_f64(USUAL_DURATION)
}

impl ServiceOption {
    /// Expected time beyond the usual duration, in usual request durations.
    #[must_use]
    pub fn wait(&self) -> f64 {
        (self.cost() - 1.0).max(0.0)
    }

    /// Expected duration of the request, in usual request durations.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let crowding = 0.1 * self.outstanding / self.slot_count();
        let failing = SERVICE_FAILURE_COST * self.failures.clamp(0.0, 1.0);
        let duration = self.slowdown.max(0.1) * self.work_ratio;
        (1.0 + self.queue_length() + crowding) * duration + self.distance + failing
    }

    /// Requests ahead of another one for each slot, beyond those that run.
    #[must_use]
    pub fn queue_length(&self) -> f64 {
        let slots = self.slot_count();
        (self.outstanding + 1.0 - slots).max(0.0) / slots
    }

    /// Time until the replica could start another request; zero if its work time or its queue is unknown.
    #[must_use]
    pub fn queue_wait(&self) -> time::Duration {
        if !self.is_queueing {
            return time::Duration::ZERO;
        }
        let work_time = self.work_time.unwrap_or_default();
        work_time.mul_f64(self.slowdown.max(0.0) * self.queue_length())
    }

    fn slot_count(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

//! Choice of the data centre for a request.
//!
//! Answers the load in which a gateway's own data centre is late, or lacks the adapter of a request,
//! while another one could serve it. A request leaves if its caller gains more than the distance costs.
//! Requests that leave because of a wait that all requests see are bounded by
//! [`crate::remote_shares`]. Not bounded are those that gain more than that, whose adapter is loaded
//! elsewhere, or that home cannot serve in time. An adapter that is loaded nowhere may go to the
//! engine that ranks first for it in all data centres, if it is pooled ([`crate::adapter_pooling`]).

use std::time;

use serde::Deserialize;

use crate::replica_choice;

/// Part of the time limit that must suffice in another data centre for a request that home cannot serve
/// in time. The rest is for what other gateways send there meanwhile.
const LATE_TRANSFER_LIMIT: f64 = 0.75;

/// Policy for requests to other data centres.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum RemotePolicy {
    /// As far as callers gain from it.
    #[default]
    Adaptive,
    /// Only if the own data centre has no usable replica.
    Off,
    /// Without regard to distance.
    Even,
}

/// Reason why a request leaves its data centre.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RemoteReason {
    /// The own data centre has no usable replica.
    NoReplica,
    /// An earlier attempt, or a request for a permit, failed.
    Retry,
    /// The adapter is loaded there and not here.
    Adapter,
    /// Places for adapters are scarce, and the one of this adapter is there.
    Place,
    /// The own data centre would be too late.
    Deadline,
    /// It starts sooner there.
    Wait,
    /// The policy pays no regard to distance.
    Even,
}

impl RemoteReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::NoReplica,
        Self::Retry,
        Self::Adapter,
        Self::Place,
        Self::Deadline,
        Self::Wait,
        Self::Even,
    ];

    /// Label in logs and counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::Retry => "retry",
            Self::Adapter => "adapter",
            Self::Place => "place",
            Self::Deadline => "deadline",
            Self::Wait => "wait",
            Self::Even => "even",
        }
    }
}

/// Best replica of a data centre for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DataCentreOption {
    /// Expected time until the replica would start the request, with the distance.
    pub cost: time::Duration,
    pub adapter: replica_choice::AdapterLocation,
    /// Part of its advantage over home that all requests see; zero at home.
    pub common_gap: time::Duration,
}

/// What a request allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTerms {
    /// Least gain for which it leaves.
    pub min_gain: time::Duration,
    /// Time until its latency objective.
    pub objective_left: time::Duration,
    /// Time until its caller leaves.
    pub deadline_left: time::Duration,
    /// Position of the data centre for which it may leave because of a wait.
    pub assigned: Option<usize>,
    /// Position of the data centre that keeps the adapter for all of them, if it is pooled.
    pub adapter_owner: Option<usize>,
}

/// Data centre for a request among `others`, with the reason, or `None` to stay at home. An option is
/// `None` if the data centre has no usable replica.
#[must_use]
pub fn choose(
    home: Option<&DataCentreOption>,
    others: &[Option<DataCentreOption>],
    terms: &RequestTerms,
) -> Option<(usize, RemoteReason)> {
    let Some(home) = home else {
        let position = fastest(others, |_, _| true)?;
        return Some((position, RemoteReason::NoReplica));
    };
    let gains = |option: &DataCentreOption| option.cost + terms.min_gain < home.cost;
    let is_holder = |option: &DataCentreOption| {
        option.adapter.is_present() && option.adapter < home.adapter && gains(option)
    };
    let loses = |option: &DataCentreOption| option.cost >= home.cost + terms.min_gain;
    let is_owner = |position, option: &DataCentreOption| {
        terms.adapter_owner == Some(position) && !home.adapter.is_present() && !loses(option)
    };
    // The share rests on the gap between the data centres.
    let may_leave = |position, option: &DataCentreOption| {
        // Such as a queue at the only engine at home that has the adapter.
        let gains_alone = option.cost + terms.min_gain + option.common_gap < home.cost;
        gains_alone || (terms.assigned == Some(position) && !loses(option))
    };
    if let Some(position) = fastest(others, |_, option| is_holder(option)) {
        return Some((position, RemoteReason::Adapter));
    }
    if let Some(position) = rescue(home, others, terms) {
        return Some((position, RemoteReason::Deadline));
    }
    if let Some(position) = fastest(others, is_owner) {
        return Some((position, RemoteReason::Place));
    }
    let position = fastest(others, may_leave)?;
    Some((position, RemoteReason::Wait))
}

/// Data centre that is in time for a request for which home is too late. If the objective is missed
/// everywhere, the deadline decides.
fn rescue(
    home: &DataCentreOption,
    others: &[Option<DataCentreOption>],
    terms: &RequestTerms,
) -> Option<usize> {
    let limits = [terms.objective_left, terms.deadline_left];
    let mut missed = limits.into_iter().filter(|limit| home.cost > *limit);
    let in_time = |limit: time::Duration| {
        fastest(others, |_, option| {
            option.cost <= limit.mul_f64(LATE_TRANSFER_LIMIT)
        })
    };
    missed.find_map(in_time)
}

/// Position of the option with the lowest cost for which `is_suitable` holds.
fn fastest(
    options: &[Option<DataCentreOption>],
    is_suitable: impl Fn(usize, &DataCentreOption) -> bool,
) -> Option<usize> {
    let known = options
        .iter()
        .enumerate()
        .filter_map(|(position, option)| Some((position, option.as_ref()?)));
    let suitable = known.filter(|(position, option)| is_suitable(*position, option));
    let best = suitable.min_by_key(|(_, option)| option.cost);
    best.map(|(position, _)| position)
}

//! Choice among the replicas of a plain service.
//!
//! Answers the load of a service with few replicas and slots behind many entries, short deadlines and
//! requests that must run once. A request goes to the replica with the least expected time; among
//! replicas that are about equal and equally near, the request's id decides by their shares, so that
//! entries with the same reports do not all choose the same one. A request that no replica could start
//! before its deadline is refused, because it would only wait to fail and might run for nobody.

use std::time;

use crate::replica_choice;

/// Difference of the expected time within which replicas share the requests, in usual durations.
const SHARED_RANGE: f64 = 0.15;

/// Decision on a request to a plain service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceDecision {
    /// Position of the chosen option.
    Send(usize),
    /// No replica can start the request in time.
    Refuse {
        /// Time until one could.
        retry_after: time::Duration,
    },
    NoReplica,
}

/// Decides on a request with the time that is left until its deadline and the hash of its id.
#[must_use]
pub fn decide(
    options: &[replica_choice::ServiceOption],
    time_left: time::Duration,
    seed: u64,
) -> ServiceDecision {
    let waits = options
        .iter()
        .map(replica_choice::ServiceOption::queue_wait);
    let Some(shortest_wait) = waits.min() else {
        return ServiceDecision::NoReplica;
    };
    if shortest_wait > time_left {
        let retry_after = shortest_wait;
        return ServiceDecision::Refuse { retry_after };
    }
    let chosen = choose_share(options, time_left, seed);
    chosen.map_or(ServiceDecision::NoReplica, ServiceDecision::Send)
}

fn choose_share(
    options: &[replica_choice::ServiceOption],
    time_left: time::Duration,
    seed: u64,
) -> Option<usize> {
    let in_time = options
        .iter()
        .enumerate()
        .filter(|(_, option)| option.queue_wait() <= time_left);
    let costs: Vec<(usize, f64)> = in_time
        .map(|(position, option)| (position, option.cost()))
        .collect();
    let (best, least) = costs
        .iter()
        .copied()
        .min_by(|(_, one), (_, other)| one.total_cmp(other))?;
    let distance = options[best].distance;
    let shares: Vec<(usize, f64)> = costs
        .into_iter()
        .filter(|(position, _)| options[*position].distance.total_cmp(&distance).is_eq())
        .map(|(position, cost)| (position, least + SHARED_RANGE - cost))
        .filter(|(_, share)| *share > 0.0)
        .collect();
    let total: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut rest = total * unit_interval(seed);
    for (position, share) in shares {
        if rest < share {
            return Some(position);
        }
        rest -= share;
    }
    Some(best)
}

/// Number from 0 to 1, evenly distributed over the hashes.
fn unit_interval(seed: u64) -> f64 {
    // The upper 32 bits are exact as a floating-point number.
    let upper = u32::try_from(seed >> 32).unwrap_or(u32::MAX);
    f64::from(upper) / f64::from(u32::MAX)
}

//! Quotas of organisations.
//!
//! A quota is a token bucket that all gateways share. Its unit is requests or tokens of a language
//! model, as the configuration says; the decisions do not distinguish between them. The owner of a
//! quota is one broker, which keeps the bucket (`quota_ledger`); gateways keep accounts of what they
//! may spend (`quota_account`).

use std::time;

use serde::{Deserialize, Serialize};

/// Time from the call that asks for a lease to the end of the lease.
pub const LEASE_TIME: time::Duration = time::Duration::from_millis(300);
/// Time without a call after which an owner no longer counts on a gateway. Longer than the interval
/// between two heartbeats, also when some brokers do not respond.
pub const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(900);
/// Time without a call after which a gateway's part of all limits is given to the others.
pub const FORGET_TIME: time::Duration = time::Duration::from_secs(20);
/// Time for which a gateway spends its own part without an owner; shorter than [`FORGET_TIME`],
/// after which the others have that part.
pub const DETACHED_TIME: time::Duration = time::Duration::from_secs(10);
/// Longest time after which a refused caller is told to return.
pub const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(8);

/// Part of the tolerance that a bucket holds. A request that is large against the bucket would be
/// refused without it. The rest is for what gateways and owners do not know of each other.
const CAPACITY_SHARE: f64 = 0.6;

/// Limit on what the requests of an organisation may cost.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaLimit {
    /// Units that become available in a second.
    pub rate_per_s: f64,
    /// Largest number of units that are available at once.
    pub burst: f64,
}

/// Limit with the version of the configuration that it comes from.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedLimit {
    pub version: u64,
    pub limit: QuotaLimit,
}

/// Excess over a limit that is tolerated because gateways know each other only with a delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    pub window: time::Duration,
    /// Share of what a window allows.
    pub overage: f64,
    /// Units in a window in addition.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Limit of the bucket that keeps each window within the configured limit.
    ///
    /// A window may have the burst anew, so what the tolerance leaves of it is spread over the window as a
    /// higher rate. The bucket holds the burst at least.
    #[must_use]
    pub fn bucket_limit(&self, limit: QuotaLimit) -> QuotaLimit {
        let window_s = self.window.as_secs_f64();
        if window_s <= 0.0 {
            return limit;
        }
        let allowed = limit.rate_per_s * window_s + limit.burst;
        let tolerated = (self.overage * allowed + self.slack) * CAPACITY_SHARE;
        let held = tolerated.max(limit.burst);
        let spread = limit.burst - (held - tolerated);
        QuotaLimit {
            rate_per_s: limit.rate_per_s + spread / window_s,
            burst: held.max(1.0),
        }
    }
}

impl QuotaLimit {
    /// Limit of the gateways that are `attached`, of all `gateways`.
    #[must_use]
    pub fn part(&self, attached: u32, gateways: u32) -> Self {
        let share = f64::from(attached.min(gateways)) / f64::from(gateways.max(1));
        Self {
            rate_per_s: self.rate_per_s * share,
            burst: self.burst * share,
        }
    }

    /// Time in which the rate provides a number of units, at most [`MAX_RETRY_DELAY`].
    #[must_use]
    pub fn time_for(&self, units: f64) -> time::Duration {
        if units <= 0.0 {
            return time::Duration::ZERO;
        }
        let seconds = units / self.rate_per_s;
        time::Duration::try_from_secs_f64(seconds)
            .map_or(MAX_RETRY_DELAY, |delay| delay.min(MAX_RETRY_DELAY))
    }
}

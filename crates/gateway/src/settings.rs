//! Settings of a gateway.

use std::{net, time};

use serde::Deserialize;
use serde_with::serde_as;

use crate::{buffers, numbers};

const MB: usize = 1_000_000;
/// Memory with which a gateway can buffer the responses of its requests.
const MIN_MEMORY_MB: u32 = 32;

/// Time for which a load balancer that checks readiness once a second and allows for one miss may
/// still open connections after SIGTERM.
const DEFAULT_ROTATION_TIME: time::Duration = time::Duration::from_millis(2_600);

/// Settings file of a gateway, in YAML. A bound that the platform does not name is left empty and
/// has the default stated here.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the instance, for logs.
    pub instance: String,
    pub data_centre: String,
    pub listen: ListenAddresses,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Port of the broker on each engine's instance.
    pub broker_port: u16,
    /// Data centres of the deployment.
    pub data_centres: Vec<String>,
    /// Time after which a draining replica must get no more requests, in milliseconds; 2,000 if
    /// empty.
    #[serde_as(as = "numbers::Milliseconds<2_000>")]
    pub leave_ms: time::Duration,
    /// Time after a disruption of the instance from which on `leave_ms` must be kept again, in
    /// milliseconds; 3,000 if empty.
    #[serde_as(as = "numbers::Milliseconds<3_000>")]
    #[serde(default = "default_settling_time")]
    pub settling_ms: time::Duration,
    /// Time within which a configuration must be in force, in milliseconds; 2,000 if empty.
    #[serde_as(as = "numbers::Milliseconds<2_000>")]
    #[serde(default = "default_apply_time")]
    pub apply_ms: time::Duration,
    /// Time after which a removed key must not work any more, also at a gateway that is cut off from
    /// the store, in milliseconds; 5,000 if empty. Without it there is no such time.
    #[serde_as(as = "numbers::OptionalMilliseconds<5_000>")]
    #[serde(default)]
    pub revocation_ms: Option<time::Duration>,
    /// Memory of the instance, in MB; 160 if empty. Limits on buffered responses follow from it.
    #[serde_as(as = "numbers::CountOrDefault<160>")]
    #[serde(default = "default_memory")]
    pub memory_mb: u32,
    pub retry_budget: RetryBudgetSettings,
    pub shutdown: ShutdownLimits,
}

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    pub callers: net::SocketAddr,
    pub readiness: net::SocketAddr,
    pub metrics: net::SocketAddr,
}

/// Retry budget of all gateways together.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Retries per request; 0.1 if empty.
    #[serde_as(as = "numbers::RatioOrDefault<10>")]
    pub ratio: f64,
    /// Retries in a window in addition to the ratio; none if empty.
    #[serde_as(as = "numbers::CountOrDefault<0>")]
    pub slack: u32,
    /// In seconds; 10 if empty.
    #[serde_as(as = "numbers::Seconds<10>")]
    pub window_s: time::Duration,
}

/// Times of a shutdown.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShutdownLimits {
    /// Time from SIGTERM to the forced end, in seconds; 5 if empty.
    #[serde_as(as = "numbers::Seconds<5>")]
    pub grace_s: time::Duration,
    /// Time for which new connections are accepted after SIGTERM, in milliseconds; 2,600 if
    /// omitted, and at most half of the time until the forced end.
    #[serde_as(as = "Option<numbers::Milliseconds<0>>")]
    #[serde(default)]
    pub rotation_ms: Option<time::Duration>,
}

impl ShutdownLimits {
    /// Time for which new connections are accepted after SIGTERM.
    #[must_use]
    pub fn rotation_time(&self) -> time::Duration {
        let default = || DEFAULT_ROTATION_TIME.min(self.grace_s / 2);
        self.rotation_ms.unwrap_or_else(default)
    }
}

fn default_settling_time() -> time::Duration {
    time::Duration::from_secs(3)
}

fn default_apply_time() -> time::Duration {
    time::Duration::from_secs(2)
}

fn default_memory() -> u32 {
    160
}

impl GatewaySettings {
    /// Limits on buffered responses.
    #[must_use]
    pub fn buffer_limits(&self) -> buffers::BufferLimits {
        let memory_mb = usize::try_from(self.memory_mb).unwrap_or(usize::MAX);
        buffers::BufferLimits::of_memory(memory_mb.saturating_mul(MB))
    }

    /// Invalid values that the format allows, each with the setting to change.
    #[must_use]
    pub fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, error: &str| {
            if !is_valid {
                errors.push(error.to_owned());
            }
        };
        check(
            !self.instance.is_empty(),
            "instance: empty; name the instance",
        );
        let is_listed = self.data_centres.contains(&self.data_centre);
        check(
            is_listed,
            "data_centre: not among data_centres; add it there",
        );
        check(
            self.broker_port > 0,
            "broker_port: 0; give the port of the brokers",
        );
        check(
            self.memory_mb >= MIN_MEMORY_MB,
            "memory_mb: below 32; responses could not be buffered",
        );
        check(
            self.revocation_ms.is_none_or(|bound| !bound.is_zero()),
            "revocation_ms: 0; no request with a key could be served",
        );
        let budget = self.retry_budget;
        check(
            budget.ratio >= 0.0 && budget.ratio.is_finite(),
            "retry_budget.ratio: not a share; give 0 or more",
        );
        check(
            !budget.window_s.is_zero(),
            "retry_budget.window_s: 0; give the window in seconds",
        );
        let limits = self.shutdown;
        check(
            limits.rotation_time() < limits.grace_s,
            "shutdown.rotation_ms: not below grace_s; requests would be cut off",
        );
        errors
    }
}

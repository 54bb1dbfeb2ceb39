//! Settings of a gateway.

use std::{net, time};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// Settings file of a gateway, in YAML.
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
    /// Time after which a draining replica must get no more requests, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub leave_ms: time::Duration,
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
    /// Retries per request.
    pub ratio: f64,
    /// Retries in a window in addition to the ratio.
    pub slack: u32,
    /// In seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub window_s: time::Duration,
}

/// Times of a shutdown.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShutdownLimits {
    /// Time from SIGTERM to the forced end, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub grace_s: time::Duration,
    /// Time for which new connections are accepted after SIGTERM, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub rotation_ms: time::Duration,
}

impl GatewaySettings {
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
            limits.rotation_ms < limits.grace_s,
            "shutdown.rotation_ms: not below grace_s; requests would be cut off",
        );
        errors
    }
}

//! Retry budget per service, shared by all entries without communication.
//!
//! Within a window, a service gets at most `ratio` retries per request plus `slack`, summed over
//! all entries. Each entry applies the ratio to its own requests and takes an equal part of the
//! slack. The budget prevents retries from doubling the load on healthy replicas while others fail
//! a large part of their requests.

use std::{collections::VecDeque, time};

use crate::units;

/// Share of the budget that entries spend; the rest covers an outdated entry count.
const USABLE_SHARE: f64 = 0.8;

/// Retry limits of one service over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    pub window: time::Duration,
    /// Additional retries per window.
    pub slack: u32,
}

/// Retry budget of one entry.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    entries: u32,
    /// Sorted by service.
    services: Vec<ServiceWindow>,
}

#[derive(Debug)]
struct ServiceWindow {
    service: String,
    requests: VecDeque<units::Timestamp>,
    retries: VecDeque<units::Timestamp>,
}

impl RetryBudget {
    /// Unspent budget for an assumed number of entries.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, entries: u32) -> Self {
        Self {
            limits,
            entries: entries.max(1),
            services: Vec::new(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, service: &str, now: units::Timestamp) {
        let window = self.limits.window;
        let times = self.service_window(service);
        times.expire(window, now);
        times.requests.push_back(now);
    }

    /// Takes one retry from the budget; false if the budget is exhausted.
    pub fn try_retry(&mut self, service: &str, now: units::Timestamp) -> bool {
        let limits = self.limits;
        let entries = f64::from(self.entries);
        let times = self.service_window(service);
        times.expire(limits.window, now);
        let requests = f64::from(u32::try_from(times.requests.len()).unwrap_or(u32::MAX));
        let retries = f64::from(u32::try_from(times.retries.len()).unwrap_or(u32::MAX));
        let allowed = USABLE_SHARE * (limits.ratio * requests + f64::from(limits.slack) / entries);
        if retries + 1.0 > allowed {
            return false;
        }
        times.retries.push_back(now);
        true
    }

    fn service_window(&mut self, service: &str) -> &mut ServiceWindow {
        let found = self
            .services
            .binary_search_by(|window| window.service.as_str().cmp(service));
        let position = found.unwrap_or_else(|position| {
            let added = ServiceWindow {
                service: service.to_owned(),
                requests: VecDeque::new(),
                retries: VecDeque::new(),
            };
            self.services.insert(position, added);
            position
        });
        &mut self.services[position]
    }
}

impl ServiceWindow {
    fn expire(&mut self, window: time::Duration, now: units::Timestamp) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| now.since(*at) >= window) {
                queue.pop_front();
            }
        }
    }
}

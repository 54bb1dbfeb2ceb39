//! Budget for sending requests once more, shared by all entries without messages between them.
//!
//! Over a window, a service may get `ratio` repeats for each request and `slack` more, summed over
//! all entries. Each entry spends its own share: the ratio applies to its own requests, and the
//! slack is divided by the number of entries. Load: replicas that fail a large part of what they
//! get, where repeats would otherwise double the load on the rest.

use std::{collections::VecDeque, time};

use crate::units;

/// Part of the shared budget that entries spend; the rest covers a late count of the entries.
const SHARE: f64 = 0.8;

/// Budget of one service over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats per request.
    pub ratio: f64,
    pub window: time::Duration,
    /// Repeats in a window beyond the ratio.
    pub slack: u32,
}

/// Share of one entry.
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
    firsts: VecDeque<units::Timestamp>,
    repeats: VecDeque<units::Timestamp>,
}

impl RetryBudget {
    /// Full budget, divided by an assumed number of entries.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, entries: u32) -> Self {
        Self {
            limits,
            entries: entries.max(1),
            services: Vec::new(),
        }
    }

    /// Takes the number of entries that share the slack.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, service: &str, now: units::Timestamp) {
        let window = self.limits.window;
        let counts = self.counts(service);
        counts.expire(window, now);
        counts.firsts.push_back(now);
    }

    /// Takes one repeat from the budget; false if it is spent.
    pub fn try_retry(&mut self, service: &str, now: units::Timestamp) -> bool {
        let limits = self.limits;
        let entries = f64::from(self.entries);
        let counts = self.counts(service);
        counts.expire(limits.window, now);
        let firsts = f64::from(u32::try_from(counts.firsts.len()).unwrap_or(u32::MAX));
        let repeats = f64::from(u32::try_from(counts.repeats.len()).unwrap_or(u32::MAX));
        let allowed = SHARE * (limits.ratio * firsts + f64::from(limits.slack) / entries);
        if repeats + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn counts(&mut self, service: &str) -> &mut ServiceWindow {
        let found = self
            .services
            .binary_search_by(|counts| counts.service.as_str().cmp(service));
        let position = found.unwrap_or_else(|position| {
            let counts = ServiceWindow {
                service: service.to_owned(),
                firsts: VecDeque::new(),
                repeats: VecDeque::new(),
            };
            self.services.insert(position, counts);
            position
        });
        &mut self.services[position]
    }
}

impl ServiceWindow {
    fn expire(&mut self, window: time::Duration, now: units::Timestamp) {
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
    }
}

//! Requests that wait for their first token, with the predicted wait against the deadline.
//!
//! A request whose predicted first token comes close to its deadline is at risk, and one whose
//! prediction is later is expected to be late. Both show before the first deadline is missed.

use std::time;

use crate::{ids, units};

/// Share of the time until the deadline that a prediction may use before it is at risk.
const RISK_SHARE: f64 = 0.7;
/// Priorities, highest first.
const PRIORITIES: [units::Priority; 3] = [
    units::Priority::High,
    units::Priority::Normal,
    units::Priority::Low,
];

/// Request that has no first token yet.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    pub request: ids::RequestId,
    pub priority: units::Priority,
    pub adapter: ids::AdapterId,
    pub received: units::Timestamp,
    pub deadline: units::Timestamp,
    /// Time at which the first token is expected.
    pub expected: units::Timestamp,
}

/// Backlog of a set of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BacklogTotal {
    pub waiting: u32,
    /// Requests predicted to use most of their time, without those predicted to be late.
    pub at_risk: u32,
    /// Requests predicted to miss their deadline, or that have missed it.
    pub late: u32,
    /// Longest time since a request was received.
    pub longest_wait: time::Duration,
    /// Longest predicted time from now to the first token.
    pub predicted_wait: time::Duration,
    /// Least time between a predicted first token and its deadline; zero when one is late.
    pub least_slack: Option<time::Duration>,
}

/// Backlog of one priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PriorityBacklog {
    pub priority: units::Priority,
    pub total: BacklogTotal,
}

/// Backlog of one adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdapterBacklog {
    pub adapter: ids::AdapterId,
    pub total: BacklogTotal,
}

/// Waiting requests of one process, sorted by request.
#[derive(Debug, Default)]
pub struct BacklogTable {
    waiting: Vec<WaitingRequest>,
}

impl BacklogTable {
    /// Adds a request, or replaces its prediction after a new dispatch.
    pub fn track(&mut self, waiting: WaitingRequest) {
        match self.position(waiting.request) {
            Ok(position) => self.waiting[position] = waiting,
            Err(position) => self.waiting.insert(position, waiting),
        }
    }

    /// Removes a request at its first token or its end.
    pub fn remove(&mut self, request: ids::RequestId) {
        if let Ok(position) = self.position(request) {
            self.waiting.remove(position);
        }
    }

    /// Backlog of each priority, highest first.
    #[must_use]
    pub fn priorities(&self, now: units::Timestamp) -> Vec<PriorityBacklog> {
        let backlog = PRIORITIES.iter().map(|priority| {
            let of_priority = self.waiting.iter();
            let requests = of_priority.filter(|waiting| waiting.priority == *priority);
            PriorityBacklog {
                priority: *priority,
                total: total(requests, now),
            }
        });
        backlog.collect()
    }

    /// The adapters with the most late, then the most at-risk, then the most waiting requests.
    #[must_use]
    pub fn top_adapters(&self, count: usize, now: units::Timestamp) -> Vec<AdapterBacklog> {
        let mut sorted: Vec<&WaitingRequest> = self.waiting.iter().collect();
        sorted.sort_by_key(|waiting| waiting.adapter);
        let groups = sorted.chunk_by(|left, right| left.adapter == right.adapter);
        let mut backlog: Vec<AdapterBacklog> = groups
            .map(|group| AdapterBacklog {
                adapter: group[0].adapter,
                total: total(group.iter().copied(), now),
            })
            .collect();
        backlog.sort_by_key(|backlog| {
            let total = backlog.total;
            std::cmp::Reverse((total.late, total.at_risk, total.waiting))
        });
        backlog.truncate(count);
        backlog
    }

    fn position(&self, request: ids::RequestId) -> Result<usize, usize> {
        self.waiting
            .binary_search_by_key(&request, |waiting| waiting.request)
    }
}

fn total<'a>(
    requests: impl Iterator<Item = &'a WaitingRequest>,
    now: units::Timestamp,
) -> BacklogTotal {
    let mut total = BacklogTotal::default();
    for waiting in requests {
        // A first token that is overdue is expected now at the earliest.
        let expected = waiting.expected.max(now);
        let slack = waiting.deadline.since(expected);
        let allowed = waiting.deadline.since(waiting.received);
        let used = expected.since(waiting.received);
        total.waiting += 1;
        if expected >= waiting.deadline {
            total.late += 1;
        } else if used > allowed.mul_f64(RISK_SHARE) {
            total.at_risk += 1;
        }
        total.longest_wait = total.longest_wait.max(now.since(waiting.received));
        total.predicted_wait = total.predicted_wait.max(expected.since(now));
        total.least_slack = Some(total.least_slack.map_or(slack, |least| least.min(slack)));
    }
    total
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(millis: u64) -> units::Timestamp {
        units::Timestamp(millis * 1_000)
    }

    fn waiting(sequence: u64, adapter: u64, expected: u64) -> WaitingRequest {
        WaitingRequest {
            request: ids::RequestId {
                entry: ids::Incarnation(1),
                sequence,
            },
            priority: units::Priority::Normal,
            adapter: ids::AdapterId(adapter),
            received: at(0),
            deadline: at(1_000),
            expected: at(expected),
        }
    }

    // Guards against a backlog that becomes visible only after deadlines were missed.
    #[test]
    fn risk_shows_before_the_deadline() {
        let mut table = BacklogTable::default();
        table.track(waiting(0, 1, 100));
        table.track(waiting(1, 1, 800));
        table.track(waiting(2, 2, 1_200));
        let normal = table.priorities(at(50))[1].total;
        assert_eq!((normal.waiting, normal.at_risk, normal.late), (3, 1, 1));
        assert_eq!(normal.predicted_wait, time::Duration::from_millis(1_150));
        assert_eq!(normal.least_slack, Some(time::Duration::ZERO));
        // An overdue request comes closer to its deadline as time passes.
        let later = table.priorities(at(750))[1].total;
        assert_eq!((later.at_risk, later.late), (2, 1));
        table.remove(waiting(2, 2, 0).request);
        assert_eq!(table.priorities(at(750))[1].total.late, 0);
    }

    // Guards against a top list that shows a busy adapter before one with late requests.
    #[test]
    fn adapters_with_late_requests_come_first() {
        let mut table = BacklogTable::default();
        for sequence in 0..10 {
            table.track(waiting(sequence, 1, 100));
        }
        table.track(waiting(10, 2, 1_500));
        table.track(waiting(11, 3, 100));
        let top = table.top_adapters(2, at(0));
        let adapters: Vec<_> = top.iter().map(|backlog| backlog.adapter.0).collect();
        assert_eq!(adapters, [2, 1]);
    }
}

//! Queue of one replica.
//!
//! The queue decides which request enters the engine's batch next. Priorities come first, then a
//! weighted fair share between operators, then deadlines. A request whose adapter is already in
//! the batch may overtake the others of its priority while no deadline is at risk, because an
//! engine step costs more with every distinct adapter. Lower priorities leave some batch slots free
//! for high priority, see [`batch_reserve`]. The length of a response is not known beforehand: a
//! request counts as long once it has generated [`LONG_TOKENS`].

use std::{collections, time};

use crate::{batch_reserve, ids, service_time, units};

/// Generated tokens after which a request counts as long.
pub const LONG_TOKENS: u32 = 512;
/// Share of the batch, in percent, that long requests may hold while short ones wait.
pub const LONG_SHARE_PERCENT: usize = 25;
/// Requests handed to the engine beyond its batch, so that a step never waits for the agent.
pub const ENGINE_QUEUE: usize = 1;
/// One start in this many goes to a priority below the highest waiting one, each of them in turn,
/// so that none starves.
pub const STARTS_PER_LOW: u32 = 16;
/// Number of earliest deadlines checked before requests are grouped by adapter; bounds the cost of
/// one pick.
const MAX_CHECKED_DEADLINES: usize = 64;
/// Shortest retry-after; shorter values cause a retry before anything has changed.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(50);

/// Request waiting for a batch slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    pub request: ids::RequestId,
    /// Adapter it runs on; `None` for the base model.
    pub adapter: Option<ids::AdapterId>,
    pub priority: units::Priority,
    pub operator: String,
    /// Share of the operator within a priority, at least 1.
    pub weight: u32,
    /// Time at which the first token is due.
    pub deadline: units::Timestamp,
}

/// Request in the engine's batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningRequest {
    pub request: ids::RequestId,
    pub adapter: Option<ids::AdapterId>,
    /// Tokens generated so far.
    pub generated: u32,
}

/// Engine state that a pick depends on.
#[derive(Clone, Copy, Debug)]
pub struct BatchView<'a> {
    pub running: &'a [RunningRequest],
    /// Largest batch of the engine, in requests.
    pub limit: usize,
    /// Adapters resident in the engine, sorted.
    pub resident: &'a [ids::AdapterId],
}

/// Next action on the engine's batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchAction {
    Start(QueuedRequest),
    /// Resume a preempted long request.
    Resume(ids::RequestId),
}

/// Order in which waiting requests enter the batch.
pub trait QueuePolicy: Send {
    /// Adds a request.
    fn push(&mut self, request: QueuedRequest);
    /// Removes a waiting or preempted request; false when it is not here.
    fn remove(&mut self, request: ids::RequestId) -> bool;
    /// Removes requests whose deadline has passed; they did not run.
    fn expire(&mut self, now: units::Timestamp) -> Vec<QueuedRequest>;
    /// Removes and returns the next request for the batch, if there is room and one may run.
    fn next(&mut self, batch: &BatchView<'_>, now: units::Timestamp) -> Option<BatchAction>;
    /// Long requests to preempt now in favour of short ones. The queue resumes them later.
    fn preempt(&mut self, batch: &BatchView<'_>) -> Vec<ids::RequestId>;
    /// Records the time a request held its batch slot.
    fn observe(&mut self, service_time: time::Duration);
    /// Expected wait of a new request of this priority.
    fn predicted_wait(&self, priority: units::Priority, batch_limit: usize) -> time::Duration;
    /// Waiting requests, without the preempted ones.
    fn waiting(&self) -> usize;

    /// Expected wait of a new request of this priority for a slot in this batch. Requests that
    /// wait for their adapter do not count, and free slots are taken at once.
    fn expected_wait(&self, priority: units::Priority, batch: &BatchView<'_>) -> time::Duration {
        self.predicted_wait(priority, batch.limit)
    }

    /// Time after which a request with `time_left` would be served in time, at least 50 ms.
    fn retry_after(
        &self,
        priority: units::Priority,
        batch_limit: usize,
        time_left: time::Duration,
    ) -> time::Duration {
        self.predicted_wait(priority, batch_limit)
            .saturating_sub(time_left)
            .max(MIN_RETRY_AFTER)
    }
}

impl BatchView<'_> {
    pub(crate) fn is_full(&self) -> bool {
        self.running.len() >= self.limit + ENGINE_QUEUE
    }

    pub(crate) fn may_run(&self, request: &QueuedRequest) -> bool {
        request
            .adapter
            .is_none_or(|adapter| self.resident.binary_search(&adapter).is_ok())
    }

    fn contains(&self, adapter: Option<ids::AdapterId>) -> bool {
        self.running
            .iter()
            .any(|running| running.adapter == adapter)
    }

    fn long_requests(&self) -> impl Iterator<Item = &RunningRequest> {
        self.running
            .iter()
            .filter(|running| running.generated >= LONG_TOKENS)
    }

    /// Long requests allowed while short ones wait; one always runs, so that it makes progress.
    fn long_limit(&self) -> usize {
        (self.limit * LONG_SHARE_PERCENT / 100).max(1)
    }
}

/// Waiting requests of one operator within one priority, sorted by deadline.
#[derive(Debug)]
struct OperatorQueue {
    operator: String,
    /// Starts divided by weight, in units of 1/2^20; the operator with the least is next.
    virtual_time: u64,
    waiting: Vec<QueuedRequest>,
}

/// Requests of one priority, sorted by operator.
#[derive(Debug, Default)]
struct PriorityQueue {
    operators: Vec<OperatorQueue>,
    /// Virtual time of the last start. A newly active operator begins here, so that it gains no
    /// credit for the time it was idle.
    virtual_time: u64,
}

impl PriorityQueue {
    fn push(&mut self, request: QueuedRequest) {
        let found = self
            .operators
            .binary_search_by(|queue| queue.operator.as_str().cmp(&request.operator));
        let position = found.unwrap_or_else(|position| {
            let queue = OperatorQueue {
                operator: request.operator.clone(),
                virtual_time: self.virtual_time,
                waiting: Vec::new(),
            };
            self.operators.insert(position, queue);
            position
        });
        let queue = &mut self.operators[position];
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
        }
        let waiting = &mut queue.waiting;
        let index = waiting.partition_point(|other| other.deadline <= request.deadline);
        waiting.insert(index, request);
    }

    fn len(&self) -> usize {
        self.operators.iter().map(|queue| queue.waiting.len()).sum()
    }

    fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.operators.iter().flat_map(|queue| &queue.waiting)
    }

    /// Removes and returns the first eligible request of the operator with the least virtual time.
    fn pop_where(&mut self, is_eligible: impl Fn(&QueuedRequest) -> bool) -> Option<QueuedRequest> {
        let (operator, index) = self
            .operators
            .iter()
            .enumerate()
            .filter_map(|(operator, queue)| {
                let index = queue.waiting.iter().position(&is_eligible)?;
                Some((operator, index))
            })
            .min_by_key(|(operator, index)| {
                let queue = &self.operators[*operator];
                (queue.virtual_time, queue.waiting[*index].deadline)
            })?;
        let queue = &mut self.operators[operator];
        let request = queue.waiting.remove(index);
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += (1 << 20) / u64::from(request.weight.max(1));
        Some(request)
    }

    fn remove_where(&mut self, is_removed: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in &mut self.operators {
            removed.extend(queue.waiting.extract_if(.., |request| is_removed(request)));
        }
        if self.len() == 0 {
            self.operators.clear();
        }
        // An idle operator is kept until the virtual time of the others has caught up with its own.
        let virtual_time = self.virtual_time;
        self.operators
            .retain(|queue| !queue.waiting.is_empty() || queue.virtual_time > virtual_time);
        removed
    }
}

/// Priority, fair share and deadline queue with batch grouping and a limit on long requests.
#[derive(Debug, Default)]
pub struct ReplicaQueue {
    /// Lowest priority first.
    priorities: [PriorityQueue; 3],
    preempted: collections::VecDeque<ids::RequestId>,
    starts_since_low: u32,
    low_turns: usize,
    reserve: batch_reserve::BatchReserve,
    service_time: service_time::ServiceTime,
}

impl ReplicaQueue {
    /// Whether every waiting request still meets its deadline when one more start precedes it.
    fn has_slack(&self, batch: &BatchView<'_>, now: units::Timestamp) -> bool {
        let mut deadlines: Vec<_> = self
            .priorities
            .iter()
            .flat_map(PriorityQueue::iter)
            .filter(|request| batch.may_run(request))
            .map(|request| request.deadline)
            .collect();
        if deadlines.len() > MAX_CHECKED_DEADLINES {
            deadlines.select_nth_unstable(MAX_CHECKED_DEADLINES);
            deadlines.truncate(MAX_CHECKED_DEADLINES);
        }
        deadlines.sort_unstable();
        let on_time = |(index, deadline): (usize, &units::Timestamp)| {
            now + self.service_time.for_starts(index + 1, batch.limit) <= *deadline
        };
        deadlines.iter().enumerate().all(on_time)
    }

    fn pop_next(&mut self, batch: &BatchView<'_>, now: units::Timestamp) -> Option<QueuedRequest> {
        let may_run = |queue: &PriorityQueue| queue.iter().any(|r| batch.may_run(r));
        let highest = self.priorities.iter().rposition(may_run)?;
        let lower: Vec<_> = (0..highest)
            .filter(|priority| may_run(&self.priorities[*priority]))
            .collect();
        let reserved = self
            .reserve
            .unavailable_slots(units::Priority::ALL[highest], batch.limit);
        if batch.running.len() + reserved >= batch.limit + ENGINE_QUEUE {
            return None;
        }
        let is_low_turn = self.starts_since_low + 1 >= STARTS_PER_LOW;
        let chosen = if lower.is_empty() || !is_low_turn {
            highest
        } else {
            self.low_turns = self.low_turns.wrapping_add(1);
            lower[self.low_turns % lower.len()]
        };
        let is_high = chosen == highest && !lower.is_empty();
        self.starts_since_low = if is_high {
            self.starts_since_low + 1
        } else {
            0
        };
        let has_slack = !batch.running.is_empty() && self.has_slack(batch, now);
        let queue = &mut self.priorities[chosen];
        let grouped = has_slack
            .then(|| queue.pop_where(|r| batch.may_run(r) && batch.contains(r.adapter)))
            .flatten();
        grouped.or_else(|| queue.pop_where(|request| batch.may_run(request)))
    }

    fn pop_preempted(&mut self, batch: &BatchView<'_>) -> Option<BatchAction> {
        let short_waits = self
            .priorities
            .iter()
            .flat_map(PriorityQueue::iter)
            .any(|request| batch.may_run(request));
        if short_waits && batch.long_requests().count() >= batch.long_limit() {
            return None;
        }
        self.preempted.pop_front().map(BatchAction::Resume)
    }
}

impl QueuePolicy for ReplicaQueue {
    fn push(&mut self, request: QueuedRequest) {
        self.priorities[request.priority as usize].push(request);
    }

    fn remove(&mut self, request: ids::RequestId) -> bool {
        let preempted = self.preempted.len();
        self.preempted.retain(|other| *other != request);
        let mut found = self.preempted.len() < preempted;
        for queue in &mut self.priorities {
            found |= !queue.remove_where(|r| r.request == request).is_empty();
        }
        found
    }

    fn expire(&mut self, now: units::Timestamp) -> Vec<QueuedRequest> {
        self.priorities
            .iter_mut()
            .flat_map(|queue| queue.remove_where(|request| request.deadline < now))
            .collect()
    }

    fn next(&mut self, batch: &BatchView<'_>, now: units::Timestamp) -> Option<BatchAction> {
        let high = &self.priorities[units::Priority::High as usize];
        self.reserve.update(high.len() > 0, now);
        if batch.is_full() {
            return None;
        }
        self.pop_preempted(batch)
            .or_else(|| self.pop_next(batch, now).map(BatchAction::Start))
    }

    fn preempt(&mut self, batch: &BatchView<'_>) -> Vec<ids::RequestId> {
        let short = self
            .priorities
            .iter()
            .flat_map(PriorityQueue::iter)
            .filter(|request| batch.may_run(request))
            .count();
        let free = (batch.limit + ENGINE_QUEUE).saturating_sub(batch.running.len());
        let mut long: Vec<_> = batch.long_requests().collect();
        let surplus = long.len().saturating_sub(batch.long_limit());
        long.sort_unstable_by_key(|running| std::cmp::Reverse(running.generated));
        long.truncate(surplus.min(short.saturating_sub(free)));
        let preempted: Vec<_> = long.iter().map(|running| running.request).collect();
        self.preempted.extend(&preempted);
        preempted
    }

    fn observe(&mut self, service_time: time::Duration) {
        self.service_time.observe(service_time);
    }

    fn predicted_wait(&self, priority: units::Priority, batch_limit: usize) -> time::Duration {
        let ahead = self.priorities[priority as usize..]
            .iter()
            .map(PriorityQueue::len)
            .sum();
        self.service_time.for_starts(ahead, batch_limit)
    }

    fn waiting(&self) -> usize {
        self.priorities.iter().map(PriorityQueue::len).sum()
    }

    fn expected_wait(&self, priority: units::Priority, batch: &BatchView<'_>) -> time::Duration {
        let ahead = self.priorities[priority as usize..]
            .iter()
            .flat_map(PriorityQueue::iter)
            .filter(|request| batch.may_run(request))
            .count();
        let reserved = self.reserve.unavailable_slots(priority, batch.limit);
        let free = batch.limit.saturating_sub(batch.running.len() + reserved);
        let starts = (ahead + 1).saturating_sub(free);
        self.service_time.for_starts(starts, batch.limit)
    }
}

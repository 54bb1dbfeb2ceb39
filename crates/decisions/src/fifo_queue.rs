//! First-in-first-out baseline of the replica queue.

use std::{collections, time};

use crate::{
    ids,
    queueing::{self, QueuePolicy},
    service_time, units,
};

/// Baseline: first in, first out, without regard to priority, adapter or length.
#[derive(Debug, Default)]
pub struct FifoQueue {
    waiting: collections::VecDeque<queueing::QueuedRequest>,
    service_time: service_time::ServiceTime,
}

impl QueuePolicy for FifoQueue {
    fn push(&mut self, request: queueing::QueuedRequest) {
        self.waiting.push_back(request);
    }

    fn remove(&mut self, request: ids::RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.request != request);
        self.waiting.len() < before
    }

    fn expire(&mut self, now: units::Timestamp) -> Vec<queueing::QueuedRequest> {
        let (expired, waiting) = self.waiting.drain(..).partition(|r| r.deadline < now);
        self.waiting = waiting;
        Vec::from(expired)
    }

    fn next(
        &mut self,
        batch: &queueing::BatchView<'_>,
        _now: units::Timestamp,
    ) -> Option<queueing::BatchAction> {
        if batch.is_full() || !batch.may_run(self.waiting.front()?) {
            return None;
        }
        self.waiting.pop_front().map(queueing::BatchAction::Start)
    }

    fn preempt(&mut self, _batch: &queueing::BatchView<'_>) -> Vec<ids::RequestId> {
        Vec::new()
    }

    fn observe(&mut self, service_time: time::Duration) {
        self.service_time.observe(service_time);
    }

    fn predicted_wait(&self, _priority: units::Priority, batch_limit: usize) -> time::Duration {
        self.service_time
            .for_starts(self.waiting.len(), batch_limit)
    }

    fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

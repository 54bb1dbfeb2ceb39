//! One engine with its queue and adapter slots.
//!
//! A driver task moves requests from the queue into the engine's batch and starts loads. A request
//! pins its adapter from the moment it is chosen until its last part.

use std::{sync::Arc, time};

use decisions::{
    ids,
    queueing::{self, QueuePolicy},
    slots, units,
};
use endpoints::client::{Generation, ModelEngine};
use parking_lot::Mutex;
use peers::message;
use tokio::sync::{self, watch};

use crate::{
    clock, failures, generation, metrics,
    replica_state::{ParkSwitch, ReplicaState, WaitingTask},
    requests, settings, store_budget, streams,
};

/// Interval of the driver while requests wait: deadlines and the load budget advance with time.
const WAITING_STEP: time::Duration = time::Duration::from_millis(20);
/// Interval of the driver without waiting requests.
const IDLE_STEP: time::Duration = time::Duration::from_secs(1);
/// Interval of status reads.
const STATUS_STEP: time::Duration = time::Duration::from_millis(500);

/// What replicas of one agent share.
pub struct AgentContext {
    pub clock: clock::AgentClock,
    pub requests: requests::RequestRegistry,
    pub budget: store_budget::StoreBudget,
    pub metrics: metrics::AgentMetrics,
    pub logger: slog::Logger,
    pub queue_limit: usize,
}

/// Completion that waits for its engine.
pub struct CompletionTask {
    pub generation: Generation,
    pub operator: String,
    pub weight: u32,
    pub deadline: units::Timestamp,
    pub stream: Arc<streams::OutputStream>,
}

/// One engine, its queue and its slots.
pub struct ReplicaDriver {
    pub(crate) replica: u16,
    pub(crate) settings: settings::ReplicaSettings,
    pub(crate) engine: Arc<dyn ModelEngine>,
    pub(crate) context: Arc<AgentContext>,
    pub(crate) state: Mutex<ReplicaState>,
    pub(crate) changed: sync::Notify,
    /// Loads share it; the removal of adapters that have no slot excludes them.
    pub(crate) commands: sync::RwLock<()>,
    status_wanted: sync::Notify,
}

impl ReplicaDriver {
    /// Driver of an engine that was not reached yet.
    #[must_use]
    pub fn new(
        replica: u16,
        settings: settings::ReplicaSettings,
        engine: Arc<dyn ModelEngine>,
        context: Arc<AgentContext>,
    ) -> Self {
        let capacity = usize::from(settings.adapter_slots);
        Self {
            replica,
            settings,
            engine,
            context,
            state: Mutex::new(ReplicaState::new(capacity)),
            changed: sync::Notify::new(),
            commands: sync::RwLock::new(()),
            status_wanted: sync::Notify::new(),
        }
    }

    /// Schedules requests and loads until the task is dropped.
    pub async fn drive(self: Arc<Self>) {
        loop {
            let step = self.schedule();
            let _ = tokio::time::timeout(step, self.changed.notified()).await;
        }
    }

    /// Reads the engine's status until the task is dropped.
    pub async fn watch(self: Arc<Self>) {
        loop {
            self.read_status().await;
            let _ = tokio::time::timeout(STATUS_STEP, self.status_wanted.notified()).await;
        }
    }

    /// Reason for which this replica takes no request now.
    #[must_use]
    pub fn refusal(&self, base_model: &str) -> Option<message::RefusalReason> {
        if self.settings.base_model != base_model {
            return Some(message::RefusalReason::WrongBaseModel);
        }
        let state = self.state.lock();
        if state.is_superseded {
            return Some(message::RefusalReason::Superseded);
        }
        let is_full = state.queue.waiting() >= self.context.queue_limit;
        is_full.then_some(message::RefusalReason::QueueFull)
    }

    /// Time after which a refused request would be served in time.
    #[must_use]
    pub fn retry_after(
        &self,
        priority: units::Priority,
        time_left: time::Duration,
    ) -> time::Duration {
        let limit = usize::from(self.settings.batch_limit);
        let state = self.state.lock();
        state.queue.retry_after(priority, limit, time_left)
    }

    /// Adds an admitted request.
    pub fn push(&self, task: CompletionTask) {
        let now = self.context.clock.now();
        let adapter = &task.generation.adapter;
        let id = adapter.id();
        let mut state = self.state.lock();
        state.remember(adapter);
        state.slots.request(id, task.deadline, now);
        state.queue.push(queueing::QueuedRequest {
            request: task.generation.request,
            adapter: Some(id),
            priority: task.generation.priority,
            operator: task.operator.clone(),
            weight: task.weight,
            deadline: task.deadline,
        });
        let is_stalled = state.slots.resident().binary_search(&id).is_err();
        let request = task.generation.request;
        let position = state.position(request).unwrap_or_else(|position| position);
        let waiting = WaitingTask {
            task,
            arrived: now,
            is_stalled,
        };
        state.waiting.insert(position, waiting);
        drop(state);
        self.changed.notify_one();
    }

    /// Removes a cancelled request from the queue.
    pub fn remove(&self, request: ids::RequestId) {
        let mut state = self.state.lock();
        state.queue.remove(request);
        let task = state.take(request);
        drop(state);
        if let Some(waiting) = task {
            self.end(
                &waiting.task.stream,
                failures::cancelled(message::RunOutcome::NotRun),
            );
        }
    }

    /// Load of this replica.
    #[must_use]
    pub fn report(&self) -> message::ReplicaReport {
        let state = self.state.lock();
        let resident = state.slots.resident();
        let batch = queueing::BatchView {
            running: &state.running,
            limit: usize::from(self.settings.batch_limit),
            resident: &resident,
        };
        let wait = |priority| {
            let wait = state.queue.expected_wait(priority, &batch);
            u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
        };
        let wait_millis = units::Priority::ALL.map(wait);
        let mut adapters: Vec<_> = state
            .running
            .iter()
            .map(|running| running.adapter)
            .collect();
        adapters.sort_unstable();
        adapters.dedup();
        self.context.metrics.sample(&metrics::ReplicaSample {
            replica: self.replica,
            queued: state.queue.waiting(),
            wait_millis,
            batch: state.running.len(),
            batch_adapters: adapters.len(),
        });
        message::ReplicaReport {
            replica: self.replica,
            base_model: self.settings.base_model.clone(),
            ready: state.is_ready && !state.is_superseded,
            adapter_slots: self.settings.adapter_slots,
            batch_limit: self.settings.batch_limit,
            running: u16::try_from(state.running.len()).unwrap_or(u16::MAX),
            queued: u16::try_from(state.queue.waiting()).unwrap_or(u16::MAX),
            wait_millis,
            loading: state.slots.pending(),
            adapters: resident,
        }
    }

    /// Adapters that wait for a load.
    #[must_use]
    pub fn waiting_loads(&self) -> usize {
        self.state.lock().slots.waiting_loads()
    }

    /// One step of the driver; returns the time until the next one.
    fn schedule(self: &Arc<Self>) -> time::Duration {
        let now = self.context.clock.now();
        let mut state = self.state.lock();
        let expired = state.queue.expire(now);
        let expired: Vec<_> = expired
            .iter()
            .filter_map(|queued| state.take(queued.request))
            .collect();
        state.park(usize::from(self.settings.batch_limit));
        self.start_requests(&mut state, now);
        self.start_loads(&mut state, now);
        let is_waiting = state.queue.waiting() > 0;
        drop(state);
        for waiting in expired {
            let part = failures::failure(
                message::RunOutcome::NotRun,
                message::FailureReason::DeadlineUnreachable,
                "the deadline passed before the request started",
            );
            self.end(&waiting.task.stream, part);
        }
        if is_waiting { WAITING_STEP } else { IDLE_STEP }
    }

    fn start_requests(self: &Arc<Self>, state: &mut ReplicaState, now: units::Timestamp) {
        let limit = usize::from(self.settings.batch_limit);
        let resident = state.slots.resident();
        loop {
            let batch = queueing::BatchView {
                running: &state.running,
                limit,
                resident: &resident,
            };
            let queued = match state.queue.next(&batch, now) {
                Some(queueing::QueuePick::Start(queued)) => queued,
                Some(queueing::QueuePick::Resume(request)) => {
                    state.unpark(request);
                    continue;
                }
                None => return,
            };
            let Some(waiting) = state.take(queued.request) else {
                continue;
            };
            let id = waiting.task.generation.adapter.id();
            let Some(pin) = state.slots.pin(id, now) else {
                let part = failures::failure(
                    message::RunOutcome::NotRun,
                    message::FailureReason::AdapterUnavailable,
                    "the adapter left its slot before the request started",
                );
                self.end(&waiting.task.stream, part);
                continue;
            };
            if !self.context.requests.start(queued.request) {
                state.slots.unpin(pin, now);
                let part = failures::cancelled(message::RunOutcome::NotRun);
                self.end(&waiting.task.stream, part);
                continue;
            }
            state.running.push(queueing::RunningRequest {
                request: queued.request,
                adapter: Some(id),
                generated: 0,
            });
            if waiting.is_stalled {
                self.context.metrics.stall(now.since(waiting.arrived));
            }
            let (parked, receiver) = watch::channel(false);
            state.switches.push(ParkSwitch {
                request: queued.request,
                parked,
            });
            tokio::spawn(Arc::clone(self).run(waiting.task, pin, receiver));
        }
    }

    async fn run(
        self: Arc<Self>,
        task: CompletionTask,
        pin: slots::AdapterPin,
        parked: watch::Receiver<bool>,
    ) {
        let started = self.context.clock.now();
        let request = task.generation.request;
        let produced = |tokens| {
            self.state.lock().add_tokens(request, tokens);
            self.context.requests.wake(&task.stream);
        };
        let (generation, stream) = (&task.generation, &task.stream);
        let last = generation::run(&*self.engine, generation, stream, parked, produced).await;
        if matches!(last, message::StreamPart::Failed(_)) {
            self.status_wanted.notify_one();
        }
        let now = self.context.clock.now();
        let mut state = self.state.lock();
        state.end(request);
        state.queue.observe(now.since(started));
        state.slots.unpin(pin, now);
        drop(state);
        self.end(&task.stream, last);
        self.changed.notify_one();
    }

    pub(crate) fn end(&self, stream: &Arc<streams::OutputStream>, last: message::StreamPart) {
        self.context.metrics.end(&last);
        self.context.requests.end(stream, last);
    }

    /// Ends the waiting requests that `is_removed` selects; they did not run.
    pub(crate) fn fail_waiting(
        &self,
        is_removed: impl Fn(ids::AdapterId) -> bool,
        reason: message::FailureReason,
        message: &str,
    ) {
        let mut state = self.state.lock();
        let removed: Vec<_> = state
            .waiting
            .extract_if(.., |waiting| {
                is_removed(waiting.task.generation.adapter.id())
            })
            .collect();
        for waiting in &removed {
            state.queue.remove(waiting.task.generation.request);
            let adapter = waiting.task.generation.adapter.id();
            state.slots.set_deadline(adapter, None);
        }
        drop(state);
        for waiting in removed {
            let part = failures::failure(message::RunOutcome::NotRun, reason, message);
            self.end(&waiting.task.stream, part);
        }
    }
}

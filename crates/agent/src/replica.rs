//! Driver of one engine with its request queue and adapter slots.
//!
//! A scheduler task moves requests from the queue into the engine's batch and starts adapter loads.
//! A request pins its adapter from its selection until its final part.

use std::{sync::Arc, time};

use decisions::{
    adapter_cache, ids,
    queueing::{self, QueuePolicy},
    units,
};
use endpoints::client::{GenerationCall, ModelEngine};
use parking_lot::Mutex;
use peers::message;
use tokio::sync::{self, watch};

use crate::{
    clock, failures, generation, metrics,
    replica_state::{PreemptionSignal, ReplicaState, WaitingTask},
    requests, settings, store_budget, streams,
};

/// Scheduler interval while requests wait, because deadlines and the load budget depend on time.
const WAITING_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Scheduler interval without waiting requests.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval of engine status polls.
const STATUS_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// State shared by the replicas of one agent.
pub struct AgentContext {
    pub clock: clock::AgentClock,
    pub requests: requests::RequestRegistry,
    pub budget: store_budget::StoreBudget,
    pub metrics: metrics::AgentMetrics,
    pub logger: slog::Logger,
    pub queue_limit: usize,
}

/// Admitted completion request.
pub struct CompletionTask {
    pub generation: GenerationCall,
    pub operator: String,
    pub weight: u32,
    pub deadline: units::Timestamp,
    pub stream: Arc<streams::OutputStream>,
}

/// Scheduler of one engine.
pub struct ReplicaDriver {
    pub(crate) replica: u16,
    pub(crate) settings: settings::ReplicaSettings,
    pub(crate) engine: Arc<dyn ModelEngine>,
    pub(crate) context: Arc<AgentContext>,
    pub(crate) state: Mutex<ReplicaState>,
    pub(crate) schedule_wake: sync::Notify,
    /// Held shared during a load, and exclusively while adapters without a slot are unloaded.
    pub(crate) load_lock: sync::RwLock<()>,
    status_requested: sync::Notify,
}

impl ReplicaDriver {
    /// Driver of an engine that has not been reached yet.
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
            schedule_wake: sync::Notify::new(),
            load_lock: sync::RwLock::new(()),
            status_requested: sync::Notify::new(),
        }
    }

    /// Schedules requests and loads until the future is dropped.
    pub async fn run_scheduler(self: Arc<Self>) {
        loop {
            let interval = self.schedule_step();
            let _ = tokio::time::timeout(interval, self.schedule_wake.notified()).await;
        }
    }

    /// Polls the engine's status until the future is dropped.
    pub async fn poll_status(self: Arc<Self>) {
        loop {
            self.read_status().await;
            let _ = tokio::time::timeout(STATUS_INTERVAL, self.status_requested.notified()).await;
        }
    }

    /// Reason why this replica refuses a new request now, if any.
    #[must_use]
    pub fn refusal_reason(&self, base_model: &str) -> Option<message::RefusalReason> {
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

    /// Time after which a refused request could be retried and meet its deadline.
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

    /// Adds an admitted request to the queue.
    pub fn enqueue(&self, task: CompletionTask) {
        let now = self.context.clock.now();
        let adapter = &task.generation.adapter;
        let id = adapter.id();
        let mut state = self.state.lock();
        state.add_adapter_name(adapter);
        state.slots.request(id, task.deadline, now);
        state.queue.push(queueing::QueuedRequest {
            request: task.generation.request,
            adapter: Some(id),
            priority: task.generation.priority,
            operator: task.operator.clone(),
            weight: task.weight,
            deadline: task.deadline,
        });
        let is_load_needed = state.slots.resident().binary_search(&id).is_err();
        let request = task.generation.request;
        let position = state
            .waiting_position(request)
            .unwrap_or_else(|position| position);
        let waiting = WaitingTask {
            task,
            arrived: now,
            is_load_needed,
        };
        state.waiting_tasks.insert(position, waiting);
        drop(state);
        self.schedule_wake.notify_one();
    }

    /// Removes a cancelled request from the queue.
    pub fn remove_waiting(&self, request: ids::RequestId) {
        let mut state = self.state.lock();
        state.queue.remove(request);
        let task = state.take_waiting(request);
        drop(state);
        if let Some(waiting) = task {
            self.end_request(
                &waiting.task.stream,
                failures::cancelled_part(message::RunOutcome::NotRun),
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
        self.context
            .metrics
            .record_replica(&metrics::ReplicaSample {
                replica: self.replica,
                queued_requests: state.queue.waiting(),
                wait_millis,
                batch_requests: state.running.len(),
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

    /// Number of adapters that wait for a load.
    #[must_use]
    pub fn waiting_loads(&self) -> usize {
        self.state.lock().slots.waiting_loads()
    }

    /// Runs one scheduling step; returns the time until the next one.
    fn schedule_step(self: &Arc<Self>) -> time::Duration {
        let now = self.context.clock.now();
        let mut state = self.state.lock();
        let expired = state.queue.expire(now);
        let expired: Vec<_> = expired
            .iter()
            .filter_map(|queued| state.take_waiting(queued.request))
            .collect();
        state.preempt_long_requests(usize::from(self.settings.batch_limit));
        self.start_requests(&mut state, now);
        self.start_loads(&mut state, now);
        let is_waiting = state.queue.waiting() > 0;
        drop(state);
        for waiting in expired {
            let part = failures::failed_part(
                message::RunOutcome::NotRun,
                message::FailureReason::DeadlineUnreachable,
                "the deadline passed before the request started",
            );
            self.end_request(&waiting.task.stream, part);
        }
        if is_waiting {
            WAITING_INTERVAL
        } else {
            IDLE_INTERVAL
        }
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
                Some(queueing::BatchAction::Start(queued)) => queued,
                Some(queueing::BatchAction::Resume(request)) => {
                    state.resume_request(request);
                    continue;
                }
                None => return,
            };
            let Some(waiting) = state.take_waiting(queued.request) else {
                continue;
            };
            let id = waiting.task.generation.adapter.id();
            let Some(pin) = state.slots.pin(id, now) else {
                let part = failures::failed_part(
                    message::RunOutcome::NotRun,
                    message::FailureReason::AdapterUnavailable,
                    "the adapter is no longer loaded in the engine",
                );
                self.end_request(&waiting.task.stream, part);
                continue;
            };
            if !self.context.requests.start_request(queued.request) {
                state.slots.unpin(pin, now);
                let part = failures::cancelled_part(message::RunOutcome::NotRun);
                self.end_request(&waiting.task.stream, part);
                continue;
            }
            state.running.push(queueing::RunningRequest {
                request: queued.request,
                adapter: Some(id),
                generated: 0,
            });
            if waiting.is_load_needed {
                self.context
                    .metrics
                    .record_load_stall(now.since(waiting.arrived));
            }
            let (sender, receiver) = watch::channel(false);
            state.preemption_signals.push(PreemptionSignal {
                request: queued.request,
                sender,
            });
            tokio::spawn(Arc::clone(self).run_request(waiting.task, pin, receiver));
        }
    }

    async fn run_request(
        self: Arc<Self>,
        task: CompletionTask,
        pin: adapter_cache::AdapterPin,
        preemption: watch::Receiver<bool>,
    ) {
        let started = self.context.clock.now();
        let request = task.generation.request;
        let on_tokens = |tokens| {
            self.state.lock().add_generated_tokens(request, tokens);
            self.context.requests.notify_readers(&task.stream);
        };
        let (generation, stream) = (&task.generation, &task.stream);
        let last = generation::run(&*self.engine, generation, stream, preemption, on_tokens).await;
        if matches!(last, message::StreamPart::Failed(_)) {
            self.status_requested.notify_one();
        }
        let now = self.context.clock.now();
        let mut state = self.state.lock();
        state.remove_ended(request);
        state.queue.observe(now.since(started));
        state.slots.unpin(pin, now);
        drop(state);
        self.end_request(&task.stream, last);
        self.schedule_wake.notify_one();
    }

    pub(crate) fn end_request(
        &self,
        stream: &Arc<streams::OutputStream>,
        last: message::StreamPart,
    ) {
        self.context.metrics.record_stream_end(&last);
        self.context.requests.end_request(stream, last);
    }

    /// Fails the waiting requests whose adapter `is_selected` accepts, with outcome `NotRun`.
    pub(crate) fn fail_waiting_requests(
        &self,
        is_selected: impl Fn(ids::AdapterId) -> bool,
        reason: message::FailureReason,
        message: &str,
    ) {
        let mut state = self.state.lock();
        let removed: Vec<_> = state
            .waiting_tasks
            .extract_if(.., |waiting| {
                is_selected(waiting.task.generation.adapter.id())
            })
            .collect();
        for waiting in &removed {
            state.queue.remove(waiting.task.generation.request);
            let adapter = waiting.task.generation.adapter.id();
            state.slots.set_deadline(adapter, None);
        }
        drop(state);
        for waiting in removed {
            let part = failures::failed_part(message::RunOutcome::NotRun, reason, message);
            self.end_request(&waiting.task.stream, part);
        }
    }
}

//! Queue, slots and batch of one replica.

use decisions::{
    adapter_cache, eviction, ids,
    queueing::{self, QueuePolicy},
    units,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::replica::CompletionTask;

/// State of one replica, protected by one lock.
pub(crate) struct ReplicaState {
    pub(crate) queue: queueing::ReplicaQueue,
    pub(crate) slots: adapter_cache::AdapterCache,
    /// Sorted by request.
    pub(crate) waiting_tasks: Vec<WaitingTask>,
    pub(crate) running: Vec<queueing::RunningRequest>,
    /// Long requests that the engine has paused in favour of short ones.
    pub(crate) preempted: Vec<queueing::RunningRequest>,
    /// Signals to the tasks of the running and the preempted requests.
    pub(crate) preemption_signals: Vec<PreemptionSignal>,
    /// Names of waiting, loading and resident adapters, sorted by id.
    adapter_names: Vec<AdapterName>,
    pub(crate) rng: ChaCha8Rng,
    /// Fencing number of this agent; `None` until the engine has answered a status poll.
    pub(crate) fencing: Option<u64>,
    pub(crate) epoch: u64,
    pub(crate) is_ready: bool,
    pub(crate) is_superseded: bool,
}

/// Request in the queue.
pub(crate) struct WaitingTask {
    pub(crate) task: CompletionTask,
    pub(crate) arrived: units::Timestamp,
    /// Whether the adapter was not resident when the request arrived.
    pub(crate) is_load_needed: bool,
}

/// Signal that tells the task of a request whether it is preempted.
pub(crate) struct PreemptionSignal {
    pub(crate) request: ids::RequestId,
    pub(crate) sender: watch::Sender<bool>,
}

struct AdapterName {
    id: ids::AdapterId,
    adapter: ids::AdapterRef,
}

impl ReplicaState {
    /// State of an engine with `capacity` adapter slots that has not been reached yet.
    pub(crate) fn new(capacity: usize) -> Self {
        let policy = Box::new(eviction::DemandScarcity);
        Self {
            queue: queueing::ReplicaQueue::default(),
            slots: adapter_cache::AdapterCache::new(capacity, policy),
            waiting_tasks: Vec::new(),
            running: Vec::new(),
            preempted: Vec::new(),
            preemption_signals: Vec::new(),
            adapter_names: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            fencing: None,
            epoch: 0,
            is_ready: false,
            is_superseded: false,
        }
    }

    /// Name of a waiting, loading or resident adapter.
    pub(crate) fn adapter_name(&self, id: ids::AdapterId) -> Option<ids::AdapterRef> {
        let position = self
            .adapter_names
            .binary_search_by_key(&id, |name| name.id)
            .ok()?;
        Some(self.adapter_names[position].adapter.clone())
    }

    pub(crate) fn add_adapter_name(&mut self, adapter: &ids::AdapterRef) {
        let id = adapter.id();
        let Err(position) = self.adapter_names.binary_search_by_key(&id, |name| name.id) else {
            return;
        };
        let adapter = adapter.clone();
        self.adapter_names
            .insert(position, AdapterName { id, adapter });
    }

    /// Removes the names of adapters that have no slot and no waiting request.
    pub(crate) fn remove_unused_names(&mut self) {
        let mut used: Vec<_> = self
            .waiting_tasks
            .iter()
            .map(|waiting| waiting.task.generation.adapter.id())
            .chain(self.slots.resident())
            .chain(self.slots.loading())
            .collect();
        used.sort_unstable();
        self.adapter_names
            .retain(|name| used.binary_search(&name.id).is_ok());
    }

    pub(crate) fn take_waiting(&mut self, request: ids::RequestId) -> Option<WaitingTask> {
        let position = self.waiting_position(request).ok()?;
        let taken = self.waiting_tasks.remove(position);
        let adapter = taken.task.generation.adapter.id();
        let waiting = self.waiting_tasks.iter();
        let deadline = waiting
            .filter(|waiting| waiting.task.generation.adapter.id() == adapter)
            .map(|waiting| waiting.task.deadline)
            .min();
        self.slots.set_deadline(adapter, deadline);
        Some(taken)
    }

    pub(crate) fn waiting_position(&self, request: ids::RequestId) -> Result<usize, usize> {
        self.waiting_tasks
            .binary_search_by_key(&request, |waiting| waiting.task.generation.request)
    }

    /// Preempts the long requests that keep short ones waiting.
    pub(crate) fn preempt_long_requests(&mut self, batch_limit: usize) {
        let batch = queueing::BatchView {
            running: &self.running,
            limit: batch_limit,
            resident: &self.slots.resident(),
        };
        for request in self.queue.preempt(&batch) {
            let running = &mut self.running;
            self.preempted
                .extend(running.extract_if(.., |running| running.request == request));
            self.signal_preemption(request, true);
        }
    }

    /// Resumes a preempted request.
    pub(crate) fn resume_request(&mut self, request: ids::RequestId) {
        let preempted = &mut self.preempted;
        self.running
            .extend(preempted.extract_if(.., |preempted| preempted.request == request));
        self.signal_preemption(request, false);
    }

    /// Removes a request that has ended.
    pub(crate) fn remove_ended(&mut self, request: ids::RequestId) {
        self.running.retain(|running| running.request != request);
        self.preemption_signals
            .retain(|signal| signal.request != request);
        let preempted_count = self.preempted.len();
        self.preempted
            .retain(|preempted| preempted.request != request);
        if self.preempted.len() < preempted_count {
            self.queue.remove(request);
        }
    }

    fn signal_preemption(&self, request: ids::RequestId, is_preempted: bool) {
        let signals = self.preemption_signals.iter();
        for signal in signals.filter(|signal| signal.request == request) {
            signal.sender.send_replace(is_preempted);
        }
    }

    pub(crate) fn add_generated_tokens(&mut self, request: ids::RequestId, tokens: u32) {
        let running = self.running.iter_mut();
        for running in running.filter(|running| running.request == request) {
            running.generated = running.generated.saturating_add(tokens);
        }
    }
}

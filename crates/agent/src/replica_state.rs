//! Queue, slots and batch of one replica.

use decisions::{
    eviction, ids,
    queueing::{self, QueuePolicy},
    slots, units,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::replica::CompletionTask;

/// State of one replica, behind one lock.
pub(crate) struct ReplicaState {
    pub(crate) queue: queueing::ReplicaQueue,
    pub(crate) slots: slots::AdapterSlots,
    /// Sorted by request.
    pub(crate) waiting_tasks: Vec<WaitingTask>,
    pub(crate) running: Vec<queueing::RunningRequest>,
    /// Long requests that the engine has preempted in favour of short ones.
    pub(crate) preempted: Vec<queueing::RunningRequest>,
    /// Switches of the running and the preempted requests.
    pub(crate) preemption_signals: Vec<PreemptionSignal>,
    /// Names of adapters, sorted by id.
    adapter_names: Vec<AdapterName>,
    pub(crate) rng: ChaCha8Rng,
    /// Fencing number of this agent, once the engine was reached.
    pub(crate) fencing: Option<u64>,
    pub(crate) epoch: u64,
    pub(crate) is_ready: bool,
    pub(crate) is_superseded: bool,
}

/// Request in the queue.
pub(crate) struct WaitingTask {
    pub(crate) task: CompletionTask,
    pub(crate) arrived: units::Timestamp,
    /// Whether the adapter was not resident on arrival.
    pub(crate) is_load_needed: bool,
}

/// Tells the task of a request whether it is preempted.
pub(crate) struct PreemptionSignal {
    pub(crate) request: ids::RequestId,
    pub(crate) is_preempted: watch::Sender<bool>,
}

struct AdapterName {
    id: ids::AdapterId,
    adapter: ids::AdapterRef,
}

impl ReplicaState {
    /// State of an engine that holds `capacity` adapters and was not reached yet.
    pub(crate) fn new(capacity: usize) -> Self {
        let policy = Box::new(eviction::DemandScarcity);
        Self {
            queue: queueing::ReplicaQueue::default(),
            slots: slots::AdapterSlots::new(capacity, policy),
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

    /// Name of an adapter that waits, is loading or is resident.
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

    /// Drops the names of adapters that neither wait nor have a slot.
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

    /// Pauses the long requests that keep short ones waiting.
    pub(crate) fn preempt_long_requests(&mut self, batch_limit: usize) {
        let batch = queueing::BatchView {
            running: &self.running,
            limit: batch_limit,
            resident: &self.slots.resident(),
        };
        for request in self.queue.park(&batch) {
            let running = &mut self.running;
            self.preempted
                .extend(running.extract_if(.., |running| running.request == request));
            self.signal_preemption(request, true);
        }
    }

    /// Continues a preempted request.
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
        let preempted = self.preempted.len();
        self.preempted
            .retain(|preempted| preempted.request != request);
        if self.preempted.len() < preempted {
            self.queue.remove(request);
        }
    }

    fn signal_preemption(&self, request: ids::RequestId, is_preempted: bool) {
        let preemption_signals = self.preemption_signals.iter();
        for signal in preemption_signals.filter(|signal| signal.request == request) {
            signal.is_preempted.send_replace(is_preempted);
        }
    }

    pub(crate) fn add_generated_tokens(&mut self, request: ids::RequestId, tokens: u32) {
        let running = self.running.iter_mut();
        for running in running.filter(|running| running.request == request) {
            running.generated = running.generated.saturating_add(tokens);
        }
    }
}

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
    pub(crate) waiting: Vec<WaitingTask>,
    pub(crate) running: Vec<queueing::RunningRequest>,
    /// Long requests that the engine has paused in favour of short ones.
    pub(crate) parked: Vec<queueing::RunningRequest>,
    /// Switches of the running and the parked requests.
    pub(crate) switches: Vec<ParkSwitch>,
    /// Names of adapters, sorted by id.
    names: Vec<AdapterName>,
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
    pub(crate) is_stalled: bool,
}

/// Tells the task of a request whether it is parked.
pub(crate) struct ParkSwitch {
    pub(crate) request: ids::RequestId,
    pub(crate) parked: watch::Sender<bool>,
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
            waiting: Vec::new(),
            running: Vec::new(),
            parked: Vec::new(),
            switches: Vec::new(),
            names: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            fencing: None,
            epoch: 0,
            is_ready: false,
            is_superseded: false,
        }
    }

    /// Name of an adapter that waits, is loading or is resident.
    pub(crate) fn name(&self, id: ids::AdapterId) -> Option<ids::AdapterRef> {
        let position = self.names.binary_search_by_key(&id, |name| name.id).ok()?;
        Some(self.names[position].adapter.clone())
    }

    pub(crate) fn remember(&mut self, adapter: &ids::AdapterRef) {
        let id = adapter.id();
        let Err(position) = self.names.binary_search_by_key(&id, |name| name.id) else {
            return;
        };
        let adapter = adapter.clone();
        self.names.insert(position, AdapterName { id, adapter });
    }

    /// Drops the names of adapters that neither wait nor have a slot.
    pub(crate) fn trim_names(&mut self) {
        let mut used: Vec<_> = self
            .waiting
            .iter()
            .map(|waiting| waiting.task.generation.adapter.id())
            .chain(self.slots.resident())
            .chain(self.slots.loading())
            .collect();
        used.sort_unstable();
        self.names
            .retain(|name| used.binary_search(&name.id).is_ok());
    }

    pub(crate) fn take(&mut self, request: ids::RequestId) -> Option<WaitingTask> {
        let position = self.position(request).ok()?;
        let taken = self.waiting.remove(position);
        let adapter = taken.task.generation.adapter.id();
        let waiting = self.waiting.iter();
        let deadline = waiting
            .filter(|waiting| waiting.task.generation.adapter.id() == adapter)
            .map(|waiting| waiting.task.deadline)
            .min();
        self.slots.set_deadline(adapter, deadline);
        Some(taken)
    }

    pub(crate) fn position(&self, request: ids::RequestId) -> Result<usize, usize> {
        self.waiting
            .binary_search_by_key(&request, |waiting| waiting.task.generation.request)
    }

    /// Pauses the long requests that keep short ones waiting.
    pub(crate) fn park(&mut self, batch_limit: usize) {
        let batch = queueing::BatchView {
            running: &self.running,
            limit: batch_limit,
            resident: &self.slots.resident(),
        };
        for request in self.queue.park(&batch) {
            let running = &mut self.running;
            self.parked
                .extend(running.extract_if(.., |running| running.request == request));
            self.switch(request, true);
        }
    }

    /// Continues a parked request.
    pub(crate) fn unpark(&mut self, request: ids::RequestId) {
        let parked = &mut self.parked;
        self.running
            .extend(parked.extract_if(.., |parked| parked.request == request));
        self.switch(request, false);
    }

    /// Removes a request that has ended.
    pub(crate) fn end(&mut self, request: ids::RequestId) {
        self.running.retain(|running| running.request != request);
        self.switches.retain(|switch| switch.request != request);
        let parked = self.parked.len();
        self.parked.retain(|parked| parked.request != request);
        if self.parked.len() < parked {
            self.queue.remove(request);
        }
    }

    fn switch(&self, request: ids::RequestId, is_parked: bool) {
        let switches = self.switches.iter();
        for switch in switches.filter(|switch| switch.request == request) {
            switch.parked.send_replace(is_parked);
        }
    }

    pub(crate) fn add_tokens(&mut self, request: ids::RequestId, tokens: u32) {
        let running = self.running.iter_mut();
        for running in running.filter(|running| running.request == request) {
            running.generated = running.generated.saturating_add(tokens);
        }
    }
}

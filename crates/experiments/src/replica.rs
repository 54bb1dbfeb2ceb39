//! Agent side of one replica: the queue, the adapter slots and the fake engine.

use std::time;

use decisions::{adapter_cache, ids, queueing, routing, units};

use crate::{fakes, workload};

/// Request that waits at the agent.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub job: usize,
    pub adapter: ids::AdapterId,
    pub deadline: units::Timestamp,
    pub priority: units::Priority,
    /// Start of the wait for the adapter's load; `None` when it was resident.
    pub stalled: Option<units::Timestamp>,
}

/// Wait of one request for its adapter.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    pub job: usize,
    pub time: time::Duration,
}

/// Replica with its part of the agent.
pub struct Replica {
    pub endpoint: ids::EndpointId,
    pub agent: usize,
    pub queue: Box<dyn queueing::QueuePolicy>,
    pub slots: adapter_cache::AdapterCache,
    pub engine: fakes::Engine,
    pub parked: Vec<fakes::Sequence>,
    pub waiting: Vec<Waiting>,
    /// Loads in flight with their completion times.
    pub loads: Vec<PendingLoad>,
    /// Stalls that ended and were not yet recorded.
    pub stalls: Vec<Stall>,
    /// Reports arrive this much later than the network explains.
    pub report_lag: time::Duration,
}

/// Load in flight.
#[derive(Clone, Copy, Debug)]
pub struct PendingLoad {
    pub adapter: ids::AdapterId,
    pub done: units::Timestamp,
}

/// Identifier of a job's request.
#[must_use]
pub fn request_id(entry: usize, job: usize) -> ids::RequestId {
    ids::RequestId {
        entry: ids::Incarnation(u64::try_from(entry).unwrap_or(u64::MAX)),
        sequence: u64::try_from(job).unwrap_or(u64::MAX),
    }
}

fn job_of(request: ids::RequestId) -> usize {
    usize::try_from(request.sequence).unwrap_or(usize::MAX)
}

impl Replica {
    /// Takes in a request.
    pub fn arrive(&mut self, number: usize, job: &workload::Job, now: units::Timestamp) {
        self.slots.request(job.adapter, job.deadline, now);
        let is_resident = self.slots.resident().contains(&job.adapter);
        self.waiting.push(Waiting {
            job: number,
            adapter: job.adapter,
            deadline: job.deadline,
            priority: job.priority,
            stalled: (!is_resident).then_some(now),
        });
        self.queue.push(queueing::QueuedRequest {
            request: request_id(job.entry, number),
            adapter: Some(job.adapter),
            priority: job.priority,
            operator: String::new(),
            weight: 1,
            deadline: job.deadline,
        });
    }

    /// Removes requests whose deadline has passed and returns their jobs.
    pub fn expire(&mut self, now: units::Timestamp) -> Vec<usize> {
        let expired = self.queue.expire(now);
        let jobs: Vec<_> = expired.iter().map(|r| job_of(r.request)).collect();
        for job in &jobs {
            self.stop_waiting(*job, now);
        }
        for request in expired {
            if let Some(adapter) = request.adapter {
                self.update_deadline(adapter);
            }
        }
        jobs
    }

    /// Moves requests between the queue and the engine.
    pub fn fill(&mut self, jobs: &[workload::Job], now: units::Timestamp) {
        let resident = self.slots.resident();
        let running = self.running();
        let parked = self.queue.preempt(&batch(&running, &resident));
        for request in parked {
            let job = job_of(request);
            let is_parked = |sequence: &mut fakes::Sequence| sequence.job == job;
            let sequences = &mut self.engine.sequences;
            self.parked.extend(sequences.extract_if(.., is_parked));
        }
        loop {
            let running = self.running();
            match self.queue.next(&batch(&running, &resident), now) {
                None => return,
                Some(queueing::BatchAction::Resume(request)) => self.resume(job_of(request)),
                Some(queueing::BatchAction::Start(request)) => {
                    let job = job_of(request.request);
                    self.start(job, &jobs[job], now);
                }
            }
        }
    }

    fn running(&self) -> Vec<queueing::RunningRequest> {
        let running = self.engine.sequences.iter();
        let running = running.map(|sequence| queueing::RunningRequest {
            request: request_id(0, sequence.job),
            adapter: Some(sequence.adapter),
            generated: sequence.generated,
        });
        running.collect()
    }

    fn resume(&mut self, job: usize) {
        let is_resumed = |sequence: &mut fakes::Sequence| sequence.job == job;
        let resumed = self.parked.extract_if(.., is_resumed);
        self.engine.sequences.extend(resumed);
    }

    fn start(&mut self, number: usize, job: &workload::Job, now: units::Timestamp) {
        self.stop_waiting(number, now);
        let pin = self.slots.pin(job.adapter, now);
        self.engine.sequences.push(fakes::Sequence {
            job: number,
            adapter: job.adapter,
            pin: pin.expect("the queue starts only requests whose adapter is resident"),
            started: now,
            generated: 0,
            length: job.length,
        });
    }

    fn stop_waiting(&mut self, job: usize, now: units::Timestamp) {
        let found = self.waiting.iter().position(|waiting| waiting.job == job);
        let Some(position) = found else {
            return;
        };
        let waiting = self.waiting.remove(position);
        if let Some(since) = waiting.stalled {
            let time = now.since(since);
            self.stalls.push(Stall { job, time });
        }
    }

    /// Releases a finished request.
    pub fn finish(&mut self, sequence: fakes::Sequence, now: units::Timestamp) {
        self.queue.observe(now.since(sequence.started));
        self.slots.unpin(sequence.pin, now);
    }

    /// Records a load that starts.
    pub fn load_started(
        &mut self,
        plan: &adapter_cache::LoadPlan,
        done: units::Timestamp,
        now: units::Timestamp,
    ) {
        let adapter = plan.adapter;
        self.loads.push(PendingLoad { adapter, done });
        let Some(evicted) = plan.evict else {
            return;
        };
        // Requests that still wait for the evicted adapter need it to be loaded again.
        for waiting in &mut self.waiting {
            if waiting.adapter == evicted {
                waiting.stalled.get_or_insert(now);
            }
        }
        self.update_deadline(evicted);
    }

    /// Records a load that completed.
    pub fn load_finished(&mut self, plan: &adapter_cache::LoadPlan, now: units::Timestamp) {
        self.slots.loaded(plan, now);
        self.loads.retain(|load| load.adapter != plan.adapter);
        for waiting in &mut self.waiting {
            if waiting.adapter == plan.adapter
                && let Some(since) = waiting.stalled.take()
            {
                let time = now.since(since);
                let job = waiting.job;
                self.stalls.push(Stall { job, time });
            }
        }
    }

    fn update_deadline(&mut self, adapter: ids::AdapterId) {
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|waiting| waiting.adapter == adapter);
        let deadlines = waiting.map(|waiting| waiting.deadline);
        let earliest = deadlines.min();
        self.slots.set_deadline(adapter, earliest);
    }

    /// Earliest deadline that waits for a load which has not started.
    #[must_use]
    pub fn earliest_load(&self) -> Option<units::Timestamp> {
        let resident = self.slots.resident();
        let loading = self.slots.loading();
        let absent = self.waiting.iter().filter(|waiting| {
            !resident.contains(&waiting.adapter) && !loading.contains(&waiting.adapter)
        });
        let deadlines = absent.map(|waiting| waiting.deadline);
        deadlines.min()
    }

    /// Whether a load waits and a slot can be had for it.
    #[must_use]
    pub fn can_load(&self) -> bool {
        let resident = self.slots.resident();
        let held = resident.len() + self.slots.loading().len();
        let has_slot = held < usize::from(fakes::ADAPTER_SLOTS)
            || resident
                .iter()
                .any(|adapter| self.slots.pins(*adapter) == 0);
        has_slot && self.earliest_load().is_some()
    }

    /// Load as the agent reports it.
    #[must_use]
    pub fn view(&self, now: units::Timestamp) -> routing::EndpointReport {
        let resident = self.slots.resident();
        let batched = self.running();
        let running = batched.len() + self.parked.len();
        let batch = batch(&batched, &resident);
        routing::EndpointReport {
            as_of: now,
            base_model: "base".into(),
            ready: true,
            leaving: false,
            adapter_slots: fakes::ADAPTER_SLOTS,
            batch_limit: fakes::BATCH_LIMIT,
            running: u16::try_from(running).unwrap_or(u16::MAX),
            queued: u16::try_from(self.queue.waiting()).unwrap_or(u16::MAX),
            waits: units::Priority::ALL.map(|priority| self.queue.expected_wait(priority, &batch)),
            loaded: resident.clone(),
            loading: self.slots.pending(),
        }
    }
}

fn batch<'a>(
    running: &'a [queueing::RunningRequest],
    resident: &'a [ids::AdapterId],
) -> queueing::BatchView<'a> {
    queueing::BatchView {
        running,
        limit: usize::from(fakes::BATCH_LIMIT),
        resident,
    }
}

//! Adapter slots and prompt backlog of one engine, shared by all entries.
//!
//! Entries request a permit before they send a request to the engine. A permit pins the request's
//! adapter in its slot until the engine no longer reports the request or the entry releases the
//! permit. Loads are issued one by one for the adapter of the most urgent waiting request, and the
//! least recently used adapter without a permit is evicted. A request for which there is no free
//! slot waits as long as one is expected in time. One broker decides because entries compete for
//! the few slots of an engine, with stale views of each other, for adapters that are mostly
//! requested once.
//!
//! The engine gets a prompt only when it has started almost all earlier ones, so that the broker
//! orders the rest: requests that can still start within their objective come first, the others
//! run when the engine is idle. Under a burst beyond the engine's prefill throughput, a FIFO queue
//! would make every request late. A request that could start but not end in time is refused,
//! because its prefill would delay others to no benefit.

mod estimates;

use std::time;

use crate::{
    active_entries, adapter_slots, crash_log, engine_latency, engine_status, model_load,
    permit_table, permits, units,
};

/// Retry-after of refusals while the engine has no model and none is expected.
const MODEL_RETRY_AFTER: time::Duration = time::Duration::from_millis(600);
/// Time to load an adapter once a slot is free.
const LOAD_TIME: time::Duration = time::Duration::from_millis(300);

/// Capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrokerLimits {
    pub adapter_slots: usize,
    /// Maximum of concurrent loads.
    pub parallel_loads: usize,
    /// Maximum of concurrent requests.
    pub batch_slots: usize,
    /// Maximum of requests at the engine that have not emitted an event.
    pub unstarted: u32,
}

/// Refusal while an engine has no model and none is expected.
const NO_MODEL: permits::PermitOutcome =
    permits::PermitOutcome::refused(permits::PermitRefusal::Engine, MODEL_RETRY_AFTER);

/// Refusal of the requests of an entry that no longer calls.
const ENTRY_LOST: permits::PermitOutcome =
    permits::PermitOutcome::refused(permits::PermitRefusal::Late, adapter_slots::LOAD_BACKOFF);

/// Slots and permits of one engine.
#[derive(Debug)]
pub struct SlotBroker {
    limits: BrokerLimits,
    incarnation: u64,
    /// The engine has reported since this broker started.
    has_reported: bool,
    model: model_load::ModelLoad,
    slots: adapter_slots::AdapterSlots,
    waiting: Vec<permits::PermitRequest>,
    permits: permit_table::PermitTable,
    latency: engine_latency::EngineLatency,
    entries: active_entries::ActiveEntries,
    crashes: crash_log::CrashLog,
}

impl SlotBroker {
    /// Broker of an engine that has not reported yet.
    #[must_use]
    pub fn new(limits: BrokerLimits) -> Self {
        Self {
            limits,
            incarnation: 0,
            has_reported: false,
            model: model_load::ModelLoad::default(),
            slots: adapter_slots::AdapterSlots::default(),
            waiting: Vec::new(),
            permits: permit_table::PermitTable::default(),
            latency: engine_latency::EngineLatency::default(),
            entries: active_entries::ActiveEntries::default(),
            crashes: crash_log::CrashLog::default(),
        }
    }

    /// Sets the capacity of the engine.
    pub fn set_limits(&mut self, limits: BrokerLimits) {
        self.limits = limits;
    }

    /// Sets the usual time in which the engine loads its base model.
    pub fn set_model_load_time(&mut self, load_time: Option<time::Duration>) {
        self.model.set_load_time(load_time);
    }

    /// Incarnation of the engine in its newest report; 0 before the first one.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records a call of an entry, which proves that it is alive.
    pub fn entry_seen(&mut self, entry: u64, now: units::Timestamp) {
        self.entries.record_call(entry, now);
    }

    /// Whether an entry has just started, so that it knows nothing of before.
    #[must_use]
    pub fn is_new_entry(&self, entry: u64, now: units::Timestamp) -> bool {
        self.entries.is_new(entry, now)
    }

    /// Records the prompt parts that an entry keeps from engines.
    pub fn record_blocked_parts(&mut self, entry: u64, parts: Vec<u64>) {
        self.entries.record_blocked_parts(entry, parts);
    }

    /// Prompt parts that other entries keep from engines.
    #[must_use]
    pub fn parts_blocked_by_others(&self, entry: u64, now: units::Timestamp) -> Vec<u64> {
        self.entries.parts_blocked_by_others(entry, now)
    }

    /// Requests a permit; `None` when the request has to wait for it.
    pub fn request_permit(
        &mut self,
        request: permits::PermitRequest,
        now: units::Timestamp,
    ) -> Option<permits::PermitOutcome> {
        self.entry_seen(request.id.entry, now);
        if !self.has_reported {
            self.waiting.push(request);
            return None;
        }
        let Some(model_wait) = self.model.wait(now) else {
            return Some(NO_MODEL);
        };
        let ahead = model_wait + self.wait_ahead(&request, now);
        if now + ahead >= self.latest_start(&request) {
            if !model_wait.is_zero() {
                let reason = permits::PermitRefusal::Model;
                return Some(permits::PermitOutcome::refused(reason, ahead));
            }
            return Some(permits::PermitOutcome::refused(
                permits::PermitRefusal::Backlog,
                ahead / 2,
            ));
        }
        if self.is_startable(&request) {
            return self.grant_or_wait(request, now);
        }
        if let Some(required) = &request.adapter {
            let wait = self.required_slot_wait(required);
            let is_in_time = |wait| now + wait + LOAD_TIME + ahead <= request.objective;
            if !wait.is_zero() && !is_in_time(wait) {
                let reason = if is_in_time(time::Duration::ZERO) {
                    permits::PermitRefusal::Slots
                } else {
                    permits::PermitRefusal::Backlog
                };
                return Some(permits::PermitOutcome::refused(reason, wait.max(ahead)));
            }
        }
        self.waiting.push(request);
        None
    }

    /// Releases a permit, or cancels the wait for one.
    pub fn release(&mut self, id: permits::PermitId, now: units::Timestamp) {
        self.waiting.retain(|request| request.id != id);
        if let Some(permit) = self.permits.remove(id, now) {
            self.unpin_adapter(&permit, now);
            if permit.is_starting(now) {
                self.crashes.record_withdrawal(permit.suspects, now);
            }
        }
    }

    /// Records that nothing listens at the engine's address any more; returns the crash when it is
    /// first seen.
    pub fn record_crash(&mut self, now: units::Timestamp) -> Option<&crash_log::EngineCrash> {
        let prompts = self.permits.starting_prompts(now);
        self.crashes.record_crash(self.incarnation, prompts, now)
    }

    /// Clears suspects of the engine's crashes, because requests with their parts have started at
    /// other engines since.
    pub fn clear_suspects(&mut self, incarnation: u64, parts: &[u64]) {
        self.crashes.clear(incarnation, parts);
    }

    /// Crashes of the engine, in order of time.
    #[must_use]
    pub fn crashes(&self) -> &[crash_log::EngineCrash] {
        self.crashes.crashes()
    }

    /// Applies the engine's report and returns the outcomes that it leads to.
    pub fn observe(
        &mut self,
        report: &engine_status::EngineStatus,
        now: units::Timestamp,
    ) -> Vec<(permits::PermitId, permits::PermitOutcome)> {
        if report.incarnation != self.incarnation {
            self.restart(report.incarnation);
        }
        self.crashes.retract(report.incarnation);
        self.has_reported = true;
        self.model.observe(report, now);
        let progress = self.permits.observe(report, now);
        self.latency.observe(report, progress.prefilled_tokens, now);
        for permit in &progress.ended {
            self.unpin_adapter(permit, now);
        }
        let permits = &self.permits;
        self.slots
            .observe(report, |name| permits.holders(name), now);
        self.schedule(now)
    }

    /// Grants or refuses waiting requests whose adapter is loaded or that can no longer wait.
    pub fn schedule(
        &mut self,
        now: units::Timestamp,
    ) -> Vec<(permits::PermitId, permits::PermitOutcome)> {
        let mut outcomes = self.expire(now);
        // Shares of organisations are counted over all that wait.
        let keys: Vec<_> = self
            .waiting
            .iter()
            .map(|request| self.sort_key(request, now))
            .collect();
        let mut waiting: Vec<_> = keys
            .into_iter()
            .zip(std::mem::take(&mut self.waiting))
            .collect();
        waiting.sort_by_key(|(key, _)| *key);
        for (_, request) in waiting {
            if self.has_reported && self.model.wait(now).is_none() {
                outcomes.push((request.id, NO_MODEL));
            } else if self.is_startable(&request) && self.can_start_prompt() {
                outcomes.push((request.id, self.grant(&request, now)));
            } else if let Some(refusal) = self.expiry_refusal(&request, now) {
                outcomes.push((request.id, refusal));
            } else {
                self.waiting.push(request);
            }
        }
        outcomes
    }

    /// Refuses all waiting requests, because the engine cannot be reached.
    pub fn engine_lost(&mut self) -> Vec<(permits::PermitId, permits::PermitOutcome)> {
        let refused = permits::PermitOutcome::refused(
            permits::PermitRefusal::Engine,
            adapter_slots::LOAD_BACKOFF,
        );
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .map(|request| (request.id, refused))
            .collect()
    }

    /// Next command to the engine, if one is due. An unload frees the slot for a later load.
    pub fn next_command(&mut self, now: units::Timestamp) -> Option<engine_status::EngineCommand> {
        if !self.model.is_loaded() {
            let is_due = self.model.take_due_command(now);
            return is_due.then_some(engine_status::EngineCommand::LoadModel);
        }
        if self.slots.loads() >= self.limits.parallel_loads {
            return None;
        }
        let required = self.next_required_load(now)?;
        if self.slots.taken() >= self.limits.adapter_slots {
            let name = self
                .slots
                .eviction_candidate(&required, |name| self.is_required(name))?;
            return Some(engine_status::EngineCommand::Unload { name });
        }
        self.slots.load_issued(&required.name, now);
        Some(engine_status::EngineCommand::Load {
            name: required.name,
            version: required.version,
        })
    }

    /// Whether the engine holds the base model or is expected to hold it soon.
    #[must_use]
    pub fn expects_model(&self, now: units::Timestamp) -> bool {
        self.model.wait(now).is_some()
    }

    /// Records that the engine refused a command, or that its response was lost.
    pub fn command_failed(
        &mut self,
        command: &engine_status::EngineCommand,
        now: units::Timestamp,
    ) {
        match command {
            engine_status::EngineCommand::LoadModel => self.model.command_failed(now),
            engine_status::EngineCommand::Load { name, .. } => self.slots.load_failed(name, now),
            engine_status::EngineCommand::Unload { .. } => {}
        }
    }

    /// Records that the engine has unloaded an adapter.
    pub fn unloaded(&mut self, name: &str) {
        self.slots.unloaded(name);
    }

    /// Adapters in slots, sorted by name.
    pub fn loaded(&self) -> impl Iterator<Item = &engine_status::EngineAdapter> {
        self.slots.loaded()
    }

    /// Names of adapters that are loading or that waiting requests need.
    #[must_use]
    pub fn loading(&self) -> Vec<String> {
        let requirements = self
            .waiting
            .iter()
            .filter_map(|request| request.adapter.as_ref());
        let required_names = requirements
            .map(|required| required.name.as_str())
            .filter(|name| !self.slots.is_present(name));
        let mut names: Vec<String> = self
            .slots
            .loading()
            .chain(required_names)
            .map(str::to_owned)
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Names of adapters that were unloaded recently.
    pub fn recent(&self) -> impl Iterator<Item = &str> {
        self.slots.recent()
    }

    /// Number of active permits.
    #[must_use]
    pub fn running(&self) -> usize {
        self.permits.len()
    }

    /// Number of entries that called recently.
    #[must_use]
    pub fn entries(&self, now: units::Timestamp) -> usize {
        self.entries.active_count(now)
    }

    /// Whether a load or a request is in progress or waiting.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let is_loading = !self.model.is_loaded() || self.slots.loads() > 0;
        is_loading || !self.waiting.is_empty() || !self.permits.is_empty()
    }

    /// Grants a permit if the engine can start a prompt and no startable request waits.
    fn grant_or_wait(
        &mut self,
        request: permits::PermitRequest,
        now: units::Timestamp,
    ) -> Option<permits::PermitOutcome> {
        let is_first = !self.waiting.iter().any(|other| self.is_startable(other));
        if is_first && self.can_start_prompt() {
            return Some(self.grant(&request, now));
        }
        self.waiting.push(request);
        None
    }

    /// Whether the engine can start another prompt.
    fn can_start_prompt(&self) -> bool {
        let is_prefilling = self.permits.unstarted() >= self.limits.unstarted;
        !is_prefilling && self.permits.len() < self.limits.batch_slots
    }

    /// Whether the adapter of a request is loaded.
    fn is_startable(&self, request: &permits::PermitRequest) -> bool {
        let required = request.adapter.as_ref();
        self.model.is_loaded() && required.is_none_or(|required| self.slots.is_usable(required))
    }

    /// Refusal of a request that can no longer wait.
    fn expiry_refusal(
        &self,
        request: &permits::PermitRequest,
        now: units::Timestamp,
    ) -> Option<permits::PermitOutcome> {
        let is_over = now >= self.latest_start(request);
        let is_startable = self.is_startable(request);
        let required = request.adapter.as_ref();
        let has_no_slot = required.is_some_and(|required| !self.slots.is_present(&required.name));
        let (reason, retry_after) = if is_over && is_startable {
            (permits::PermitRefusal::Backlog, self.backlog(now))
        } else if is_over {
            (permits::PermitRefusal::Late, adapter_slots::LOAD_BACKOFF)
        } else if has_no_slot && now >= request.objective && !self.model.is_catching_up(now) {
            (permits::PermitRefusal::Slots, adapter_slots::LOAD_BACKOFF)
        } else {
            return None;
        };
        Some(permits::PermitOutcome::refused(reason, retry_after))
    }

    fn grant(
        &mut self,
        request: &permits::PermitRequest,
        now: units::Timestamp,
    ) -> permits::PermitOutcome {
        let required = request.adapter.as_ref();
        let version = required.and_then(|required| self.slots.pin(&required.name, now));
        self.permits.insert(request, now);
        permits::PermitOutcome::Granted { version }
    }

    fn unpin_adapter(&mut self, permit: &permit_table::ActivePermit, now: units::Timestamp) {
        if let Some(name) = &permit.adapter {
            self.slots.unpin(name, now);
        }
    }

    /// Adapter of the most urgent waiting request whose adapter may be loaded now.
    fn next_required_load(&self, now: units::Timestamp) -> Option<permits::AdapterRequirement> {
        let due = self.waiting.iter().filter_map(|request| {
            let required = request.adapter.as_ref()?;
            let needs_load = self.slots.needs_load(required, now);
            needs_load.then_some((self.sort_key(request, now), required))
        });
        let first = due.min_by_key(|(key, _)| *key);
        first.map(|(_, required)| required.clone())
    }

    fn is_required(&self, name: &str) -> bool {
        self.waiting
            .iter()
            .filter_map(|request| request.adapter.as_ref())
            .any(|required| required.name == name)
    }

    /// Releases the permits of entries that no longer call and refuses their waiting requests.
    fn expire(
        &mut self,
        now: units::Timestamp,
    ) -> Vec<(permits::PermitId, permits::PermitOutcome)> {
        self.entries.expire(now);
        let entries = &self.entries;
        let is_lost = |id: &permits::PermitId| !entries.contains(id.entry);
        let lost: Vec<_> = self.permits.ids().filter(is_lost).collect();
        let waiting = self.waiting.iter().map(|request| request.id);
        let refused: Vec<_> = waiting.filter(is_lost).map(|id| (id, ENTRY_LOST)).collect();
        for id in lost {
            self.release(id, now);
        }
        self.waiting
            .retain(|request| !refused.iter().any(|(id, _)| *id == request.id));
        refused
    }

    fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.model.restart();
        self.slots.clear();
        self.permits = permit_table::PermitTable::default();
        self.latency = engine_latency::EngineLatency::default();
    }
}

//! Expected waits at one engine, and the order of waiting requests that follows from them.

use std::time;

use super::SlotBroker;
use crate::{engine_speed, permits, units};

/// Order of a waiting request; the least starts first. Organisations of one priority take turns by what
/// each has at the engine, so that one which sends many requests does not push out the others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    /// It can no longer start within its objective.
    is_late: bool,
    priority: u8,
    /// Requests of the same organisation at the engine or ahead of this one.
    organisation_share: usize,
    objective: units::Timestamp,
}

impl SlotBroker {
    /// Time until the engine would start a new prompt, behind the requests that can be on time.
    #[must_use]
    pub fn backlog(&self, now: units::Timestamp) -> time::Duration {
        let on_time = self
            .waiting
            .iter()
            .filter(|request| !self.is_late(request, now));
        let model_wait = self.model.wait(now).unwrap_or_default();
        model_wait + self.prefill_time_behind(on_time)
    }

    /// Speed of the engine, apart from its load.
    #[must_use]
    pub fn token_times(&self, now: units::Timestamp) -> engine_speed::TokenTimes {
        self.latency.token_times(now)
    }

    /// Slots that are free or whose adapter is unpinned, less those that waiting requests need.
    #[must_use]
    pub fn available_slots(&self) -> usize {
        self.free_slots().saturating_sub(self.missing_adapters())
    }

    /// Expected time until a slot is available for another adapter; zero if one is available now.
    #[must_use]
    pub fn slot_wait(&self) -> time::Duration {
        let slots_needed = self.missing_adapters() + 1;
        let missing = slots_needed.saturating_sub(self.free_slots());
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.limits.adapter_slots.max(1)).unwrap_or(u32::MAX);
        (self.permits.mean_hold_time() / slots).saturating_mul(missing)
    }

    /// Order of a waiting request.
    pub(super) fn sort_key(
        &self,
        request: &permits::PermitRequest,
        now: units::Timestamp,
    ) -> QueueKey {
        QueueKey {
            is_late: self.is_late(request, now),
            priority: request.priority,
            organisation_share: self.organisation_share(request),
            objective: request.objective,
        }
    }

    /// Requests of the same organisation at the engine, or ahead of this one in the queue.
    fn organisation_share(&self, request: &permits::PermitRequest) -> usize {
        let Some(organisation) = request.organisation else {
            return 0;
        };
        let rank = (request.objective, request.id);
        let is_ahead = |other: &&permits::PermitRequest| {
            other.organisation == Some(organisation)
                && other.priority <= request.priority
                && (other.objective, other.id) < rank
        };
        self.permits.held_by(organisation) + self.waiting.iter().filter(is_ahead).count()
    }

    /// Whether a request can no longer start within its objective.
    pub(super) fn is_late(&self, request: &permits::PermitRequest, now: units::Timestamp) -> bool {
        now + self.prefill_time_of(request) > request.objective
    }

    pub(super) fn prefill_time_of(&self, request: &permits::PermitRequest) -> time::Duration {
        self.latency.prefill_time(u64::from(request.prompt_tokens))
    }

    /// Latest time to start a request's prefill so that its caller is still connected and its
    /// response ends within the deadline.
    pub(super) fn latest_start(&self, request: &permits::PermitRequest) -> units::Timestamp {
        let decode_time = self.latency.decode_time(request.output_tokens);
        let first_event = request
            .start_deadline
            .min(request.deadline.saturating_sub(decode_time));
        first_event.saturating_sub(self.prefill_time_of(request))
    }

    /// Time until the engine would start a request, behind the waiting requests ahead of it.
    pub(super) fn wait_ahead(
        &self,
        request: &permits::PermitRequest,
        now: units::Timestamp,
    ) -> time::Duration {
        let key = self.sort_key(request, now);
        let before = self
            .waiting
            .iter()
            .filter(|other| self.sort_key(other, now) <= key);
        self.prefill_time_behind(before)
    }

    fn prefill_time_behind<'a>(
        &self,
        waiting: impl Iterator<Item = &'a permits::PermitRequest>,
    ) -> time::Duration {
        let waiting: u64 = waiting.map(|other| u64::from(other.prompt_tokens)).sum();
        let excess = (self.permits.len() + 1).saturating_sub(self.limits.batch_slots);
        let excess = u64::try_from(excess).unwrap_or(u64::MAX);
        let excess = self.permits.mean_tokens().saturating_mul(excess);
        let tokens = self.permits.unstarted_tokens() + waiting;
        self.latency.prefill_time(tokens.saturating_add(excess))
    }

    pub(super) fn required_slot_wait(
        &self,
        required: &permits::AdapterRequirement,
    ) -> time::Duration {
        if self.slots.is_present(&required.name) || self.is_required(&required.name) {
            return time::Duration::ZERO;
        }
        self.slot_wait()
    }

    fn free_slots(&self) -> usize {
        let free = self.limits.adapter_slots.saturating_sub(self.slots.taken());
        self.slots.idle() + free
    }

    /// Number of adapters that waiting requests need and that are neither loaded nor loading.
    fn missing_adapters(&self) -> usize {
        let mut names: Vec<&str> = self
            .waiting
            .iter()
            .filter_map(|request| request.adapter.as_ref())
            .map(|required| required.name.as_str())
            .filter(|name| !self.slots.is_present(name))
            .collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}

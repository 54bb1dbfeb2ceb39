//! Entry side of the event loop: choice, admission and the tokens that come back.

use decisions::{admission, routing};

use super::{Event, Simulation, agents};
use crate::{fakes, oracle, replica};

impl Simulation {
    /// Chooses a replica for a request and dispatches it there.
    pub(super) fn arrive(&mut self, number: usize) {
        let job = &self.jobs[number];
        let entry = job.entry;
        let replica = if self.entries[entry].policy.is_some() {
            let Some(replica) = self.route(number) else {
                return;
            };
            replica
        } else {
            let chosen = oracle::choose(&self.replicas, &self.store, job, self.now);
            self.share_demand(number);
            chosen
        };
        let agent = self.replicas[replica].agent;
        let at = self.now + self.deployment.distance(entry, agent);
        let job = number;
        self.schedule(at, Event::Dispatch { job, replica });
    }

    /// Replica that the entry's policy chooses; `None` when the request is refused.
    fn route(&mut self, number: usize) -> Option<usize> {
        let job = &self.jobs[number];
        let entry = &mut self.entries[job.entry];
        let policy = entry.policy.as_mut()?;
        let request = routing::RoutingRequest {
            base_model: "base",
            adapter: job.adapter,
            priority: job.priority,
            repeatable: true,
            exclude: &[],
        };
        let choice = policy.choose(&request, self.now);
        let choice = choice.expect("all endpoints are ready throughout the run");
        if let Some(admission) = &entry.admission {
            let request = admission::AdmissionRequest {
                priority: job.priority,
                time_left: job.deadline.since(self.now),
                wait: choice.wait,
                first_token: choice.first_token,
            };
            admission.admit(&request, &mut self.rng, self.now).ok()?;
        }
        let id = replica::request_id(job.entry, number);
        policy.dispatched(id, job.adapter, &choice, self.now);
        self.predictions[number] = Some(choice);
        let mut replicas = self.replicas.iter();
        replicas.position(|replica| replica.endpoint == choice.endpoint)
    }

    /// Tells the admission control how an admitted request fared.
    fn observe_admission(&mut self, number: usize, on_time: bool) {
        let job = &self.jobs[number];
        let Some(admission) = self.entries[job.entry].admission.as_mut() else {
            return;
        };
        let Some(choice) = self.predictions[number].take() else {
            return;
        };
        let beyond_wait = choice.first_token.saturating_sub(choice.wait);
        let taken = self.now.since(job.sent).saturating_sub(beyond_wait);
        let outcome = admission::AdmissionOutcome {
            priority: job.priority,
            predicted_wait: choice.wait,
            wait: taken,
            on_time,
        };
        admission.observe(&outcome, self.now);
    }

    /// Records the end of an attempt.
    pub(super) fn end_attempt(&mut self, job: usize, replica: usize, end: routing::AttemptEnd) {
        if end == routing::AttemptEnd::NotRun {
            self.observe_admission(job, false);
        }
        let attempt = self.attempt(job, replica);
        if let Some(policy) = self.entries[self.jobs[job].entry].policy.as_mut() {
            policy.ended(attempt, end, self.now);
        }
    }

    /// Counts a request's demand at all replicas, and tells them the copies.
    fn share_demand(&mut self, number: usize) {
        let adapter = self.jobs[number].adapter;
        let deadline = self.jobs[number].deadline;
        for replica in &mut self.replicas {
            let is_waiting = replica.waiting.iter().any(|w| w.adapter == adapter);
            if !is_waiting {
                replica.slots.request(adapter, deadline, self.now);
                replica.slots.set_deadline(adapter, None);
            }
        }
        let held: Vec<_> = self.replicas.iter().map(agents::held_adapters).collect();
        for replica in 0..self.replicas.len() {
            self.tell_copies(replica, &held);
        }
    }

    /// Takes in the tokens of one step.
    pub(super) fn receive(&mut self, entry: usize, replica: usize, tokens: &[fakes::Token]) {
        for token in tokens {
            let attempt = self.attempt(token.job, replica);
            if token.is_first {
                let at = self.now + self.deployment.to_clients;
                self.recorder.first_token(token.job, at);
                self.observe_admission(token.job, at <= self.jobs[token.job].deadline);
            }
            let Some(policy) = self.entries[entry].policy.as_mut() else {
                continue;
            };
            if token.is_first {
                policy.first_token(attempt, self.now);
            } else {
                policy.between_token(attempt, self.now);
            }
        }
    }
}

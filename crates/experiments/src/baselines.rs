//! Baselines of the routing and of the queue.
//!
//! The routing baselines see the same reports as the product. The baseline queue starts requests in
//! the order of their arrival, but lets them pass one whose adapter is still being loaded, as
//! engines do; strict order would make the baselines weaker than they need to be.

use std::{collections, time};

use decisions::{
    hash_ring, ids,
    queueing::{self, QueuePolicy},
    routing, units,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Load above the mean at which the adapter hash moves on to the next endpoint.
const BOUNDED_LOAD: f64 = 1.25;

/// Rule by which a baseline chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineRule {
    Random,
    RoundRobin,
    LeastOutstanding,
    /// Rendezvous hashing with bounded loads: of the endpoints with less than 1.25 times the mean
    /// load, the first in the adapter's order. Without the bound, the most popular adapter alone
    /// overloads its endpoint.
    AdapterHash,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    endpoint: ids::EndpointId,
    reported: u32,
    as_of: units::Timestamp,
    /// Times of the requests sent since the report.
    recent: Vec<units::Timestamp>,
}

/// Baseline behind the routing trait.
#[derive(Debug)]
pub struct BaselineRouting {
    rule: BaselineRule,
    endpoints: Vec<KnownEndpoint>,
    turn: usize,
    generator: ChaCha8Rng,
}

impl KnownEndpoint {
    fn outstanding(&self) -> u32 {
        let recent = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        self.reported.saturating_add(recent)
    }
}

impl BaselineRouting {
    /// Baseline without endpoints.
    #[must_use]
    pub fn new(rule: BaselineRule, seed: u64) -> Self {
        Self {
            rule,
            endpoints: Vec::new(),
            turn: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn position(&mut self, adapter: ids::AdapterId) -> Option<usize> {
        let count = self.endpoints.len();
        if count == 0 {
            return None;
        }
        match self.rule {
            BaselineRule::Random => Some(self.generator.random_range(0..count)),
            BaselineRule::RoundRobin => {
                self.turn = (self.turn + 1) % count;
                Some(self.turn)
            }
            BaselineRule::LeastOutstanding => self.least_outstanding(),
            BaselineRule::AdapterHash => self.hashed(adapter),
        }
    }

    /// Endpoint with the fewest requests; ties are broken at random.
    fn least_outstanding(&mut self) -> Option<usize> {
        let generator = &mut self.generator;
        let endpoints = self.endpoints.iter().enumerate();
        let least = endpoints
            .min_by_key(|(_, endpoint)| (endpoint.outstanding(), generator.random::<u32>()));
        least.map(|(position, _)| position)
    }

    fn hashed(&self, adapter: ids::AdapterId) -> Option<usize> {
        let outstanding = self.endpoints.iter().map(KnownEndpoint::outstanding);
        let total: u32 = outstanding.sum();
        let count = u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX);
        let limit = (f64::from(total + 1) / f64::from(count) * BOUNDED_LOAD).ceil();
        let endpoints = self.endpoints.iter().enumerate();
        let below = endpoints.filter(|(_, known)| f64::from(known.outstanding()) < limit);
        below
            .min_by_key(|(_, known)| hash_ring::rendezvous_hash(adapter, known.endpoint))
            .map(|(position, _)| position)
    }
}

impl routing::RoutingPolicy for BaselineRouting {
    fn endpoint_added(&mut self, location: &routing::EndpointLocation, _now: units::Timestamp) {
        self.endpoints.push(KnownEndpoint {
            endpoint: location.endpoint,
            reported: 0,
            as_of: units::Timestamp::default(),
            recent: Vec::new(),
        });
    }

    fn endpoint_leaving(&mut self, endpoint: ids::EndpointId, now: units::Timestamp) {
        self.endpoint_removed(endpoint, now);
    }

    fn endpoint_removed(&mut self, endpoint: ids::EndpointId, _now: units::Timestamp) {
        self.endpoints.retain(|known| known.endpoint != endpoint);
    }

    fn report(
        &mut self,
        endpoint: ids::EndpointId,
        view: &routing::EndpointReport,
        _now: units::Timestamp,
    ) {
        let found = self.endpoints.iter_mut().find(|k| k.endpoint == endpoint);
        let Some(known) = found.filter(|known| known.as_of <= view.as_of) else {
            return;
        };
        known.as_of = view.as_of;
        known.reported = u32::from(view.running) + u32::from(view.queued);
        known.recent.retain(|sent| *sent > view.as_of);
    }

    fn dispatched(
        &mut self,
        _request: ids::RequestId,
        _adapter: ids::AdapterId,
        choice: &routing::Choice,
        now: units::Timestamp,
    ) {
        let endpoint = choice.endpoint;
        let found = self.endpoints.iter_mut().find(|k| k.endpoint == endpoint);
        if let Some(known) = found {
            known.recent.push(now);
        }
    }

    fn first_token(&mut self, _attempt: routing::Attempt, _now: units::Timestamp) {}

    fn between_token(&mut self, _attempt: routing::Attempt, _now: units::Timestamp) {}

    fn ended(
        &mut self,
        _attempt: routing::Attempt,
        _end: routing::AttemptEnd,
        _now: units::Timestamp,
    ) {
    }

    fn choose(
        &mut self,
        request: &routing::RoutingRequest<'_>,
        _now: units::Timestamp,
    ) -> Result<routing::Choice, routing::Refusal> {
        let position = self.position(request.adapter);
        let position = position.ok_or(routing::Refusal::NoneReady)?;
        Ok(routing::Choice {
            endpoint: self.endpoints[position].endpoint,
            adapter_state: routing::AdapterState::Loaded,
            wait: time::Duration::ZERO,
            first_token: time::Duration::ZERO,
            probe: false,
        })
    }
}

/// First in, first out among the requests whose adapter is resident.
#[derive(Debug, Default)]
pub struct ArrivalQueue {
    waiting: collections::VecDeque<queueing::QueuedRequest>,
}

impl QueuePolicy for ArrivalQueue {
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
        if batch.running.len() >= batch.limit {
            return None;
        }
        let may_run = |request: &queueing::QueuedRequest| {
            let adapter = request.adapter;
            adapter.is_none_or(|adapter| batch.resident.binary_search(&adapter).is_ok())
        };
        let position = self.waiting.iter().position(may_run)?;
        self.waiting
            .remove(position)
            .map(queueing::BatchAction::Start)
    }

    fn preempt(&mut self, _batch: &queueing::BatchView<'_>) -> Vec<ids::RequestId> {
        Vec::new()
    }

    fn observe(&mut self, _service_time: time::Duration) {}

    fn predicted_wait(&self, _priority: units::Priority, _batch_limit: usize) -> time::Duration {
        time::Duration::ZERO
    }

    fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

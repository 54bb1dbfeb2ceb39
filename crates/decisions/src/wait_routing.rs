//! Endpoint selection by predicted time to the first token.
//!
//! The candidates are a bounded number of holders of the adapter and of other endpoints near the
//! adapter on the hash ring. Each gets a cost: its predicted wait times its slowness, and for an
//! endpoint without the adapter the time of a load. The holders keep the adapter's requests, in
//! rendezvous order, while their costs differ by little; this keeps engine batches on few adapters.

use std::time;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{candidates, endpoint_table, ids, load_times, routing, units};

/// Holders that are considered in rendezvous order, the same in all entries.
const RANKED_HOLDERS: usize = 4;
/// Further holders that are considered at random, so that a hot adapter uses all its copies.
const SAMPLED_HOLDERS: usize = 4;
/// Endpoints without the adapter that are considered.
const NON_HOLDERS: usize = 8;
/// Cost difference for which the preferred holder is kept; about one time between tokens.
const HOLDER_MARGIN: time::Duration = time::Duration::from_millis(50);
/// Cost difference for which the preferred non-holder is kept; absorbs differing views of entries.
const NON_HOLDER_MARGIN: time::Duration = time::Duration::from_millis(20);
/// First-token time assumed before any was observed.
const INITIAL_FIRST_TOKEN: time::Duration = time::Duration::from_millis(50);
/// Request time assumed before any was observed.
const INITIAL_REQUEST_TIME: time::Duration = time::Duration::from_secs(1);
/// Weight of one request in the average request time.
const REQUEST_TIME_WEIGHT: f64 = 0.05;

/// Attempt in flight.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    attempt: routing::Attempt,
    adapter: ids::AdapterId,
    sent: units::Timestamp,
    last_token: Option<units::Timestamp>,
}

/// Production routing policy.
#[derive(Debug)]
pub struct WaitRouting {
    table: endpoint_table::EndpointTable,
    load_estimate: load_times::LoadEstimate,
    /// Attempts in flight, sorted.
    open: Vec<OpenAttempt>,
    request_time: time::Duration,
    rng: ChaCha8Rng,
    // Buffers that are reused between choices.
    holders: Vec<candidates::Candidate>,
    non_holders: Vec<candidates::Candidate>,
    neighbours: Vec<usize>,
}

impl WaitRouting {
    /// Policy without endpoints; the seed determines its random choices.
    #[must_use]
    pub fn new(limits: load_times::StoreLimits, seed: u64) -> Self {
        Self {
            table: endpoint_table::EndpointTable::default(),
            load_estimate: load_times::LoadEstimate::new(limits),
            open: Vec::new(),
            request_time: INITIAL_REQUEST_TIME,
            rng: ChaCha8Rng::seed_from_u64(seed),
            holders: Vec::new(),
            non_holders: Vec::new(),
            neighbours: Vec::new(),
        }
    }

    /// Slowness factor of an endpoint, for metrics.
    pub fn slowness(&mut self, endpoint: ids::EndpointId, now: units::Timestamp) -> f64 {
        self.table
            .stragglers_of(endpoint)
            .map_or(1.0, |stragglers| stragglers.slowness(endpoint, now))
    }

    fn collect_candidates(
        &mut self,
        request: &routing::RoutingRequest<'_>,
        model: usize,
        now: units::Timestamp,
    ) {
        let group = self.table.group(model);
        let prediction = candidates::Prediction {
            table: &self.table,
            request,
            model,
            load_time: self.load_estimate.estimate(self.table.loading(), now),
            request_time: self.request_time,
            first_token: group
                .stragglers
                .typical_first_token()
                .unwrap_or(INITIAL_FIRST_TOKEN),
            now,
        };
        self.holders.clear();
        let ranked = self.table.holders(request.adapter);
        let (first, others) = ranked.split_at(ranked.len().min(RANKED_HOLDERS));
        self.holders.extend(
            first
                .iter()
                .filter_map(|holder| prediction.candidate(holder.slot)),
        );
        if others.len() <= SAMPLED_HOLDERS {
            self.holders.extend(
                others
                    .iter()
                    .filter_map(|holder| prediction.candidate(holder.slot)),
            );
        } else {
            for _ in 0..SAMPLED_HOLDERS {
                let holder = others[self.rng.random_range(0..others.len())];
                self.holders.extend(prediction.candidate(holder.slot));
            }
        }
        let is_non_holder = |slot| prediction.is_usable(slot) && !prediction.is_holder(slot);
        group.ring.neighbours(
            request.adapter,
            NON_HOLDERS,
            is_non_holder,
            &mut self.neighbours,
        );
        self.non_holders.clear();
        let non_holders = self.neighbours.iter();
        self.non_holders
            .extend(non_holders.filter_map(|slot| prediction.candidate(*slot)));
        self.non_holders
            .sort_unstable_by_key(|candidate| candidate.rank);
        if self.holders.is_empty() && self.non_holders.is_empty() && !group.routable.is_empty() {
            let start = self.rng.random_range(0..group.routable.len());
            let (before, after) = group.routable.split_at(start);
            // Only excluded endpoints are skipped, so that one more finds a usable one.
            let tried = after.iter().chain(before).take(request.exclude.len() + 1);
            self.non_holders
                .extend(tried.filter_map(|slot| prediction.candidate(*slot)));
        }
    }

    /// Straggler among the holders that is due for a measurement.
    fn probe(&self, model: usize, now: units::Timestamp) -> Option<candidates::Candidate> {
        let stragglers = &self.table.group(model).stragglers;
        let is_due = |candidate: &&candidates::Candidate| {
            candidate.state == routing::AdapterState::Loaded
                && self
                    .table
                    .state(candidate.slot)
                    .is_some_and(|state| stragglers.is_probe_due(state.endpoint, now))
        };
        self.holders.iter().find(is_due).copied()
    }

    /// Preferred holder, or a non-holder that is cheaper by more than the margin.
    fn best_candidate(&self) -> Option<candidates::Candidate> {
        let non_holder = candidates::preferred(&self.non_holders, NON_HOLDER_MARGIN);
        let Some(lowest) = candidates::lowest_cost(&self.holders) else {
            return non_holder;
        };
        // Without the margin, the second request of a cold adapter would load a second copy as soon
        // as the first makes its endpoint the slightly busier one.
        non_holder
            .filter(|non_holder| non_holder.cost + HOLDER_MARGIN < lowest)
            .or_else(|| candidates::preferred(&self.holders, HOLDER_MARGIN))
    }

    /// Reason for which there is no candidate.
    fn refusal(&self, model: usize) -> routing::Refusal {
        if self.table.group(model).routable.is_empty() {
            return routing::Refusal::NoneReady;
        }
        // An endpoint that takes work and is not a candidate is excluded by the request.
        routing::Refusal::AllExcluded
    }

    fn open_position(&self, attempt: routing::Attempt) -> Result<usize, usize> {
        self.open
            .binary_search_by_key(&attempt, |open| open.attempt)
    }
}

impl routing::RoutingPolicy for WaitRouting {
    fn endpoint_added(&mut self, location: &routing::EndpointLocation, _now: units::Timestamp) {
        self.table.add(location);
    }

    fn endpoint_leaving(&mut self, endpoint: ids::EndpointId, _now: units::Timestamp) {
        self.table.set_leaving(endpoint);
    }

    fn endpoint_removed(&mut self, endpoint: ids::EndpointId, _now: units::Timestamp) {
        self.table.remove(endpoint);
        self.open.retain(|open| open.attempt.endpoint != endpoint);
    }

    fn report(
        &mut self,
        endpoint: ids::EndpointId,
        report: &routing::EndpointReport,
        now: units::Timestamp,
    ) {
        let appeared = self.table.report(endpoint, report, now).unwrap_or(0);
        for _ in 0..appeared {
            self.load_estimate.started(now);
        }
    }

    fn dispatched(
        &mut self,
        request: ids::RequestId,
        adapter: ids::AdapterId,
        choice: &routing::Choice,
        now: units::Timestamp,
    ) {
        let endpoint = choice.endpoint;
        self.table.dispatched(endpoint, request, adapter, now);
        if let Some(stragglers) = self.table.stragglers_of(endpoint) {
            let expected = match choice.adapter_state {
                routing::AdapterState::Loaded => choice.wait,
                // Load times vary with the store, which is not the endpoint's slowness.
                _ => choice.wait * 2,
            };
            stragglers.dispatched(endpoint, request, now + expected);
        }
        let attempt = routing::Attempt { request, endpoint };
        if let Err(position) = self.open_position(attempt) {
            let open = OpenAttempt {
                attempt,
                adapter,
                sent: now,
                last_token: None,
            };
            self.open.insert(position, open);
        }
    }

    fn first_token(&mut self, attempt: routing::Attempt, now: units::Timestamp) {
        let Ok(position) = self.open_position(attempt) else {
            return;
        };
        self.open[position].last_token = Some(now);
        if let Some(stragglers) = self.table.stragglers_of(attempt.endpoint) {
            stragglers.first_token(attempt.endpoint, attempt.request, now);
        }
    }

    fn between_token(&mut self, attempt: routing::Attempt, now: units::Timestamp) {
        let Ok(position) = self.open_position(attempt) else {
            return;
        };
        let Some(last) = self.open[position].last_token.replace(now) else {
            return;
        };
        if let Some(stragglers) = self.table.stragglers_of(attempt.endpoint) {
            stragglers.between_token(attempt.endpoint, now.since(last), now);
        }
    }

    fn ended(
        &mut self,
        attempt: routing::Attempt,
        end: routing::AttemptEnd,
        now: units::Timestamp,
    ) {
        let Ok(position) = self.open_position(attempt) else {
            return;
        };
        let open = self.open.remove(position);
        self.table.ended(attempt.endpoint, attempt.request);
        if let Some(stragglers) = self.table.stragglers_of(attempt.endpoint) {
            stragglers.cancelled(attempt.endpoint, attempt.request, now);
        }
        if end != routing::AttemptEnd::Finished {
            self.table.load_cancelled(attempt.endpoint, open.adapter);
            return;
        }
        let weighted_time = now.since(open.sent).mul_f64(REQUEST_TIME_WEIGHT);
        self.request_time = self.request_time.mul_f64(1.0 - REQUEST_TIME_WEIGHT) + weighted_time;
    }

    fn choose(
        &mut self,
        request: &routing::RoutingRequest<'_>,
        now: units::Timestamp,
    ) -> Result<routing::Choice, routing::Refusal> {
        let model = self
            .table
            .model(request.base_model)
            .ok_or(routing::Refusal::UnknownBaseModel)?;
        self.collect_candidates(request, model, now);
        let probe = self.probe(model, now).filter(|_| request.repeatable);
        let Some(chosen) = probe.or_else(|| self.best_candidate()) else {
            return Err(self.refusal(model));
        };
        let Some(state) = self.table.state(chosen.slot) else {
            return Err(self.refusal(model));
        };
        let endpoint = state.endpoint;
        if probe.is_some()
            && let Some(stragglers) = self.table.stragglers_of(endpoint)
        {
            stragglers.probed(endpoint, now);
        }
        Ok(routing::Choice {
            endpoint,
            adapter_state: chosen.state,
            wait: chosen.wait,
            first_token: chosen.first_token,
            probe: probe.is_some(),
        })
    }
}

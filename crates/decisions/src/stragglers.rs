//! Endpoints that respond slower than their peers.
//!
//! A table covers the endpoints of one base model. It keeps exponentially weighted first-token and
//! between-token times per endpoint and compares them with the median of the peers. The result is a
//! slowness factor that multiplies the predicted wait, so that a straggler gets less work. A request
//! that waits for its first token counts before it ends, because a stalled endpoint sends nothing
//! that could be measured. Factors rise at once and fall gradually as probes get timely responses.

use std::time;

use crate::{endpoint_latency, ids, units};

/// Age after which the medians are recomputed.
const MEDIAN_AGE: time::Duration = time::Duration::from_millis(100);
/// Endpoints that a median is taken from, so that its cost does not grow with the peers.
const MEDIAN_SAMPLE: usize = 255;

/// Measured times of the endpoints of one base model, sorted by endpoint.
#[derive(Debug, Default)]
pub struct StragglerTable {
    peers: Vec<endpoint_latency::EndpointLatency>,
    medians: endpoint_latency::LatencyMedians,
    medians_updated: Option<units::Timestamp>,
}

impl StragglerTable {
    /// Adds an endpoint that is as fast as its peers until it is measured.
    pub fn add(&mut self, endpoint: ids::EndpointId, now: units::Timestamp) {
        let Err(position) = self.position(endpoint) else {
            return;
        };
        let peer = endpoint_latency::EndpointLatency::new(endpoint, now);
        self.peers.insert(position, peer);
    }

    /// Removes an endpoint and its measured times.
    pub fn remove(&mut self, endpoint: ids::EndpointId) {
        if let Ok(position) = self.position(endpoint) {
            self.peers.remove(position);
        }
    }

    /// Starts the wait for a first token; the time until `expected` does not count.
    pub fn dispatched(
        &mut self,
        endpoint: ids::EndpointId,
        request: ids::RequestId,
        expected: units::Timestamp,
    ) {
        let Ok(position) = self.position(endpoint) else {
            return;
        };
        self.peers[position].start_waiting(request, expected);
    }

    /// Records the first token of a request.
    pub fn first_token(
        &mut self,
        endpoint: ids::EndpointId,
        request: ids::RequestId,
        now: units::Timestamp,
    ) {
        let Ok(position) = self.position(endpoint) else {
            return;
        };
        let median = self.medians.first_token;
        if self.peers[position].observe_first_token(request, median, now) {
            self.update(position, now);
        }
    }

    /// Records the time between two tokens of one request.
    pub fn between_token(
        &mut self,
        endpoint: ids::EndpointId,
        gap: time::Duration,
        now: units::Timestamp,
    ) {
        let Ok(position) = self.position(endpoint) else {
            return;
        };
        let median = self.medians.between_token;
        self.peers[position].observe_between_token(gap, median, now);
        self.update(position, now);
    }

    /// Ends the wait of a request that gets no first token here.
    pub fn cancelled(
        &mut self,
        endpoint: ids::EndpointId,
        request: ids::RequestId,
        now: units::Timestamp,
    ) {
        let Ok(position) = self.position(endpoint) else {
            return;
        };
        let median = self.medians.first_token;
        self.peers[position].stop_waiting(request, median, now);
    }

    /// Factor of at least 1 by which the endpoint is slower than its peers.
    #[must_use]
    pub fn slowness(&self, endpoint: ids::EndpointId, now: units::Timestamp) -> f64 {
        let Ok(position) = self.position(endpoint) else {
            return 1.0;
        };
        self.peers[position].slowness(self.medians.first_token, now)
    }

    /// Whether a straggler is due for a request that measures it again.
    #[must_use]
    pub fn is_probe_due(&self, endpoint: ids::EndpointId, now: units::Timestamp) -> bool {
        self.position(endpoint)
            .is_ok_and(|position| self.peers[position].is_probe_due(now))
    }

    /// Starts the next probe interval.
    pub fn probed(&mut self, endpoint: ids::EndpointId, now: units::Timestamp) {
        if let Ok(position) = self.position(endpoint) {
            self.peers[position].record_probe(now);
        }
    }

    /// Median of the peers' first-token times, measured from the end of the predicted wait.
    #[must_use]
    pub fn typical_first_token(&self) -> Option<time::Duration> {
        self.medians.first_token.map(time::Duration::from_secs_f64)
    }

    fn position(&self, endpoint: ids::EndpointId) -> Result<usize, usize> {
        self.peers
            .binary_search_by_key(&endpoint, |peer| peer.endpoint)
    }

    fn update(&mut self, position: usize, now: units::Timestamp) {
        let is_old = self
            .medians_updated
            .is_none_or(|updated| now.since(updated) >= MEDIAN_AGE);
        if is_old {
            self.medians = endpoint_latency::LatencyMedians {
                first_token: self.median(endpoint_latency::EndpointLatency::first_token),
                between_token: self.median(endpoint_latency::EndpointLatency::between_token),
            };
            self.medians_updated = Some(now);
        }
        self.peers[position].update(self.medians, now);
    }

    fn median(
        &self,
        time_of: impl Fn(&endpoint_latency::EndpointLatency) -> Option<f64>,
    ) -> Option<f64> {
        let step = self.peers.len().div_ceil(MEDIAN_SAMPLE).max(1);
        let sample = self.peers.iter().step_by(step);
        let mut times: Vec<f64> = sample.filter_map(time_of).collect();
        if times.is_empty() {
            return None;
        }
        // The lower median, so that of two endpoints the faster one is the reference.
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MILLISECOND: u64 = 1_000;

    fn endpoint(number: u64) -> ids::EndpointId {
        ids::EndpointId {
            agent: ids::Incarnation(number),
            replica: 0,
        }
    }

    fn request(sequence: u64) -> ids::RequestId {
        ids::RequestId {
            entry: ids::Incarnation(1),
            sequence,
        }
    }

    /// Table of 20 endpoints after one second with first-token times of 50 ms.
    fn warm_table() -> StragglerTable {
        let mut table = StragglerTable::default();
        for number in 0..20 {
            table.add(endpoint(number), units::Timestamp(0));
        }
        for round in 0..10 {
            for number in 0..20 {
                respond(&mut table, number, round * 100 * MILLISECOND, 50);
            }
        }
        table
    }

    fn respond(table: &mut StragglerTable, number: u64, sent: u64, millis: u64) {
        let sent = units::Timestamp(sent);
        table.dispatched(endpoint(number), request(number), sent);
        let now = sent + time::Duration::from_millis(millis);
        table.first_token(endpoint(number), request(number), now);
    }

    // Guards against a straggler that keeps its share of work for seconds.
    #[test]
    fn straggler_is_found_within_one_second() {
        let mut table = warm_table();
        for round in 0..4 {
            respond(&mut table, 3, (1_000 + round * 250) * MILLISECOND, 250);
        }
        let now = units::Timestamp(2_000 * MILLISECOND);
        assert!(table.slowness(endpoint(3), now) > 2.0);
        assert!(table.slowness(endpoint(4), now) < 1.01);
    }

    // Guards against one long prompt that marks a healthy endpoint as a straggler.
    #[test]
    fn single_outlier_is_no_straggler() {
        let mut table = warm_table();
        respond(&mut table, 3, 1_000 * MILLISECOND, 180);
        let now = units::Timestamp(1_200 * MILLISECOND);
        assert!(table.slowness(endpoint(3), now) < 1.01);
    }

    // Guards against a stalled endpoint that looks healthy because its requests never end.
    #[test]
    fn stalled_endpoint_is_slow_before_its_request_ends() {
        let mut table = warm_table();
        let sent = units::Timestamp(1_000 * MILLISECOND);
        table.dispatched(endpoint(3), request(99), sent);
        let soon = sent + time::Duration::from_millis(100);
        assert!(table.slowness(endpoint(3), soon) < 1.01);
        let later = sent + time::Duration::from_millis(800);
        assert!(table.slowness(endpoint(3), later) > 5.0);
    }

    // Guards against one long prompt that makes a working endpoint look stalled.
    #[test]
    fn overtaken_request_is_no_stall() {
        let mut table = warm_table();
        let sent = units::Timestamp(1_000 * MILLISECOND);
        table.dispatched(endpoint(3), request(99), sent);
        respond(&mut table, 3, 1_050 * MILLISECOND, 50);
        let later = sent + time::Duration::from_millis(800);
        assert!(table.slowness(endpoint(3), later) < 1.01);
    }

    // Guards against a recovered endpoint that stays excluded, or gets all its work back at once.
    #[test]
    fn probes_reinstate_gradually() {
        let mut table = warm_table();
        for round in 0..8 {
            respond(&mut table, 3, (1_000 + round * 250) * MILLISECOND, 250);
        }
        let mut factors = Vec::new();
        for probe in 0..16 {
            let sent = units::Timestamp((3_600 + probe * 500) * MILLISECOND);
            factors.push(table.slowness(endpoint(3), sent));
            if table.is_probe_due(endpoint(3), sent) {
                table.probed(endpoint(3), sent);
                respond(&mut table, 3, sent.0, 50);
            }
        }
        assert!(factors[1] > 2.0, "{factors:?}");
        assert!(
            factors.windows(2).all(|pair| pair[1] <= pair[0]),
            "{factors:?}"
        );
        assert!(factors[15] < 1.01, "{factors:?}");
    }
}

//! First-token and between-token times of one endpoint and the slowness factor they give.

use std::time;

use crate::{ids, units};

/// Weight of one first-token time.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;
/// Weight of one between-token time; there are many more of them.
const BETWEEN_TOKEN_WEIGHT: f64 = 0.1;
/// Limit of one observation, in medians. With the weight of 0.2, a single long prompt raises the
/// average to at most 1.8 medians, which is below [`SLOW_RATIO`].
const OBSERVATION_LIMIT: f64 = 5.0;
/// Ratio to the median above which an endpoint is a straggler.
const SLOW_RATIO: f64 = 2.0;
/// Largest slowness factor; it keeps a stalled endpoint comparable with others.
const FACTOR_LIMIT: f64 = 20.0;
/// Silence, in medians of the first-token time, that counts as an observation.
const SILENT_RATIO: f64 = 4.0;
/// Silence below this is never an observation; scheduling jitter reaches tens of milliseconds.
const SILENT_MINIMUM: f64 = 0.2;
/// Added to both sides of a comparison of first-token times, in seconds.
const FIRST_TOKEN_JITTER: f64 = 0.01;
/// Added to both sides of a comparison of between-token times, in seconds.
const BETWEEN_TOKEN_JITTER: f64 = 0.002;
/// Time in which a factor falls to 1/e while observations are at the median.
const REINSTATEMENT: f64 = 1.0;
/// Longest time between observations that counts towards reinstatement, in seconds.
const REINSTATEMENT_STEP: f64 = 0.5;
/// Age up to which a between-token time shows that an endpoint works, in seconds. While it does, a
/// late first token is a mispredicted queue, which routing corrects by the reported wait.
const TOKEN_AGE: f64 = 0.5;
/// Time without observations after which a factor is forgotten, in seconds.
const FORGET: f64 = 30.0;
/// Interval of the probes of one straggler.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Weighted average of times in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct TimeAverage(Option<f64>);

impl TimeAverage {
    fn observe(&mut self, seconds: f64, weight: f64, median: Option<f64>, jitter: f64) {
        let limit = median.map_or(f64::MAX, |median| (median + jitter) * OBSERVATION_LIMIT);
        let seconds = seconds.min(limit);
        // Without an own average the median stands in, so that one outlier is not the average.
        let previous = self.0.or(median).unwrap_or(seconds);
        self.0 = Some(previous + weight * (seconds - previous));
    }

    fn ratio(self, median: Option<f64>, jitter: f64) -> f64 {
        match (self.0, median) {
            (Some(own), Some(median)) => (own + jitter) / (median + jitter),
            _ => 1.0,
        }
    }
}

/// Request without a first token.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    request: ids::RequestId,
    /// Time at which the wait that was predicted at the dispatch ends.
    expected: units::Timestamp,
    /// Whether a later request got its first token before, which shows that the endpoint works
    /// and only this request is long.
    overtaken: bool,
}

/// Medians of the peers, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyMedians {
    pub first_token: Option<f64>,
    pub between_token: Option<f64>,
}

/// Times of one endpoint.
#[derive(Debug)]
pub struct EndpointLatency {
    pub endpoint: ids::EndpointId,
    first_token: TimeAverage,
    between_token: TimeAverage,
    /// Time of the last between-token time.
    last_token: Option<units::Timestamp>,
    factor: f64,
    updated: units::Timestamp,
    probed: units::Timestamp,
    /// Requests without a first token, sorted by the end of their predicted wait.
    waiting: Vec<WaitingRequest>,
}

impl EndpointLatency {
    /// Endpoint without observations.
    #[must_use]
    pub fn new(endpoint: ids::EndpointId, now: units::Timestamp) -> Self {
        Self {
            endpoint,
            first_token: TimeAverage::default(),
            between_token: TimeAverage::default(),
            last_token: None,
            factor: 1.0,
            updated: now,
            probed: now,
            waiting: Vec::new(),
        }
    }

    /// Average first-token time, in seconds beyond the predicted wait.
    #[must_use]
    pub fn first_token(&self) -> Option<f64> {
        self.first_token.0
    }

    /// Average between-token time, in seconds.
    #[must_use]
    pub fn between_token(&self) -> Option<f64> {
        self.between_token.0
    }

    /// Starts the wait of a request.
    pub fn start_waiting(&mut self, request: ids::RequestId, expected: units::Timestamp) {
        let position = self
            .waiting
            .partition_point(|other| other.expected <= expected);
        let waiting = WaitingRequest {
            request,
            expected,
            overtaken: false,
        };
        self.waiting.insert(position, waiting);
    }

    /// Records a first token; false when the request was not waiting.
    pub fn observe_first_token(
        &mut self,
        request: ids::RequestId,
        median: Option<f64>,
        now: units::Timestamp,
    ) -> bool {
        self.retain_silence(median, now);
        let Some(position) = self.waiting_position(request) else {
            return false;
        };
        let waiting = self.waiting.remove(position);
        for earlier in &mut self.waiting[..position] {
            earlier.overtaken = true;
        }
        let waited = now.since(waiting.expected).as_secs_f64();
        self.first_token
            .observe(waited, FIRST_TOKEN_WEIGHT, median, FIRST_TOKEN_JITTER);
        true
    }

    /// Records the time between two tokens.
    pub fn observe_between_token(
        &mut self,
        gap: time::Duration,
        median: Option<f64>,
        now: units::Timestamp,
    ) {
        self.last_token = Some(now);
        self.between_token.observe(
            gap.as_secs_f64(),
            BETWEEN_TOKEN_WEIGHT,
            median,
            BETWEEN_TOKEN_JITTER,
        );
    }

    /// Ends the wait of a request that gets no first token here.
    pub fn stop_waiting(
        &mut self,
        request: ids::RequestId,
        median: Option<f64>,
        now: units::Timestamp,
    ) {
        let Some(position) = self.waiting_position(request) else {
            return;
        };
        self.retain_silence(median, now);
        self.waiting.remove(position);
    }

    /// Computes the factor from the averages.
    pub fn update(&mut self, medians: LatencyMedians, now: units::Timestamp) {
        let first = self
            .first_token
            .ratio(medians.first_token, FIRST_TOKEN_JITTER);
        let between = self
            .between_token
            .ratio(medians.between_token, BETWEEN_TOKEN_JITTER);
        let ratio = if self.is_generating(now) {
            between
        } else {
            first.max(between)
        };
        let target = if ratio > SLOW_RATIO { ratio } else { 1.0 };
        let elapsed = now.since(self.updated).as_secs_f64();
        let step = elapsed.min(REINSTATEMENT_STEP);
        let lowered = self.factor * (-step / REINSTATEMENT).exp();
        self.factor = target.max(lowered).clamp(1.0, FACTOR_LIMIT);
        self.updated = now;
    }

    /// Slowness factor, at least 1.
    #[must_use]
    pub fn slowness(&self, median: Option<f64>, now: units::Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        let remaining = (1.0 - age / FORGET).max(0.0);
        let factor = 1.0 + (self.factor - 1.0) * remaining;
        factor.max(self.silent_ratio(median, now))
    }

    /// Whether a straggler is due for a request that measures it again.
    #[must_use]
    pub fn is_probe_due(&self, now: units::Timestamp) -> bool {
        // The tokens of running requests measure the endpoint as well as a probe does.
        self.factor > 1.0
            && self.waiting.is_empty()
            && !self.is_generating(now)
            && now.since(self.probed) >= PROBE_INTERVAL
    }

    /// Starts the next probe interval.
    pub fn record_probe(&mut self, now: units::Timestamp) {
        self.probed = now;
    }

    /// Keeps a silence in the factor, so that its end does not reinstate the endpoint at once.
    fn retain_silence(&mut self, median: Option<f64>, now: units::Timestamp) {
        let silent = self.silent_ratio(median, now);
        if silent > self.factor {
            self.factor = silent;
            self.updated = now;
        }
    }

    /// Whether tokens arrived lately.
    fn is_generating(&self, now: units::Timestamp) -> bool {
        self.last_token
            .is_some_and(|last| now.since(last).as_secs_f64() <= TOKEN_AGE)
    }

    /// Ratio of the longest current silence to the median, 1 while that is normal.
    fn silent_ratio(&self, median: Option<f64>, now: units::Timestamp) -> f64 {
        if self.is_generating(now) {
            return 1.0;
        }
        let oldest = self.waiting.iter().find(|waiting| !waiting.overtaken);
        let (Some(oldest), Some(median)) = (oldest, median) else {
            return 1.0;
        };
        let silence = now.since(oldest.expected).as_secs_f64();
        let ratio = (silence + FIRST_TOKEN_JITTER) / (median + FIRST_TOKEN_JITTER);
        if silence < SILENT_MINIMUM || ratio < SILENT_RATIO {
            return 1.0;
        }
        ratio.min(FACTOR_LIMIT)
    }

    fn waiting_position(&self, request: ids::RequestId) -> Option<usize> {
        self.waiting
            .iter()
            .position(|waiting| waiting.request == request)
    }
}

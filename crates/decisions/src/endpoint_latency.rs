//! First-token and between-token latency of one endpoint, and the slowness factor computed from
//! them.

use std::time;

use crate::{ids, units};

/// Weight of a first-token time in the moving average.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;
/// Weight of a between-token time; it is lower, since these are far more frequent.
const BETWEEN_TOKEN_WEIGHT: f64 = 0.1;
/// Maximum of one observation, in medians. With the weight of 0.2, a single long prompt raises the
/// average to at most 1.8 medians, which is below [`SLOW_RATIO`].
const MAX_OBSERVATION: f64 = 5.0;
/// Ratio to the median above which an endpoint is a straggler.
const SLOW_RATIO: f64 = 2.0;
/// Maximum slowness factor, which keeps a stalled endpoint comparable with others.
const MAX_FACTOR: f64 = 20.0;
/// Minimum silence, in medians of the first-token time, that counts as an observation.
const MIN_SILENCE_RATIO: f64 = 4.0;
/// Silence below this, in seconds, is never an observation; scheduling jitter reaches tens of
/// milliseconds.
const MIN_SILENCE: f64 = 0.2;
/// Added to both sides of a comparison of first-token times, in seconds.
const FIRST_TOKEN_JITTER: f64 = 0.01;
/// Added to both sides of a comparison of between-token times, in seconds.
const BETWEEN_TOKEN_JITTER: f64 = 0.002;
/// Time constant of a factor's decay while observations are at the median, in seconds.
const RECOVERY_TIME: f64 = 1.0;
/// Maximum time between observations that counts towards recovery, in seconds.
const MAX_RECOVERY_STEP: f64 = 0.5;
/// Age up to which a between-token time shows that an endpoint works, in seconds. Meanwhile a late
/// first token means a mispredicted queue, which routing corrects by the reported wait.
const MAX_TOKEN_AGE: f64 = 0.5;
/// Time without observations after which a factor has expired, in seconds.
const FACTOR_LIFETIME: f64 = 30.0;
/// Minimum interval between probes of one straggler.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Exponential moving average of times in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct TimeAverage(Option<f64>);

impl TimeAverage {
    fn observe(&mut self, seconds: f64, weight: f64, median: Option<f64>, jitter: f64) {
        let limit = median.map_or(f64::MAX, |median| (median + jitter) * MAX_OBSERVATION);
        let seconds = seconds.min(limit);
        // The median is the initial value, so that a first outlier does not become the average.
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
    /// End of the wait predicted at the dispatch.
    expected: units::Timestamp,
    /// Whether a request with a later expected time got its first token before, which shows that
    /// the endpoint works and only this request is long.
    overtaken: bool,
}

/// Median latencies of the endpoints that are compared, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyMedians {
    pub first_token: Option<f64>,
    pub between_token: Option<f64>,
}

/// Latency of one endpoint.
#[derive(Debug)]
pub struct EndpointLatency {
    pub endpoint: ids::EndpointId,
    first_token: TimeAverage,
    between_token: TimeAverage,
    /// Time of the last between-token observation.
    last_token: Option<units::Timestamp>,
    factor: f64,
    updated: units::Timestamp,
    last_probe: units::Timestamp,
    /// Requests without a first token, sorted by `expected`.
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
            last_probe: now,
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

    /// Ends the wait of a request that gets no first token from this endpoint.
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

    /// Updates the factor from the averages.
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
        let step = elapsed.min(MAX_RECOVERY_STEP);
        let decayed = self.factor * (-step / RECOVERY_TIME).exp();
        self.factor = target.max(decayed).clamp(1.0, MAX_FACTOR);
        self.updated = now;
    }

    /// Slowness factor, at least 1.
    #[must_use]
    pub fn slowness(&self, median: Option<f64>, now: units::Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        let remaining = (1.0 - age / FACTOR_LIFETIME).max(0.0);
        let factor = 1.0 + (self.factor - 1.0) * remaining;
        factor.max(self.silence_ratio(median, now))
    }

    /// Whether a straggler should get a request as a probe.
    #[must_use]
    pub fn is_probe_due(&self, now: units::Timestamp) -> bool {
        // Tokens of running requests measure the endpoint as well as a probe.
        self.factor > 1.0
            && self.waiting.is_empty()
            && !self.is_generating(now)
            && now.since(self.last_probe) >= PROBE_INTERVAL
    }

    /// Starts the next probe interval.
    pub fn record_probe(&mut self, now: units::Timestamp) {
        self.last_probe = now;
    }

    /// Raises the factor to that of the current silence, so that the endpoint does not recover at
    /// once when the silence ends.
    fn retain_silence(&mut self, median: Option<f64>, now: units::Timestamp) {
        let silence_factor = self.silence_ratio(median, now);
        if silence_factor > self.factor {
            self.factor = silence_factor;
            self.updated = now;
        }
    }

    /// Whether tokens arrived recently.
    fn is_generating(&self, now: units::Timestamp) -> bool {
        self.last_token
            .is_some_and(|last| now.since(last).as_secs_f64() <= MAX_TOKEN_AGE)
    }

    /// Ratio of the longest current silence to the median, 1 while it is normal.
    fn silence_ratio(&self, median: Option<f64>, now: units::Timestamp) -> f64 {
        if self.is_generating(now) {
            return 1.0;
        }
        let oldest = self.waiting.iter().find(|waiting| !waiting.overtaken);
        let (Some(oldest), Some(median)) = (oldest, median) else {
            return 1.0;
        };
        let silence = now.since(oldest.expected).as_secs_f64();
        let ratio = (silence + FIRST_TOKEN_JITTER) / (median + FIRST_TOKEN_JITTER);
        if silence < MIN_SILENCE || ratio < MIN_SILENCE_RATIO {
            return 1.0;
        }
        ratio.min(MAX_FACTOR)
    }

    fn waiting_position(&self, request: ids::RequestId) -> Option<usize> {
        self.waiting
            .iter()
            .position(|waiting| waiting.request == request)
    }
}

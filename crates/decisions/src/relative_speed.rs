//! Speed of a replica in relation to its peers, and what it means for one request.
//!
//! Answers the load of a service whose replicas differ in speed for good: a slow replica reads a long
//! prompt late, and its streams pause while it reads others. Ratios to the median of the peers within a
//! dead band count as one, because measurements of equal replicas differ too; beyond it they grow
//! continuously, so that no small change of a measurement moves all requests at once.

use std::time;

use crate::engine_speed;

/// Ratio to the median up to which a replica counts as one of usual speed.
const DEAD_BAND_RATIO: f64 = 1.35;
/// Ratio to the median from which it counts in full.
const FULL_RATIO: f64 = 1.7;
/// Largest ratio that counts.
const MAX_RATIO: f64 = 8.0;
/// Known replicas below which none counts as slower or faster than its peers.
const MIN_KNOWN_COUNT: usize = 3;
/// Share of the decode time in the cost of a request: while it runs it holds one of a few slots, which
/// delays others, and its events come as far apart.
const DECODE_COST_SHARE: f64 = 0.25;
/// Requests with a longer objective leave fast replicas to others.
const URGENT_OBJECTIVE: time::Duration = time::Duration::from_secs(1);

/// Speed in relation to the peers.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum SpeedTier {
    Faster,
    #[default]
    Usual,
    Slower,
}

/// Size of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationSize {
    pub prompt_tokens: u32,
    /// Expected length of the response.
    pub output_tokens: u32,
    /// Latency objective of its route.
    pub objective: time::Duration,
}

/// Expected time of a request's own work at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkEstimate {
    pub prefill: time::Duration,
    pub decode: time::Duration,
    /// 1 for an urgent request, less for one with a longer objective.
    pub urgency: f64,
}

impl WorkEstimate {
    /// What the work adds to the cost of the replica.
    #[must_use]
    pub fn cost(&self) -> time::Duration {
        (self.prefill + self.decode.mul_f64(DECODE_COST_SHARE)).mul_f64(self.urgency)
    }
}

/// Speeds of a service's engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetSpeeds {
    /// Medians; `None` if too few are known.
    median: engine_speed::TokenTimes,
}

impl FleetSpeeds {
    /// Speeds of engines that are known or not.
    #[must_use]
    pub fn new(engines: &[engine_speed::TokenTimes]) -> Self {
        let prefill = engines.iter().filter_map(|times| times.prefill);
        let decode = engines.iter().filter_map(|times| times.decode);
        Self {
            median: engine_speed::TokenTimes {
                prefill: median(prefill.collect()),
                decode: median(decode.collect()),
            },
        }
    }

    /// Expected time of a request's own work at an engine.
    #[must_use]
    pub fn work(&self, engine: engine_speed::TokenTimes, size: GenerationSize) -> WorkEstimate {
        let urgency = URGENT_OBJECTIVE.as_secs_f64() / size.objective.as_secs_f64().max(0.001);
        WorkEstimate {
            prefill: token_time(engine.prefill, self.median.prefill) * size.prompt_tokens,
            decode: token_time(engine.decode, self.median.decode) * size.output_tokens,
            urgency: urgency.min(1.0),
        }
    }

    /// Tier of an engine.
    #[must_use]
    pub fn tier(&self, engine: engine_speed::TokenTimes) -> SpeedTier {
        let slowness = self.slowness(engine);
        if slowness > 1.0 {
            SpeedTier::Slower
        } else if slowness < 1.0 {
            SpeedTier::Faster
        } else {
            SpeedTier::Usual
        }
    }

    /// Work of an engine in the time in which one of usual speed does 1.
    #[must_use]
    pub fn capacity(&self, engine: engine_speed::TokenTimes) -> f64 {
        1.0 / self.slowness(engine)
    }

    /// Ratio of the decode time to the usual one, or of the prefill time if that is unknown.
    fn slowness(&self, engine: engine_speed::TokenTimes) -> f64 {
        let decode = ratio(engine.decode, self.median.decode);
        let known = decode.or_else(|| ratio(engine.prefill, self.median.prefill));
        known.unwrap_or(1.0)
    }
}

/// Ratio that counts between a measurement and the median of the peers: 1 within the dead band.
#[must_use]
pub fn significant_ratio(own: time::Duration, median: time::Duration) -> f64 {
    let median_s = median.as_secs_f64();
    if median_s == 0.0 || own.is_zero() {
        return 1.0;
    }
    let ratio = (own.as_secs_f64() / median_s).clamp(1.0 / MAX_RATIO, MAX_RATIO);
    if ratio < 1.0 {
        1.0 / apply_dead_band(1.0 / ratio)
    } else {
        apply_dead_band(ratio)
    }
}

/// Median of the known times; `None` if there are too few of them.
#[must_use]
pub fn median(mut times: Vec<time::Duration>) -> Option<time::Duration> {
    if times.len() < MIN_KNOWN_COUNT {
        return None;
    }
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    Some(*median)
}

fn apply_dead_band(ratio: f64) -> f64 {
    let share = (ratio - DEAD_BAND_RATIO) / (FULL_RATIO - DEAD_BAND_RATIO);
    1.0 + (ratio - 1.0) * share.clamp(0.0, 1.0)
}

fn ratio(own: Option<time::Duration>, median: Option<time::Duration>) -> Option<f64> {
    Some(significant_ratio(own?, median?))
}

/// Expected time per token; that of the median within the dead band, zero if nothing is known.
fn token_time(own: Option<time::Duration>, median: Option<time::Duration>) -> time::Duration {
    let usual = median.unwrap_or_default();
    usual.mul_f64(ratio(own, median).unwrap_or(1.0))
}

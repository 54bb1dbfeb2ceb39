//! Prefill and decode time per token of an engine.
//!
//! Both times are measured from the engine's reports, so that they hold for any model, for partly
//! cached prompts and for an engine slowed by noisy neighbours. An engine interleaves
//! prefill with the decode steps of its running requests, so both times rise with its load.

use std::time;

use crate::{engine_speed, engine_status, units};

/// Prefill time per token before the first measurement.
const INITIAL_PREFILL_TIME: time::Duration = time::Duration::from_micros(45);
/// Bounds of a measured prefill time per token.
const MIN_PREFILL_TIME: time::Duration = time::Duration::from_micros(2);
const MAX_PREFILL_TIME: time::Duration = time::Duration::from_micros(500);
/// Prefilled tokens in one measurement that replace all earlier measurements.
const PREFILL_WEIGHT_TOKENS: f64 = 12_000.0;
/// Decode time per token before the first measurement; short, so that no request is refused because
/// of an assumed value.
const INITIAL_STEP_TIME: time::Duration = time::Duration::from_millis(5);
/// Weight of the newest measurement in the decode time per token.
const STEP_WEIGHT: f64 = 0.05;
/// Time without requests after which measurements have decayed to the initial values.
const FORGET_TIME: time::Duration = time::Duration::from_secs(2);
/// Time between two reports beyond which they say nothing about the engine's speed: it was frozen, or
/// its reports were lost.
const MAX_REPORT_GAP: time::Duration = time::Duration::from_millis(250);
/// Upper bound of a measured decode time per token.
const MAX_STEP_TIME: time::Duration = time::Duration::from_millis(500);

/// Moving averages of the latencies of one engine.
#[derive(Debug)]
pub struct EngineLatency {
    reported_at: Option<units::Timestamp>,
    /// Time spent with unstarted requests since the last completed prefill.
    prefill_elapsed: time::Duration,
    is_prefilling: bool,
    prefill_token_time: time::Duration,
    step_time: time::Duration,
    /// Started requests of the newest report, sorted.
    started: Vec<engine_status::StartedRequest>,
    /// Time since any of them generated a token.
    stalled_time: time::Duration,
    /// A prompt was read since then.
    is_interleaved: bool,
    /// A report was missing since the last completed prefill.
    has_gap: bool,
    speed: engine_speed::EngineSpeed,
}

impl Default for EngineLatency {
    fn default() -> Self {
        Self {
            reported_at: None,
            prefill_elapsed: time::Duration::ZERO,
            is_prefilling: false,
            prefill_token_time: INITIAL_PREFILL_TIME,
            step_time: INITIAL_STEP_TIME,
            started: Vec::new(),
            stalled_time: time::Duration::ZERO,
            is_interleaved: false,
            has_gap: false,
            speed: engine_speed::EngineSpeed::default(),
        }
    }
}

impl EngineLatency {
    /// Applies a report. `prefilled_tokens` are the prompt tokens of the requests that have started
    /// since the previous report.
    pub fn observe(
        &mut self,
        report: &engine_status::EngineStatus,
        prefilled_tokens: u64,
        now: units::Timestamp,
    ) {
        let elapsed = self
            .reported_at
            .map_or(time::Duration::ZERO, |at| now.since(at));
        self.reported_at = Some(now);
        let is_gap = elapsed > MAX_REPORT_GAP;
        self.has_gap |= is_gap;
        if self.is_prefilling {
            self.prefill_elapsed += elapsed;
        }
        let was_prefilling = self.is_prefilling;
        self.is_prefilling = report.unstarted > 0;
        self.is_interleaved |=
            is_gap || was_prefilling || self.is_prefilling || prefilled_tokens > 0;
        self.observe_prefill(prefilled_tokens, now);
        self.observe_decode(&report.started, elapsed, now);
        if !self.is_prefilling && report.started.is_empty() {
            self.decay_to_initial(elapsed);
        }
    }

    /// Speed of the engine, apart from its load.
    #[must_use]
    pub fn token_times(&self, now: units::Timestamp) -> engine_speed::TokenTimes {
        self.speed.token_times(now)
    }

    /// Expected time of the prefill of `tokens` prompt tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> time::Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.prefill_token_time.saturating_mul(tokens)
    }

    /// Expected time to generate `tokens` tokens.
    #[must_use]
    pub fn decode_time(&self, tokens: u32) -> time::Duration {
        self.step_time.saturating_mul(tokens)
    }

    /// Moves the times towards their initial values, because an engine that gets no requests for
    /// being slow could not show that it has recovered.
    fn decay_to_initial(&mut self, elapsed: time::Duration) {
        let weight = (elapsed.as_secs_f64() / FORGET_TIME.as_secs_f64()).min(1.0);
        self.prefill_token_time = mean(self.prefill_token_time, INITIAL_PREFILL_TIME, weight);
        self.step_time = mean(self.step_time, INITIAL_STEP_TIME, weight);
    }

    fn observe_prefill(&mut self, tokens: u64, now: units::Timestamp) {
        if tokens == 0 || self.prefill_elapsed.is_zero() {
            return;
        }
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if !self.has_gap {
            self.speed.record_prefill(tokens, self.prefill_elapsed, now);
        }
        self.has_gap = false;
        let measured = (self.prefill_elapsed / tokens).clamp(MIN_PREFILL_TIME, MAX_PREFILL_TIME);
        let weight = (f64::from(tokens) / PREFILL_WEIGHT_TOKENS).min(1.0);
        self.prefill_token_time = mean(self.prefill_token_time, measured, weight);
        self.prefill_elapsed = time::Duration::ZERO;
    }

    fn observe_decode(
        &mut self,
        started: &[engine_status::StartedRequest],
        elapsed: time::Duration,
        now: units::Timestamp,
    ) {
        let earlier = std::mem::take(&mut self.started);
        let made = started.iter().filter_map(|run| {
            let position = earlier.binary_search_by(|request| request.request.cmp(&run.request));
            let before = earlier.get(position.ok()?)?.tokens;
            run.tokens.checked_sub(before)
        });
        // Each decode step generates one token for every request of the batch.
        let steps = made.max().and_then(|steps| u32::try_from(steps).ok());
        match steps {
            None => self.end_stall(),
            Some(0) => self.stalled_time += elapsed,
            Some(steps) => {
                let total = self.stalled_time + elapsed;
                let measured = (total / steps).min(MAX_STEP_TIME);
                self.step_time = mean(self.step_time, measured, STEP_WEIGHT);
                if !self.is_interleaved {
                    self.speed.record_decode(steps, total, now);
                }
                self.end_stall();
            }
        }
        self.started = started.to_vec();
        self.started.sort_unstable();
    }

    fn end_stall(&mut self) {
        self.stalled_time = time::Duration::ZERO;
        self.is_interleaved = self.is_prefilling;
    }
}

fn mean(before: time::Duration, measured: time::Duration, weight: f64) -> time::Duration {
    before.mul_f64(1.0 - weight) + measured.mul_f64(weight)
}

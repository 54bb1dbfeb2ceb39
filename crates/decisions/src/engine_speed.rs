//! Speed of one engine, over a longer time than its load of the moment.
//!
//! Engines of one service may differ in speed for good. Each gets few prompts a second, and neighbours
//! slow some of them for a moment. The speed is therefore a ratio of sums over some fifty prompts. It fades with age, so that an engine that is left alone for being slow
//! becomes one of unknown speed and gets work again. The stated value changes in steps, so that entries
//! that ask at different times compare engines alike.

use std::time;

use serde::{Deserialize, Serialize};

use crate::units;

/// Sums fade by newer measurements beyond this many prompt tokens.
const PREFILL_WINDOW_TOKENS: f64 = 100_000.0;
/// Sums fade by newer measurements beyond this many decode steps.
const DECODE_WINDOW_STEPS: f64 = 1_000.0;
/// Share of a window below which the speed is unknown.
const MIN_WINDOW_SHARE: f64 = 0.2;
/// Time in which sums fade to a half without measurements.
const HALF_LIFE: time::Duration = time::Duration::from_secs(15);
/// Relative difference from the stated value beyond which it is replaced.
const RESTATE_RATIO: f64 = 0.1;
/// Bounds of a stated time per token.
const MIN_TOKEN_TIME: time::Duration = time::Duration::from_micros(1);
const MAX_TOKEN_TIME: time::Duration = time::Duration::from_secs(1);

/// Times per token of an engine; `None` while unknown.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenTimes {
    /// Time to read one token of a prompt.
    pub prefill: Option<time::Duration>,
    /// Time of a decode step without prefill.
    pub decode: Option<time::Duration>,
}

/// Speed of one engine.
#[derive(Debug)]
pub struct EngineSpeed {
    prefill: TokenTime,
    decode: TokenTime,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill: TokenTime::new(PREFILL_WINDOW_TOKENS),
            decode: TokenTime::new(DECODE_WINDOW_STEPS),
        }
    }
}

impl EngineSpeed {
    /// Records prompt tokens that were read in a time.
    pub fn record_prefill(&mut self, tokens: u32, elapsed: time::Duration, now: units::Timestamp) {
        self.prefill.record(tokens, elapsed, now);
    }

    /// Records decode steps that were made in a time without prefill.
    pub fn record_decode(&mut self, steps: u32, elapsed: time::Duration, now: units::Timestamp) {
        self.decode.record(steps, elapsed, now);
    }

    /// Times per token.
    #[must_use]
    pub fn token_times(&self, now: units::Timestamp) -> TokenTimes {
        TokenTimes {
            prefill: self.prefill.stated(now),
            decode: self.decode.stated(now),
        }
    }
}

/// Time per token as a ratio of sums that fade.
#[derive(Debug)]
struct TokenTime {
    window: f64,
    tokens: f64,
    elapsed_s: f64,
    stated: time::Duration,
    changed_at: units::Timestamp,
}

impl TokenTime {
    fn new(window: f64) -> Self {
        Self {
            window,
            tokens: 0.0,
            elapsed_s: 0.0,
            stated: time::Duration::ZERO,
            changed_at: units::Timestamp::default(),
        }
    }

    fn record(&mut self, tokens: u32, elapsed: time::Duration, now: units::Timestamp) {
        if tokens == 0 || elapsed.is_zero() {
            return;
        }
        let is_known = self.stated(now).is_some();
        self.scale(self.remaining_share(now));
        self.changed_at = now;
        self.tokens += f64::from(tokens);
        self.elapsed_s += elapsed.as_secs_f64();
        self.scale((self.window / self.tokens).min(1.0));
        let measured = time::Duration::from_secs_f64(self.elapsed_s / self.tokens)
            .clamp(MIN_TOKEN_TIME, MAX_TOKEN_TIME);
        let change = measured.abs_diff(self.stated);
        if !is_known || change > self.stated.mul_f64(RESTATE_RATIO) {
            self.stated = measured;
        }
    }

    fn stated(&self, now: units::Timestamp) -> Option<time::Duration> {
        let left = self.tokens * self.remaining_share(now);
        (left >= self.window * MIN_WINDOW_SHARE).then_some(self.stated)
    }

    fn scale(&mut self, share: f64) {
        self.tokens *= share;
        self.elapsed_s *= share;
    }

    /// Share of the sums that is left at their present age.
    fn remaining_share(&self, now: units::Timestamp) -> f64 {
        let age = now.since(self.changed_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

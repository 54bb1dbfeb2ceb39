//! Fakes of the model engine and the weight store.

use std::{ops, time};

use decisions::{adapter_cache, ids, units};

/// Largest batch of an engine, in requests.
pub const BATCH_LIMIT: u16 = 32;
/// Adapter slots of an engine.
pub const ADAPTER_SLOTS: u16 = 8;
/// Time of an engine step without any request.
const STEP_BASE: time::Duration = time::Duration::from_millis(20);
/// Addition to the step for each request in the batch.
const STEP_PER_REQUEST: time::Duration = time::Duration::from_micros(400);
/// Addition to the step for each distinct adapter in the batch.
const STEP_PER_ADAPTER: time::Duration = time::Duration::from_millis(2);
/// Addition to the step for each request that enters the batch, for its prompt.
const PROMPT_TIME: time::Duration = time::Duration::from_millis(5);
/// Distinct adapters in the full batch that defines the nominal capacity of an engine.
const NOMINAL_ADAPTERS: u32 = 4;

/// Load starts per second that the store admits.
pub const STORE_RATE: f64 = 4.5;
/// Load starts that the store admits at once after a pause.
const STORE_BURST: u32 = 4;
/// Time of one load while the store is not overloaded.
pub const LOAD_TIME: time::Duration = time::Duration::from_millis(250);
/// Loads in flight beyond which load times grow.
const STORE_IN_FLIGHT: u32 = 8;

/// Request in an engine.
#[derive(Debug)]
pub struct Sequence {
    pub job: usize,
    pub adapter: ids::AdapterId,
    pub pin: adapter_cache::AdapterPin,
    pub started: units::Timestamp,
    pub generated: u32,
    /// Tokens that the answer has in all; only the engine and the oracle know it.
    pub length: u32,
}

/// Token that a step produced.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    pub job: usize,
    pub is_first: bool,
}

/// Result of an engine step.
#[derive(Debug)]
pub struct StepResult {
    pub tokens: Vec<Token>,
    pub distinct: u32,
    pub finished: Vec<Sequence>,
}

/// Engine with continuous batching: every step gives each request in the batch one token.
#[derive(Debug)]
pub struct Engine {
    /// The first [`BATCH_LIMIT`] are in the batch, the rest wait in the engine.
    pub sequences: Vec<Sequence>,
    /// End of the current step.
    pub step_end: Option<units::Timestamp>,
    /// Factor on all step times.
    pub slowness: f64,
    stepping: usize,
    distinct: u32,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            sequences: Vec::new(),
            step_end: None,
            slowness: 1.0,
            stepping: 0,
            distinct: 0,
        }
    }
}

impl Engine {
    /// Starts a step and returns its end; `None` while one runs or nothing is to be done.
    pub fn start_step(&mut self, now: units::Timestamp) -> Option<units::Timestamp> {
        if self.step_end.is_some() || self.sequences.is_empty() {
            return None;
        }
        self.stepping = self.sequences.len().min(usize::from(BATCH_LIMIT));
        let batch = &self.sequences[..self.stepping];
        let prompts = batch.iter().filter(|sequence| sequence.generated == 0);
        let prompts = u32::try_from(prompts.count()).unwrap_or(u32::MAX);
        self.distinct = distinct_adapters(batch);
        let requests = u32::try_from(self.stepping).unwrap_or(u32::MAX);
        let step = step_time(requests, self.distinct) + PROMPT_TIME * prompts;
        let end = now + step.mul_f64(self.slowness);
        self.step_end = Some(end);
        Some(end)
    }

    /// Ends the current step.
    pub fn end_step(&mut self) -> StepResult {
        self.step_end = None;
        let mut tokens = Vec::with_capacity(self.stepping);
        for sequence in &mut self.sequences[..self.stepping] {
            tokens.push(Token {
                job: sequence.job,
                is_first: sequence.generated == 0,
            });
            sequence.generated += 1;
        }
        let is_finished = |sequence: &mut Sequence| sequence.generated >= sequence.length;
        let finished = self.sequences.extract_if(.., is_finished).collect();
        StepResult {
            tokens,
            distinct: self.distinct,
            finished,
        }
    }
}

/// Number of distinct adapters.
#[must_use]
pub fn distinct_adapters(sequences: &[Sequence]) -> u32 {
    let mut adapters: Vec<_> = sequences.iter().map(|sequence| sequence.adapter).collect();
    adapters.sort_unstable();
    adapters.dedup();
    u32::try_from(adapters.len()).unwrap_or(u32::MAX)
}

/// Time of a step without prompts.
#[must_use]
pub fn step_time(requests: u32, distinct: u32) -> time::Duration {
    STEP_BASE + STEP_PER_REQUEST * requests + STEP_PER_ADAPTER * distinct
}

/// Tokens per second of a full batch with 4 distinct adapters and no prompts.
#[must_use]
pub fn nominal_capacity() -> f64 {
    let limit = u32::from(BATCH_LIMIT);
    f64::from(limit) / step_time(limit, NOMINAL_ADAPTERS).as_secs_f64()
}

/// Weight store that admits loads in the order of their requests.
#[derive(Debug, Default)]
pub struct WeightStore {
    /// Time up to which admissions are spent, at the store's rate.
    spent: units::Timestamp,
    /// Loads requested and not completed.
    pub in_flight: u32,
    pub requested: u32,
}

impl WeightStore {
    /// Requests a load and returns the time at which it completes.
    pub fn request(&mut self, now: units::Timestamp) -> units::Timestamp {
        self.in_flight += 1;
        self.requested += 1;
        let start = now + self.backlog(now);
        self.spent = self.spent.max(now) + interval();
        start + load_time(self.in_flight)
    }

    /// Records a completed load.
    pub fn finish(&mut self) {
        self.in_flight -= 1;
    }

    /// Time until a load requested now would be admitted.
    #[must_use]
    pub fn backlog(&self, now: units::Timestamp) -> time::Duration {
        let saved = interval() * (STORE_BURST - 1);
        self.spent.since(now).saturating_sub(saved)
    }

    /// Time until a load requested now completes.
    #[must_use]
    pub fn expected(&self, now: units::Timestamp) -> time::Duration {
        self.backlog(now) + load_time(self.in_flight + 1)
    }
}

fn load_time(in_flight: u32) -> time::Duration {
    let sharing = f64::from(in_flight) / f64::from(STORE_IN_FLIGHT);
    LOAD_TIME.mul_f64(sharing.max(1.0))
}

fn interval() -> time::Duration {
    time::Duration::from_secs_f64(1.0 / STORE_RATE)
}

/// Range of the answer lengths of short requests, in tokens.
pub const SHORT_TOKENS: ops::RangeInclusive<u32> = 100..=300;

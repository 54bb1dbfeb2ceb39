//! What one run records and the figures computed from it.

use std::time;

use decisions::units;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{fakes, replica, workload};

/// First-token time that counts for a request that was never served.
const UNSERVED: time::Duration = time::Duration::from_secs(10);
/// Width of the intervals in which recovery is looked for.
const RECOVERY_INTERVAL: u64 = 1_000_000;
/// Share of the usual requests in time that counts as recovered.
const RECOVERED: f64 = 0.95;

/// Part of a run that is measured.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Requests sent from here on are measured.
    pub start: units::Timestamp,
    /// Requests sent from here on are not measured.
    pub stop: units::Timestamp,
    /// End of the run.
    pub end: units::Timestamp,
}

impl Window {
    fn contains(&self, at: units::Timestamp) -> bool {
        self.start <= at && at < self.stop
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct JobRecord {
    first_token: Option<units::Timestamp>,
    is_stalled: bool,
    stall: time::Duration,
}

/// Counts of the engines' steps in the window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StepCounts {
    pub steps: u64,
    pub tokens: u64,
    /// Sum of the distinct adapters over the steps.
    pub distinct: u64,
}

/// Recorder of one run.
#[derive(Debug)]
pub struct Recorder {
    window: Window,
    records: Vec<JobRecord>,
    counts: StepCounts,
    loads: u64,
}

impl Recorder {
    /// Recorder for a number of requests.
    #[must_use]
    pub fn new(jobs: usize, window: Window) -> Self {
        Self {
            window,
            records: vec![JobRecord::default(); jobs],
            counts: StepCounts::default(),
            loads: 0,
        }
    }

    /// Number of requests in the run.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.records.len()
    }

    /// Records the arrival of a request at its agent.
    pub fn arrived(&mut self, job: usize, waiting: Option<&replica::Waiting>) {
        self.records[job].is_stalled = waiting.is_some_and(|waiting| waiting.stalled.is_some());
    }

    /// Records the end of a wait for an adapter.
    pub fn stalled(&mut self, stall: replica::Stall) {
        let record = &mut self.records[stall.job];
        record.is_stalled = true;
        record.stall += stall.time;
    }

    /// Records the first token's arrival at the client.
    pub fn first_token(&mut self, job: usize, at: units::Timestamp) {
        self.records[job].first_token.get_or_insert(at);
    }

    /// Records an engine step.
    pub fn step(&mut self, result: &fakes::StepResult, now: units::Timestamp) {
        if self.window.contains(now) {
            self.counts.steps += 1;
            self.counts.tokens += u64::try_from(result.tokens.len()).unwrap_or(0);
            self.counts.distinct += u64::from(result.distinct);
        }
    }

    /// Records the start of a load.
    pub fn load(&mut self, now: units::Timestamp) {
        if self.window.contains(now) {
            self.loads += 1;
        }
    }

    /// Record of the finished run.
    #[must_use]
    pub fn close(self, jobs: &[workload::Job]) -> RunRecord {
        let outcomes = jobs.iter().zip(&self.records);
        let outcomes = outcomes.map(|(job, record)| Outcome {
            sent: job.sent,
            priority: job.priority,
            is_long: job.is_long,
            is_in_time: record
                .first_token
                .is_some_and(|first| first <= job.deadline),
            first_token: record
                .first_token
                .map_or(UNSERVED, |first| first.since(job.sent)),
            stall: record.is_stalled.then_some(record.stall),
        });
        RunRecord {
            outcomes: outcomes.collect(),
            window: self.window,
            counts: self.counts,
            loads: self.loads,
        }
    }
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub sent: units::Timestamp,
    pub priority: units::Priority,
    pub is_long: bool,
    pub is_in_time: bool,
    /// Time to the first token, 10 s when there was none.
    pub first_token: time::Duration,
    /// Time the request waited for its adapter; `None` when it was resident.
    pub stall: Option<time::Duration>,
}

/// Record of one run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub outcomes: Vec<Outcome>,
    pub window: Window,
    pub counts: StepCounts,
    pub loads: u64,
}

impl RunRecord {
    /// Requests sent in the window.
    pub fn measured(&self) -> impl Iterator<Item = &Outcome> {
        let window = self.window;
        self.outcomes
            .iter()
            .filter(move |outcome| window.contains(outcome.sent))
    }

    /// Share of the measured requests for which a condition holds.
    #[must_use]
    pub fn share(&self, holds: impl Fn(&Outcome) -> bool) -> f64 {
        share(self.measured(), holds)
    }

    /// Share of the measured requests of a priority that got their first token in time.
    #[must_use]
    pub fn in_time(&self, priority: units::Priority) -> f64 {
        let of_priority = self.measured().filter(|o| o.priority == priority);
        share(of_priority, |outcome| outcome.is_in_time)
    }

    /// Share in time of the high-priority requests that did not wait for a load.
    #[must_use]
    pub fn high_in_time_resident(&self) -> f64 {
        let high = self
            .measured()
            .filter(|o| o.priority == units::Priority::High);
        share(high.filter(|o| o.stall.is_none()), |outcome| {
            outcome.is_in_time
        })
    }

    /// Quantile of the stalls, in seconds, over the stalled requests.
    #[must_use]
    pub fn stall_quantile(&self, quantile: f64) -> f64 {
        let stalls = self.measured().filter_map(|outcome| outcome.stall);
        quantile_of(stalls, quantile)
    }

    /// 99th percentile of the first-token time of short requests, in seconds.
    #[must_use]
    pub fn short_p99(&self, with_stalls: bool) -> f64 {
        let short = self.measured().filter(|outcome| !outcome.is_long);
        let counted = short.filter(|outcome| with_stalls || outcome.stall.is_none());
        quantile_of(counted.map(|outcome| outcome.first_token), 0.99)
    }

    /// Loads started per request.
    #[must_use]
    pub fn loads_per_request(&self) -> f64 {
        ratio(self.loads, self.measured().count())
    }

    /// Time after `swing_end` until the share of requests in time stays at 95% of the share before
    /// `swing_start`, in seconds.
    #[must_use]
    pub fn recovery(&self, swing_start: units::Timestamp, swing_end: units::Timestamp) -> f64 {
        let before = self.outcomes.iter();
        let before = before.filter(|o| o.sent < swing_start && o.sent >= self.window.start);
        let usual = share(before, |outcome| outcome.is_in_time);
        let after = self.window.end.since(swing_end).as_secs();
        let late = (0..after).rev().find(|second| {
            let from = swing_end + time::Duration::from_micros(second * RECOVERY_INTERVAL);
            let until = from + time::Duration::from_micros(RECOVERY_INTERVAL);
            let sent = self.outcomes.iter();
            let sent = sent.filter(|o| o.sent >= from && o.sent < until);
            let mut sent = sent.peekable();
            sent.peek().is_some() && share(sent, |outcome| outcome.is_in_time) < RECOVERED * usual
        });
        late.map_or(0.0, |second| {
            time::Duration::from_secs(second + 1).as_secs_f64()
        })
    }
}

impl StepCounts {
    /// Tokens per engine step.
    #[must_use]
    pub fn tokens_per_step(&self) -> f64 {
        ratio(self.tokens, usize::try_from(self.steps).unwrap_or(0))
    }

    /// Distinct adapters per batch.
    #[must_use]
    pub fn distinct_per_batch(&self) -> f64 {
        ratio(self.distinct, usize::try_from(self.steps).unwrap_or(0))
    }
}

fn share<'a>(outcomes: impl Iterator<Item = &'a Outcome>, holds: impl Fn(&Outcome) -> bool) -> f64 {
    let mut total = 0;
    let mut held = 0;
    for outcome in outcomes {
        total += 1;
        held += u64::from(holds(outcome));
    }
    ratio(held, total)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn ratio(part: u64, total: usize) -> f64 {
    if total == 0 {
        return 0.0;
    }
    part as f64 / total as f64
}

fn quantile_of(times: impl Iterator<Item = time::Duration>, quantile: f64) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are valid");
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros).expect("the histogram resizes");
    }
    time::Duration::from_micros(histogram.value_at_quantile(quantile)).as_secs_f64()
}

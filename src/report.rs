//! Report of a load run.

use std::{collections::BTreeMap, fmt, time};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest recorded time, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Outcome of one request, as found by the load generator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseOutcome {
    Answered,
    /// The entry reported that the request did not run.
    Refused(String),
    /// The entry reported that the request failed after it ran.
    Failed(String),
    /// The caller cannot tell whether the request ran, or the response is incomplete.
    Lost(String),
    /// Text of another request, adapter or version.
    Wrong,
    /// More text than the request asked for.
    Doubled,
}

/// Measured response.
#[derive(Clone, Debug)]
pub struct ResponseRecord {
    pub outcome: ResponseOutcome,
    pub first_token: Option<time::Duration>,
    pub token_gaps: Vec<time::Duration>,
    pub tokens: usize,
    pub is_long: bool,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyQuantiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// Counts of calls that must not be repeated, each sent to several entries at once.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceCallReport {
    /// Distinct calls, one per idempotency key.
    pub calls: u64,
    /// Calls that got their own response at least once.
    pub answered: u64,
    pub refused: BTreeMap<String, u64>,
    pub lost: u64,
    pub wrong: u64,
    /// Calls that reached the service.
    pub runs: u64,
    /// Runs beyond one per key.
    pub doubled: u64,
    /// Runs of keys for which no caller got the response.
    pub unreported: u64,
}

/// Counts and times of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    pub requests: u64,
    pub answered: u64,
    pub refused: BTreeMap<String, u64>,
    pub failed: BTreeMap<String, u64>,
    pub lost: u64,
    pub lost_reasons: BTreeMap<String, u64>,
    pub wrong: u64,
    pub doubled: u64,
    /// Requests that waited for the load of their adapter, where the load generator can see it.
    pub load_stalls: u64,
    /// Adapter loads of the engines, where the load generator can see them.
    pub adapter_loads: u64,
    /// Requests that a shutdown cut off.
    pub cut_off: u64,
    /// Calls of a plain service, if the run had any.
    pub service: Option<ServiceCallReport>,
    pub tokens: u64,
    pub tokens_per_second: f64,
    pub seconds: f64,
    pub first_token_ms: LatencyQuantiles,
    pub between_tokens_ms: LatencyQuantiles,
    #[serde(skip)]
    first_token: Histogram<u64>,
    #[serde(skip)]
    token_gaps: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            requests: 0,
            answered: 0,
            refused: BTreeMap::new(),
            failed: BTreeMap::new(),
            lost: 0,
            lost_reasons: BTreeMap::new(),
            wrong: 0,
            doubled: 0,
            load_stalls: 0,
            adapter_loads: 0,
            cut_off: 0,
            service: None,
            tokens: 0,
            tokens_per_second: 0.0,
            seconds: 0.0,
            first_token_ms: LatencyQuantiles::default(),
            between_tokens_ms: LatencyQuantiles::default(),
            first_token: histogram(),
            token_gaps: histogram(),
        }
    }
}

impl LoadReport {
    /// Adds one response.
    pub fn record(&mut self, response: &ResponseRecord) {
        self.requests += 1;
        self.tokens += response.tokens as u64;
        match &response.outcome {
            ResponseOutcome::Answered => self.answered += 1,
            ResponseOutcome::Refused(reason) => increment(&mut self.refused, reason),
            ResponseOutcome::Failed(reason) => increment(&mut self.failed, reason),
            ResponseOutcome::Lost(reason) => {
                self.lost += 1;
                increment(&mut self.lost_reasons, reason);
            }
            ResponseOutcome::Wrong => self.wrong += 1,
            ResponseOutcome::Doubled => self.doubled += 1,
        }
        if let Some(first_token) = response.first_token {
            self.first_token.saturating_record(micros(first_token));
        }
        for gap in &response.token_gaps {
            self.token_gaps.saturating_record(micros(*gap));
        }
    }

    /// Computes the derived figures.
    pub fn finish(&mut self, elapsed: time::Duration) {
        self.seconds = elapsed.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "fewer than 2^52 tokens")]
        let tokens = self.tokens as f64;
        self.tokens_per_second = tokens / self.seconds.max(f64::EPSILON);
        self.first_token_ms = quantiles(&self.first_token);
        self.between_tokens_ms = quantiles(&self.token_gaps);
    }

    /// Whether no response was lost, doubled or wrong.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let is_service_clean = self
            .service
            .as_ref()
            .is_none_or(ServiceCallReport::is_clean);
        self.lost == 0 && self.doubled == 0 && self.wrong == 0 && is_service_clean
    }
}

impl ServiceCallReport {
    /// Compares the responses with the calls that reached the service.
    pub fn check_runs(&mut self, runs: u64) {
        self.runs = runs;
        self.doubled = runs.saturating_sub(self.calls);
        self.unreported = runs.saturating_sub(self.doubled + self.answered);
    }

    /// Whether no call was lost, doubled, wrong or run without a response.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.wrong == 0 && self.unreported == 0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "requests            {:>10}", self.requests)?;
        writeln!(formatter, "answered            {:>10}", self.answered)?;
        write_counts(formatter, "refused", &self.refused)?;
        write_counts(formatter, "failed", &self.failed)?;
        writeln!(formatter, "wrong adapter       {:>10}", self.wrong)?;
        writeln!(formatter, "lost                {:>10}", self.lost)?;
        write_counts(formatter, "lost", &self.lost_reasons)?;
        writeln!(formatter, "doubled             {:>10}", self.doubled)?;
        writeln!(formatter, "load stalls         {:>10}", self.load_stalls)?;
        writeln!(formatter, "adapter loads       {:>10}", self.adapter_loads)?;
        writeln!(formatter, "cut off             {:>10}", self.cut_off)?;
        let rate = self.tokens_per_second;
        writeln!(
            formatter,
            "tokens              {:>10}  ({rate:.0}/s)",
            self.tokens
        )?;
        write_quantiles(formatter, "first token", &self.first_token_ms)?;
        write_quantiles(formatter, "between tokens", &self.between_tokens_ms)?;
        match &self.service {
            Some(service) => write!(formatter, "{service}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for ServiceCallReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            calls,
            answered,
            runs,
            doubled,
            lost,
            wrong,
            unreported,
            ..
        } = self;
        writeln!(
            formatter,
            "keyed service calls {calls:>10}  each at all entries at once"
        )?;
        writeln!(
            formatter,
            "  answered {answered}, runs {runs}, doubled {doubled}, lost {lost}, wrong {wrong}, \
             run without an answer {unreported}"
        )?;
        write_counts(formatter, "refused", &self.refused)
    }
}

fn write_counts(
    formatter: &mut fmt::Formatter<'_>,
    label: &str,
    counts: &BTreeMap<String, u64>,
) -> fmt::Result {
    for (reason, number) in counts {
        writeln!(formatter, "  {label}: {reason:<24} {number:>6}")?;
    }
    Ok(())
}

fn write_quantiles(
    formatter: &mut fmt::Formatter<'_>,
    label: &str,
    quantiles: &LatencyQuantiles,
) -> fmt::Result {
    let LatencyQuantiles { p50, p95, p99 } = quantiles;
    writeln!(
        formatter,
        "{label:<18}  p50 {p50:.1} ms  p95 {p95:.1} ms  p99 {p99:.1} ms"
    )
}

fn increment(counts: &mut BTreeMap<String, u64>, reason: &str) {
    *counts.entry(reason.to_owned()).or_default() += 1;
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("constant bounds are valid")
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS)
}

fn quantiles(histogram: &Histogram<u64>) -> LatencyQuantiles {
    #[expect(clippy::cast_precision_loss, reason = "at most 600 s in microseconds")]
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencyQuantiles {
        p50: millis(0.5),
        p95: millis(0.95),
        p99: millis(0.99),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn response(outcome: ResponseOutcome) -> ResponseRecord {
        ResponseRecord {
            outcome,
            first_token: Some(time::Duration::from_millis(10)),
            token_gaps: vec![time::Duration::from_millis(5)],
            tokens: 2,
            is_long: false,
        }
    }

    // Guards against a report that hides a lost, doubled or wrong response.
    #[test]
    fn lost_doubled_and_wrong_responses_are_not_clean() {
        let mut report = LoadReport::default();
        report.record(&response(ResponseOutcome::Answered));
        report.record(&response(ResponseOutcome::Refused("overloaded".into())));
        assert!(report.is_clean());
        for outcome in [
            ResponseOutcome::Lost("incomplete".into()),
            ResponseOutcome::Doubled,
            ResponseOutcome::Wrong,
        ] {
            let mut report = LoadReport::default();
            report.record(&response(outcome));
            assert!(!report.is_clean());
        }
    }
}

//! Load and speed of one replica of a plain service, as its responses tell them to one entry.
//!
//! Neighbours slow a replica for some hundred milliseconds at a time, and many entries see each replica once in a second. What a response reports counts in full when it is
//! new and fades to an idle replica of usual speed, because such a moment is over by then. A mean of the
//! reports would not do: a replica that is left alone while it is slow would be remembered as it was.
//! The work time, which tells replicas apart that are slow for good, is forgotten with age, so that a
//! replica without requests is tried again.

use std::time;

use crate::units;

/// Age at which a report of load and slowdown no longer counts.
const REPORT_LIFETIME: time::Duration = time::Duration::from_millis(600);
/// Age at which the work time is forgotten.
const WORK_TIME_LIFETIME: time::Duration = time::Duration::from_secs(30);
/// Weight of a response in the work time.
const WORK_TIME_WEIGHT: f64 = 0.1;
/// Number of responses from which the work time is known.
const MIN_RESPONSES: u32 = 3;
/// Bounds of a reported slowdown.
const MIN_SLOWDOWN: f64 = 0.1;
const MAX_SLOWDOWN: f64 = 50.0;

/// What a response reports of its replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    /// Current duration of work, in percent of the usual duration.
    pub slowdown_percent: u32,
    /// Time from the request to the response, if the request succeeded.
    pub response_time: Option<time::Duration>,
}

/// Load and speed of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaLoad {
    newest: Option<LoadReport>,
    reported_at: units::Timestamp,
    /// Mean time of work without queue and slowdown, in seconds.
    work_s: f64,
    /// Responses in that mean.
    work_count: u32,
}

impl ReplicaLoad {
    /// Records the report of a response.
    pub fn record(&mut self, report: LoadReport, now: units::Timestamp) {
        if self.is_forgotten(now) {
            *self = Self::default();
        }
        if report.waiting == 0
            && let Some(response_time) = report.response_time
        {
            self.record_work(response_time.as_secs_f64() / slowdown(&report));
        }
        self.newest = Some(report);
        self.reported_at = now;
    }

    /// Requests at the replica; none if unknown.
    #[must_use]
    pub fn outstanding(&self, now: units::Timestamp) -> f64 {
        let reported = self.newest.as_ref().map_or(0.0, outstanding);
        mean(0.0, reported, self.freshness(now))
    }

    /// Whether requests wait at the replica, by its own report of this moment. A replica may run more
    /// requests than it has slots, so open requests alone do not show a queue.
    #[must_use]
    pub fn is_queueing(&self, now: units::Timestamp) -> bool {
        let is_recent = now.since(self.reported_at) < REPORT_LIFETIME;
        is_recent && self.newest.is_some_and(|report| report.waiting > 0)
    }

    /// Ratio of the current duration of work to the usual one; 1 if unknown.
    #[must_use]
    pub fn slowdown(&self, now: units::Timestamp) -> f64 {
        let reported = self.newest.as_ref().map_or(1.0, slowdown);
        mean(1.0, reported, self.freshness(now))
    }

    /// Mean time of work without queue and slowdown; `None` while unknown.
    #[must_use]
    pub fn work_time(&self, now: units::Timestamp) -> Option<time::Duration> {
        let is_known = self.work_count >= MIN_RESPONSES && !self.is_forgotten(now);
        is_known.then(|| time::Duration::from_secs_f64(self.work_s))
    }

    fn record_work(&mut self, work_s: f64) {
        self.work_count = self.work_count.saturating_add(1);
        // The first responses count alike.
        let weight = WORK_TIME_WEIGHT.max(1.0 / f64::from(self.work_count));
        self.work_s = mean(self.work_s, work_s, weight);
    }

    /// Share of the newest report that still counts.
    fn freshness(&self, now: units::Timestamp) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        (1.0 - age / REPORT_LIFETIME.as_secs_f64()).max(0.0)
    }

    fn is_forgotten(&self, now: units::Timestamp) -> bool {
        now.since(self.reported_at) >= WORK_TIME_LIFETIME
    }
}

fn outstanding(report: &LoadReport) -> f64 {
    f64::from(report.running.saturating_add(report.waiting))
}

fn slowdown(report: &LoadReport) -> f64 {
    (f64::from(report.slowdown_percent) / 100.0).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
}

fn mean(before: f64, value: f64, weight: f64) -> f64 {
    before * (1.0 - weight) + value * weight
}

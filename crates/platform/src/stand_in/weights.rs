//! In-memory weight store that limits the rate of load starts.
//!
//! A load above the rate is refused with the time until the next start is allowed. Up to eight
//! loads run at full speed; more loads share their capacity and take proportionally longer.

use std::time;

use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::weights::{WeightError, WeightStore};

/// Load starts per second.
pub const STARTS_PER_SECOND: f64 = 4.5;
/// Maximum burst of load starts.
pub const START_BURST: f64 = 3.0;
/// Maximum number of concurrent loads that run at full speed.
pub const FULL_SPEED_LOADS: u32 = 8;
/// Duration of a load at full speed.
pub const LOAD_TIME: time::Duration = time::Duration::from_millis(250);
/// Interval at which the progress of a load is updated.
const LOAD_STEP: time::Duration = time::Duration::from_millis(10);
/// Tolerance for the rounding of times to whole nanoseconds.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// In-memory weight store.
pub struct MemoryWeights {
    state: Mutex<StoreState>,
}

struct StoreState {
    tokens: f64,
    refilled_at: Instant,
    in_flight: u32,
    slowdown: f64,
    down_until: Option<Instant>,
}

/// Counts a load as in flight until dropped, also when the load's future is cancelled.
struct LoadGuard<'a>(&'a MemoryWeights);

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().in_flight -= 1;
    }
}

impl Default for MemoryWeights {
    fn default() -> Self {
        Self {
            state: Mutex::new(StoreState {
                tokens: START_BURST,
                refilled_at: Instant::now(),
                in_flight: 0,
                slowdown: 1.0,
                down_until: None,
            }),
        }
    }
}

impl MemoryWeights {
    /// Multiplies the duration of every load by a factor of at least 1.
    pub fn set_slowdown(&self, factor: f64) {
        self.state.lock().slowdown = factor.max(1.0);
    }

    /// Fails every load start for the given time.
    pub fn set_down(&self, duration: time::Duration) {
        self.state.lock().down_until = Some(Instant::now() + duration);
    }

    fn start(&self) -> Result<LoadGuard<'_>, WeightError> {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.down_until.is_some_and(|until| now < until) {
            return Err(WeightError::Unavailable {
                message: "stand-in outage".to_owned(),
            });
        }
        let elapsed = now.duration_since(state.refilled_at).as_secs_f64();
        state.tokens = (state.tokens + elapsed * STARTS_PER_SECOND).min(START_BURST);
        state.refilled_at = now;
        if state.tokens + TOKEN_TOLERANCE < 1.0 {
            let seconds = (1.0 - state.tokens) / STARTS_PER_SECOND;
            let retry_after = time::Duration::from_secs_f64(seconds);
            return Err(WeightError::RateLimited { retry_after });
        }
        state.tokens -= 1.0;
        state.in_flight += 1;
        Ok(LoadGuard(self))
    }

    /// Progress of a load in one step.
    fn step_progress(&self) -> time::Duration {
        let state = self.state.lock();
        let share = f64::from(FULL_SPEED_LOADS) / f64::from(state.in_flight.max(FULL_SPEED_LOADS));
        LOAD_STEP.mul_f64(share / state.slowdown)
    }
}

impl WeightStore for MemoryWeights {
    fn load<'a>(&'a self, _adapter: &'a str) -> BoxFuture<'a, Result<(), WeightError>> {
        Box::pin(async move {
            let _guard = self.start()?;
            let mut progress = time::Duration::ZERO;
            while progress < LOAD_TIME {
                tokio::time::sleep(LOAD_STEP).await;
                progress += self.step_progress();
            }
            Ok(())
        })
    }
}

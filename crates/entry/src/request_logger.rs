//! Log records on failed and retried requests, rate-limited per event and reason.

use std::time;

use callers::error::{CallerError, RequestOutcome};
use parking_lot::Mutex;
use serde::Serialize;
use telemetry::{events, limiter, logs};

/// Rate-limited logger of failed and retried requests.
pub struct RequestLogger {
    logger: slog::Logger,
    started: tokio::time::Instant,
    limiter: Mutex<limiter::EventLimiter>,
}

impl RequestLogger {
    /// Creates a request logger over a logger.
    #[must_use]
    pub fn new(logger: slog::Logger) -> Self {
        Self {
            logger,
            started: tokio::time::Instant::now(),
            limiter: Mutex::default(),
        }
    }

    /// Logs a request that ended with an error.
    pub fn log_failure(&self, error: &CallerError) {
        let event = match error.outcome {
            RequestOutcome::NotRun => events::REQUEST_REFUSED,
            RequestOutcome::Unknown => events::REQUEST_OUTCOME_UNKNOWN,
            RequestOutcome::Failed => events::REQUEST_FAILED,
        };
        self.log_limited(event, &label(&error.code), &error.message);
    }

    /// Logs a request that is retried.
    pub fn log_retry(&self, reason: &str, error: &CallerError) {
        self.log_limited(events::REQUEST_RETRIED, reason, &error.message);
    }

    fn log_limited(&self, event: events::LogEvent, reason: &str, message: &str) {
        let now: time::Duration = self.started.elapsed();
        let admitted = self.limiter.lock().admit(event, reason, now);
        if let Some(suppressed) = admitted {
            let message = format!("{reason}: {message} ({suppressed} more since the last record)");
            logs::warn(&self.logger, event, &message);
        }
    }
}

fn label(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

//! Log records of decisions about requests, one line each.

use std::time;

use telemetry::events;

use crate::{local_reply, plan, replica};

/// Times of a stream's events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamTiming {
    /// Time from the request to the first event.
    pub first_event: time::Duration,
    /// Longest pause between two events.
    pub longest_gap: time::Duration,
}

/// Writer of the records.
pub struct RequestLogger {
    logger: slog::Logger,
}

impl RequestLogger {
    /// Journal over a logger that drops records when it cannot keep up.
    #[must_use]
    pub fn new(logger: slog::Logger) -> Self {
        Self { logger }
    }

    /// Logger for records that concern no request.
    pub fn logger(&self) -> &slog::Logger {
        &self.logger
    }

    /// A request was sent to a replica.
    pub fn log_send(
        &self,
        plan: &plan::RequestPlan,
        replica: &replica::ChosenReplica,
        attempt: u32,
        version: Option<u32>,
    ) {
        slog::info!(self.logger, "sent";
            "event" => events::REQUEST_SENT.number, "name" => events::REQUEST_SENT.name,
            "request" => &plan.request.id, "route" => &plan.route.name,
            "configuration" => plan.configuration, "replica" => &replica.id,
            "attempt" => attempt, "adapter" => plan.adapter().map(|(_, adapter)| adapter),
            "adapter_version" => version, "is_long" => plan.is_long, "expected_ms" => millis(replica.expected_wait),
            "view_age_ms" => replica.view_age.map(millis),
            "left_ms" => millis(plan.time_left()));
    }

    /// A replica did not answer a request as it should.
    pub fn log_failed_attempt(
        &self,
        plan: &plan::RequestPlan,
        replica: &str,
        reason: &str,
        is_retried: bool,
    ) {
        slog::info!(self.logger, "attempt failed";
            "event" => events::REQUEST_RETRIED.number, "name" => events::REQUEST_RETRIED.name,
            "request" => &plan.request.id, "replica" => replica, "reason" => reason,
            "is_repeated" => is_retried, "left_ms" => millis(plan.time_left()));
    }

    /// The gateway gave an answer of its own.
    pub fn log_local_reply(&self, request: &str, answer: &local_reply::LocalReply) {
        let event = match answer.status {
            502 | 504 => events::REQUEST_OUTCOME_UNKNOWN,
            _ => events::REQUEST_REFUSED,
        };
        slog::info!(self.logger, "own answer";
            "event" => event.number, "name" => event.name, "request" => request,
            "status" => answer.status, "reason" => answer.reason,
            "retry_after_ms" => answer.retry_after.map(millis));
    }

    /// A replica's answer reached its end.
    pub fn log_response(
        &self,
        plan: &plan::RequestPlan,
        replica: &str,
        status: u16,
        timing: Option<StreamTiming>,
    ) {
        slog::info!(self.logger, "answered";
            "event" => events::REQUEST_ANSWERED.number, "name" => events::REQUEST_ANSWERED.name,
            "request" => &plan.request.id, "replica" => replica, "status" => status,
            "first_event_ms" => timing.map(|timing| millis(timing.first_event)),
            "longest_gap_ms" => timing.map(|timing| millis(timing.longest_gap)),
            "elapsed_ms" => millis(plan.received_at.elapsed()));
    }

    /// A stream goes on at another replica.
    pub fn log_stream_resume(
        &self,
        plan: &plan::RequestPlan,
        from: &str,
        to: &str,
        after: Option<u64>,
    ) {
        slog::info!(self.logger, "stream resumed";
            "event" => events::STREAM_RESUMED.number, "name" => events::STREAM_RESUMED.name,
            "request" => &plan.request.id, "from" => from, "to" => to, "after" => after);
    }

    /// A stream was broken off after its head was sent.
    pub fn log_broken_stream(&self, plan: &plan::RequestPlan, replica: &str, reason: &str) {
        slog::warn!(self.logger, "stream broken off";
            "event" => events::REQUEST_FAILED.number, "name" => events::REQUEST_FAILED.name,
            "request" => &plan.request.id, "replica" => replica, "reason" => reason,
            "elapsed_ms" => millis(plan.received_at.elapsed()));
    }

    /// The caller left before the end of its answer.
    pub fn log_abandoned(&self, plan: &plan::RequestPlan) {
        slog::info!(self.logger, "caller left";
            "event" => events::REQUEST_ABANDONED.number, "name" => events::REQUEST_ABANDONED.name,
            "request" => &plan.request.id,
            "elapsed_ms" => millis(plan.received_at.elapsed()));
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

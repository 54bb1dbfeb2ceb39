//! Log records about requests, one line per decision.

use std::time;

use telemetry::events;

use crate::{access_refusal, local_reply, plan, replica, stream_origins};

/// Timing of a stream's events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamTiming {
    /// Time from the request to the first event.
    pub first_event: time::Duration,
    /// Longest time between two events.
    pub longest_gap: time::Duration,
}

/// Logger of decisions about requests.
pub struct RequestLogger {
    logger: slog::Logger,
}

impl RequestLogger {
    /// Creates it from a logger that drops records under overload.
    #[must_use]
    pub fn new(logger: slog::Logger) -> Self {
        Self { logger }
    }

    /// Logger for records that do not concern a request.
    pub fn logger(&self) -> &slog::Logger {
        &self.logger
    }

    /// Logs a request sent to a replica.
    pub fn log_send(
        &self,
        plan: &plan::RequestPlan,
        replica: &replica::ChosenReplica,
        attempt: u32,
        version: Option<u32>,
    ) {
        slog::info!(self.logger, "request sent";
            "event" => events::REQUEST_SENT.number, "name" => events::REQUEST_SENT.name,
            "request" => &plan.request.id, "route" => &plan.route.name,
            "configuration" => plan.configuration, "replica" => &replica.id,
            "software" => replica.software.to_string(), "attempt" => attempt,
            "adapter" => plan.adapter().map(|(_, adapter)| adapter),
            "adapter_version" => version, "suspects" => plan.suspects_text(),
            "is_long" => plan.is_long,
            "expected_ms" => millis(replica.expected_wait),
            "view_age_ms" => replica.view_age.map(millis),
            "left_ms" => millis(plan.time_left()));
    }

    /// Logs an attempt without a usable response.
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

    /// Logs a request that is kept from replicas, because it or a part of its prompt crashes them.
    pub fn log_blocked(&self, plan: &plan::RequestPlan) {
        slog::info!(self.logger, "request blocked";
            "event" => events::REQUEST_BLOCKED.number, "name" => events::REQUEST_BLOCKED.name,
            "request" => &plan.request.id, "suspects" => plan.suspects_text());
    }

    /// Logs a local reply.
    pub fn log_local_reply(&self, request: &str, reply: &local_reply::LocalReply) {
        let event = match reply.status {
            502 | 504 => events::REQUEST_OUTCOME_UNKNOWN,
            _ => events::REQUEST_REFUSED,
        };
        slog::info!(self.logger, "local reply";
            "event" => event.number, "name" => event.name, "request" => request,
            "status" => reply.status, "reason" => reply.reason,
            "retry_after_ms" => reply.retry_after.map(millis));
    }

    /// Logs a caller that is refused for its key, its quota or the age of the configuration.
    pub fn log_access_refusal(&self, request: &str, access: &access_refusal::AccessRefusal) {
        let (event, reply) = (access.event(), access.reply());
        slog::info!(self.logger, "caller refused";
            "event" => event.number, "name" => event.name, "request" => request,
            "status" => reply.status, "reason" => reply.reason,
            "route" => &access.route, "configuration" => access.configuration,
            "organisation" => &access.organisation,
            "key_digest" => access.key.map(|key| key.to_string()),
            "copy_age_ms" => access.copy_age().map(millis),
            "retry_after_ms" => reply.retry_after.map(millis));
    }

    /// Logs a complete response of a replica.
    pub fn log_response(
        &self,
        plan: &plan::RequestPlan,
        replica: &str,
        status: u16,
        timing: Option<StreamTiming>,
    ) {
        slog::info!(self.logger, "response complete";
            "event" => events::REQUEST_ANSWERED.number, "name" => events::REQUEST_ANSWERED.name,
            "request" => &plan.request.id, "replica" => replica, "status" => status,
            "first_event_ms" => timing.map(|timing| millis(timing.first_event)),
            "longest_gap_ms" => timing.map(|timing| millis(timing.longest_gap)),
            "elapsed_ms" => millis(plan.received_at.elapsed()));
    }

    /// Logs a stream that was resumed at another replica.
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

    /// Logs a stream that a caller takes up, with the software version that began it.
    pub fn log_stream_origin(
        &self,
        plan: &plan::RequestPlan,
        search: &stream_origins::OriginSearch,
    ) {
        slog::info!(self.logger, "stream taken up";
            "event" => events::STREAM_TAKEN_UP.number, "name" => events::STREAM_TAKEN_UP.name,
            "request" => &plan.request.id, "origin" => &plan.request.origin,
            "software" => search.software.as_ref().map(ToString::to_string),
            "source" => search.source.label(), "asked" => search.asked,
            "answered" => search.answered, "after" => plan.request.resume_after);
    }

    /// Logs a stream that was aborted after its head was sent.
    pub fn log_broken_stream(&self, plan: &plan::RequestPlan, replica: &str, reason: &str) {
        slog::warn!(self.logger, "stream aborted";
            "event" => events::REQUEST_FAILED.number, "name" => events::REQUEST_FAILED.name,
            "request" => &plan.request.id, "replica" => replica, "reason" => reason,
            "elapsed_ms" => millis(plan.received_at.elapsed()));
    }

    /// Logs a response that exceeded a limit and was abandoned.
    pub fn log_over_limit(
        &self,
        plan: &plan::RequestPlan,
        replica: &str,
        reason: &str,
        bytes: usize,
        limit: usize,
    ) {
        slog::warn!(self.logger, "response over a limit";
            "event" => events::RESPONSE_OVER_LIMIT.number,
            "name" => events::RESPONSE_OVER_LIMIT.name,
            "request" => &plan.request.id, "replica" => replica, "reason" => reason,
            "bytes" => bytes, "limit" => limit);
    }

    /// Logs that a replica leaves, if that is new, or wants no requests for a time.
    pub fn log_notice(&self, replica: &str, is_leaving: bool, pause: Option<time::Duration>) {
        if is_leaving {
            slog::info!(self.logger, "replica leaves by its own response";
                "event" => events::ENDPOINT_LEAVING.number,
                "name" => events::ENDPOINT_LEAVING.name, "replicas" => replica);
        }
        if let Some(pause) = pause {
            slog::info!(self.logger, "replica asked for a pause";
                "event" => events::REPLICA_PAUSED.number,
                "name" => events::REPLICA_PAUSED.name, "replica" => replica,
                "pause_ms" => millis(pause));
        }
    }

    /// Logs a caller that disconnected before the end of its response.
    pub fn log_abandoned(&self, plan: &plan::RequestPlan) {
        slog::info!(self.logger, "caller disconnected";
            "event" => events::REQUEST_ABANDONED.number, "name" => events::REQUEST_ABANDONED.name,
            "request" => &plan.request.id,
            "elapsed_ms" => millis(plan.received_at.elapsed()));
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

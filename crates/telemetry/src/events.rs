//! Numbered log events.
//!
//! `docs/events.md` lists each event with its cause and remedy; a test compares it with this list.

/// Event of a log record.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogEvent {
    /// Stable number: 1xx processes, 2xx sessions, 3xx requests, 4xx adapters and endpoints,
    /// 5xx configuration and platform.
    pub number: u16,
    pub name: &'static str,
}

macro_rules! events {
    ($($constant:ident = $number:literal, $name:literal;)*) => {
        $(
            #[doc = concat!("Event `", $name, "`.")]
            pub const $constant: LogEvent = LogEvent { number: $number, name: $name };
        )*

        /// All events, sorted by number.
        pub const ALL: &[LogEvent] = &[$($constant),*];
    };
}

events! {
    PROCESS_STARTED = 101, "process_started";
    PROCESS_DRAINING = 102, "process_draining";
    PROCESS_STOPPED = 103, "process_stopped";
    DRAIN_DEADLINE_PASSED = 104, "drain_deadline_passed";
    SESSION_OPENED = 201, "session_opened";
    SESSION_LOST = 202, "session_lost";
    SESSION_EXPIRED = 203, "session_expired";
    PEER_VERSION_REFUSED = 204, "peer_version_refused";
    AGENT_RESTARTED = 205, "agent_restarted";
    REQUEST_REFUSED = 301, "request_refused";
    REQUEST_RETRIED = 302, "request_retried";
    REQUEST_OUTCOME_UNKNOWN = 303, "request_outcome_unknown";
    REQUEST_FAILED = 304, "request_failed";
    CLAIM_FAILED = 305, "claim_failed";
    REQUEST_SENT = 306, "request_sent";
    REQUEST_ANSWERED = 307, "request_answered";
    STREAM_RESUMED = 308, "stream_resumed";
    REQUEST_ABANDONED = 309, "request_abandoned";
    RESPONSE_OVER_LIMIT = 310, "response_over_limit";
    PROMPT_PART_BLOCKED = 311, "prompt_part_blocked";
    PROMPT_PART_ALLOWED = 312, "prompt_part_allowed";
    REQUEST_BLOCKED = 313, "request_blocked";
    REQUEST_UNAUTHORISED = 314, "request_unauthorised";
    CONFIGURATION_OUTDATED = 315, "configuration_outdated";
    QUOTA_REFUSED = 320, "quota_refused";
    QUOTA_OWNER_LOST = 321, "quota_owner_lost";
    STREAM_TAKEN_UP = 322, "stream_taken_up";
    ADAPTER_LOADED = 401, "adapter_loaded";
    ADAPTER_EVICTED = 402, "adapter_evicted";
    ADAPTER_LOAD_FAILED = 403, "adapter_load_failed";
    WRONG_ADAPTER_ANSWERED = 404, "wrong_adapter_answered";
    ENGINE_RESTARTED = 405, "engine_restarted";
    ENGINE_UNREACHABLE = 406, "engine_unreachable";
    AGENT_SUPERSEDED = 407, "agent_superseded";
    ENDPOINT_LEAVING = 408, "endpoint_leaving";
    STRAGGLER_FOUND = 409, "straggler_found";
    ADAPTER_ORDERED = 410, "adapter_ordered";
    ENGINE_REGAINED = 411, "engine_regained";
    REPLICA_LISTED = 412, "replica_listed";
    REPLICA_GONE = 413, "replica_gone";
    BROKER_LOST = 414, "broker_lost";
    BROKER_REGAINED = 415, "broker_regained";
    RECORD_UNREADABLE = 416, "record_unreadable";
    MODEL_ORDERED = 417, "model_ordered";
    PLACE_REFUSED = 418, "place_refused";
    ENGINE_CRASHED = 419, "engine_crashed";
    REPLICA_PAUSED = 420, "replica_paused";
    REPLICA_CRASHED = 421, "replica_crashed";
    REMOTE_SHARE_CHANGED = 440, "remote_share_changed";
    CONFIGURATION_APPLIED = 501, "configuration_applied";
    PATCH_REFUSED = 502, "patch_refused";
    LOG_UNAVAILABLE = 503, "log_unavailable";
    LOG_RECOVERED = 504, "log_recovered";
    SNAPSHOT_APPENDED = 505, "snapshot_appended";
    CONFIGURATION_FROM_PEER = 506, "configuration_from_peer";
    INSTANCE_LIST_UNAVAILABLE = 507, "instance_list_unavailable";
    SNAPSHOT_FAILED = 508, "snapshot_failed";
    PEER_IMAGE_REFUSED = 509, "peer_image_refused";
    ADAPTER_VERSION_DECLARED = 510, "adapter_version_declared";
    SETTINGS_RELOADED = 511, "settings_reloaded";
    STORE_HISTORY_REPLACED = 512, "store_history_replaced";
    REPLICA_HELD = 513, "replica_held";
    STORE_RECORDS_DELETED = 514, "store_records_deleted";
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against two events with the same number.
    #[test]
    fn numbers_are_unique_and_ascending() {
        assert!(ALL.is_sorted_by(|event, next| event.number < next.number));
    }

    // Guards against events that are missing from the catalogue, and against listed events that no
    // longer exist.
    #[test]
    fn catalogue_lists_exactly_the_events() {
        let catalogue = include_str!("../../../docs/events.md");
        let rows = catalogue.lines().filter_map(|line| {
            let mut cells = line.strip_prefix("| ")?.split(" | ");
            let number = cells.next()?.parse::<u16>().ok()?;
            Some((number, cells.next()?.trim_matches('`')))
        });
        let listed: Vec<_> = rows.collect();
        let expected: Vec<_> = ALL.iter().map(|event| (event.number, event.name)).collect();
        assert_eq!(listed, expected);
    }
}

//! JSON log records with event numbers.

use std::io;

use slog::Drain;

use crate::events;

/// Capacity of the queue to the writer thread; further records are dropped and counted.
const QUEUE_RECORDS: usize = 4096;

/// Logger that writes JSON lines to standard error without blocking its callers.
pub fn stderr_logger(role: &'static str, data_centre: &str) -> slog::Logger {
    let drain = slog_json::Json::default(io::stderr()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .build()
        .fuse();
    let fields = slog::o!("role" => role, "data_centre" => data_centre.to_owned());
    slog::Logger::root(drain, fields)
}

/// Logger that writes JSON lines to standard output without blocking its callers.
pub fn stdout_logger(role: &'static str, instance: &str, data_centre: &str) -> slog::Logger {
    let drain = slog_json::Json::default(io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .build()
        .fuse();
    let fields = slog::o!("role" => role, "instance" => instance.to_owned(),
        "data_centre" => data_centre.to_owned());
    slog::Logger::root(drain, fields)
}

/// Logger that drops all records.
pub fn discard_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Writes an informational record.
pub fn info(logger: &slog::Logger, event: events::LogEvent, message: &str) {
    slog::info!(logger, "{message}"; "event" => event.number, "name" => event.name);
}

/// Writes a warning, for a fault that the system handles but operators may want to know about.
pub fn warn(logger: &slog::Logger, event: events::LogEvent, message: &str) {
    slog::warn!(logger, "{message}"; "event" => event.number, "name" => event.name);
}

/// Writes an error, for a fault that an operator must resolve.
pub fn error(logger: &slog::Logger, event: events::LogEvent, message: &str) {
    slog::error!(logger, "{message}"; "event" => event.number, "name" => event.name);
}

//! Append-only log service with offsets.

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;

/// Maximum size of a record in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Maximum total size of the records in one response in bytes.
pub const MAX_READ_BYTES: usize = 4 * 1024 * 1024;

/// One record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    pub offset: u64,
    pub payload: Bytes,
}

/// Result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogBatch {
    /// Consecutive records, starting at the requested offset.
    pub records: Vec<LogRecord>,
    /// Smallest retained offset.
    pub first_retained: u64,
    /// Offset of the next record to be appended.
    pub end: u64,
}

/// Reason why a log call failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum LogError {
    /// The call had no effect.
    #[snafu(display("the log did not apply the call ({message}); retry later"))]
    NotApplied { message: String },
    /// An append may have taken effect.
    #[snafu(display("the log did not respond ({message}); read the stream to learn the outcome"))]
    MaybeApplied { message: String },
    /// The offset is no longer retained.
    #[snafu(display("the offset has expired; read from {first_retained} or a snapshot"))]
    OffsetExpired { first_retained: u64 },
    /// The log will never accept this call.
    #[snafu(display("the log refuses the call ({message}); change the call"))]
    Refused { message: String },
}

/// Log service of the platform.
pub trait LogService: Send + Sync {
    /// Appends records in order and returns the offset of the first.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<u64, LogError>>;

    /// Reads at most `max` records from an offset; none if it is at or beyond the end.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: usize,
    ) -> BoxFuture<'a, Result<LogBatch, LogError>>;
}

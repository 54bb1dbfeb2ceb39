//! Append-only log service with offsets.

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;

/// Largest record in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Largest sum of the records in one answer in bytes.
pub const MAX_READ_BYTES: usize = 4 * 1024 * 1024;

/// One record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    pub offset: u64,
    pub payload: Bytes,
}

/// Answer to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogBatch {
    /// Records in log order without gaps, from the offset that was asked for.
    pub records: Vec<LogRecord>,
    /// Smallest offset that is retained.
    pub first_retained: u64,
    /// Offset that the next record will get.
    pub end: u64,
}

/// Reason why a call of the log failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum LogError {
    /// The call had no effect.
    #[snafu(display("the log did not take the call ({message}); try again later"))]
    NotApplied { message: String },
    /// An append may have taken effect.
    #[snafu(display("the log gave no answer ({message}); read the stream to learn the outcome"))]
    MaybeApplied { message: String },
    /// The offset is no longer retained.
    #[snafu(display("the offset has expired; read from {first_retained} or a snapshot"))]
    OffsetExpired { first_retained: u64 },
    /// The log will never take this call.
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

    /// Reads at most `max` records from an offset; none when the offset is the end or beyond.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: usize,
    ) -> BoxFuture<'a, Result<LogBatch, LogError>>;
}

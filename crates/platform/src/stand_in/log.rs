//! In-memory log with fault injection.

use std::{collections::VecDeque, time};

use bytes::Bytes;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::log::{self, LogError};

/// Maximum number of streams in a log.
const MAX_STREAMS: usize = 64;

/// In-memory log that expires the oldest records above its size.
pub struct MemoryLog {
    state: Mutex<LogState>,
    max_stream_bytes: usize,
}

#[derive(Default)]
struct LogState {
    streams: Vec<LogStream>,
    delay: time::Duration,
    down_until: Option<Instant>,
    lost_replies: u32,
    lag: u64,
    appended_records: u64,
}

struct LogStream {
    name: String,
    first_retained: u64,
    records: VecDeque<Bytes>,
    bytes: usize,
}

impl LogStream {
    fn end(&self) -> u64 {
        self.first_retained + self.records.len() as u64
    }

    fn expire_before(&mut self, offset: u64) {
        while self.first_retained < offset {
            let Some(record) = self.records.pop_front() else {
                return;
            };
            self.bytes -= record.len();
            self.first_retained += 1;
        }
    }
}

impl MemoryLog {
    /// Empty log that retains at most this many bytes per stream.
    #[must_use]
    pub fn new(max_stream_bytes: usize) -> Self {
        Self {
            state: Mutex::new(LogState::default()),
            max_stream_bytes,
        }
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: time::Duration) {
        self.state.lock().delay = delay;
    }

    /// Fails every call, without effect, for the given time.
    pub fn set_down(&self, duration: time::Duration) {
        self.state.lock().down_until = Some(Instant::now() + duration);
    }

    /// Drops the replies to the next appends, which still take effect.
    pub fn lose_replies(&self, count: u32) {
        self.state.lock().lost_replies = count;
    }

    /// Hides this many of the newest records of each stream from readers.
    pub fn set_lag(&self, records: u64) {
        self.state.lock().lag = records;
    }

    /// Expires the records of a stream before an offset.
    pub fn expire_before(&self, stream: &str, offset: u64) {
        let mut state = self.state.lock();
        if let Some(stream) = state.streams.iter_mut().find(|entry| entry.name == stream) {
            stream.expire_before(offset);
        }
    }

    /// Number of records appended to all streams.
    #[must_use]
    pub fn appended_records(&self) -> u64 {
        self.state.lock().appended_records
    }

    async fn inject_faults(&self) -> Result<(), LogError> {
        let delay = self.state.lock().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let down_until = self.state.lock().down_until;
        if down_until.is_some_and(|until| Instant::now() < until) {
            return Err(LogError::NotApplied {
                message: "stand-in outage".to_owned(),
            });
        }
        Ok(())
    }

    fn append_now(&self, name: &str, records: Vec<Bytes>) -> Result<u64, LogError> {
        let refused = |message: &str| LogError::Refused {
            message: message.to_owned(),
        };
        let max_bytes = records.iter().map(Bytes::len).max().unwrap_or(0);
        if records.is_empty() || max_bytes > log::MAX_RECORD_BYTES {
            return Err(refused("no record or a record above 256 KiB"));
        }
        let mut state = self.state.lock();
        let state = &mut *state;
        let index = match state.streams.iter().position(|stream| stream.name == name) {
            Some(index) => index,
            None if state.streams.len() >= MAX_STREAMS => return Err(refused("too many streams")),
            None => {
                state.streams.push(LogStream {
                    name: name.to_owned(),
                    first_retained: 0,
                    records: VecDeque::new(),
                    bytes: 0,
                });
                state.streams.len() - 1
            }
        };
        let stream = &mut state.streams[index];
        let first = stream.end();
        state.appended_records += records.len() as u64;
        for record in records {
            stream.bytes += record.len();
            stream.records.push_back(record);
        }
        while stream.bytes > self.max_stream_bytes {
            stream.expire_before(stream.first_retained + 1);
        }
        if state.lost_replies > 0 {
            state.lost_replies -= 1;
            return Err(LogError::MaybeApplied {
                message: "the reply was lost".to_owned(),
            });
        }
        Ok(first)
    }

    fn read_now(&self, name: &str, from: u64, max: usize) -> Result<log::LogBatch, LogError> {
        let state = self.state.lock();
        let Some(stream) = state.streams.iter().find(|stream| stream.name == name) else {
            return Ok(log::LogBatch::default());
        };
        let first_retained = stream.first_retained;
        if from < first_retained {
            return Err(LogError::OffsetExpired { first_retained });
        }
        let end = stream.end().saturating_sub(state.lag).max(first_retained);
        let mut bytes = 0;
        let records = (from..end)
            .take(max)
            .zip(
                stream
                    .records
                    .iter()
                    .skip(saturating_index(from - first_retained)),
            )
            .take_while(|(_, payload)| {
                bytes += payload.len();
                bytes <= log::MAX_READ_BYTES
            })
            .map(|(offset, payload)| log::LogRecord {
                offset,
                payload: payload.clone(),
            })
            .collect();
        Ok(log::LogBatch {
            records,
            first_retained,
            end,
        })
    }
}

fn saturating_index(distance: u64) -> usize {
    usize::try_from(distance).unwrap_or(usize::MAX)
}

impl log::LogService for MemoryLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        Box::pin(async move {
            self.inject_faults().await?;
            self.append_now(stream, records)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: usize,
    ) -> BoxFuture<'a, Result<log::LogBatch, LogError>> {
        Box::pin(async move {
            self.inject_faults().await?;
            self.read_now(stream, from, max)
        })
    }
}

//! Log in memory with faults.

use std::{collections::VecDeque, time};

use bytes::Bytes;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::log::{self, LogError};

/// Streams that a log holds at most.
const MAX_STREAMS: usize = 64;

/// Log in memory; the oldest records expire beyond its size.
pub struct MemoryLog {
    state: Mutex<LogState>,
    stream_bytes: usize,
}

#[derive(Default)]
struct LogState {
    streams: Vec<LogStream>,
    delay: time::Duration,
    down_until: Option<Instant>,
    lost_replies: u32,
    lag: u64,
    appends: u64,
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
    /// Log that keeps at most this many bytes per stream.
    #[must_use]
    pub fn new(stream_bytes: usize) -> Self {
        Self {
            state: Mutex::new(LogState::default()),
            stream_bytes,
        }
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: time::Duration) {
        self.state.lock().delay = delay;
    }

    /// Fails every call without effect for a while.
    pub fn set_down(&self, duration: time::Duration) {
        self.state.lock().down_until = Some(Instant::now() + duration);
    }

    /// Loses the replies of the next appends after they took effect.
    pub fn lose_replies(&self, count: u32) {
        self.state.lock().lost_replies = count;
    }

    /// Hides the newest records of each stream from readers.
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

    /// Records that were appended to all streams.
    #[must_use]
    pub fn appended_records(&self) -> u64 {
        self.state.lock().appends
    }

    async fn wait(&self) -> Result<(), LogError> {
        let delay = self.state.lock().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let down = self.state.lock().down_until;
        if down.is_some_and(|until| Instant::now() < until) {
            return Err(LogError::NotApplied {
                message: "the log is down".to_owned(),
            });
        }
        Ok(())
    }

    fn append_now(&self, name: &str, records: Vec<Bytes>) -> Result<u64, LogError> {
        let refused = |message: &str| LogError::Refused {
            message: message.to_owned(),
        };
        let largest = records.iter().map(Bytes::len).max().unwrap_or(0);
        if records.is_empty() || largest > log::MAX_RECORD_BYTES {
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
        state.appends += records.len() as u64;
        for record in records {
            stream.bytes += record.len();
            stream.records.push_back(record);
        }
        while stream.bytes > self.stream_bytes {
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
            .zip(stream.records.iter().skip(index_of(from - first_retained)))
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

fn index_of(distance: u64) -> usize {
    usize::try_from(distance).unwrap_or(usize::MAX)
}

impl log::LogService for MemoryLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        Box::pin(async move {
            self.wait().await?;
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
            self.wait().await?;
            self.read_now(stream, from, max)
        })
    }
}

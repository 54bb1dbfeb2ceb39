//! Software versions that began streams, kept by a broker for gateways.
//!
//! A gateway that is killed forgets the streams that it served. Their callers come to other gateways,
//! which ask the brokers. The state is in memory only; each stream is kept by several brokers.

use std::time;

use decisions::{software_version::SoftwareVersion, stream_origins};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::process_clock;

/// Stream that has begun at a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamStart {
    /// Id of the stream ([`stream_origins::stream_id`]).
    pub stream: u64,
    /// Version that wrote its first event.
    pub software: SoftwareVersion,
    /// Time for which its caller may take it up.
    pub keep: time::Duration,
}

/// Keeper of streams, as a trait object for the listener.
pub trait StreamKeeper: Send + Sync {
    /// Records starts of streams.
    fn record_streams(&self, starts: Vec<StreamStart>);
    /// Version that began a stream, if it is known.
    fn find_stream(&self, stream: u64) -> Option<SoftwareVersion>;
}

/// Streams that one broker keeps.
pub struct StreamBook {
    origins: Mutex<stream_origins::StreamOrigins>,
    clock: process_clock::ProcessClock,
}

impl StreamBook {
    /// Empty book.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origins: Mutex::default(),
            clock: process_clock::ProcessClock::start(),
        }
    }
}

impl Default for StreamBook {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamKeeper for StreamBook {
    fn record_streams(&self, starts: Vec<StreamStart>) {
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        for start in starts {
            let keep_until = now + start.keep.min(stream_origins::MAX_KEEP_TIME);
            origins.insert(start.stream, start.software, keep_until, now);
        }
    }

    fn find_stream(&self, stream: u64) -> Option<SoftwareVersion> {
        let origins = self.origins.lock();
        origins.get(stream, self.clock.now()).cloned()
    }
}

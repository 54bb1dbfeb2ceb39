//! Streams that began at one gateway, and the brokers that were told of them.
//!
//! Brokers leave and restart while a stream lasts. It is then told to the brokers that come first in
//! its rendezvous order instead, so that its start survives the loss of the gateway.

use std::{net, time};

use crate::{expiring_map, rendezvous, software_version::SoftwareVersion, units};

/// Number of brokers that are told of a stream, so that the loss of one does not matter.
const KEEPER_COUNT: usize = 2;

#[derive(Clone, Debug)]
struct StartedStream {
    software: SoftwareVersion,
    /// Brokers that were told.
    told: Vec<net::SocketAddr>,
}

/// Start of a stream that a broker is to be told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamNotice {
    pub broker: net::SocketAddr,
    pub stream: u64,
    pub software: SoftwareVersion,
    /// Time for which it is to be kept.
    pub keep: time::Duration,
}

/// Streams of one gateway.
#[derive(Clone, Debug, Default)]
pub struct StreamStarts {
    streams: expiring_map::ExpiringMap<StartedStream>,
    /// Brokers that were available at the newest review, sorted.
    available: Vec<net::SocketAddr>,
}

impl StreamStarts {
    /// Records a stream, and returns what the brokers of the newest review are to be told.
    pub fn record(
        &mut self,
        stream: u64,
        software: SoftwareVersion,
        keep_until: units::Timestamp,
        now: units::Timestamp,
    ) -> Vec<StreamNotice> {
        let mut started = StartedStream {
            software,
            told: Vec::new(),
        };
        let keep = keep_until.since(now);
        let notices = notices(&mut started, stream, keep, &self.available);
        self.streams.insert(stream, started, keep_until, now);
        notices
    }

    /// Version that began a stream at this gateway.
    #[must_use]
    pub fn find(&self, stream: u64, now: units::Timestamp) -> Option<&SoftwareVersion> {
        self.streams.get(stream, now).map(|found| &found.software)
    }

    /// Takes over the brokers that are available now, and returns what they are to be told. One that was
    /// away may have forgotten what it was told.
    pub fn review(
        &mut self,
        mut available: Vec<net::SocketAddr>,
        now: units::Timestamp,
    ) -> Vec<StreamNotice> {
        available.sort_unstable();
        available.dedup();
        if available == self.available {
            return Vec::new();
        }
        self.available = available;
        let mut all = Vec::new();
        for (stream, keep_until, started) in self.streams.iter_mut(now) {
            let is_available = |broker: &net::SocketAddr| self.available.contains(broker);
            started.told.retain(is_available);
            all.extend(notices(
                started,
                stream,
                keep_until.since(now),
                &self.available,
            ));
        }
        all
    }
}

/// Notices to the first brokers that have not been told of a stream.
fn notices(
    started: &mut StartedStream,
    stream: u64,
    keep: time::Duration,
    available: &[net::SocketAddr],
) -> Vec<StreamNotice> {
    let mut ranked: Vec<_> = available
        .iter()
        .map(|broker| (rendezvous::rank(stream, *broker), *broker))
        .collect();
    if ranked.len() > KEEPER_COUNT {
        ranked.select_nth_unstable(KEEPER_COUNT);
        ranked.truncate(KEEPER_COUNT);
    }
    let mut notices = Vec::new();
    for (_, broker) in ranked {
        if started.told.contains(&broker) {
            continue;
        }
        started.told.push(broker);
        notices.push(StreamNotice {
            broker,
            stream,
            software: started.software.clone(),
            keep,
        });
    }
    notices
}

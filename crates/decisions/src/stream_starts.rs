//! Streams that began at one gateway, and the brokers that were told of them.
//!
//! Brokers leave and restart while a stream lasts. It is then told to the brokers that come first in
//! its rendezvous order instead, so that its start survives the loss of the gateway.

use std::{net, time};

use crate::{expiring_map, rendezvous, software_version::SoftwareVersion, units};

/// Number of brokers that are told of a stream, so that the loss of one does not matter.
const KEEPER_COUNT: usize = 2;

/// Broker that may be told of streams.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamKeeper {
    pub address: net::SocketAddr,
    /// Number of failed calls to it, after each of which it may have forgotten what it was told.
    pub losses: u64,
}

#[derive(Clone, Debug)]
struct StartedStream {
    software: SoftwareVersion,
    /// Brokers that were told.
    told: Vec<StreamKeeper>,
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
    available: Vec<StreamKeeper>,
}

impl StreamStarts {
    /// Records a stream, and returns what the brokers of the newest review are to be told.
    pub fn record(
        &mut self,
        stream: u64,
        software: SoftwareVersion,
        keep: time::Duration,
        now: units::Timestamp,
    ) -> Vec<StreamNotice> {
        let mut started = StartedStream {
            software,
            told: Vec::new(),
        };
        let notices = notices(&mut started, stream, keep, &self.available);
        self.streams.insert(stream, started, now + keep, now);
        notices
    }

    /// Version that began a stream at this gateway.
    #[must_use]
    pub fn find(&self, stream: u64, now: units::Timestamp) -> Option<&SoftwareVersion> {
        self.streams.get(stream, now).map(|found| &found.software)
    }

    /// Takes over the brokers that are available now, and returns what they are to be told. One that was
    /// lost since may have forgotten what it was told.
    pub fn review(
        &mut self,
        mut available: Vec<StreamKeeper>,
        now: units::Timestamp,
    ) -> Vec<StreamNotice> {
        available.sort_unstable();
        available.dedup_by_key(|keeper| keeper.address);
        if available == self.available {
            return Vec::new();
        }
        let is_known = |keeper: &&StreamKeeper| self.available.binary_search(keeper).is_ok();
        let added = available.iter().filter(|keeper| !is_known(keeper));
        let added: Vec<StreamKeeper> = added.copied().collect();
        self.available = available;
        let mut all = Vec::new();
        for (stream, keep_until, started) in self.streams.iter_mut(now) {
            let is_available = |keeper: &StreamKeeper| self.available.binary_search(keeper).is_ok();
            started.told.retain(is_available);
            if started.needs_notice(stream, &added) {
                let keep = keep_until.since(now);
                all.extend(notices(started, stream, keep, &self.available));
            }
        }
        all
    }
}

impl StartedStream {
    /// Whether a broker that came is to be told, or too few of those that were told are left.
    fn needs_notice(&self, stream: u64, added: &[StreamKeeper]) -> bool {
        let rank = |keeper: &StreamKeeper| rendezvous::rank(stream, keeper.address);
        let last = self.told.iter().map(rank).max();
        let comes_before = |keeper: &StreamKeeper| last.is_none_or(|last| rank(keeper) < last);
        self.told.len() < KEEPER_COUNT || added.iter().any(comes_before)
    }
}

/// Notices to the first brokers that have not been told of a stream.
fn notices(
    started: &mut StartedStream,
    stream: u64,
    keep: time::Duration,
    available: &[StreamKeeper],
) -> Vec<StreamNotice> {
    let mut ranked: Vec<_> = available
        .iter()
        .map(|keeper| (rendezvous::rank(stream, keeper.address), *keeper))
        .collect();
    if ranked.len() > KEEPER_COUNT {
        ranked.select_nth_unstable(KEEPER_COUNT);
        ranked.truncate(KEEPER_COUNT);
    }
    let mut notices = Vec::new();
    for (_, keeper) in &ranked {
        if !started.told.contains(keeper) {
            notices.push(StreamNotice {
                broker: keeper.address,
                stream,
                software: started.software.clone(),
                keep,
            });
        }
    }
    started.told = ranked.into_iter().map(|(_, keeper)| keeper).collect();
    notices
}

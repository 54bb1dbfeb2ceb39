//! Crashes of replicas without a broker, passed on between the entries that call one broker.

use std::{net, time};

use crate::{crash_log, units};

/// Age up to which a crash is passed on.
pub const RELAY_TIME: time::Duration = time::Duration::from_secs(5);
/// Maximum number of crashes that are kept; the oldest yields.
const MAX_CRASHES: usize = 32;

/// Crash of a replica at an address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaCrash {
    pub address: net::SocketAddr,
    pub crash: crash_log::EngineCrash,
}

/// Recent crashes, with what all entries know about them.
#[derive(Clone, Debug, Default)]
pub struct CrashRelay {
    /// In order of arrival.
    crashes: Vec<ReplicaCrash>,
}

impl CrashRelay {
    /// Adds crashes, or what is new about them.
    pub fn record(
        &mut self,
        crashes: impl IntoIterator<Item = ReplicaCrash>,
        now: units::Timestamp,
    ) {
        for found in crashes {
            let known = self.crashes.iter_mut().find(|known| {
                known.address == found.address && known.crash.incarnation == found.crash.incarnation
            });
            match known {
                Some(known) => {
                    known.crash.merge(&found.crash);
                }
                None => self.crashes.push(found),
            }
        }
        self.crashes
            .retain(|known| now.since(known.crash.at) < RELAY_TIME);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
    }

    /// Crashes that are still passed on.
    pub fn recent(&self, now: units::Timestamp) -> impl Iterator<Item = &ReplicaCrash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |known| now.since(known.crash.at) < RELAY_TIME)
    }
}

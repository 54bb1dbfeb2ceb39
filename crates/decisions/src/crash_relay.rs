//! Crashes of replicas without a broker, passed on between the entries that call one broker.
//!
//! Entries remember what they were told, so a crash is passed on for a short time only. One that has
//! just started is told all crashes that still count.

use std::{net, time};

use crate::{crash_log, units};

/// Age up to which a crash is passed on.
pub const RELAY_TIME: time::Duration = time::Duration::from_secs(5);
/// Age up to which an entry that has just started is told of a crash.
const MEMORY: time::Duration = time::Duration::from_hours(1);
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
            .retain(|known| now.since(known.crash.at) < MEMORY);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
    }

    /// Crashes to tell an entry of, which may have just started.
    pub fn crashes_for(
        &self,
        is_new_entry: bool,
        now: units::Timestamp,
    ) -> impl Iterator<Item = &ReplicaCrash> {
        let max_age = if is_new_entry { MEMORY } else { RELAY_TIME };
        let crashes = self.crashes.iter();
        crashes.filter(move |known| now.since(known.crash.at) < max_age)
    }
}

//! Number of gateways that share the limits of organisations.
//!
//! It must not be too low, since each gateway may hold one part of a limit. A gateway that goes
//! silent is therefore counted for [`quota::FORGET_TIME`], and gateways tell owners the largest
//! number that they have heard, which a restarted owner would have to learn otherwise.

use crate::{quota, units};

#[derive(Debug)]
struct RosterEntry {
    gateway: u64,
    heard_at: units::Timestamp,
    /// Number of gateways that this one knows of.
    known_gateways: u32,
}

/// Gateways that call a broker, sorted by the hash of their instance's name.
#[derive(Debug, Default)]
pub struct QuotaRoster {
    entries: Vec<RosterEntry>,
}

impl QuotaRoster {
    /// Records a call of a gateway.
    pub fn record_call(&mut self, gateway: u64, known_gateways: u32, now: units::Timestamp) {
        let entry = RosterEntry {
            gateway,
            heard_at: now,
            known_gateways,
        };
        let found = self
            .entries
            .binary_search_by_key(&gateway, |entry| entry.gateway);
        match found {
            Ok(position) => self.entries[position] = entry,
            Err(position) => self.entries.insert(position, entry),
        }
    }

    /// Forgets gateways that have been silent for long.
    pub fn expire(&mut self, now: units::Timestamp) {
        self.entries
            .retain(|entry| now.since(entry.heard_at) < quota::FORGET_TIME);
    }

    /// Number of gateways that have called this broker.
    #[must_use]
    pub fn heard_count(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Number of gateways, including those that only others have heard of.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        let known = self.entries.iter().map(|entry| entry.known_gateways);
        known.max().unwrap_or(0).max(self.heard_count())
    }
}

/// Largest number of gateways that brokers have told a gateway lately.
#[derive(Debug, Default)]
pub struct KnownGateways {
    current: u32,
    previous: u32,
    current_since: units::Timestamp,
}

impl KnownGateways {
    /// Records the number of gateways that a broker has heard.
    pub fn record(&mut self, gateways: u32, now: units::Timestamp) {
        if now.since(self.current_since) >= quota::FORGET_TIME / 2 {
            self.previous = self.current;
            self.current = 0;
            self.current_since = now;
        }
        self.current = self.current.max(gateways);
    }

    /// Largest number; 0 if none is known.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.current.max(self.previous)
    }
}

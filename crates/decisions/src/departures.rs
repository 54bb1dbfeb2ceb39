//! Replicas that have left, as one entry remembers them.
//!
//! A store that returns from an older copy lists replicas again that had left since the copy. One
//! incarnation of a replica leaves once, so a record of a departed one tells nothing new.

use std::{collections::BTreeMap, time};

use crate::units;

/// Time for which a departure is remembered; a copy of the store is seconds old.
const MEMORY: time::Duration = time::Duration::from_mins(10);
/// Maximum number of departures; the oldest yields.
const MAX_DEPARTURES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: u64,
    at: units::Timestamp,
}

/// Departures by replica.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    departures: BTreeMap<String, Departure>,
}

impl Departures {
    /// Records that a replica has left.
    pub fn record(&mut self, replica: &str, incarnation: u64, now: units::Timestamp) {
        let departure = Departure {
            incarnation,
            at: now,
        };
        self.departures.insert(replica.to_owned(), departure);
        if self.departures.len() > MAX_DEPARTURES {
            self.drop_oldest();
        }
    }

    /// Records that a replica is there again.
    pub fn forget(&mut self, replica: &str) {
        self.departures.remove(replica);
    }

    /// Whether an incarnation of a replica, or a later one, has left.
    #[must_use]
    pub fn has_left(&self, replica: &str, incarnation: u64, now: units::Timestamp) -> bool {
        self.departures.get(replica).is_some_and(|departure| {
            incarnation <= departure.incarnation && now.since(departure.at) < MEMORY
        })
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .departures
            .iter()
            .min_by_key(|(_, departure)| departure.at);
        let oldest = oldest.map(|(replica, _)| replica.clone());
        if let Some(replica) = oldest {
            self.departures.remove(&replica);
        }
    }
}

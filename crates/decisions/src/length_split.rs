//! Split of a service's engines between long and short responses.
//!
//! An engine interleaves prefill with decode steps, so every prompt delays the next event of a long
//! response. Long responses therefore prefer engines of their own: a third of the capacity, and of
//! engines that differ in speed the fast ones, because on a slow one a single prompt delays an event by
//! more than callers accept. The order is by speed tier and then by the hash of the address, so that all
//! entries with the same views split alike, and engines of one speed keep their places.

use crate::relative_speed;

/// Divisor of the capacity that gives the part for long responses.
const LONG_CAPACITY_DIVISOR: f64 = 3.0;

/// Place of an engine in the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthPlace {
    pub tier: relative_speed::SpeedTier,
    /// Hash of the engine's address.
    pub hash: u64,
    /// Work of the engine in the time in which one of usual speed does 1.
    pub capacity: f64,
}

impl LengthPlace {
    fn key(&self) -> (relative_speed::SpeedTier, u64) {
        (self.tier, self.hash)
    }
}

/// Split of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct LengthSplit {
    /// First place that prefers short responses.
    boundary: Option<(relative_speed::SpeedTier, u64)>,
}

impl LengthSplit {
    /// Splits all engines of a service, also those that take no requests at the moment.
    #[must_use]
    pub fn new(mut places: Vec<LengthPlace>) -> Self {
        places.sort_unstable_by_key(LengthPlace::key);
        let total: f64 = places.iter().map(|place| place.capacity).sum();
        let mut ahead = 0.0;
        let first_short = places.iter().find(|place| {
            let is_short = ahead * LONG_CAPACITY_DIVISOR >= total;
            ahead += place.capacity;
            is_short
        });
        Self {
            boundary: first_short.map(LengthPlace::key),
        }
    }

    /// Whether an engine prefers long responses.
    #[must_use]
    pub fn prefers_long(&self, place: &LengthPlace) -> bool {
        self.boundary.is_none_or(|boundary| place.key() < boundary)
    }
}

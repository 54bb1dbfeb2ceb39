//! Share of the adapters that are loaded at one engine for all data centres together.
//!
//! When more adapters are in use than engines have slots, a copy in each data centre pushes out other
//! adapters, which are loaded again for their next requests. A pooled adapter is loaded at the engine
//! that ranks first for it in all data centres; any other one is loaded where its request is. The
//! share follows the part of the engines that unloaded adapters recently, which all gateways see
//! alike; adapters are pooled in the order of their hash, so that gateways agree on most of them.

use std::time;

use crate::{replica_choice, units};

/// Time for which an engine that unloaded an adapter counts as short of slots.
pub const UNLOAD_MEMORY: time::Duration = time::Duration::from_secs(10);
/// Largest growth of the share a second.
const MAX_RISE: f64 = 1.0;
/// Largest fall a second. Adapters that are no longer pooled are loaded once more.
const MAX_FALL: f64 = 0.1;
/// Requests that an adapter has between two loads. If the way costs them more time together than the
/// load, pooling does not pay.
const REQUESTS_PER_LOAD: u32 = 10;

/// Share of pooled adapters, as one gateway knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PooledShare {
    share: f64,
    reviewed_at: Option<units::Timestamp>,
}

impl PooledShare {
    /// Adapts the share to the number of engines short of slots among those whose state is known.
    pub fn review(&mut self, short_count: u32, known_count: u32, now: units::Timestamp) {
        let reviewed_at = self.reviewed_at.replace(now).unwrap_or(now);
        if known_count == 0 {
            return;
        }
        let interval = now.since(reviewed_at).as_secs_f64().min(1.0);
        let target = f64::from(short_count) / f64::from(known_count);
        let change = (target - self.share).clamp(-MAX_FALL * interval, MAX_RISE * interval);
        self.share = (self.share + change).clamp(0.0, 1.0);
    }

    /// Share of the adapters, 0 to 1.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.share
    }

    /// Whether an adapter with a hash is pooled.
    #[must_use]
    pub fn includes(&self, adapter_hash: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a share needs less precision")]
        let fraction = adapter_hash as f64 / u64::MAX as f64;
        fraction < self.share
    }
}

/// Whether pooling pays at a distance.
#[must_use]
pub fn pays(delay: time::Duration) -> bool {
    delay * REQUESTS_PER_LOAD <= replica_choice::COLD_LOAD_COST
}

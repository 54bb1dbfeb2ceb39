//! Batching of claims into log appends, with at most one outstanding append per stream.

use std::{mem, time};

use crate::{claims, units};

/// Maximum number of claims per append; at 100 B each, a batch stays below 32 KB.
pub const MAX_BATCH_CLAIMS: usize = 256;

/// Queue of claims to append to one stream.
#[derive(Debug)]
pub struct ClaimBatcher {
    min_interval: time::Duration,
    queued: Vec<claims::ClaimRecord>,
    is_appending: bool,
    next_append: units::Timestamp,
}

impl ClaimBatcher {
    /// Batcher that starts appends at least `min_interval` apart.
    #[must_use]
    pub fn new(min_interval: time::Duration) -> Self {
        Self {
            min_interval,
            queued: Vec::new(),
            is_appending: false,
            next_append: units::Timestamp::default(),
        }
    }

    /// Adds a claim unless it is already queued.
    pub fn push(&mut self, claim: claims::ClaimRecord) {
        if !self.queued.iter().any(|other| other.is_same_claim(&claim)) {
            self.queued.push(claim);
        }
    }

    /// Removes an abandoned claim that was not appended.
    pub fn remove(&mut self, claim: &claims::ClaimRecord) {
        self.queued.retain(|other| !other.is_same_claim(claim));
    }

    /// Next batch to append, if no append is outstanding and the interval has passed.
    pub fn next_batch(&mut self, now: units::Timestamp) -> Option<claims::ClaimBatch> {
        if self.is_appending || self.queued.is_empty() || now < self.next_append {
            return None;
        }
        let rest = self
            .queued
            .split_off(self.queued.len().min(MAX_BATCH_CLAIMS));
        let claims = mem::replace(&mut self.queued, rest);
        self.is_appending = true;
        self.next_append = now + self.min_interval;
        Some(claims::ClaimBatch { claims })
    }

    /// Ends the outstanding append, whether or not its reply arrived. Each attempt of a lost batch
    /// reads the stream and adds its claim again if needed.
    pub fn finish_append(&mut self) {
        self.is_appending = false;
    }
}

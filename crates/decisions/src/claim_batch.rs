//! Grouping of claims into appends: one append outstanding per stream.

use std::{mem, time};

use crate::{claims, units};

/// Most claims in one append. At 100 B each, a batch stays below 32 KB.
pub const MAX_BATCH_CLAIMS: usize = 256;

/// Claims of one stream that wait for an append.
#[derive(Debug)]
pub struct ClaimBatcher {
    gap: time::Duration,
    waiting: Vec<claims::ClaimRecord>,
    is_appending: bool,
    next_append: units::Timestamp,
}

impl ClaimBatcher {
    /// Batcher that starts appends at least `gap` apart.
    #[must_use]
    pub fn new(gap: time::Duration) -> Self {
        Self {
            gap,
            waiting: Vec::new(),
            is_appending: false,
            next_append: units::Timestamp::default(),
        }
    }

    /// Adds a claim; one that already waits is not added twice.
    pub fn push(&mut self, claim: claims::ClaimRecord) {
        if !self.waiting.iter().any(|other| other.is_same_claim(&claim)) {
            self.waiting.push(claim);
        }
    }

    /// Removes a claim that its entry has abandoned and that was not appended.
    pub fn remove(&mut self, claim: &claims::ClaimRecord) {
        self.waiting.retain(|other| !other.is_same_claim(claim));
    }

    /// Next batch to append, if none is outstanding and the gap has passed.
    pub fn next_batch(&mut self, now: units::Timestamp) -> Option<claims::ClaimBatch> {
        if self.is_appending || self.waiting.is_empty() || now < self.next_append {
            return None;
        }
        let rest = self
            .waiting
            .split_off(self.waiting.len().min(MAX_BATCH_CLAIMS));
        let claims = mem::replace(&mut self.waiting, rest);
        self.is_appending = true;
        self.next_append = now + self.gap;
        Some(claims::ClaimBatch { claims })
    }

    /// Ends the outstanding append, whether or not its reply arrived. Every attempt in a lost
    /// batch reads the stream and adds its claim again if needed.
    pub fn finish_append(&mut self) {
        self.is_appending = false;
    }
}

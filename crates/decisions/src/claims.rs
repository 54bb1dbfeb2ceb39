//! Claims of idempotency keys on a log stream.
//!
//! The first claim of a key in log order wins. A later attempt wins only if it supersedes the
//! current winner's request, which its entry has prevented from starting by a tombstone. Expiry
//! uses the times in the records and never the reader's clock: with their own clocks, two readers
//! could each see their own claim win.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// Milliseconds since the Unix epoch by the clock of the claiming entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WallTime(pub u64);

/// Idempotency key within its operator. The text is stored, since a hash collision would give one
/// caller the response of another.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    pub operator: String,
    pub key: String,
}

/// Claim of one entry to run the request of a key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimRecord {
    pub key: ClaimKey,
    /// Counts from 0 and increases with each superseding claim.
    pub attempt: u32,
    /// Request of the previous attempt, which was cancelled by a tombstone.
    pub supersedes: Option<ids::RequestId>,
    pub request: ids::RequestId,
    /// Agent incarnation that may run the request.
    pub agent: ids::Incarnation,
    /// Hash of the route and the request body.
    pub body_hash: u128,
    pub claimed_at: WallTime,
}

/// Claims in one log record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimBatch {
    pub claims: Vec<ClaimRecord>,
}

/// Effect of one claim on the window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimEffect {
    Won,
    /// The winning claim was appended again.
    Duplicate,
    Lost,
    /// The key was claimed with another body.
    KeyReused,
    /// Appended after the claim expired.
    Stale,
}

/// Recent claims of one log stream, rebuilt by replay.
#[derive(Debug)]
pub struct ClaimWindow {
    length: time::Duration,
    first_offset: u64,
    next_offset: u64,
    /// Time of the first claim read.
    first_time: Option<WallTime>,
    /// Latest time in the claims read so far.
    log_time: WallTime,
    /// A tree, since keys arrive in random order and a sorted vector would move half of the window,
    /// about 100,000 claims on a single stream, with every insert.
    winners: collections::BTreeMap<ClaimKey, ClaimRecord>,
    /// Winning claims in log order, for expiry.
    expiry_queue: collections::VecDeque<ExpiryEntry>,
}

/// Winning claim in the expiry queue; a superseding claim gets an entry of its own.
#[derive(Debug)]
struct ExpiryEntry {
    key: ClaimKey,
    request: ids::RequestId,
    claimed_at: WallTime,
}

impl WallTime {
    fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl ClaimKey {
    /// Index of this key's log stream among `streams`, which is at least 1.
    #[must_use]
    pub fn stream_index(&self, streams: u16) -> u16 {
        let seed = xxh3::xxh3_64(self.operator.as_bytes());
        let hash = xxh3::xxh3_64_with_seed(self.key.as_bytes(), seed);
        u16::try_from(hash % u64::from(streams.max(1))).unwrap_or(0)
    }
}

impl ClaimRecord {
    /// Whether both records are the same claim, possibly appended repeatedly.
    #[must_use]
    pub fn is_same_claim(&self, other: &Self) -> bool {
        self.request == other.request && self.attempt == other.attempt
    }
}

impl ClaimWindow {
    /// Empty window that starts with the record at `first_offset`.
    #[must_use]
    pub fn new(length: time::Duration, first_offset: u64) -> Self {
        Self {
            length,
            first_offset,
            next_offset: first_offset,
            first_time: None,
            log_time: WallTime(0),
            winners: collections::BTreeMap::new(),
            expiry_queue: collections::VecDeque::new(),
        }
    }

    /// Applies the log record at `offset` and returns the effect of each claim; a record that was
    /// already applied is ignored.
    pub fn apply(&mut self, offset: u64, batch: &ClaimBatch) -> Vec<ClaimEffect> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
        batch
            .claims
            .iter()
            .map(|claim| self.apply_claim(claim))
            .collect()
    }

    /// Offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Winning claim of a key, unless it has expired.
    #[must_use]
    pub fn winner(&self, key: &ClaimKey, now: WallTime) -> Option<&ClaimRecord> {
        let winner = self.winners.get(key)?;
        (now.since(winner.claimed_at) < self.length).then_some(winner)
    }

    /// Whether all claims that still count were read. Until then an earlier claim may be missing,
    /// and the winner of a key is not known.
    #[must_use]
    pub fn is_complete(&self, now: WallTime) -> bool {
        let is_old = |first| now.since(first) >= self.length;
        self.first_offset == 0 || self.first_time.is_some_and(is_old)
    }

    /// Number of winning claims in the window.
    #[must_use]
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Whether the window has no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }

    fn apply_claim(&mut self, claim: &ClaimRecord) -> ClaimEffect {
        let is_stale = self.log_time.since(claim.claimed_at) >= self.length;
        self.first_time.get_or_insert(claim.claimed_at);
        self.log_time = self.log_time.max(claim.claimed_at);
        if is_stale {
            return ClaimEffect::Stale;
        }
        if let Some(winner) = self.winners.get(&claim.key)
            && claim.claimed_at.since(winner.claimed_at) < self.length
        {
            if claim.is_same_claim(winner) {
                return ClaimEffect::Duplicate;
            }
            if claim.body_hash != winner.body_hash {
                return ClaimEffect::KeyReused;
            }
            let is_next_attempt = claim.attempt == winner.attempt + 1;
            if !is_next_attempt || claim.supersedes != Some(winner.request) {
                return ClaimEffect::Lost;
            }
        }
        self.winners.insert(claim.key.clone(), claim.clone());
        self.expiry_queue.push_back(ExpiryEntry {
            key: claim.key.clone(),
            request: claim.request,
            claimed_at: claim.claimed_at,
        });
        self.expire();
        ClaimEffect::Won
    }

    /// Drops claims older than two window lengths. Claims that still count are younger than one
    /// length, so they win whether or not the dropped claim is known.
    fn expire(&mut self) {
        while let Some(oldest) = self.expiry_queue.front()
            && self.log_time.since(oldest.claimed_at) >= self.length.saturating_mul(2)
        {
            let winner = self.winners.get(&oldest.key);
            if winner.is_some_and(|winner| winner.request == oldest.request) {
                self.winners.remove(&oldest.key);
            }
            self.expiry_queue.pop_front();
        }
    }
}

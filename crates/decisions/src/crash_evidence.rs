//! Crashes that may be attributed to one prompt part.

use std::time;

use crate::{crash_log, suspects, units};

/// Crashes within this time of one another count once, because a common failure, such as the loss
/// of a rack, ends several engines at the same moment. They count separately if one generation was
/// open at both, because it is sent to an engine only after it was lost at another one.
const CRASH_WINDOW: time::Duration = time::Duration::from_millis(200);

/// Crashes in which a part is suspected and not cleared.
#[derive(Clone, Debug)]
pub struct PartEvidence {
    pub part: u64,
    /// Largest position in the suspected prompts.
    pub position: u8,
    pub last_crash: units::Timestamp,
    /// Times of separate crashes, in order.
    times: Vec<units::Timestamp>,
    /// Maximum number of crashes under one generation.
    repeats: usize,
}

impl PartEvidence {
    /// Evidence against a part among crashes.
    #[must_use]
    pub fn new(part: u64, crashes: &[&crash_log::EngineCrash]) -> Self {
        let mut suspected: Vec<&crash_log::EngineCrash> = Vec::new();
        let mut position = 0;
        for crash in crashes {
            if let Some(suspect) = crash.suspect(part)
                && !suspect.is_cleared
            {
                suspected.push(crash);
                position = position.max(suspect.position);
            }
        }
        suspected.sort_by_key(|crash| crash.at);
        let last_crash = suspected
            .last()
            .map_or_else(Default::default, |last| last.at);
        let repeats = max_repeats(&suspected);
        suspected.dedup_by(|later, earlier| is_simultaneous(earlier, later));
        Self {
            part,
            position,
            last_crash,
            times: suspected.iter().map(|crash| crash.at).collect(),
            repeats,
        }
    }

    /// Number of separate crashes.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.times.len()
    }

    /// Maximum number of crashes under one generation, one after the other.
    #[must_use]
    pub fn repeats(&self) -> usize {
        self.repeats
    }

    /// Time by which there were `count` separate crashes; zero if there were fewer.
    #[must_use]
    pub fn time_of(&self, count: usize) -> units::Timestamp {
        let position = count.saturating_sub(1);
        self.times.get(position).copied().unwrap_or_default()
    }
}

/// Whether two crashes, in order of time, may have one common cause outside the requests.
fn is_simultaneous(earlier: &crash_log::EngineCrash, later: &crash_log::EngineCrash) -> bool {
    let is_repeated = generations(later).any(|id| earlier.suspect(id).is_some());
    !is_repeated && later.at.since(earlier.at) < CRASH_WINDOW
}

fn max_repeats(crashes: &[&crash_log::EngineCrash]) -> usize {
    let mut ids: Vec<u64> = crashes
        .iter()
        .flat_map(|crash| generations(crash))
        .collect();
    ids.sort_unstable();
    let repeats = ids.chunk_by(|id, next| id == next).map(<[u64]>::len);
    repeats.max().unwrap_or(0)
}

/// Ids of the generations that were open at a crash.
fn generations(crash: &crash_log::EngineCrash) -> impl Iterator<Item = u64> {
    let ids = crash.suspects.iter().map(|suspect| suspect.part);
    ids.filter(|id| suspects::is_generation(*id))
}

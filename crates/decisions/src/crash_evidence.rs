//! Crashes that may be attributed to one prompt part.

use std::time;

use crate::{crash_log, units};

/// Crashes within this time of one another count once, because a common failure, such as the loss
/// of a rack, ends several engines at the same moment.
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
}

impl PartEvidence {
    /// Evidence against a part among crashes.
    #[must_use]
    pub fn new(part: u64, crashes: &[&crash_log::EngineCrash]) -> Self {
        let mut times = Vec::new();
        let mut position = 0;
        for crash in crashes {
            if let Some(suspect) = crash.suspect(part)
                && !suspect.is_cleared
            {
                times.push(crash.at);
                position = position.max(suspect.position);
            }
        }
        times.sort_unstable();
        let last_crash = times.last().copied().unwrap_or_default();
        times.dedup_by(|later, earlier| later.since(*earlier) < CRASH_WINDOW);
        Self {
            part,
            position,
            last_crash,
            times,
        }
    }

    /// Number of separate crashes.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.times.len()
    }

    /// Time by which there were `count` separate crashes; zero if there were fewer.
    #[must_use]
    pub fn time_of(&self, count: usize) -> units::Timestamp {
        let position = count.saturating_sub(1);
        self.times.get(position).copied().unwrap_or_default()
    }
}

//! Newest sound start of each request and prompt part, as seen by one entry.

use crate::units;

/// Maximum number of parts; the half that started least recently yields.
const MAX_PARTS: usize = 8192;

#[derive(Clone, Copy, Debug)]
struct PartStart {
    part: u64,
    /// Number of the start among all starts.
    number: u64,
    at: units::Timestamp,
}

/// Newest start of each prompt part.
#[derive(Clone, Debug, Default)]
pub struct PartStarts {
    total: u64,
    /// Sorted by part.
    starts: Vec<PartStart>,
}

impl PartStarts {
    /// Records that a request with the parts has started and brought events.
    pub fn record(&mut self, parts: &[u64], now: units::Timestamp) {
        self.total += 1;
        for part in parts {
            let start = PartStart {
                part: *part,
                number: self.total,
                at: now,
            };
            match self.find(*part) {
                Ok(position) => self.starts[position] = start,
                Err(position) => self.starts.insert(position, start),
            }
        }
        if self.starts.len() > MAX_PARTS {
            self.drop_oldest_half();
        }
    }

    /// Time of the newest start of a part.
    #[must_use]
    pub fn last_start(&self, part: u64) -> Option<units::Timestamp> {
        let position = self.find(part).ok()?;
        Some(self.starts[position].at)
    }

    /// Number of starts since the newest one of a part, or since the first start of all.
    #[must_use]
    pub fn starts_since(&self, part: u64) -> u64 {
        let number = self
            .find(part)
            .map_or(0, |position| self.starts[position].number);
        self.total - number
    }

    fn find(&self, part: u64) -> Result<usize, usize> {
        self.starts.binary_search_by_key(&part, |start| start.part)
    }

    fn drop_oldest_half(&mut self) {
        let mut numbers: Vec<u64> = self.starts.iter().map(|start| start.number).collect();
        numbers.sort_unstable();
        let median = numbers[numbers.len() / 2];
        self.starts.retain(|start| start.number > median);
    }
}

//! Crashes of one engine, with the prompt parts that may have caused them.
//!
//! An input that crashes an engine does so when the engine starts to generate from it. The requests
//! that the engine was about to start, or had just started, and the parts of their prompts are
//! therefore the suspects of a crash; requests that had run for longer are not.

use std::time;

use serde::{Deserialize, Serialize};

use crate::units;

/// Time for which a withdrawn request still counts as one that the engine was about to start.
/// Entries notice a crash before the broker does and release their permits.
const WITHDRAWAL_PERIOD: time::Duration = time::Duration::from_millis(300);
/// Maximum number of crashes that are kept; the oldest yields.
const MAX_CRASHES: usize = 4;
/// Maximum number of suspects of one crash; more than one prompt has.
const MAX_SUSPECTS: usize = 512;

/// Prompt part of a request that an engine was about to start when it crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SuspectPart {
    pub part: u64,
    /// Position in the prompt, from 0.
    pub position: u8,
    /// A request with the part has started since the crash.
    pub is_cleared: bool,
}

/// Crash of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCrash {
    /// Incarnation that crashed.
    pub incarnation: u64,
    /// Time at which the crash was noticed.
    pub at: units::Timestamp,
    /// Sorted by part.
    pub suspects: Vec<SuspectPart>,
}

/// Prompt parts of a request whose permit was released before it started.
#[derive(Clone, Debug)]
struct WithdrawnPrompt {
    parts: Vec<u64>,
    at: units::Timestamp,
}

impl EngineCrash {
    /// Crash of a replica that had requests with the suspects, in no order.
    #[must_use]
    pub fn new(
        incarnation: u64,
        suspects: impl Iterator<Item = u64>,
        at: units::Timestamp,
    ) -> Self {
        let suspects = suspects.map(|part| SuspectPart {
            part,
            position: 0,
            is_cleared: false,
        });
        Self::with_suspects(incarnation, suspects.collect(), at)
    }

    /// Crash of an engine that was about to start a request with the suspects, in the order of its
    /// prompt.
    #[must_use]
    pub fn of_prompt(
        incarnation: u64,
        suspects: impl Iterator<Item = u64>,
        at: units::Timestamp,
    ) -> Self {
        Self::with_suspects(incarnation, suspect_parts(suspects).collect(), at)
    }

    fn with_suspects(
        incarnation: u64,
        mut suspects: Vec<SuspectPart>,
        at: units::Timestamp,
    ) -> Self {
        suspects.sort_unstable();
        suspects.dedup_by_key(|suspect| suspect.part);
        Self {
            incarnation,
            at,
            suspects,
        }
    }

    /// Adds what another report of the same crash knows; false if nothing is new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut is_changed = false;
        for suspect in &other.suspects {
            match self.find(suspect.part) {
                Some(position) => {
                    let known = &mut self.suspects[position];
                    is_changed |= suspect.is_cleared && !known.is_cleared;
                    known.is_cleared |= suspect.is_cleared;
                }
                None if self.suspects.len() < MAX_SUSPECTS => {
                    let position = self
                        .suspects
                        .partition_point(|known| known.part < suspect.part);
                    self.suspects.insert(position, *suspect);
                    is_changed = true;
                }
                None => {}
            }
        }
        is_changed
    }

    /// Suspect with a part.
    #[must_use]
    pub fn suspect(&self, part: u64) -> Option<&SuspectPart> {
        let position = self.find(part)?;
        Some(&self.suspects[position])
    }

    /// Whether a part is suspected and not cleared.
    #[must_use]
    pub fn suspects_part(&self, part: u64) -> bool {
        self.suspect(part)
            .is_some_and(|suspect| !suspect.is_cleared)
    }

    /// Clears suspects, because requests with their parts have started since; false if none was
    /// suspected.
    pub fn clear(&mut self, parts: &[u64]) -> bool {
        let mut is_changed = false;
        for part in parts {
            if let Some(position) = self.find(*part) {
                is_changed |= !self.suspects[position].is_cleared;
                self.suspects[position].is_cleared = true;
            }
        }
        is_changed
    }

    fn find(&self, part: u64) -> Option<usize> {
        let found = self
            .suspects
            .binary_search_by_key(&part, |suspect| suspect.part);
        found.ok()
    }
}

/// Crashes of one engine.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    /// In order of time.
    crashes: Vec<EngineCrash>,
    withdrawn: Vec<WithdrawnPrompt>,
}

impl CrashLog {
    /// Records that a permit was released before its request started.
    pub fn record_withdrawal(&mut self, parts: Vec<u64>, now: units::Timestamp) {
        self.withdrawn
            .retain(|prompt| now.since(prompt.at) < WITHDRAWAL_PERIOD);
        if !parts.is_empty() {
            self.withdrawn.push(WithdrawnPrompt { parts, at: now });
        }
    }

    /// Records a crash with the prompts of the requests that may have caused it. Returns it unless it is known or the
    /// incarnation is not.
    pub fn record_crash<'a>(
        &mut self,
        incarnation: u64,
        prompts: impl Iterator<Item = &'a [u64]>,
        now: units::Timestamp,
    ) -> Option<&EngineCrash> {
        let is_known = self
            .crashes
            .iter()
            .any(|crash| crash.incarnation == incarnation);
        if incarnation == 0 || is_known {
            return None;
        }
        let mut suspects: Vec<SuspectPart> = prompts
            .flat_map(|prompt| suspect_parts(prompt.iter().copied()))
            .collect();
        for prompt in std::mem::take(&mut self.withdrawn) {
            if now.since(prompt.at) < WITHDRAWAL_PERIOD {
                suspects.extend(suspect_parts(prompt.parts.iter().copied()));
            }
        }
        suspects.sort_unstable();
        suspects.dedup_by_key(|suspect| suspect.part);
        suspects.truncate(MAX_SUSPECTS);
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(EngineCrash {
            incarnation,
            at: now,
            suspects,
        });
        self.crashes.last()
    }

    /// Clears all suspects of an incarnation that has reported since, because it did not crash.
    pub fn retract(&mut self, incarnation: u64) {
        for crash in &mut self.crashes {
            if crash.incarnation == incarnation {
                for suspect in &mut crash.suspects {
                    suspect.is_cleared = true;
                }
            }
        }
    }

    /// Clears suspects of the crash of an incarnation.
    pub fn clear(&mut self, incarnation: u64, parts: &[u64]) {
        let mut crashes = self.crashes.iter_mut();
        if let Some(crash) = crashes.find(|crash| crash.incarnation == incarnation) {
            crash.clear(parts);
        }
    }

    /// Crashes in order of time.
    #[must_use]
    pub fn crashes(&self) -> &[EngineCrash] {
        &self.crashes
    }
}

fn suspect_parts(prompt: impl Iterator<Item = u64>) -> impl Iterator<Item = SuspectPart> {
    prompt.enumerate().map(|(position, part)| SuspectPart {
        part,
        position: u8::try_from(position).unwrap_or(u8::MAX),
        is_cleared: false,
    })
}

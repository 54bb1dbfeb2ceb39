//! Quarantine of requests and prompt parts that crash replicas.
//!
//! A request that crashes its replica is repeated by its entry and its caller, so that one request, or
//! one prompt part, can end replica after replica. Each broker reports the crashes of its engine with
//! the requests that the engine was about to start and the parts of their prompts. Replicas without
//! a broker are watched by the entries, which tell each other the requests that were open at a
//! crash. From all reports an entry works out which suspect, a request or a part, has caused the
//! crashes, and refuses requests with it. Both kinds are called parts here.
//!
//! A part is blocked when it was suspected in several crashes and no request with it has started
//! since. Parts that requests share with the cause are suspected as often, but start soundly at other
//! engines: one such start, seen by any entry, clears a part of the crashes before it. Each crash is
//! attributed to one part only. A whole request explains its crashes only as long as no part explains
//! as many of them, because requests with a crashing part are repeated as well. An entry that sees few
//! requests waits until other starts, or the reports of other entries, show that a common part would
//! have started by now.
//!
//! A request that ends one replica is repeated at another one by its entry, and by its caller. Crashes
//! that follow each other in this way within a moment have no common failure as their cause.
//!
//! Entries also tell each other, through the brokers, which parts they block on evidence of their own.
//! An entry that has just started, or has not heard of all crashes, follows them.
//!
//! A blocked part is tried again with a single request after a time that doubles with each crash.
//! If the request starts, the part is cleared everywhere.

use std::{cmp, net, time};

use crate::{crash_evidence, crash_log, crash_relay, part_starts, suspects, units};

/// Separate crashes after which a part is blocked.
const MIN_CRASHES: usize = 3;
/// Starts without a part after which the entry would have seen one with it if it was sound.
const MIN_OTHER_STARTS: u64 = 32;
/// Starts without a part that suffice when other entries had time to report one with it.
const MIN_SETTLED_STARTS: u64 = 4;
/// Starts without a part that suffice when one request has ended replicas one after the other, so that
/// one of its parts is the cause.
const MIN_REPEATED_STARTS: u64 = 8;
/// Time in which starts seen by other entries are reported by the brokers.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1500);
/// Time for which a crash counts.
const CRASH_MEMORY: time::Duration = time::Duration::from_hours(1);
/// Maximum number of crashes that are kept; the oldest yields.
const MAX_CRASHES: usize = 512;
/// Minimum time between two evaluations without new evidence.
const EVALUATION_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time from the newest crash or trial to the next trial, with the fewest crashes.
const TRIAL_DELAY: time::Duration = time::Duration::from_mins(1);
/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Age beyond which a verdict of other entries is ignored.
const MAX_VERDICT_AGE: time::Duration = time::Duration::from_secs(2);
/// Mean time between the trials of two entries, so that the result of the first one is known.
const TRIAL_SPACING: time::Duration = time::Duration::from_secs(2);

/// Crash that was reported.
#[derive(Clone, Debug)]
struct ReportedCrash {
    /// Address of the engine's broker, or of a replica without a broker.
    address: net::SocketAddr,
    crash: crash_log::EngineCrash,
    /// Reported by entries, as the replica has no broker.
    is_observed: bool,
}

/// Prompt part that is kept from engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockedPart {
    pub part: u64,
    /// Separate crashes that are attributed to the part.
    pub crashes: usize,
    last_crash: units::Timestamp,
    last_trial: Option<units::Timestamp>,
    /// Blocked because other entries do so, without enough evidence here.
    is_adopted: bool,
}

/// Part that other entries block, as a broker has reported.
#[derive(Clone, Copy, Debug)]
struct PeerVerdict {
    part: u64,
    at: units::Timestamp,
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptAdmission {
    Allowed,
    /// It may be sent once, to find out whether its blocked part is sound.
    Trial,
    /// It has a blocked part, which is tried again after that time.
    Blocked {
        retry_after: time::Duration,
    },
}

/// Change of the blocked parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    Blocked { part: u64, crashes: usize },
    Lifted { part: u64 },
}

/// Suspects of one crash that have started since.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClearedSuspects {
    /// Incarnation that crashed.
    pub incarnation: u64,
    pub parts: Vec<u64>,
}

/// Blocked prompt parts of one entry, with the evidence.
#[derive(Clone, Debug, Default)]
pub struct PromptQuarantine {
    /// Position of this entry's trials among those of all entries, from 0 to 1.
    trial_position: f64,
    starts: part_starts::PartStarts,
    /// Sorted by address and incarnation.
    crashes: Vec<ReportedCrash>,
    /// Sorted by part.
    blocked: Vec<BlockedPart>,
    /// Sorted by part.
    peer_verdicts: Vec<PeerVerdict>,
    evaluated_at: units::Timestamp,
}

impl PromptQuarantine {
    /// Quarantine without evidence. `trial_position` is from 0 to 1 and differs between entries.
    #[must_use]
    pub fn new(trial_position: f64) -> Self {
        Self {
            trial_position,
            ..Self::default()
        }
    }

    /// Whether a request with the parts may be sent, while `entries` entries are active.
    pub fn admit(&mut self, parts: &[u64], entries: u32, now: units::Timestamp) -> PromptAdmission {
        let delay = TRIAL_SPACING.mul_f64(f64::from(entries) * self.trial_position);
        let blocked = self.blocked.iter_mut();
        let mut blocked: Vec<&mut BlockedPart> = blocked
            .filter(|blocked| parts.contains(&blocked.part))
            .collect();
        let due_times = blocked.iter().map(|blocked| blocked.next_trial() + delay);
        let Some(due) = due_times.max() else {
            return PromptAdmission::Allowed;
        };
        if now < due {
            let retry_after = due.since(now);
            return PromptAdmission::Blocked { retry_after };
        }
        if blocked.iter().any(|blocked| blocked.is_adopted) {
            // The entries with evidence make the trial.
            let retry_after = TRIAL_DELAY;
            return PromptAdmission::Blocked { retry_after };
        }
        for blocked in &mut blocked {
            blocked.last_trial = Some(now);
        }
        PromptAdmission::Trial
    }

    /// Records the parts that a broker reports as blocked by other entries.
    pub fn record_peer_verdicts(
        &mut self,
        parts: &[u64],
        now: units::Timestamp,
    ) -> Vec<QuarantineChange> {
        for part in parts {
            let verdict = PeerVerdict {
                part: *part,
                at: now,
            };
            match self.find_verdict(*part) {
                Ok(position) => self.peer_verdicts[position] = verdict,
                Err(position) => self.peer_verdicts.insert(position, verdict),
            }
        }
        let is_due = now.since(self.evaluated_at) >= EVALUATION_INTERVAL;
        if is_due && !self.is_idle() {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// Whether there is no evidence and no verdict.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.crashes.is_empty() && self.peer_verdicts.is_empty() && self.blocked.is_empty()
    }

    /// Parts that are blocked on this entry's own evidence.
    #[must_use]
    pub fn proven_parts(&self) -> Vec<u64> {
        let proven = self.blocked.iter().filter(|blocked| !blocked.is_adopted);
        proven.map(|blocked| blocked.part).collect()
    }

    /// Records that a request with the parts has brought events.
    pub fn record_start(&mut self, parts: &[u64], now: units::Timestamp) -> Vec<QuarantineChange> {
        if parts.is_empty() {
            return Vec::new();
        }
        self.starts.record(parts, now);
        let mut is_changed = false;
        for reported in &mut self.crashes {
            if now > reported.crash.at {
                is_changed |= reported.crash.clear(parts);
            }
        }
        if is_changed {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// Records the crashes that a broker reports of its engine.
    pub fn record_crashes(
        &mut self,
        broker: net::SocketAddr,
        crashes: Vec<crash_log::EngineCrash>,
        now: units::Timestamp,
    ) -> Vec<QuarantineChange> {
        let mut is_changed = false;
        for crash in crashes {
            is_changed |= self.record_crash(broker, crash, false);
        }
        self.evaluate_if_due(is_changed, now)
    }

    /// Records crashes of replicas without a broker, from this entry or others.
    pub fn record_observed_crashes(
        &mut self,
        crashes: impl IntoIterator<Item = crash_relay::ReplicaCrash>,
        now: units::Timestamp,
    ) -> Vec<QuarantineChange> {
        let mut is_changed = false;
        for found in crashes {
            is_changed |= self.record_crash(found.address, found.crash, true);
        }
        self.evaluate_if_due(is_changed, now)
    }

    /// Recent crashes of replicas without a broker, for other entries.
    #[must_use]
    pub fn observed_crashes(&self, now: units::Timestamp) -> Vec<crash_relay::ReplicaCrash> {
        let observed = self.crashes.iter().filter(|reported| {
            reported.is_observed && now.since(reported.crash.at) < crash_relay::RELAY_TIME
        });
        let observed = observed.map(|reported| crash_relay::ReplicaCrash {
            address: reported.address,
            crash: reported.crash.clone(),
        });
        observed.collect()
    }

    fn evaluate_if_due(
        &mut self,
        is_changed: bool,
        now: units::Timestamp,
    ) -> Vec<QuarantineChange> {
        let is_due = now.since(self.evaluated_at) >= EVALUATION_INTERVAL;
        if is_changed || (is_due && !self.crashes.is_empty()) {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// Suspects of the crashes that a broker reports which are known to have started since.
    #[must_use]
    pub fn cleared_suspects(&self, broker: net::SocketAddr) -> Vec<ClearedSuspects> {
        let crashes = self
            .crashes
            .iter()
            .filter(|reported| reported.address == broker);
        let cleared = crashes.map(|reported| {
            let suspects = reported.crash.suspects.iter();
            let cleared = suspects.filter(|suspect| suspect.is_cleared);
            ClearedSuspects {
                incarnation: reported.crash.incarnation,
                parts: cleared.map(|suspect| suspect.part).collect(),
            }
        });
        cleared
            .filter(|cleared| !cleared.parts.is_empty())
            .collect()
    }

    /// Blocked parts, sorted by part.
    #[must_use]
    pub fn blocked(&self) -> &[BlockedPart] {
        &self.blocked
    }

    /// Adds a crash or what is new about it; false if nothing is.
    fn record_crash(
        &mut self,
        address: net::SocketAddr,
        mut crash: crash_log::EngineCrash,
        is_observed: bool,
    ) -> bool {
        let started = crash.suspects.iter().map(|suspect| suspect.part);
        let started = started.filter(|part| self.starts.last_start(*part) > Some(crash.at));
        let started: Vec<u64> = started.collect();
        crash.clear(&started);
        let key = (address, crash.incarnation);
        let found = self.crashes.binary_search_by_key(&key, |reported| {
            (reported.address, reported.crash.incarnation)
        });
        match found {
            Ok(position) => self.crashes[position].crash.merge(&crash),
            Err(position) => {
                let reported = ReportedCrash {
                    address,
                    crash,
                    is_observed,
                };
                self.crashes.insert(position, reported);
                self.drop_excess();
                true
            }
        }
    }

    fn drop_excess(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let positions = 0..self.crashes.len();
        if let Some(oldest) = positions.min_by_key(|position| self.crashes[*position].crash.at) {
            self.crashes.remove(oldest);
        }
    }

    /// Attributes the crashes to parts and replaces the blocked parts by those found.
    fn evaluate(&mut self, now: units::Timestamp) -> Vec<QuarantineChange> {
        self.evaluated_at = now;
        self.crashes
            .retain(|reported| now.since(reported.crash.at) < CRASH_MEMORY);
        self.peer_verdicts
            .retain(|verdict| now.since(verdict.at) < MAX_VERDICT_AGE);
        let earlier = std::mem::take(&mut self.blocked);
        let mut unexplained: Vec<&crash_log::EngineCrash> = self
            .crashes
            .iter()
            .map(|reported| &reported.crash)
            .collect();
        let mut blocked = Vec::new();
        // A part that is blocked already explains its crashes before a newly suspected one does, but
        // a whole request does not, because a part may turn out to explain more.
        let is_kept =
            |known: &&BlockedPart| !known.is_adopted && !suspects::is_whole_request(known.part);
        for known in earlier.iter().filter(is_kept) {
            let evidence = crash_evidence::PartEvidence::new(known.part, &unexplained);
            if evidence.crashes() >= MIN_CRASHES {
                unexplained.retain(|crash| !crash.suspects_part(known.part));
                blocked.push(BlockedPart::new(&evidence, known.last_trial));
            }
        }
        while let Some(evidence) = self.likeliest_cause(&unexplained, now) {
            unexplained.retain(|crash| !crash.suspects_part(evidence.part));
            let known = earlier.iter().find(|known| known.part == evidence.part);
            let last_trial = known.and_then(|known| known.last_trial);
            blocked.push(BlockedPart::new(&evidence, last_trial));
        }
        blocked.extend(self.adopted_parts(&blocked, now));
        blocked.sort_unstable_by_key(|blocked| blocked.part);
        self.blocked = blocked;
        changes(&earlier, &self.blocked)
    }

    /// Parts that other entries block, unless they are among `proven` or have just started here.
    fn adopted_parts(&self, proven: &[BlockedPart], now: units::Timestamp) -> Vec<BlockedPart> {
        let adopted = self.peer_verdicts.iter().filter(|verdict| {
            let last_start = self.starts.last_start(verdict.part);
            let has_started = last_start.is_some_and(|at| now.since(at) < SETTLE_TIME);
            !has_started && proven.iter().all(|known| known.part != verdict.part)
        });
        let adopted = adopted.map(|verdict| BlockedPart {
            part: verdict.part,
            crashes: MIN_CRASHES,
            last_crash: verdict.at,
            last_trial: None,
            is_adopted: true,
        });
        adopted.collect()
    }

    fn find_verdict(&self, part: u64) -> Result<usize, usize> {
        self.peer_verdicts
            .binary_search_by_key(&part, |verdict| verdict.part)
    }

    /// Part that explains most crashes. Among equals, a part before a whole request, because requests
    /// with a crashing part are repeated as well; then the one that has not started for longest, then the
    /// later one in the prompt, which fewer requests have.
    fn likeliest_cause(
        &self,
        crashes: &[&crash_log::EngineCrash],
        now: units::Timestamp,
    ) -> Option<crash_evidence::PartEvidence> {
        let suspects = crashes.iter().flat_map(|crash| &crash.suspects);
        let uncleared = suspects
            .filter(|suspect| !suspect.is_cleared && !suspects::is_generation(suspect.part));
        let mut parts: Vec<u64> = uncleared.map(|suspect| suspect.part).collect();
        parts.sort_unstable();
        // Each crash has a part once.
        let frequent = parts
            .chunk_by(|part, next| part == next)
            .filter(|occurrences| occurrences.len() >= MIN_CRASHES);
        let evidence = frequent.map(|part| crash_evidence::PartEvidence::new(part[0], crashes));
        let sufficient = evidence.filter(|evidence| self.is_sufficient(evidence, now));
        sufficient.max_by_key(|evidence| {
            let last_start = self.starts.last_start(evidence.part);
            (
                evidence.crashes(),
                !suspects::is_whole_request(evidence.part),
                cmp::Reverse(last_start),
                evidence.position,
            )
        })
    }

    /// Whether a sound part would have started by now.
    fn is_sufficient(
        &self,
        evidence: &crash_evidence::PartEvidence,
        now: units::Timestamp,
    ) -> bool {
        let others = self.starts.starts_since(evidence.part);
        let is_settled = now.since(evidence.time_of(MIN_CRASHES)) >= SETTLE_TIME;
        let is_repeated = evidence.repeats() >= MIN_CRASHES;
        let is_unlikely = others >= MIN_OTHER_STARTS
            || (is_repeated && others >= MIN_REPEATED_STARTS)
            || (is_settled && others >= MIN_SETTLED_STARTS);
        evidence.crashes() >= MIN_CRASHES && is_unlikely
    }
}

impl BlockedPart {
    fn new(evidence: &crash_evidence::PartEvidence, last_trial: Option<units::Timestamp>) -> Self {
        Self {
            part: evidence.part,
            crashes: evidence.crashes(),
            last_crash: evidence.last_crash,
            last_trial,
            is_adopted: false,
        }
    }

    /// Earliest time of the next trial.
    fn next_trial(&self) -> units::Timestamp {
        let extra = u32::try_from(self.crashes.saturating_sub(MIN_CRASHES)).unwrap_or(u32::MAX);
        let delay = TRIAL_DELAY * 2_u32.pow(extra.min(MAX_DOUBLINGS));
        let newest = self
            .last_trial
            .map_or(self.last_crash, |trial| trial.max(self.last_crash));
        newest + delay
    }
}

fn changes(earlier: &[BlockedPart], blocked: &[BlockedPart]) -> Vec<QuarantineChange> {
    let contains = |parts: &[BlockedPart], part: u64| {
        parts
            .binary_search_by_key(&part, |blocked| blocked.part)
            .is_ok()
    };
    let added = blocked
        .iter()
        .filter(|new| !contains(earlier, new.part))
        .map(|new| QuarantineChange::Blocked {
            part: new.part,
            crashes: new.crashes,
        });
    let lifted = earlier
        .iter()
        .filter(|old| !contains(blocked, old.part))
        .map(|old| QuarantineChange::Lifted { part: old.part });
    added.chain(lifted).collect()
}

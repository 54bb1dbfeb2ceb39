//! Exhaustive search over the interleavings of two entries that received the same idempotency key,
//! one agent that may restart, and a log whose replies and records may be lost or late.
//!
//! Loom explores threads and atomics; this protocol exchanges messages, so the search visits the
//! states of the protocol itself.

use std::{collections, hash::Hash, time};

use decisions::{
    claim_attempt::{
        ClaimAction, ClaimAttempt, ClaimEvent, ClaimFailure, ClaimedRequest, NextAttempt,
    },
    claims::{ClaimBatch, ClaimKey, ClaimRecord, ClaimWindow, WallTime},
    ids,
};
use xxhash_rust::xxh3;

/// Rule broken on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The agent confirms tombstones and does not keep them.
    TombstoneForgotten,
    /// Entries take the last claim in the log as the winner.
    LastClaimWins,
    /// A restarted agent accepts requests of its predecessor.
    IncarnationIgnored,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TableState {
    Queued,
    Running,
    Tombstone,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum LateMessage {
    Append(ClaimRecord),
    Dispatch(ClaimedRequest),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Entry {
    attempt: ClaimAttempt,
    action: ClaimAction,
    /// Losses that may still happen to this entry.
    losses: u8,
    may_time_out: bool,
    next_sequence: u64,
    /// The last dispatch met another entry's tombstone.
    was_cancelled: bool,
    /// `not_run` was answered although another request of the key ran, was queued or had won.
    told_too_early: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    entries: [Entry; 2],
    log: Vec<ClaimRecord>,
    late: Vec<LateMessage>,
    agent: ids::Incarnation,
    may_restart: bool,
    /// The agent may refuse one dispatch, for example because its queue is full.
    may_refuse: bool,
    table: Vec<(ids::RequestId, TableState)>,
    runs: Vec<ids::RequestId>,
}

struct Search {
    states: usize,
    transitions: usize,
    violation: Option<World>,
    /// States in which all entries are done and the request ran.
    ends_with_run: usize,
}

fn request(entry: u64, sequence: u64) -> ids::RequestId {
    let entry = ids::Incarnation(entry);
    ids::RequestId { entry, sequence }
}

fn entry(number: u64) -> Entry {
    let record = ClaimRecord {
        key: ClaimKey {
            operator: String::new(),
            key: String::new(),
        },
        attempt: 0,
        supersedes: None,
        request: request(number, 0),
        agent: ids::Incarnation(0),
        body_hash: 0,
        claimed_at: WallTime(0),
    };
    let (attempt, action) = ClaimAttempt::begin(record, None);
    Entry {
        attempt,
        action,
        losses: 1,
        may_time_out: true,
        next_sequence: 1,
        was_cancelled: false,
        told_too_early: false,
    }
}

impl Entry {
    /// Makes entries equal that ended alike, which keeps the number of states small.
    fn forget_attempt(&mut self) {
        self.attempt = entry(0).attempt;
        self.losses = 0;
        self.may_time_out = false;
        self.next_sequence = 0;
        // Only `not_run` promises something about later states.
        if self.action != ClaimAction::Fail(ClaimFailure::NotRun) {
            self.action = ClaimAction::Fail(ClaimFailure::Unknown);
            self.was_cancelled = false;
        }
    }

    /// Whether the entry has a final answer or relays a stream.
    fn is_done(&self) -> bool {
        matches!(self.action, ClaimAction::Fail(_) | ClaimAction::Relay(_))
    }
}

impl World {
    fn new() -> Self {
        Self {
            entries: [entry(0), entry(1)],
            log: Vec::new(),
            late: Vec::new(),
            agent: ids::Incarnation(0),
            may_restart: true,
            may_refuse: true,
            table: Vec::new(),
            runs: Vec::new(),
        }
    }

    fn digest(&self) -> u128 {
        let mut hasher = xxh3::Xxh3::new();
        self.hash(&mut hasher);
        hasher.digest128()
    }

    fn violates(&self) -> bool {
        let told_not_run = |entry: &Entry| entry.action == ClaimAction::Fail(ClaimFailure::NotRun);
        let has_run = |number: usize| self.runs.iter().any(|run| run.entry.0 == number as u64);
        let is_untrue = |number: usize| told_not_run(&self.entries[number]) && has_run(number);
        // Whoever cancelled the request may run the key later than the answer.
        let is_superseded = |number: usize| {
            let entry = &self.entries[number];
            told_not_run(entry) && entry.was_cancelled && has_run(1 - number)
        };
        let is_early = self.entries.iter().any(|entry| entry.told_too_early);
        self.runs.len() > 1 || is_early || (0..2).any(|one| is_untrue(one) || is_superseded(one))
    }

    /// Whether the key ran, is queued, or was won for the caller of another entry at an agent that
    /// may still run it.
    fn is_taken_by_other(&self, number: usize, fault: Fault) -> bool {
        let is_other = |request: ids::RequestId| request.entry.0 != number as u64;
        let is_queued = |(request, state): &(ids::RequestId, TableState)| {
            is_other(*request) && *state != TableState::Tombstone
        };
        let winner = self.outcome(fault);
        let is_won =
            winner.is_some_and(|winner| is_other(winner.request) && winner.agent == self.agent);
        is_won || self.runs.iter().any(|run| is_other(*run)) || self.table.iter().any(is_queued)
    }

    fn outcome(&self, fault: Fault) -> Option<ClaimRecord> {
        if fault == Fault::LastClaimWins {
            return self.log.last().cloned();
        }
        let mut window = ClaimWindow::new(time::Duration::from_mins(10), 0);
        for (offset, claim) in (0..).zip(&self.log) {
            let claims = vec![claim.clone()];
            window.apply(offset, &ClaimBatch { claims });
        }
        let key = &self.log.first()?.key;
        window.winner(key, WallTime(1)).cloned()
    }

    fn state(&self, request: ids::RequestId) -> Option<TableState> {
        let found = self.table.iter().find(|(known, _)| *known == request);
        found.map(|(_, state)| *state)
    }

    fn set_state(&mut self, request: ids::RequestId, state: TableState) {
        self.table.retain(|(known, _)| *known != request);
        self.table.push((request, state));
        self.table.sort_unstable_by_key(|(known, _)| *known);
    }

    fn is_gone(&self, claimed: ClaimedRequest, fault: Fault) -> bool {
        claimed.agent != self.agent && fault != Fault::IncarnationIgnored
    }

    fn dispatch(&mut self, claimed: ClaimedRequest, fault: Fault) -> ClaimEvent {
        if self.is_gone(claimed, fault) {
            return ClaimEvent::IncarnationChanged;
        }
        match self.state(claimed.request) {
            Some(TableState::Tombstone) => ClaimEvent::RefusedCancelled,
            Some(_) => ClaimEvent::Accepted,
            None => {
                self.set_state(claimed.request, TableState::Queued);
                ClaimEvent::Accepted
            }
        }
    }

    fn cancel(&mut self, number: usize, claimed: ClaimedRequest, fault: Fault) -> ClaimEvent {
        if self.is_gone(claimed, fault) {
            return ClaimEvent::IncarnationChanged;
        }
        if self.state(claimed.request) == Some(TableState::Running) {
            return ClaimEvent::AlreadyStarted;
        }
        if fault != Fault::TombstoneForgotten {
            self.set_state(claimed.request, TableState::Tombstone);
        }
        let next = NextAttempt {
            request: request(number as u64, self.entries[number].next_sequence),
            agent: self.agent,
            claimed_at: WallTime(0),
        };
        self.entries[number].next_sequence += 1;
        ClaimEvent::TombstoneInserted { next }
    }

    fn step(mut self, number: usize, event: ClaimEvent, fault: Fault) -> Self {
        let entry = &mut self.entries[number];
        if matches!(entry.action, ClaimAction::Dispatch(_)) {
            entry.was_cancelled = event == ClaimEvent::RefusedCancelled;
        }
        let action = entry.attempt.step(event);
        if action != ClaimAction::Ignore {
            entry.action = action;
        }
        if entry.is_done() {
            entry.forget_attempt();
        }
        if self.entries[number].action == ClaimAction::Fail(ClaimFailure::NotRun) {
            self.entries[number].told_too_early = self.is_taken_by_other(number, fault);
        }
        self
    }

    /// Drops what has no effect on later states, which keeps their number small.
    fn prune(&mut self, fault: Fault) {
        if fault != Fault::LastClaimWins {
            // Only the present winner decides on later claims.
            self.log = self.outcome(fault).into_iter().collect();
        }
        let winner = self.log.last().map(|claim| claim.attempt);
        let (agent, table) = (self.agent, &self.table);
        self.late.retain(|late| match late {
            LateMessage::Append(record) => {
                fault == Fault::LastClaimWins || winner.is_none_or(|won| record.attempt > won)
            }
            LateMessage::Dispatch(claimed) => {
                let is_known = table.iter().any(|(known, _)| *known == claimed.request);
                let is_gone = claimed.agent != agent && fault != Fault::IncarnationIgnored;
                !is_known && !is_gone
            }
        });
    }

    fn lose(mut self, number: usize, event: ClaimEvent, fault: Fault) -> Self {
        self.entries[number].losses -= 1;
        self.step(number, event, fault)
    }

    /// States that follow when the action of one entry is carried out.
    fn act(&self, number: usize, fault: Fault) -> Vec<Self> {
        let may_lose = self.entries[number].losses > 0;
        let mut next = Vec::new();
        let mut done = self.clone();
        let mut late = self.clone();
        let unchanged = self.clone();
        let (event, loss) = match self.entries[number].action.clone() {
            ClaimAction::Append(record) => {
                done.log.push(record.clone());
                late.late.push(LateMessage::Append(record));
                if may_lose {
                    next.push(self.clone().lose(number, ClaimEvent::LogUnavailable, fault));
                }
                (ClaimEvent::Appended, ClaimEvent::AppendLost)
            }
            ClaimAction::Dispatch(claimed) => {
                late.late.push(LateMessage::Dispatch(claimed));
                if self.may_refuse && self.state(claimed.request).is_none() {
                    let mut refusing = self.clone();
                    refusing.may_refuse = false;
                    next.push(refusing.step(number, ClaimEvent::Refused, fault));
                }
                (done.dispatch(claimed, fault), ClaimEvent::DispatchLost)
            }
            ClaimAction::InsertTombstone(claimed) => {
                let event = done.cancel(number, claimed, fault);
                (event, ClaimEvent::AgentUnreachable)
            }
            ClaimAction::Attach(claimed) => {
                let event = match self.state(claimed.request) {
                    _ if self.is_gone(claimed, fault) => ClaimEvent::IncarnationChanged,
                    None | Some(TableState::Tombstone) => ClaimEvent::RequestUnknown,
                    Some(_) => ClaimEvent::Attached,
                };
                (event, ClaimEvent::AgentUnreachable)
            }
            ClaimAction::ReadToEnd => {
                let outcome = self.outcome(fault);
                (ClaimEvent::Read(outcome), ClaimEvent::LogUnavailable)
            }
            ClaimAction::WaitForLog => {
                return vec![done.step(number, ClaimEvent::LogAvailable, fault)];
            }
            ClaimAction::Relay(_) | ClaimAction::Fail(_) | ClaimAction::Ignore => return next,
        };
        if may_lose {
            // Without effect, with effect but without a reply, and with an effect that is late.
            next.push(unchanged.lose(number, loss.clone(), fault));
            next.push(done.clone().lose(number, loss.clone(), fault));
            if late.late.len() > self.late.len() {
                next.push(late.lose(number, loss, fault));
            }
        }
        next.push(done.step(number, event, fault));
        next
    }

    fn successors(&self, fault: Fault) -> Vec<Self> {
        let mut next = Vec::new();
        for number in 0..2 {
            next.extend(self.act(number, fault));
            if self.entries[number].may_time_out && !self.entries[number].is_done() {
                let mut world = self.clone();
                world.entries[number].may_time_out = false;
                next.push(world.step(number, ClaimEvent::DeadlinePassed, fault));
            }
        }
        for index in 0..self.late.len() {
            let mut world = self.clone();
            match world.late.remove(index) {
                LateMessage::Append(record) => world.log.push(record),
                LateMessage::Dispatch(claimed) => {
                    world.dispatch(claimed, fault);
                }
            }
            next.push(world);
        }
        for (request, state) in &self.table {
            if *state == TableState::Queued {
                let mut world = self.clone();
                world.set_state(*request, TableState::Running);
                world.runs.push(*request);
                next.push(world);
            }
        }
        if self.may_restart {
            let mut world = self.clone();
            world.may_restart = false;
            world.agent.0 += 1;
            world.table.clear();
            next.push(world);
        }
        next
    }
}

/// Breadth-first search that ends at the first violation.
fn search(fault: Fault) -> Search {
    // The 128-bit hashes of the states need a tenth of the memory of the states.
    let mut seen = collections::HashSet::new();
    let mut waiting = collections::VecDeque::from([World::new()]);
    seen.insert(World::new().digest());
    let mut search = Search {
        states: 0,
        transitions: 0,
        violation: None,
        ends_with_run: 0,
    };
    while let Some(world) = waiting.pop_front() {
        search.states += 1;
        if world.violates() {
            search.violation = Some(world);
            return search;
        }
        let is_done = world.entries.iter().all(Entry::is_done);
        search.ends_with_run += usize::from(is_done && world.runs.len() == 1);
        for mut next in world.successors(fault) {
            next.prune(fault);
            search.transitions += 1;
            if seen.insert(next.digest()) {
                waiting.push_back(next);
            }
        }
    }
    search
}

// Guards against an interleaving in which a key runs twice, or a request runs after its caller was
// told `not_run`.
#[test]
fn a_key_runs_at_most_once_in_every_interleaving() {
    let search = search(Fault::None);
    println!(
        "{} states, {} transitions, {} ends after a run",
        search.states, search.transitions, search.ends_with_run
    );
    assert!(search.violation.is_none(), "{:#?}", search.violation);
    assert!(search.states > 1_000 && search.ends_with_run > 0);
}

// Guards against a search that cannot fail: each rule broken on purpose must be found.
#[test]
fn broken_rules_are_found() {
    for fault in [
        Fault::TombstoneForgotten,
        Fault::LastClaimWins,
        Fault::IncarnationIgnored,
    ] {
        let search = search(fault);
        println!("{fault:?}: found after {} states", search.states);
        assert!(search.violation.is_some(), "{fault:?} was not found");
    }
}

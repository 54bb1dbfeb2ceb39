//! Exhaustive search over the interleavings of two entries that received the same idempotency key,
//! one agent that may restart, and a log whose replies and records may be lost or late.
//!
//! Loom explores threads and atomics; this protocol exchanges messages, so the search visits the
//! states of the protocol itself.

use std::{collections, time};

use decisions::{
    claim_attempt::{
        ClaimAction, ClaimAnswer, ClaimAttempt, ClaimEvent, ClaimedRequest, NextAttempt,
    },
    claims::{ClaimBatch, ClaimKey, ClaimRecord, ClaimWindow, WallTime},
    ids,
};

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
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    entries: [Entry; 2],
    log: Vec<ClaimRecord>,
    late: Vec<LateMessage>,
    agent: ids::Incarnation,
    may_restart: bool,
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
            table: Vec::new(),
            runs: Vec::new(),
        }
    }

    fn violates(&self) -> bool {
        let told_not_run = |entry: &Entry| entry.action == ClaimAction::Answer(ClaimAnswer::NotRun);
        let has_run = |number: usize| self.runs.iter().any(|run| run.entry.0 == number as u64);
        let is_untrue = |number: usize| told_not_run(&self.entries[number]) && has_run(number);
        self.runs.len() > 1 || (0..2).any(is_untrue)
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
        window.outcome(key, WallTime(1)).cloned()
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
            return ClaimEvent::IncarnationGone;
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
            return ClaimEvent::IncarnationGone;
        }
        if self.state(claimed.request) == Some(TableState::Running) {
            return ClaimEvent::Started;
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
        ClaimEvent::TombstoneLeft { next }
    }

    fn step(mut self, number: usize, event: ClaimEvent) -> Self {
        let entry = &mut self.entries[number];
        let action = entry.attempt.step(event);
        if action != ClaimAction::Ignore {
            entry.action = action;
        }
        self
    }

    fn lose(mut self, number: usize, event: ClaimEvent) -> Self {
        self.entries[number].losses -= 1;
        self.step(number, event)
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
                    next.push(self.clone().lose(number, ClaimEvent::LogUnavailable));
                }
                (ClaimEvent::Appended, ClaimEvent::AppendLost)
            }
            ClaimAction::Dispatch(claimed) => {
                late.late.push(LateMessage::Dispatch(claimed));
                (done.dispatch(claimed, fault), ClaimEvent::DispatchLost)
            }
            ClaimAction::LeaveTombstone(claimed) => {
                let event = done.cancel(number, claimed, fault);
                (event, ClaimEvent::AgentUnreachable)
            }
            ClaimAction::Attach(claimed) => {
                let event = match self.state(claimed.request) {
                    _ if self.is_gone(claimed, fault) => ClaimEvent::IncarnationGone,
                    None | Some(TableState::Tombstone) => ClaimEvent::NotSeen,
                    Some(_) => ClaimEvent::Attached,
                };
                (event, ClaimEvent::AgentUnreachable)
            }
            ClaimAction::ReadToEnd => {
                let outcome = self.outcome(fault);
                (ClaimEvent::Read(outcome), ClaimEvent::LogUnavailable)
            }
            ClaimAction::WaitForLog => return vec![done.step(number, ClaimEvent::LogAvailable)],
            ClaimAction::Relay(_) | ClaimAction::Answer(_) | ClaimAction::Ignore => return next,
        };
        if may_lose {
            // Without effect, with effect but without a reply, and with an effect that is late.
            next.push(unchanged.lose(number, loss.clone()));
            next.push(done.clone().lose(number, loss.clone()));
            if late.late.len() > self.late.len() {
                next.push(late.lose(number, loss));
            }
        }
        next.push(done.step(number, event));
        next
    }

    fn successors(&self, fault: Fault) -> Vec<Self> {
        let mut next = Vec::new();
        for number in 0..2 {
            next.extend(self.act(number, fault));
            if self.entries[number].may_time_out && !self.entries[number].attempt.is_done() {
                let mut world = self.clone();
                world.entries[number].may_time_out = false;
                next.push(world.step(number, ClaimEvent::DeadlinePassed));
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
    let mut seen = collections::HashSet::new();
    let mut waiting = collections::VecDeque::from([World::new()]);
    seen.insert(World::new());
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
        let is_done = world.entries.iter().all(|entry| entry.attempt.is_done());
        search.ends_with_run += usize::from(is_done && world.runs.len() == 1);
        for next in world.successors(fault) {
            search.transitions += 1;
            if seen.insert(next.clone()) {
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

//! Exhaustive state search over the interleavings of two entries with the same idempotency key, one
//! agent that may restart, and a log whose replies and records may be lost or late.
//!
//! Loom explores threads and atomics; this protocol exchanges messages, so the search explores the
//! protocol states directly.

use std::{collections, hash::Hash, time};

use decisions::{
    claim_attempt::{
        ClaimAction, ClaimAttempt, ClaimEvent, ClaimFailure, ClaimedRequest, NextAttempt,
    },
    claims::{ClaimBatch, ClaimKey, ClaimRecord, ClaimWindow, WallTime},
    ids,
};
use xxhash_rust::xxh3;

/// Injected violation of a protocol rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The agent confirms tombstones without storing them.
    TombstoneNotStored,
    /// Entries treat the last claim in the log as the winner.
    LastClaimWins,
    /// A restarted agent accepts requests for its previous incarnation.
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
    /// Number of losses that this entry may still have.
    remaining_losses: u8,
    may_time_out: bool,
    next_sequence: u64,
    /// The last dispatch was refused because of another entry's tombstone.
    was_cancelled: bool,
    /// `not_run` was reported although another request of the key ran, was queued or had won.
    is_premature_not_run: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SystemState {
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
    violation: Option<SystemState>,
    /// Number of states in which all entries are done and the request ran.
    final_states_with_run: usize,
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
        remaining_losses: 1,
        may_time_out: true,
        next_sequence: 1,
        was_cancelled: false,
        is_premature_not_run: false,
    }
}

impl Entry {
    /// Normalises an entry that is done, which reduces the number of states.
    fn normalise_done(&mut self) {
        self.attempt = entry(0).attempt;
        self.remaining_losses = 0;
        self.may_time_out = false;
        self.next_sequence = 0;
        // Only `not_run` makes a guarantee about later states.
        if self.action != ClaimAction::Fail(ClaimFailure::NotRun) {
            self.action = ClaimAction::Fail(ClaimFailure::Unknown);
            self.was_cancelled = false;
        }
    }

    /// Whether the entry has failed or relays a stream.
    fn is_done(&self) -> bool {
        matches!(self.action, ClaimAction::Fail(_) | ClaimAction::Relay(_))
    }
}

impl SystemState {
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

    fn has_violation(&self) -> bool {
        let reported_not_run =
            |entry: &Entry| entry.action == ClaimAction::Fail(ClaimFailure::NotRun);
        let has_run = |number: usize| self.runs.iter().any(|run| run.entry.0 == number as u64);
        let ran_after_not_run =
            |number: usize| reported_not_run(&self.entries[number]) && has_run(number);
        // The entry that cancelled the request may run the key after `not_run` was reported.
        let other_ran_after_not_run = |number: usize| {
            let entry = &self.entries[number];
            reported_not_run(entry) && entry.was_cancelled && has_run(1 - number)
        };
        let is_premature = self.entries.iter().any(|entry| entry.is_premature_not_run);
        self.runs.len() > 1
            || is_premature
            || (0..2).any(|one| ran_after_not_run(one) || other_ran_after_not_run(one))
    }

    /// Whether the key ran, is queued, or was won by another entry at an agent that may still run
    /// it.
    fn is_claimed_by_other(&self, number: usize, fault: Fault) -> bool {
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

    fn is_previous_incarnation(&self, claimed: ClaimedRequest, fault: Fault) -> bool {
        claimed.agent != self.agent && fault != Fault::IncarnationIgnored
    }

    fn dispatch(&mut self, claimed: ClaimedRequest, fault: Fault) -> ClaimEvent {
        if self.is_previous_incarnation(claimed, fault) {
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
        if self.is_previous_incarnation(claimed, fault) {
            return ClaimEvent::IncarnationChanged;
        }
        if self.state(claimed.request) == Some(TableState::Running) {
            return ClaimEvent::AlreadyStarted;
        }
        if fault != Fault::TombstoneNotStored {
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
            entry.normalise_done();
        }
        if self.entries[number].action == ClaimAction::Fail(ClaimFailure::NotRun) {
            self.entries[number].is_premature_not_run = self.is_claimed_by_other(number, fault);
        }
        self
    }

    /// Removes what cannot affect later states, which reduces the number of states.
    fn prune(&mut self, fault: Fault) {
        if fault != Fault::LastClaimWins {
            // Only the current winner affects later claims.
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
                let is_previous_incarnation =
                    claimed.agent != agent && fault != Fault::IncarnationIgnored;
                !is_known && !is_previous_incarnation
            }
        });
    }

    fn step_with_loss(mut self, number: usize, event: ClaimEvent, fault: Fault) -> Self {
        self.entries[number].remaining_losses -= 1;
        self.step(number, event, fault)
    }

    /// Successor states of an entry's action.
    fn action_successors(&self, number: usize, fault: Fault) -> Vec<Self> {
        let may_lose = self.entries[number].remaining_losses > 0;
        let mut next = Vec::new();
        let mut done = self.clone();
        let mut late = self.clone();
        let unchanged = self.clone();
        let (event, loss) = match self.entries[number].action.clone() {
            ClaimAction::Append(record) => {
                done.log.push(record.clone());
                late.late.push(LateMessage::Append(record));
                if may_lose {
                    next.push(self.clone().step_with_loss(
                        number,
                        ClaimEvent::LogUnavailable,
                        fault,
                    ));
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
                    _ if self.is_previous_incarnation(claimed, fault) => {
                        ClaimEvent::IncarnationChanged
                    }
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
            // The message is lost, its reply is lost, or it takes effect later.
            next.push(unchanged.step_with_loss(number, loss.clone(), fault));
            next.push(done.clone().step_with_loss(number, loss.clone(), fault));
            if late.late.len() > self.late.len() {
                next.push(late.step_with_loss(number, loss, fault));
            }
        }
        next.push(done.step(number, event, fault));
        next
    }

    fn successors(&self, fault: Fault) -> Vec<Self> {
        let mut next = Vec::new();
        for number in 0..2 {
            next.extend(self.action_successors(number, fault));
            if self.entries[number].may_time_out && !self.entries[number].is_done() {
                let mut system = self.clone();
                system.entries[number].may_time_out = false;
                next.push(system.step(number, ClaimEvent::DeadlinePassed, fault));
            }
        }
        for index in 0..self.late.len() {
            let mut system = self.clone();
            match system.late.remove(index) {
                LateMessage::Append(record) => system.log.push(record),
                LateMessage::Dispatch(claimed) => {
                    system.dispatch(claimed, fault);
                }
            }
            next.push(system);
        }
        for (request, state) in &self.table {
            if *state == TableState::Queued {
                let mut system = self.clone();
                system.set_state(*request, TableState::Running);
                system.runs.push(*request);
                next.push(system);
            }
        }
        if self.may_restart {
            let mut system = self.clone();
            system.may_restart = false;
            system.agent.0 += 1;
            system.table.clear();
            next.push(system);
        }
        next
    }
}

/// Breadth-first search up to the first violation.
fn search(fault: Fault) -> Search {
    // Stores 128-bit hashes, which need a tenth of the memory of the states.
    let mut seen = collections::HashSet::new();
    let mut waiting = collections::VecDeque::from([SystemState::new()]);
    seen.insert(SystemState::new().digest());
    let mut search = Search {
        states: 0,
        transitions: 0,
        violation: None,
        final_states_with_run: 0,
    };
    while let Some(system) = waiting.pop_front() {
        search.states += 1;
        if system.has_violation() {
            search.violation = Some(system);
            return search;
        }
        let is_done = system.entries.iter().all(Entry::is_done);
        search.final_states_with_run += usize::from(is_done && system.runs.len() == 1);
        for mut next in system.successors(fault) {
            next.prune(fault);
            search.transitions += 1;
            if seen.insert(next.digest()) {
                waiting.push_back(next);
            }
        }
    }
    search
}

// Guards against an interleaving in which a key runs twice, or a request runs after `not_run` was
// reported.
#[test]
fn key_runs_at_most_once_in_every_interleaving() {
    let search = search(Fault::None);
    println!(
        "{} states, {} transitions, {} ends after a run",
        search.states, search.transitions, search.final_states_with_run
    );
    assert!(search.violation.is_none(), "{:#?}", search.violation);
    assert!(search.states > 1_000 && search.final_states_with_run > 0);
}

// Guards against a search that cannot fail: it must find each injected fault.
#[test]
fn injected_faults_are_found() {
    for fault in [
        Fault::TombstoneNotStored,
        Fault::LastClaimWins,
        Fault::IncarnationIgnored,
    ] {
        let search = search(fault);
        println!("{fault:?}: found after {} states", search.states);
        assert!(search.violation.is_some(), "{fault:?} was not found");
    }
}

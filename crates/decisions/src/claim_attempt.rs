//! Pending claim of one entry for one caller's request.
//!
//! The attempt takes events and answers each with the next action. It dispatches only after it has
//! read its own claim as the winner, and only to the agent incarnation named in that claim.

use crate::{claims, ids};

/// Attempts after which a key is left alone, so that entries that keep cancelling each other's
/// requests come to an end.
pub const MAX_CLAIM_ATTEMPTS: u32 = 4;

/// Identity of a further attempt; it must not reuse the id of an earlier one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NextAttempt {
    pub request: ids::RequestId,
    pub agent: ids::Incarnation,
    pub claimed_at: claims::WallTime,
}

/// Request at the agent that may run it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimedRequest {
    pub request: ids::RequestId,
    pub agent: ids::Incarnation,
}

/// What happened to the last action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The append succeeded.
    Appended,
    /// The append may have taken effect or may yet do so.
    AppendLost,
    /// The log refuses reads or appends.
    LogUnavailable,
    LogAvailable,
    /// The stream was read to its end, which was asked for after the last append was answered or
    /// given up. Carries the window's outcome of the key.
    Read(Option<claims::ClaimRecord>),
    /// The agent runs or queues the request, now or already before.
    Accepted,
    /// The agent refused the dispatch.
    Refused,
    /// The agent holds a tombstone for the dispatched request.
    RefusedCancelled,
    /// The dispatch may have reached the agent.
    DispatchLost,
    /// The stream of the winning request is attached.
    Attached,
    /// The agent does not know the winning request, or holds a tombstone for it.
    RequestUnknown,
    /// The agent holds a tombstone. `next` is used if another attempt follows.
    TombstoneInserted {
        next: NextAttempt,
    },
    /// The cancel found the request running or ended.
    AlreadyStarted,
    /// The agent has another incarnation, so its requests and tombstones are lost.
    IncarnationChanged,
    /// No answer from the agent.
    AgentUnreachable,
    /// The caller's deadline passed.
    DeadlinePassed,
}

/// Final answer that involves no stream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimFailure {
    /// This caller's request did not run and never will, and the log shows no other claim that
    /// won the key.
    NotRun,
    /// The request of the key may have run.
    Unknown,
    /// The key belongs to a request with another body.
    KeyReused,
}

/// What the entry does next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimAction {
    Append(claims::ClaimRecord),
    /// Read the stream up to its present end.
    ReadToEnd,
    /// Wait for the log and report `LogAvailable`.
    WaitForLog,
    Dispatch(ClaimedRequest),
    Attach(ClaimedRequest),
    /// Cancel the request at the agent.
    InsertTombstone(ClaimedRequest),
    /// Relay the stream that was accepted or attached.
    Relay(ClaimedRequest),
    Fail(ClaimFailure),
    /// The event does not fit the state, for example a late reply; nothing changes.
    Ignore,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum AttemptState {
    Appending,
    Reading,
    Dispatching,
    Attaching(ClaimedRequest),
    /// Cancels the winner's request, to supersede it. The winner is the own request if another
    /// entry has cancelled it.
    Superseding(ClaimedRequest),
    /// Cancels the own request before `not_run` is answered.
    Abandoning,
    /// Reads whether another claim won before `not_run` is answered; the own request never runs.
    Closing,
    Done,
}

/// Whether another entry cancelled an own request, so that it may claim and run the key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum ClaimContest {
    None,
    /// The agent holds another entry's tombstone for the own request.
    Cancelled,
    /// An earlier own request was cancelled and a further attempt claimed.
    Superseded,
}

/// Claim of one entry from its first append to the answer.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimAttempt {
    record: claims::ClaimRecord,
    state: AttemptState,
    /// A dispatch was sent and its effect is unknown.
    has_lost_dispatch: bool,
    contest: ClaimContest,
    /// Attempt number of the claim that is being attached to or superseded.
    winner_attempt: u32,
    /// The deadline passed, so no further attempt is claimed.
    is_late: bool,
}

impl ClaimAttempt {
    /// Begins with the outcome that a complete window shows at present.
    #[must_use]
    pub fn begin(
        record: claims::ClaimRecord,
        outcome: Option<&claims::ClaimRecord>,
    ) -> (Self, ClaimAction) {
        let mut attempt = Self {
            record,
            state: AttemptState::Reading,
            has_lost_dispatch: false,
            contest: ClaimContest::None,
            winner_attempt: 0,
            is_late: false,
        };
        let action = attempt.judge(outcome);
        (attempt, action)
    }

    /// Whether the attempt has ended with an answer or a stream to relay.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == AttemptState::Done
    }

    /// Takes an event and returns the next action.
    pub fn step(&mut self, event: ClaimEvent) -> ClaimAction {
        if event == ClaimEvent::DeadlinePassed {
            return self.give_up();
        }
        match self.state {
            AttemptState::Appending | AttemptState::Reading | AttemptState::Closing => {
                self.step_log(event)
            }
            AttemptState::Dispatching => self.step_dispatch(&event),
            AttemptState::Attaching(winner) => self.step_attach(&event, winner),
            AttemptState::Superseding(winner) => self.step_supersede(&event, winner),
            AttemptState::Abandoning => self.step_abandon(&event),
            AttemptState::Done => ClaimAction::Ignore,
        }
    }

    fn step_log(&mut self, event: ClaimEvent) -> ClaimAction {
        let is_appending = self.state == AttemptState::Appending;
        match event {
            ClaimEvent::Appended | ClaimEvent::AppendLost if is_appending => self.read(),
            ClaimEvent::LogAvailable => ClaimAction::ReadToEnd,
            ClaimEvent::LogUnavailable => {
                if is_appending {
                    self.state = AttemptState::Reading;
                }
                ClaimAction::WaitForLog
            }
            ClaimEvent::Read(outcome) if self.state == AttemptState::Closing => {
                self.conclude(outcome.as_ref())
            }
            ClaimEvent::Read(outcome) if !is_appending => self.judge(outcome.as_ref()),
            _ => ClaimAction::Ignore,
        }
    }

    fn step_dispatch(&mut self, event: &ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::Accepted => self.relay(self.own()),
            // The earlier dispatch may have been accepted, so the refusal of a later one does not
            // show that the request has not run.
            ClaimEvent::Refused if self.has_lost_dispatch => self.abandon(),
            ClaimEvent::Refused => self.close(),
            ClaimEvent::RefusedCancelled => {
                self.contest = ClaimContest::Cancelled;
                self.read()
            }
            ClaimEvent::DispatchLost | ClaimEvent::AgentUnreachable => {
                self.has_lost_dispatch = true;
                ClaimAction::Dispatch(self.own())
            }
            ClaimEvent::IncarnationChanged => self.fail_or_close(),
            _ => ClaimAction::Ignore,
        }
    }

    fn step_attach(&mut self, event: &ClaimEvent, winner: ClaimedRequest) -> ClaimAction {
        match event {
            ClaimEvent::Attached => self.relay(winner),
            // A last attempt that was cancelled could not be followed by another one.
            ClaimEvent::RequestUnknown
                if self.is_late || self.winner_attempt + 1 >= MAX_CLAIM_ATTEMPTS =>
            {
                self.fail(ClaimFailure::Unknown)
            }
            ClaimEvent::RequestUnknown => self.cancel_winner(winner),
            ClaimEvent::IncarnationChanged | ClaimEvent::AgentUnreachable => {
                self.fail(ClaimFailure::Unknown)
            }
            _ => ClaimAction::Ignore,
        }
    }

    fn step_supersede(&mut self, event: &ClaimEvent, winner: ClaimedRequest) -> ClaimAction {
        match event {
            ClaimEvent::TombstoneInserted { next } => self.supersede(winner, *next),
            ClaimEvent::AlreadyStarted => self.attach(winner),
            ClaimEvent::IncarnationChanged | ClaimEvent::AgentUnreachable => {
                self.fail(ClaimFailure::Unknown)
            }
            _ => ClaimAction::Ignore,
        }
    }

    fn step_abandon(&mut self, event: &ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::TombstoneInserted { .. } => self.close(),
            ClaimEvent::AlreadyStarted => {
                self.winner_attempt = self.record.attempt;
                self.attach(self.own())
            }
            // Only this attempt dispatches its request, and it has ended.
            ClaimEvent::IncarnationChanged | ClaimEvent::AgentUnreachable => self.fail_or_close(),
            _ => ClaimAction::Ignore,
        }
    }

    /// Acts on the outcome of the key.
    fn judge(&mut self, outcome: Option<&claims::ClaimRecord>) -> ClaimAction {
        let Some(winner) = outcome else {
            return self.append();
        };
        if winner.is_same_claim(&self.record) {
            // The entry that left the tombstone is about to claim the next attempt; log order
            // decides between its claim and this one.
            if self.contest == ClaimContest::Cancelled {
                self.winner_attempt = self.record.attempt;
                return self.cancel_winner(self.own());
            }
            self.state = AttemptState::Dispatching;
            return ClaimAction::Dispatch(self.own());
        }
        if winner.body_hash != self.record.body_hash {
            return self.fail(ClaimFailure::KeyReused);
        }
        // The superseded claim is no competitor: the own append has not taken effect yet.
        if self.record.supersedes == Some(winner.request) {
            return self.append();
        }
        self.attach_to(winner)
    }

    /// Acts on the outcome of the key when the own request never runs.
    fn conclude(&mut self, outcome: Option<&claims::ClaimRecord>) -> ClaimAction {
        let Some(winner) = outcome else {
            return self.fail(ClaimFailure::NotRun);
        };
        if winner.is_same_claim(&self.record) {
            let answer = match self.contest {
                ClaimContest::None => ClaimFailure::NotRun,
                ClaimContest::Cancelled | ClaimContest::Superseded => ClaimFailure::Unknown,
            };
            return self.fail(answer);
        }
        if winner.body_hash != self.record.body_hash {
            return self.fail(ClaimFailure::KeyReused);
        }
        // The own claim has not taken effect, and the caller of the superseded one may claim again.
        if self.record.supersedes == Some(winner.request) {
            return self.fail(ClaimFailure::Unknown);
        }
        self.attach_to(winner)
    }

    fn attach_to(&mut self, winner: &claims::ClaimRecord) -> ClaimAction {
        self.winner_attempt = winner.attempt;
        self.attach(ClaimedRequest {
            request: winner.request,
            agent: winner.agent,
        })
    }

    fn cancel_winner(&mut self, winner: ClaimedRequest) -> ClaimAction {
        self.state = AttemptState::Superseding(winner);
        ClaimAction::InsertTombstone(winner)
    }

    fn supersede(&mut self, winner: ClaimedRequest, next: NextAttempt) -> ClaimAction {
        if self.winner_attempt + 1 >= MAX_CLAIM_ATTEMPTS {
            return self.fail(ClaimFailure::Unknown);
        }
        self.record.attempt = self.winner_attempt + 1;
        self.record.supersedes = Some(winner.request);
        self.record.request = next.request;
        self.record.agent = next.agent;
        self.record.claimed_at = next.claimed_at;
        self.has_lost_dispatch = false;
        if self.contest == ClaimContest::Cancelled {
            self.contest = ClaimContest::Superseded;
        }
        self.append()
    }

    fn give_up(&mut self) -> ClaimAction {
        self.is_late = true;
        match self.state {
            AttemptState::Appending | AttemptState::Reading => self.abandon(),
            AttemptState::Dispatching => {
                self.has_lost_dispatch = true;
                self.abandon()
            }
            AttemptState::Attaching(_) | AttemptState::Superseding(_) => {
                self.fail(ClaimFailure::Unknown)
            }
            _ => ClaimAction::Ignore,
        }
    }

    fn own(&self) -> ClaimedRequest {
        ClaimedRequest {
            request: self.record.request,
            agent: self.record.agent,
        }
    }

    fn append(&mut self) -> ClaimAction {
        self.state = AttemptState::Appending;
        ClaimAction::Append(self.record.clone())
    }

    fn read(&mut self) -> ClaimAction {
        self.state = AttemptState::Reading;
        ClaimAction::ReadToEnd
    }

    fn attach(&mut self, winner: ClaimedRequest) -> ClaimAction {
        self.state = AttemptState::Attaching(winner);
        ClaimAction::Attach(winner)
    }

    fn abandon(&mut self) -> ClaimAction {
        self.state = AttemptState::Abandoning;
        ClaimAction::InsertTombstone(self.own())
    }

    fn close(&mut self) -> ClaimAction {
        self.state = AttemptState::Closing;
        ClaimAction::ReadToEnd
    }

    fn relay(&mut self, request: ClaimedRequest) -> ClaimAction {
        self.state = AttemptState::Done;
        ClaimAction::Relay(request)
    }

    fn fail(&mut self, failure: ClaimFailure) -> ClaimAction {
        self.state = AttemptState::Done;
        ClaimAction::Fail(failure)
    }

    /// Answer when the agent's incarnation is gone: the own request ran at most if a dispatch
    /// was sent.
    fn fail_or_close(&mut self) -> ClaimAction {
        if self.has_lost_dispatch {
            return self.fail(ClaimFailure::Unknown);
        }
        self.close()
    }
}

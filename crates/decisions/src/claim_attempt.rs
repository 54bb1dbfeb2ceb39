//! State machine of one entry's claim of an idempotency key for one caller's request.
//!
//! Each event yields the next action. A request is dispatched only after its claim was read from
//! the log as the winner, and only to the agent incarnation named in that claim.

use crate::{claims, ids};

/// Maximum number of attempts per key, so that entries that keep cancelling each other's requests
/// terminate.
pub const MAX_CLAIM_ATTEMPTS: u32 = 4;

/// Identity of a further attempt; its request id must differ from those of earlier attempts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NextAttempt {
    pub request: ids::RequestId,
    pub agent: ids::Incarnation,
    pub claimed_at: claims::WallTime,
}

/// Request and the agent incarnation that may run it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimedRequest {
    pub request: ids::RequestId,
    pub agent: ids::Incarnation,
}

/// Result of the last action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The append succeeded.
    Appended,
    /// The append may have taken effect or may still do so.
    AppendLost,
    /// The log refuses reads or appends.
    LogUnavailable,
    LogAvailable,
    /// The stream was read to an end requested after the last append had completed or was given up.
    /// Carries the key's winner in the window.
    Read(Option<claims::ClaimRecord>),
    /// The agent runs or queues the request, possibly from an earlier dispatch.
    Accepted,
    /// The agent refused the dispatch.
    Refused,
    /// The agent holds a tombstone for the dispatched request.
    RefusedCancelled,
    /// The dispatch may have reached the agent.
    DispatchLost,
    /// The response stream of the winning request is attached.
    Attached,
    /// The agent does not know the winning request, or holds a tombstone for it.
    RequestUnknown,
    /// The agent stored a tombstone. `next` is used if another attempt follows.
    TombstoneInserted {
        next: NextAttempt,
    },
    /// The cancel found the request running or finished.
    AlreadyStarted,
    /// The agent restarted, so its requests and tombstones are lost.
    IncarnationChanged,
    /// The agent did not reply.
    AgentUnreachable,
    /// The caller's deadline passed.
    DeadlinePassed,
}

/// Final outcome without a response stream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimFailure {
    /// This caller's request has not run and cannot run, and the log shows no other winner of the
    /// key.
    NotRun,
    /// The request of the key may have run.
    Unknown,
    /// The key belongs to a request with another body.
    KeyReused,
}

/// Next action of the entry.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimAction {
    Append(claims::ClaimRecord),
    /// Read the log stream up to its current end.
    ReadToEnd,
    /// Wait until the log is available, then report `LogAvailable`.
    WaitForLog,
    Dispatch(ClaimedRequest),
    Attach(ClaimedRequest),
    /// Cancel the request at the agent by a tombstone.
    InsertTombstone(ClaimedRequest),
    /// Relay the accepted or attached response stream.
    Relay(ClaimedRequest),
    Fail(ClaimFailure),
    /// The event does not apply to the state, for example a late reply; nothing changes.
    Ignore,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum AttemptState {
    Appending,
    Reading,
    Dispatching,
    Attaching(ClaimedRequest),
    /// Cancels the winning request in order to supersede it; this is the own request if another
    /// entry cancelled it.
    Superseding(ClaimedRequest),
    /// Cancels the own request before `not_run` is reported.
    CancellingOwn,
    /// Checks for another winner before `not_run` is reported; the own request cannot run.
    CheckingWinner,
    Done,
}

/// Whether another entry cancelled an own request and may therefore claim and run the key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum OwnCancellation {
    None,
    /// The agent has another entry's tombstone for the own request.
    Cancelled,
    /// An earlier own request was cancelled, and this entry claimed a further attempt.
    Superseded,
}

/// Claim of one entry, from its first append to its final action.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimAttempt {
    record: claims::ClaimRecord,
    state: AttemptState,
    /// A dispatch was sent whose effect is unknown.
    has_lost_dispatch: bool,
    own_cancellation: OwnCancellation,
    /// Attempt number of the claim being attached to or superseded.
    winner_attempt: u32,
    /// The deadline passed, so no further attempt is claimed.
    is_past_deadline: bool,
}

impl ClaimAttempt {
    /// Starts with the key's current winner in a complete window.
    #[must_use]
    pub fn begin(
        record: claims::ClaimRecord,
        winner: Option<&claims::ClaimRecord>,
    ) -> (Self, ClaimAction) {
        let mut attempt = Self {
            record,
            state: AttemptState::Reading,
            has_lost_dispatch: false,
            own_cancellation: OwnCancellation::None,
            winner_attempt: 0,
            is_past_deadline: false,
        };
        let action = attempt.handle_winner(winner);
        (attempt, action)
    }

    /// Whether the attempt has failed or has a response stream to relay.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == AttemptState::Done
    }

    /// Handles an event and returns the next action.
    pub fn step(&mut self, event: ClaimEvent) -> ClaimAction {
        if event == ClaimEvent::DeadlinePassed {
            return self.handle_deadline();
        }
        match self.state {
            AttemptState::Appending | AttemptState::Reading | AttemptState::CheckingWinner => {
                self.handle_log_event(event)
            }
            AttemptState::Dispatching => self.handle_dispatch_event(&event),
            AttemptState::Attaching(winner) => self.handle_attach_event(&event, winner),
            AttemptState::Superseding(winner) => self.handle_supersede_event(&event, winner),
            AttemptState::CancellingOwn => self.handle_cancel_event(&event),
            AttemptState::Done => ClaimAction::Ignore,
        }
    }

    fn handle_log_event(&mut self, event: ClaimEvent) -> ClaimAction {
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
            ClaimEvent::Read(winner) if self.state == AttemptState::CheckingWinner => {
                self.finish_not_run(winner.as_ref())
            }
            ClaimEvent::Read(winner) if !is_appending => self.handle_winner(winner.as_ref()),
            _ => ClaimAction::Ignore,
        }
    }

    fn handle_dispatch_event(&mut self, event: &ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::Accepted => self.relay(self.own_request()),
            // An earlier dispatch may have been accepted, so this refusal does not prove that the
            // request has not run.
            ClaimEvent::Refused if self.has_lost_dispatch => self.cancel_own(),
            ClaimEvent::Refused => self.check_winner(),
            ClaimEvent::RefusedCancelled => {
                self.own_cancellation = OwnCancellation::Cancelled;
                self.read()
            }
            ClaimEvent::DispatchLost | ClaimEvent::AgentUnreachable => {
                self.has_lost_dispatch = true;
                ClaimAction::Dispatch(self.own_request())
            }
            ClaimEvent::IncarnationChanged => self.fail_or_check_winner(),
            _ => ClaimAction::Ignore,
        }
    }

    fn handle_attach_event(&mut self, event: &ClaimEvent, winner: ClaimedRequest) -> ClaimAction {
        match event {
            ClaimEvent::Attached => self.relay(winner),
            // The attempt limit does not allow a successor, so the winner is not cancelled.
            ClaimEvent::RequestUnknown
                if self.is_past_deadline || self.winner_attempt + 1 >= MAX_CLAIM_ATTEMPTS =>
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

    fn handle_supersede_event(
        &mut self,
        event: &ClaimEvent,
        winner: ClaimedRequest,
    ) -> ClaimAction {
        match event {
            ClaimEvent::TombstoneInserted { next } => self.supersede(winner, *next),
            ClaimEvent::AlreadyStarted => self.attach(winner),
            ClaimEvent::IncarnationChanged | ClaimEvent::AgentUnreachable => {
                self.fail(ClaimFailure::Unknown)
            }
            _ => ClaimAction::Ignore,
        }
    }

    fn handle_cancel_event(&mut self, event: &ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::TombstoneInserted { .. } => self.check_winner(),
            ClaimEvent::AlreadyStarted => {
                self.winner_attempt = self.record.attempt;
                self.attach(self.own_request())
            }
            // Only this attempt dispatches the request, and it sends no more dispatches.
            ClaimEvent::IncarnationChanged | ClaimEvent::AgentUnreachable => {
                self.fail_or_check_winner()
            }
            _ => ClaimAction::Ignore,
        }
    }

    /// Handles the key's winner after a read.
    fn handle_winner(&mut self, winner: Option<&claims::ClaimRecord>) -> ClaimAction {
        let Some(winner) = winner else {
            return self.append();
        };
        if winner.is_same_claim(&self.record) {
            // The entry that cancelled the request also claims the next attempt; log order decides
            // between the two claims.
            if self.own_cancellation == OwnCancellation::Cancelled {
                self.winner_attempt = self.record.attempt;
                return self.cancel_winner(self.own_request());
            }
            self.state = AttemptState::Dispatching;
            return ClaimAction::Dispatch(self.own_request());
        }
        if winner.body_hash != self.record.body_hash {
            return self.fail(ClaimFailure::KeyReused);
        }
        // The winner is the claim to supersede: the own append has not taken effect yet.
        if self.record.supersedes == Some(winner.request) {
            return self.append();
        }
        self.attach_to(winner)
    }

    /// Handles the key's winner when the own request cannot run.
    fn finish_not_run(&mut self, winner: Option<&claims::ClaimRecord>) -> ClaimAction {
        let Some(winner) = winner else {
            return self.fail(ClaimFailure::NotRun);
        };
        if winner.is_same_claim(&self.record) {
            let failure = match self.own_cancellation {
                OwnCancellation::None => ClaimFailure::NotRun,
                OwnCancellation::Cancelled | OwnCancellation::Superseded => ClaimFailure::Unknown,
            };
            return self.fail(failure);
        }
        if winner.body_hash != self.record.body_hash {
            return self.fail(ClaimFailure::KeyReused);
        }
        // The own claim has not taken effect, and the superseded entry may claim again.
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
        if self.own_cancellation == OwnCancellation::Cancelled {
            self.own_cancellation = OwnCancellation::Superseded;
        }
        self.append()
    }

    fn handle_deadline(&mut self) -> ClaimAction {
        self.is_past_deadline = true;
        match self.state {
            AttemptState::Appending | AttemptState::Reading => self.cancel_own(),
            AttemptState::Dispatching => {
                self.has_lost_dispatch = true;
                self.cancel_own()
            }
            AttemptState::Attaching(_) | AttemptState::Superseding(_) => {
                self.fail(ClaimFailure::Unknown)
            }
            _ => ClaimAction::Ignore,
        }
    }

    fn own_request(&self) -> ClaimedRequest {
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

    fn cancel_own(&mut self) -> ClaimAction {
        self.state = AttemptState::CancellingOwn;
        ClaimAction::InsertTombstone(self.own_request())
    }

    fn check_winner(&mut self) -> ClaimAction {
        self.state = AttemptState::CheckingWinner;
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

    /// Ends the attempt when its agent cannot be reached or has restarted: the own request may have
    /// run only if a dispatch was lost.
    fn fail_or_check_winner(&mut self) -> ClaimAction {
        if self.has_lost_dispatch {
            return self.fail(ClaimFailure::Unknown);
        }
        self.check_winner()
    }
}

//! Request table of one agent incarnation.
//!
//! The table admits a request id at most once. A cancel that arrives before the start leaves a
//! tombstone, after which the request can never start; only then may a caller be told `not_run`.

use std::time;

use crate::{ids, units};

/// Retention of tombstones and finished entries. A dispatch belongs to a session that closes after
/// 2 s of silence, so no dispatch can arrive after this time.
pub const RETENTION: time::Duration = time::Duration::from_mins(10);

/// State of a request at the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    Queued,
    Running,
    Finished,
    /// Tombstone: the request did not run and can never start.
    CancelledBeforeStart,
}

/// Answer to a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    NotRun,
    Running,
    Finished,
}

#[derive(Clone, Copy, Debug)]
struct TableEntry {
    request: ids::RequestId,
    state: RequestState,
    changed: units::Timestamp,
}

/// Requests known to one agent incarnation, sorted by id.
#[derive(Debug, Default)]
pub struct RequestTable {
    entries: Vec<TableEntry>,
}

impl RequestTable {
    /// Admits a request; `Err` carries the state of one that is already known.
    ///
    /// # Errors
    /// The current state when the id is already in the table.
    pub fn admit(
        &mut self,
        request: ids::RequestId,
        now: units::Timestamp,
    ) -> Result<(), RequestState> {
        match self.position(request) {
            Ok(position) => Err(self.entries[position].state),
            Err(position) => {
                self.insert(position, request, RequestState::Queued, now);
                Ok(())
            }
        }
    }

    /// Starts a queued request; false when it must not run.
    pub fn start(&mut self, request: ids::RequestId, now: units::Timestamp) -> bool {
        let Ok(position) = self.position(request) else {
            return false;
        };
        let entry = &mut self.entries[position];
        if entry.state != RequestState::Queued {
            return false;
        }
        entry.state = RequestState::Running;
        entry.changed = now;
        true
    }

    /// Marks a running request as finished.
    pub fn finish(&mut self, request: ids::RequestId, now: units::Timestamp) {
        let Ok(position) = self.position(request) else {
            return;
        };
        let entry = &mut self.entries[position];
        if entry.state == RequestState::Running {
            entry.state = RequestState::Finished;
            entry.changed = now;
        }
    }

    /// Cancels a request; one that has not started gets a tombstone.
    pub fn cancel(&mut self, request: ids::RequestId, now: units::Timestamp) -> CancelOutcome {
        let position = match self.position(request) {
            Ok(position) => position,
            Err(position) => {
                let state = RequestState::CancelledBeforeStart;
                self.insert(position, request, state, now);
                return CancelOutcome::NotRun;
            }
        };
        let entry = &mut self.entries[position];
        match entry.state {
            RequestState::Queued => {
                entry.state = RequestState::CancelledBeforeStart;
                entry.changed = now;
                CancelOutcome::NotRun
            }
            RequestState::CancelledBeforeStart => CancelOutcome::NotRun,
            RequestState::Running => CancelOutcome::Running,
            RequestState::Finished => CancelOutcome::Finished,
        }
    }

    /// State of a request, if it is known.
    #[must_use]
    pub fn state(&self, request: ids::RequestId) -> Option<RequestState> {
        let position = self.position(request).ok()?;
        Some(self.entries[position].state)
    }

    /// Drops tombstones and finished requests older than [`RETENTION`].
    pub fn expire(&mut self, now: units::Timestamp) {
        self.entries.retain(|entry| {
            let is_open = matches!(entry.state, RequestState::Queued | RequestState::Running);
            is_open || now.since(entry.changed) < RETENTION
        });
    }

    fn position(&self, request: ids::RequestId) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&request, |entry| entry.request)
    }

    fn insert(
        &mut self,
        position: usize,
        request: ids::RequestId,
        state: RequestState,
        changed: units::Timestamp,
    ) {
        let entry = TableEntry {
            request,
            state,
            changed,
        };
        self.entries.insert(position, entry);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REQUEST: ids::RequestId = ids::RequestId {
        entry: ids::Incarnation(1),
        sequence: 7,
    };
    const NOW: units::Timestamp = units::Timestamp(0);

    // Guards against a dispatch that arrives after its cancel and runs although the caller was
    // told `not_run`.
    #[test]
    fn tombstone_prevents_a_later_admission() {
        let mut table = RequestTable::default();
        assert_eq!(table.cancel(REQUEST, NOW), CancelOutcome::NotRun);
        assert_eq!(
            table.admit(REQUEST, NOW),
            Err(RequestState::CancelledBeforeStart)
        );
        assert!(!table.start(REQUEST, NOW));
    }

    // Guards against a repeated dispatch that runs a request twice.
    #[test]
    fn second_start_is_refused() {
        let mut table = RequestTable::default();
        table.admit(REQUEST, NOW).unwrap();
        assert!(table.start(REQUEST, NOW));
        assert!(!table.start(REQUEST, NOW));
        assert_eq!(table.cancel(REQUEST, NOW), CancelOutcome::Running);
    }
}

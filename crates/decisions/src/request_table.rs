//! Request table of one agent incarnation.
//!
//! The table admits a request id at most once. A cancel that arrives before the start leaves a
//! tombstone, after which the request can never start; only then may a caller be told `not_run`.
//!
//! An entry numbers its requests in ascending order, so each entry has its own sorted deque: new
//! requests are appended at the end and old ones leave near the front. One sorted vector of all
//! requests would move up to 100,000 entries with every insert.

use std::{collections, time};

use crate::{ids, units};

/// Retention of tombstones and finished entries. A dispatch belongs to a session that closes after
/// 10 s of silence, so no dispatch can arrive after this time.
pub const RETENTION: time::Duration = time::Duration::from_mins(10);

/// State of a request at the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    Queued,
    Running,
    Finished,
    /// Ended without a complete answer after it ran.
    Failed,
    /// Tombstone: the request did not run and can never start.
    CancelledBeforeStart,
}

/// Answer to a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    NotRun,
    /// The request runs; the caller of the table stops it at the engine.
    Running,
    Finished,
    /// The request ran and failed.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    sequence: u64,
    state: RequestState,
    changed: units::Timestamp,
    is_cancelled: bool,
}

/// Requests of one entry incarnation, sorted by sequence.
#[derive(Debug)]
struct EntryRequests {
    entry: ids::Incarnation,
    requests: collections::VecDeque<RequestRecord>,
}

/// Requests known to one agent incarnation, sorted by entry incarnation.
#[derive(Debug, Default)]
pub struct RequestTable {
    entries: Vec<EntryRequests>,
    /// In the order in which the requests ended.
    ended: collections::VecDeque<ids::RequestId>,
}

impl RequestState {
    /// Whether the request may still change its state.
    #[must_use]
    pub fn is_open(self) -> bool {
        matches!(self, Self::Queued | Self::Running)
    }
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
        if let Some(entry) = self.find(request) {
            return Err(entry.state);
        }
        self.insert(request, RequestState::Queued, now);
        Ok(())
    }

    /// Starts a queued request; false when it must not run.
    #[must_use]
    pub fn start(&mut self, request: ids::RequestId, now: units::Timestamp) -> bool {
        match self.find_mut(request) {
            Some(entry) if entry.state == RequestState::Queued => {
                entry.state = RequestState::Running;
                entry.changed = now;
                true
            }
            _ => false,
        }
    }

    /// Marks a running request as finished.
    pub fn finish(&mut self, request: ids::RequestId, now: units::Timestamp) {
        self.end(request, RequestState::Finished, now);
    }

    /// Marks a running request as failed.
    pub fn fail(&mut self, request: ids::RequestId, now: units::Timestamp) {
        self.end(request, RequestState::Failed, now);
    }

    /// Cancels a request; one that has not started gets a tombstone. One that runs is marked as
    /// cancelled and keeps running until [`Self::finish`] or [`Self::fail`].
    pub fn cancel(&mut self, request: ids::RequestId, now: units::Timestamp) -> CancelOutcome {
        let Some(entry) = self.find_mut(request) else {
            self.insert(request, RequestState::CancelledBeforeStart, now);
            self.ended.push_back(request);
            return CancelOutcome::NotRun;
        };
        match entry.state {
            RequestState::Queued => {
                entry.state = RequestState::CancelledBeforeStart;
                entry.changed = now;
                self.ended.push_back(request);
                CancelOutcome::NotRun
            }
            RequestState::CancelledBeforeStart => CancelOutcome::NotRun,
            RequestState::Running => {
                entry.is_cancelled = true;
                CancelOutcome::Running
            }
            RequestState::Finished => CancelOutcome::Finished,
            RequestState::Failed => CancelOutcome::Failed,
        }
    }

    /// Leaves a tombstone for a request that was not seen; a known one is not touched.
    pub fn insert_tombstone(
        &mut self,
        request: ids::RequestId,
        now: units::Timestamp,
    ) -> CancelOutcome {
        match self.state(request) {
            None => self.cancel(request, now),
            Some(RequestState::CancelledBeforeStart) => CancelOutcome::NotRun,
            Some(RequestState::Queued | RequestState::Running) => CancelOutcome::Running,
            Some(RequestState::Finished) => CancelOutcome::Finished,
            Some(RequestState::Failed) => CancelOutcome::Failed,
        }
    }

    /// Whether a running request was cancelled and should be stopped at the engine.
    #[must_use]
    pub fn is_cancelling(&self, request: ids::RequestId) -> bool {
        self.find(request)
            .is_some_and(|entry| entry.state == RequestState::Running && entry.is_cancelled)
    }

    /// State of a request, if it is known.
    #[must_use]
    pub fn state(&self, request: ids::RequestId) -> Option<RequestState> {
        self.find(request).map(|entry| entry.state)
    }

    /// Requests in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.iter().map(|entry| entry.requests.len()).sum()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops requests that ended [`RETENTION`] ago or earlier. The cost depends on the number
    /// dropped, not on the number kept.
    pub fn expire(&mut self, now: units::Timestamp) {
        while let Some(request) = self.ended.front().copied() {
            let changed = self.find(request).map(|entry| entry.changed);
            if changed.is_some_and(|changed| now.since(changed) < RETENTION) {
                return;
            }
            self.ended.pop_front();
            self.remove(request);
        }
    }

    fn end(&mut self, request: ids::RequestId, state: RequestState, now: units::Timestamp) {
        let Some(entry) = self.find_mut(request) else {
            return;
        };
        if entry.state != RequestState::Running {
            return;
        }
        entry.state = state;
        entry.changed = now;
        self.ended.push_back(request);
    }

    fn position(&self, entry: ids::Incarnation) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&entry, |requests| requests.entry)
    }

    fn find(&self, request: ids::RequestId) -> Option<&RequestRecord> {
        let position = self.position(request.entry).ok()?;
        self.entries[position].find(request.sequence)
    }

    fn find_mut(&mut self, request: ids::RequestId) -> Option<&mut RequestRecord> {
        let position = self.position(request.entry).ok()?;
        let requests = &mut self.entries[position];
        let index = requests.position(request.sequence).ok()?;
        requests.requests.get_mut(index)
    }

    fn insert(&mut self, request: ids::RequestId, state: RequestState, changed: units::Timestamp) {
        let found = self.position(request.entry);
        let position = found.unwrap_or_else(|position| {
            let requests = EntryRequests {
                entry: request.entry,
                requests: collections::VecDeque::new(),
            };
            self.entries.insert(position, requests);
            position
        });
        let requests = &mut self.entries[position];
        if let Err(index) = requests.position(request.sequence) {
            let entry = RequestRecord {
                sequence: request.sequence,
                state,
                changed,
                is_cancelled: false,
            };
            requests.requests.insert(index, entry);
        }
    }

    fn remove(&mut self, request: ids::RequestId) {
        let Ok(position) = self.position(request.entry) else {
            return;
        };
        let requests = &mut self.entries[position];
        if let Ok(index) = requests.position(request.sequence) {
            requests.requests.remove(index);
        }
        if requests.requests.is_empty() {
            self.entries.remove(position);
        }
    }
}

impl EntryRequests {
    fn position(&self, sequence: u64) -> Result<usize, usize> {
        self.requests
            .binary_search_by_key(&sequence, |entry| entry.sequence)
    }

    fn find(&self, sequence: u64) -> Option<&RequestRecord> {
        let index = self.position(sequence).ok()?;
        self.requests.get(index)
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

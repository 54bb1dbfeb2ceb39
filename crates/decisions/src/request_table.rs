//! Request table of one agent incarnation.
//!
//! The table admits a request id at most once. A cancel that arrives before the start inserts a
//! tombstone, after which the request can never start; only then may `not_run` be reported.
//!
//! An entry numbers its requests in ascending order, so each entry has a sorted deque of its own:
//! new requests are added at the back and old ones removed near the front. A single sorted vector
//! would move up to 100,000 records with every insert.

use std::{collections, time};

use crate::{ids, units};

/// Retention of tombstones and ended requests. A dispatch belongs to a session that closes after
/// 10 s of silence, so no dispatch can arrive after this time.
pub const RETENTION: time::Duration = time::Duration::from_mins(10);

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    Queued,
    Running,
    Finished,
    /// The request ran and ended without a complete response.
    Failed,
    /// Tombstone: the request did not run and can never start.
    CancelledBeforeStart,
}

/// Result of a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    NotRun,
    /// The request is running; the caller has to stop it at the engine.
    Running,
    Finished,
    /// The request ran and failed.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    sequence: u64,
    state: RequestState,
    changed_at: units::Timestamp,
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
    /// Ended requests, oldest first.
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
    /// Admits a request as queued.
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

    /// Starts a queued request; false if it must not run.
    #[must_use]
    pub fn start(&mut self, request: ids::RequestId, now: units::Timestamp) -> bool {
        match self.find_mut(request) {
            Some(entry) if entry.state == RequestState::Queued => {
                entry.state = RequestState::Running;
                entry.changed_at = now;
                true
            }
            _ => false,
        }
    }

    /// Marks a running request as finished.
    pub fn finish(&mut self, request: ids::RequestId, now: units::Timestamp) {
        self.end_running(request, RequestState::Finished, now);
    }

    /// Marks a running request as failed.
    pub fn fail(&mut self, request: ids::RequestId, now: units::Timestamp) {
        self.end_running(request, RequestState::Failed, now);
    }

    /// Cancels a request. One that has not started gets a tombstone; a running one is marked as
    /// cancelled and remains running until [`Self::finish`] or [`Self::fail`].
    pub fn cancel(&mut self, request: ids::RequestId, now: units::Timestamp) -> CancelOutcome {
        let Some(entry) = self.find_mut(request) else {
            self.insert(request, RequestState::CancelledBeforeStart, now);
            self.ended.push_back(request);
            return CancelOutcome::NotRun;
        };
        match entry.state {
            RequestState::Queued => {
                entry.state = RequestState::CancelledBeforeStart;
                entry.changed_at = now;
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

    /// Inserts a tombstone for an unknown request; a known one is left unchanged.
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

    /// Number of requests in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.iter().map(|entry| entry.requests.len()).sum()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes requests that ended [`RETENTION`] ago or earlier. The cost depends on the number
    /// removed, not on the number kept.
    pub fn expire(&mut self, now: units::Timestamp) {
        while let Some(request) = self.ended.front().copied() {
            let changed_at = self.find(request).map(|entry| entry.changed_at);
            if changed_at.is_some_and(|changed_at| now.since(changed_at) < RETENTION) {
                return;
            }
            self.ended.pop_front();
            self.remove(request);
        }
    }

    fn end_running(&mut self, request: ids::RequestId, state: RequestState, now: units::Timestamp) {
        let Some(entry) = self.find_mut(request) else {
            return;
        };
        if entry.state != RequestState::Running {
            return;
        }
        entry.state = state;
        entry.changed_at = now;
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

    fn insert(
        &mut self,
        request: ids::RequestId,
        state: RequestState,
        changed_at: units::Timestamp,
    ) {
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
                changed_at,
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

    // Guards against a dispatch that arrives after its cancel and runs, although `not_run` was
    // reported.
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

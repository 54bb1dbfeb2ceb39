//! Sessions of entries.
//!
//! A session without a poll for [`message::SESSION_SUSPEND_TIMEOUT`] is suspended: it accepts no dispatch
//! until its entry polls again, on any connection. After [`message::SESSION_TIMEOUT`] it is closed.

use std::{collections::VecDeque, sync::Arc, time};

use decisions::{ids, units};
use parking_lot::{Mutex, MutexGuard};
use peers::{message, report_update};
use tokio::sync;

const SHARD_COUNT: u64 = 16;

/// Session of one entry.
pub struct AgentSession {
    id: ids::SessionId,
    entry: ids::Incarnation,
    state: Mutex<SessionState>,
    /// Number of the newest poll; locked while a poll applies its acks or collects parts.
    newest_poll: Mutex<u64>,
    poll_wake: sync::Notify,
}

struct SessionState {
    last_poll: units::Timestamp,
    is_closed: bool,
    /// Streams with parts to send, in the order in which they became ready.
    ready_streams: VecDeque<ids::RequestId>,
    /// Streams of this session, sorted.
    streams: Vec<ids::RequestId>,
    /// Last report sent, the base of the next update.
    sent_report: Option<Arc<message::LoadReport>>,
    report_sent: units::Timestamp,
    is_report_due: bool,
}

impl SessionState {
    fn is_update_due(
        &self,
        sequence: u64,
        interval: time::Duration,
        now: units::Timestamp,
    ) -> bool {
        let Some(sent) = &self.sent_report else {
            return true;
        };
        let age = now.since(self.report_sent);
        let is_changed = sent.sequence != sequence && age >= interval.min(message::MAX_POLL_WAIT);
        is_changed || age >= message::MAX_POLL_WAIT || self.is_report_due
    }
}

/// All sessions, sharded by session id.
pub struct SessionRegistry {
    shards: Vec<Mutex<Vec<Arc<AgentSession>>>>,
}

impl AgentSession {
    fn new(id: ids::SessionId, entry: ids::Incarnation, now: units::Timestamp) -> Self {
        let state = SessionState {
            last_poll: now,
            is_closed: false,
            ready_streams: VecDeque::new(),
            streams: Vec::new(),
            sent_report: None,
            report_sent: now,
            is_report_due: false,
        };
        Self {
            id,
            entry,
            state: Mutex::new(state),
            newest_poll: Mutex::new(0),
            poll_wake: sync::Notify::new(),
        }
    }

    /// Identifier of this session.
    #[must_use]
    pub fn id(&self) -> ids::SessionId {
        self.id
    }

    /// Whether the session accepts a dispatch now.
    #[must_use]
    pub fn is_active(&self, now: units::Timestamp) -> bool {
        let state = self.state.lock();
        !state.is_closed && now.since(state.last_poll) < message::SESSION_SUSPEND_TIMEOUT
    }

    /// Records a poll; false when the session is closed.
    pub fn record_poll(&self, now: units::Timestamp) -> bool {
        let mut state = self.state.lock();
        state.last_poll = state.last_poll.max(now);
        !state.is_closed
    }

    /// Number of the newest poll. Only this poll may collect parts: an older one would send them
    /// over a connection that the entry has abandoned.
    pub fn newest_poll(&self) -> MutexGuard<'_, u64> {
        self.newest_poll.lock()
    }

    /// Adds a stream; false when the session is closed.
    pub fn add_stream(&self, request: ids::RequestId) -> bool {
        let mut state = self.state.lock();
        if state.is_closed {
            return false;
        }
        if let Err(position) = state.streams.binary_search(&request) {
            state.streams.insert(position, request);
        }
        true
    }

    /// Removes a stream that was delivered or is read by another session.
    pub fn remove_stream(&self, request: ids::RequestId) {
        let mut state = self.state.lock();
        if let Ok(position) = state.streams.binary_search(&request) {
            state.streams.remove(position);
        }
    }

    /// Appends a stream to the ready streams. The stream ensures that it is listed only once.
    pub fn push_ready_stream(&self, request: ids::RequestId) {
        self.state.lock().ready_streams.push_back(request);
        self.poll_wake.notify_waiters();
    }

    /// Takes the first ready stream.
    #[must_use]
    pub fn pop_ready_stream(&self) -> Option<ids::RequestId> {
        self.state.lock().ready_streams.pop_front()
    }

    /// Completes when new parts, a newer poll or a requested report wake the poll.
    pub fn changed(&self) -> sync::futures::Notified<'_> {
        self.poll_wake.notified()
    }

    /// Makes the outstanding poll reply immediately with a load report.
    pub fn request_report(&self) {
        self.state.lock().is_report_due = true;
        self.poll_wake.notify_waiters();
    }

    /// Wakes an outstanding poll, so that it ends when a newer one has arrived.
    pub fn interrupt_poll(&self) {
        self.poll_wake.notify_waiters();
    }

    /// Whether a load report was requested.
    #[must_use]
    pub fn is_report_due(&self) -> bool {
        self.state.lock().is_report_due
    }

    /// Report update for the next reply, if one is due; marks the report as sent.
    pub fn take_report_update(
        &self,
        report: &Arc<message::LoadReport>,
        poll: &message::Poll,
        now: units::Timestamp,
    ) -> Option<report_update::ReportUpdate> {
        let mut state = self.state.lock();
        if !state.is_update_due(report.sequence, poll.report_interval, now) {
            return None;
        }
        let sent = state.sent_report.as_deref();
        let base = sent.filter(|sent| sent.sequence == poll.base_report);
        let update = report_update::ReportUpdate::diff(base, report);
        state.sent_report = Some(Arc::clone(report));
        state.report_sent = now;
        state.is_report_due = false;
        Some(update)
    }

    fn close_if_expired(&self, now: units::Timestamp) -> bool {
        let mut state = self.state.lock();
        if now.since(state.last_poll) < message::SESSION_TIMEOUT {
            return false;
        }
        state.is_closed = true;
        true
    }

    /// Streams of this session.
    #[must_use]
    pub fn streams(&self) -> Vec<ids::RequestId> {
        self.state.lock().streams.clone()
    }
}

impl Default for SessionRegistry {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }
}

impl SessionRegistry {
    /// Opens a session of an entry.
    #[must_use]
    pub fn open(&self, entry: ids::Incarnation, now: units::Timestamp) -> Arc<AgentSession> {
        let id = ids::SessionId(rand::random());
        let session = Arc::new(AgentSession::new(id, entry, now));
        let mut sessions = self.shard(session.id).lock();
        let position = sessions.partition_point(|other| other.id < session.id);
        sessions.insert(position, Arc::clone(&session));
        session
    }

    /// Session with this id, suspended or not.
    #[must_use]
    pub fn find(&self, id: ids::SessionId) -> Option<Arc<AgentSession>> {
        let sessions = self.shard(id).lock();
        let position = sessions
            .binary_search_by_key(&id, |session| session.id)
            .ok()?;
        Some(Arc::clone(&sessions[position]))
    }

    /// Removes and returns the sessions silent for [`message::SESSION_TIMEOUT`].
    #[must_use]
    pub fn close_expired(&self, now: units::Timestamp) -> Vec<Arc<AgentSession>> {
        let mut closed = Vec::new();
        for shard in &self.shards {
            let mut sessions = shard.lock();
            closed.extend(sessions.extract_if(.., |session| session.close_if_expired(now)));
        }
        closed
    }

    /// Whether an entry has a session, suspended or not.
    #[must_use]
    pub fn has_entry(&self, entry: ids::Incarnation) -> bool {
        let mut shards = self.shards.iter();
        let is_of_entry = |session: &Arc<AgentSession>| session.entry == entry;
        shards.any(|shard| shard.lock().iter().any(is_of_entry))
    }

    /// All sessions.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<AgentSession>> {
        let shards = self.shards.iter();
        shards.flat_map(|shard| shard.lock().clone()).collect()
    }

    fn shard(&self, id: ids::SessionId) -> &Mutex<Vec<Arc<AgentSession>>> {
        let index = usize::try_from(id.0 % SHARD_COUNT).unwrap_or(0);
        &self.shards[index]
    }
}

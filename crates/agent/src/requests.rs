//! Requests of one agent incarnation: states, output streams and kept responses.

use std::{collections::VecDeque, sync::Arc};

use decisions::{
    ids,
    request_table::{self, CancelOutcome, RequestState},
    units,
};
use parking_lot::Mutex;
use peers::message;

use crate::{clock, sessions, streams};

const SHARD_COUNT: u64 = 16;

/// Outcome of an admission.
pub enum Admission {
    Admitted,
    /// The session was closed during admission; a tombstone prevents a later start.
    SessionClosed,
    Known(RequestState),
}

/// Requests sharded by request id, with the sessions that read their streams.
pub struct RequestRegistry {
    clock: clock::AgentClock,
    shards: Vec<Mutex<RequestShard>>,
    sessions: sessions::SessionRegistry,
    kept: Mutex<KeptResponses>,
}

#[derive(Default)]
struct RequestShard {
    table: request_table::RequestTable,
    /// Sorted by request.
    streams: Vec<Arc<streams::OutputStream>>,
}

/// Responses kept for callers that repeat an idempotency key, in the order in which they ended.
struct KeptResponses {
    limit: usize,
    bytes: usize,
    responses: VecDeque<KeptResponse>,
}

struct KeptResponse {
    request: ids::RequestId,
    bytes: usize,
    ended: units::Timestamp,
}

impl RequestRegistry {
    /// Empty registry that keeps up to `kept_bytes` bytes of ended responses.
    #[must_use]
    pub fn new(clock: clock::AgentClock, kept_bytes: usize) -> Self {
        Self {
            clock,
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            sessions: sessions::SessionRegistry::default(),
            kept: Mutex::new(KeptResponses {
                limit: kept_bytes,
                bytes: 0,
                responses: VecDeque::new(),
            }),
        }
    }

    /// Sessions that read the streams.
    #[must_use]
    pub fn sessions(&self) -> &sessions::SessionRegistry {
        &self.sessions
    }

    /// Admits the request of a stream at most once.
    pub fn admit(
        &self,
        stream: &Arc<streams::OutputStream>,
        session: &sessions::AgentSession,
    ) -> Admission {
        let request = stream.request();
        let now = self.clock.now();
        let mut shard = self.shard(request).lock();
        if let Err(state) = shard.table.admit(request, now) {
            return Admission::Known(state);
        }
        if !session.add_stream(request) {
            shard.table.cancel(request, now);
            return Admission::SessionClosed;
        }
        let streams = &mut shard.streams;
        let position = streams.partition_point(|other| other.request() < request);
        streams.insert(position, Arc::clone(stream));
        Admission::Admitted
    }

    /// Starts a queued request; false when it must not run.
    #[must_use]
    pub fn start_request(&self, request: ids::RequestId) -> bool {
        let now = self.clock.now();
        self.shard(request).lock().table.start(request, now)
    }

    /// Ends a request and appends the final part of its stream.
    pub fn end_request(&self, stream: &Arc<streams::OutputStream>, last: message::StreamPart) {
        let request = stream.request();
        let now = self.clock.now();
        let is_finished = matches!(last, message::StreamPart::Finished { .. });
        let is_not_run = is_not_run(&last);
        {
            let table = &mut self.shard(request).lock().table;
            if is_finished {
                table.finish(request, now);
            } else if is_not_run && table.state(request) == Some(RequestState::Queued) {
                table.cancel(request, now);
            } else {
                table.fail(request, now);
            }
        }
        stream.push_last(last);
        if stream.is_kept() {
            self.keep_response(stream, now);
        } else if stream.is_abandoned() {
            self.remove_stream(request);
        }
        self.notify_readers(stream);
    }

    /// Notifies the sessions that read a stream of new parts.
    pub fn notify_readers(&self, stream: &streams::OutputStream) {
        for session in stream.mark_ready_all() {
            if let Some(session) = self.sessions.find(session) {
                session.push_ready_stream(stream.request());
            }
        }
    }

    /// Applies the acknowledgement of an entry: parts received by it and consumed by its caller.
    pub fn acknowledge(&self, session: &sessions::AgentSession, ack: &message::StreamAck) {
        let Some(stream) = self.stream(ack.request) else {
            return;
        };
        let id = session.id();
        stream.acknowledge(id, ack);
        if stream.is_delivered(id) {
            session.remove_stream(ack.request);
            if stream.is_kept() {
                stream.detach(id);
            } else {
                self.remove_stream(ack.request);
            }
        } else if stream.mark_ready(id) {
            session.push_ready_stream(ack.request);
        }
    }

    /// Lets a session read the stream of a known request from part 0.
    pub fn attach(
        &self,
        session: &sessions::AgentSession,
        request: ids::RequestId,
    ) -> message::CancelReply {
        // One lock for both: a request that is admitted between them would look finished.
        let found = {
            let shard = self.shard(request).lock();
            shard
                .stream(request)
                .ok_or_else(|| shard.table.state(request))
        };
        let stream = match found {
            Ok(stream) => stream,
            Err(None | Some(RequestState::CancelledBeforeStart)) => {
                return message::CancelReply::NotRun;
            }
            Err(Some(_)) => return message::CancelReply::Finished,
        };
        if !stream.attach(session.id()) {
            return message::CancelReply::Finished;
        }
        if !session.add_stream(request) {
            // The session was closed after the lookup and will not detach this reader itself.
            stream.detach(session.id());
            return message::CancelReply::Running;
        }
        if stream.mark_ready(session.id()) {
            session.push_ready_stream(request);
        }
        message::CancelReply::Running
    }

    /// Cancels a request before its start, or stops a running one.
    pub fn cancel(&self, request: ids::RequestId) -> message::CancelReply {
        let now = self.clock.now();
        let mut shard = self.shard(request).lock();
        let outcome = shard.table.cancel(request, now);
        let stream = shard.stream(request);
        drop(shard);
        if let Some(stream) = stream {
            stream.cancel();
        }
        cancel_reply(outcome)
    }

    /// Inserts a tombstone for an unknown request; a known one is left unchanged.
    pub fn insert_tombstone(&self, request: ids::RequestId) -> message::CancelReply {
        let now = self.clock.now();
        let mut shard = self.shard(request).lock();
        cancel_reply(shard.table.insert_tombstone(request, now))
    }

    /// Closes silent sessions and drops expired responses and request states. Returns the number of
    /// closed sessions.
    pub fn sweep_expired(&self) -> usize {
        let now = self.clock.now();
        let closed = self.sessions.close_expired(now);
        for session in &closed {
            for request in session.streams() {
                self.abandon_stream(session, request);
            }
        }
        self.kept
            .lock()
            .evict(now, |request| self.remove_stream(request));
        for shard in &self.shards {
            shard.lock().table.expire(now);
        }
        closed.len()
    }

    /// Stream of a request.
    #[must_use]
    pub fn stream(&self, request: ids::RequestId) -> Option<Arc<streams::OutputStream>> {
        self.shard(request).lock().stream(request)
    }

    /// Requests that have not ended, and responses not yet delivered to an open session.
    #[must_use]
    pub fn open_requests(&self) -> Vec<ids::RequestId> {
        let mut open = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            let is_session_open = |session| self.sessions.find(session).is_some();
            let streams = shard.streams.iter();
            let streams = streams.filter(|stream| stream.is_undelivered(is_session_open));
            open.extend(streams.map(|stream| stream.request()));
        }
        open
    }

    fn abandon_stream(&self, session: &sessions::AgentSession, request: ids::RequestId) {
        let Some(stream) = self.stream(request) else {
            return;
        };
        if !stream.is_read_by(session.id()) {
            return;
        }
        if stream.is_kept() {
            stream.detach(session.id());
            return;
        }
        self.cancel(request);
        if stream.abandon() {
            self.remove_stream(request);
        }
    }

    fn keep_response(&self, stream: &streams::OutputStream, now: units::Timestamp) {
        let response = KeptResponse {
            request: stream.request(),
            bytes: stream.held_bytes(),
            ended: now,
        };
        let mut kept = self.kept.lock();
        kept.bytes += response.bytes;
        kept.responses.push_back(response);
        kept.evict(now, |request| self.remove_stream(request));
    }

    fn remove_stream(&self, request: ids::RequestId) {
        let mut shard = self.shard(request).lock();
        if let Some(position) = shard.position(request) {
            shard.streams.remove(position);
        }
    }

    fn shard(&self, request: ids::RequestId) -> &Mutex<RequestShard> {
        let hash = request.entry.0 ^ request.sequence;
        let index = usize::try_from(hash % SHARD_COUNT).unwrap_or(0);
        &self.shards[index]
    }
}

impl KeptResponses {
    /// Drops expired responses, and the oldest ones while the total is over the limit.
    fn evict(&mut self, now: units::Timestamp, remove_stream: impl Fn(ids::RequestId)) {
        while let Some(first) = self.responses.front() {
            let is_expired = now.since(first.ended) >= request_table::RETENTION;
            if !is_expired && self.bytes <= self.limit {
                return;
            }
            self.bytes -= first.bytes;
            remove_stream(first.request);
            self.responses.pop_front();
        }
    }
}

impl RequestShard {
    fn stream(&self, request: ids::RequestId) -> Option<Arc<streams::OutputStream>> {
        let position = self.position(request)?;
        Some(Arc::clone(&self.streams[position]))
    }

    fn position(&self, request: ids::RequestId) -> Option<usize> {
        self.streams
            .binary_search_by_key(&request, |stream| stream.request())
            .ok()
    }
}

fn is_not_run(last: &message::StreamPart) -> bool {
    matches!(last, message::StreamPart::Failed(failure)
        if failure.outcome == message::RunOutcome::NotRun)
}

fn cancel_reply(outcome: CancelOutcome) -> message::CancelReply {
    match outcome {
        CancelOutcome::NotRun => message::CancelReply::NotRun,
        CancelOutcome::Running => message::CancelReply::Running,
        CancelOutcome::Finished | CancelOutcome::Failed => message::CancelReply::Finished,
    }
}

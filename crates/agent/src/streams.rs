//! Output of running requests, buffered until the entries have received it.
//!
//! Parts are numbered from 0, so an entry resumes at the next part after it lost a connection. A
//! kept stream has one cursor per reading session; any other stream has a single reader. The
//! producer waits only for the fastest reader, so a slow caller does not delay the others.

use std::collections::VecDeque;

use decisions::ids;
use parking_lot::Mutex;
use peers::message;
use tokio::sync;

/// Output of one request.
pub struct OutputStream {
    request: ids::RequestId,
    is_kept: bool,
    buffer: Mutex<StreamBuffer>,
    window_moved: sync::Notify,
    cancel_requested: sync::Notify,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum StreamPhase {
    Open,
    /// The producer is to stop.
    Cancelled,
    Ended,
}

/// Read position of one session in a stream.
struct StreamCursor {
    session: ids::SessionId,
    /// Next part to send to the session.
    sent: u64,
    /// Highest value that `sent` had, as `sent` returns to `received` with every ack.
    max_sent: u64,
    /// First part that the entry has not received.
    received: u64,
    consumed: u64,
    /// Whether the session's list of ready streams contains this stream.
    is_marked_ready: bool,
    /// Whether the caller has disconnected, so that the producer does not wait for it.
    is_closed: bool,
}

struct StreamBuffer {
    /// Sorted by session.
    cursors: Vec<StreamCursor>,
    /// Index of the first buffered part.
    first_index: u64,
    parts: VecDeque<message::StreamPart>,
    phase: StreamPhase,
    /// Whether the stream lost its only reader when the session was closed.
    is_abandoned: bool,
}

impl OutputStream {
    /// Creates an empty stream; with `is_kept` it retains parts after they were received.
    #[must_use]
    pub fn new(request: ids::RequestId, session: ids::SessionId, is_kept: bool) -> Self {
        let buffer = StreamBuffer {
            cursors: vec![StreamCursor::new(session)],
            first_index: 0,
            parts: VecDeque::new(),
            phase: StreamPhase::Open,
            is_abandoned: false,
        };
        Self {
            request,
            is_kept,
            buffer: Mutex::new(buffer),
            window_moved: sync::Notify::new(),
            cancel_requested: sync::Notify::new(),
        }
    }

    /// Request that produces this stream.
    #[must_use]
    pub fn request(&self) -> ids::RequestId {
        self.request
    }

    /// Whether a session reads this stream.
    #[must_use]
    pub fn is_read_by(&self, session: ids::SessionId) -> bool {
        self.buffer.lock().position(session).is_ok()
    }

    /// Appends a part, waiting while the window is full. False when the stream is cancelled.
    pub async fn push(&self, part: message::StreamPart) -> bool {
        loop {
            let opened = self.window_moved.notified();
            {
                let mut buffer = self.buffer.lock();
                if buffer.phase != StreamPhase::Open {
                    return false;
                }
                if buffer.has_room() {
                    buffer.parts.push_back(part);
                    return true;
                }
            }
            opened.await;
        }
    }

    /// Appends the final part, regardless of the window.
    pub fn push_last(&self, part: message::StreamPart) {
        let mut buffer = self.buffer.lock();
        if buffer.phase == StreamPhase::Ended {
            return;
        }
        buffer.parts.push_back(part);
        buffer.phase = StreamPhase::Ended;
    }

    /// Cancels an open stream, which stops its producer.
    pub fn cancel(&self) {
        {
            let mut buffer = self.buffer.lock();
            if buffer.phase == StreamPhase::Open {
                buffer.phase = StreamPhase::Cancelled;
            }
        }
        self.window_moved.notify_waiters();
        self.cancel_requested.notify_waiters();
    }

    /// Returns once the stream is cancelled.
    pub async fn wait_cancelled(&self) {
        loop {
            let notified = self.cancel_requested.notified();
            if self.buffer.lock().phase == StreamPhase::Cancelled {
                return;
            }
            notified.await;
        }
    }

    /// Applies the acknowledgement of one session and releases received parts of a stream that is
    /// not kept.
    pub fn acknowledge(&self, session: ids::SessionId, ack: &message::StreamAck) {
        let mut buffer = self.buffer.lock();
        let (first_index, next) = (buffer.first_index, buffer.next_index());
        let Ok(position) = buffer.position(session) else {
            return;
        };
        let cursor = &mut buffer.cursors[position];
        // Ignore a late ack for an earlier reader of the same session: it would move the new cursor
        // past parts that were not yet sent.
        if ack.received > cursor.max_sent {
            return;
        }
        let received = ack.received.clamp(first_index, next);
        cursor.sent = received;
        cursor.received = cursor.received.max(received);
        cursor.consumed = cursor.consumed.max(ack.consumed.min(next));
        cursor.is_closed = ack.is_closed && self.is_kept;
        if !self.is_kept {
            while buffer.first_index < received && !buffer.parts.is_empty() {
                buffer.parts.pop_front();
                buffer.first_index += 1;
            }
        }
        drop(buffer);
        self.window_moved.notify_waiters();
    }

    /// Attaches a session that reads from part 0; replaces the reader of a stream that is not kept.
    /// False when parts have already been released.
    pub fn attach(&self, session: ids::SessionId) -> bool {
        let mut buffer = self.buffer.lock();
        if buffer.first_index > 0 {
            return false;
        }
        if !self.is_kept {
            buffer.cursors.clear();
        }
        let cursor = StreamCursor::new(session);
        match buffer.position(session) {
            Ok(position) => buffer.cursors[position] = cursor,
            Err(position) => buffer.cursors.insert(position, cursor),
        }
        true
    }

    /// Removes a reader; without readers the producer runs to completion.
    pub fn detach(&self, session: ids::SessionId) {
        let mut buffer = self.buffer.lock();
        if let Ok(position) = buffer.position(session) {
            buffer.cursors.remove(position);
        }
        drop(buffer);
        self.window_moved.notify_waiters();
    }

    /// Appends unsent parts of a session to `events` and returns their size in bytes. Stops at
    /// `limit` events in total or after `bytes` bytes.
    pub fn take_unsent(
        &self,
        session: ids::SessionId,
        limit: usize,
        bytes: usize,
        events: &mut Vec<message::StreamEvent>,
    ) -> usize {
        let mut buffer = self.buffer.lock();
        let Ok(position) = buffer.position(session) else {
            return 0;
        };
        buffer.cursors[position].is_marked_ready = false;
        let mut taken = 0;
        while events.len() < limit && taken < bytes {
            let index = buffer.cursors[position].sent;
            let Some(part) = buffer.next_unsent(position) else {
                break;
            };
            taken += part_bytes(part);
            events.push(message::StreamEvent {
                request: self.request,
                index,
                part: part.clone(),
            });
            let cursor = &mut buffer.cursors[position];
            cursor.sent = index + 1;
            cursor.max_sent = cursor.max_sent.max(cursor.sent);
        }
        taken
    }

    /// Marks the stream as ready for a session; true if the caller has to add it to the session's
    /// list of ready streams.
    pub fn mark_ready(&self, session: ids::SessionId) -> bool {
        let mut buffer = self.buffer.lock();
        let position = buffer.position(session);
        position.is_ok_and(|position| buffer.mark_ready(position))
    }

    /// Marks the stream as ready for all readers; returns the sessions to whose lists of ready
    /// streams the caller has to add it.
    pub fn mark_ready_all(&self) -> Vec<ids::SessionId> {
        let mut buffer = self.buffer.lock();
        let mut sessions = Vec::new();
        for position in 0..buffer.cursors.len() {
            if buffer.mark_ready(position) {
                sessions.push(buffer.cursors[position].session);
            }
        }
        sessions
    }

    /// Marks the stream as abandoned; true if it has already ended.
    pub fn abandon(&self) -> bool {
        let mut buffer = self.buffer.lock();
        buffer.is_abandoned = true;
        buffer.phase == StreamPhase::Ended
    }

    /// Whether the stream was abandoned by its reader.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.buffer.lock().is_abandoned
    }

    /// Whether parts are retained after they were received.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Whether the stream has not ended, or a reader accepted by `is_session_open` lacks parts.
    #[must_use]
    pub fn is_undelivered(&self, is_session_open: impl Fn(ids::SessionId) -> bool) -> bool {
        let buffer = self.buffer.lock();
        let next = buffer.next_index();
        let mut cursors = buffer.cursors.iter();
        buffer.phase != StreamPhase::Ended
            || cursors.any(|cursor| cursor.lacks_parts(next) && is_session_open(cursor.session))
    }

    /// Whether the stream has ended and a session has received all of it.
    #[must_use]
    pub fn is_delivered(&self, session: ids::SessionId) -> bool {
        let buffer = self.buffer.lock();
        let next = buffer.next_index();
        let position = buffer.position(session);
        buffer.phase == StreamPhase::Ended
            && position.is_ok_and(|position| buffer.cursors[position].received == next)
    }

    /// Size of the buffered parts in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.buffer.lock().parts.iter().map(part_bytes).sum()
    }
}

/// Size of a part in bytes, including its fixed fields.
fn part_bytes(part: &message::StreamPart) -> usize {
    let content = match part {
        message::StreamPart::Text { text, .. } => text.len(),
        message::StreamPart::Bytes(bytes) => bytes.len(),
        message::StreamPart::Failed(failure) => failure.message.len(),
        message::StreamPart::Head { .. } | message::StreamPart::Finished { .. } => 0,
    };
    content + size_of::<message::StreamPart>()
}

impl StreamBuffer {
    fn next_index(&self) -> u64 {
        self.first_index + self.parts.len() as u64
    }

    fn position(&self, session: ids::SessionId) -> Result<usize, usize> {
        self.cursors
            .binary_search_by_key(&session, |cursor| cursor.session)
    }

    /// Whether another part fits into the window of the fastest reader. A kept stream without
    /// readers has no limit.
    fn has_room(&self) -> bool {
        let cursors = self.cursors.iter().filter(|cursor| !cursor.is_closed);
        let consumed = cursors.map(|cursor| cursor.consumed).max();
        consumed.is_none_or(|consumed| self.next_index() < consumed + message::STREAM_WINDOW)
    }

    /// Next part to send to a reader, if its window allows it. The final part is always allowed.
    fn next_unsent(&self, position: usize) -> Option<&message::StreamPart> {
        let cursor = &self.cursors[position];
        let is_last = self.phase == StreamPhase::Ended && cursor.sent + 1 == self.next_index();
        if cursor.sent >= cursor.consumed + message::STREAM_WINDOW && !is_last {
            return None;
        }
        let offset = usize::try_from(cursor.sent.checked_sub(self.first_index)?).ok()?;
        self.parts.get(offset)
    }

    fn mark_ready(&mut self, position: usize) -> bool {
        if self.cursors[position].is_marked_ready || self.next_unsent(position).is_none() {
            return false;
        }
        self.cursors[position].is_marked_ready = true;
        true
    }
}

impl StreamCursor {
    fn new(session: ids::SessionId) -> Self {
        Self {
            session,
            sent: 0,
            max_sent: 0,
            received: 0,
            consumed: 0,
            is_marked_ready: false,
            is_closed: false,
        }
    }

    /// Whether the caller is connected and has not received all parts before `next`.
    fn lacks_parts(&self, next: u64) -> bool {
        !self.is_closed && self.received < next
    }
}

//! Output of running requests, kept until the entries have received it.
//!
//! Parts carry an index from 0, so an entry that lost a connection continues at the next part. A
//! kept stream has a cursor for each session that reads it; any other stream has one reader. The
//! producer waits only for the reader that is furthest ahead, so that a slow caller delays no other.

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
    /// The producer stops.
    Cancelled,
    Ended,
}

/// Position of one session in a stream.
struct StreamCursor {
    session: ids::SessionId,
    /// Next part to send in the session.
    sent: u64,
    /// End of the parts that were ever sent with this cursor.
    max_sent: u64,
    /// Next part that the entry has not received.
    received: u64,
    consumed: u64,
    /// Whether the session's list of ready streams holds this stream.
    is_marked_ready: bool,
    /// Whether the caller has gone, so that the producer need not wait for it.
    is_closed: bool,
}

struct StreamBuffer {
    /// Sorted by session.
    cursors: Vec<StreamCursor>,
    /// Index of the first part that is held.
    first_index: u64,
    parts: VecDeque<message::StreamPart>,
    phase: StreamPhase,
    /// Whether the session was closed, so that no one reads the stream.
    is_abandoned: bool,
}

impl OutputStream {
    /// Creates an empty stream; `is_kept` retains all parts after they were received.
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

    /// Request of this stream.
    #[must_use]
    pub fn request(&self) -> ids::RequestId {
        self.request
    }

    /// Whether a session reads this stream.
    #[must_use]
    pub fn is_read_by(&self, session: ids::SessionId) -> bool {
        self.buffer.lock().position(session).is_ok()
    }

    /// Appends a part; waits first while the window is full. False when the stream is cancelled.
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

    /// Appends the last part, for which the window does not count.
    pub fn push_last(&self, part: message::StreamPart) {
        let mut buffer = self.buffer.lock();
        if buffer.phase == StreamPhase::Ended {
            return;
        }
        buffer.parts.push_back(part);
        buffer.phase = StreamPhase::Ended;
    }

    /// Makes the producer stop.
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

    /// Records what the entry of a session has received and its caller has consumed.
    pub fn acknowledge(&self, session: ids::SessionId, ack: &message::StreamAck) {
        let mut buffer = self.buffer.lock();
        let (first_index, next) = (buffer.first_index, buffer.next_index());
        let Ok(position) = buffer.position(session) else {
            return;
        };
        let cursor = &mut buffer.cursors[position];
        // An ack of an earlier reader in this session may arrive after a new one has attached. It
        // must not move the new cursor past parts that were not sent with it.
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

    /// Lets a session read the stream from part 0; the only reader of a stream that is not kept is
    /// replaced. False when parts are gone.
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

    /// Removes a reader; the producer runs to its end when none is left.
    pub fn detach(&self, session: ids::SessionId) {
        let mut buffer = self.buffer.lock();
        if let Ok(position) = buffer.position(session) {
            buffer.cursors.remove(position);
        }
        drop(buffer);
        self.window_moved.notify_waiters();
    }

    /// Takes parts that were not sent yet in a session and returns their bytes. Stops at `limit`
    /// events in total, or once `bytes` are taken.
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

    /// Whether the stream has to be added to a session's list of ready streams; counts it as
    /// listed if so.
    pub fn mark_ready(&self, session: ids::SessionId) -> bool {
        let mut buffer = self.buffer.lock();
        let position = buffer.position(session);
        position.is_ok_and(|position| buffer.mark_ready(position))
    }

    /// Sessions to whose lists of ready streams this one has to be added; counts it as listed.
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

    /// Marks the stream as no longer read; true when it has ended already.
    pub fn abandon(&self) -> bool {
        let mut buffer = self.buffer.lock();
        buffer.is_abandoned = true;
        buffer.phase == StreamPhase::Ended
    }

    /// Whether no one reads the stream any more.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.buffer.lock().is_abandoned
    }

    /// Whether all parts are retained after they were received.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Whether the answer has not ended, or a reader that `is_session_open` accepts lacks a part of it.
    #[must_use]
    pub fn is_undelivered(&self, is_session_open: impl Fn(ids::SessionId) -> bool) -> bool {
        let buffer = self.buffer.lock();
        let next = buffer.next_index();
        let mut cursors = buffer.cursors.iter();
        buffer.phase != StreamPhase::Ended
            || cursors.any(|cursor| cursor.lacks_parts(next) && is_session_open(cursor.session))
    }

    /// Whether the answer ended and a session has received all of it.
    #[must_use]
    pub fn is_delivered(&self, session: ids::SessionId) -> bool {
        let buffer = self.buffer.lock();
        let next = buffer.next_index();
        let position = buffer.position(session);
        buffer.phase == StreamPhase::Ended
            && position.is_ok_and(|position| buffer.cursors[position].received == next)
    }

    /// Bytes of the parts that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.buffer.lock().parts.iter().map(part_bytes).sum()
    }
}

/// Size of a part with its fixed fields.
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

    /// Whether a further part fits into the window of the reader that is furthest ahead. A kept
    /// answer without a reader has no limit.
    fn has_room(&self) -> bool {
        let cursors = self.cursors.iter().filter(|cursor| !cursor.is_closed);
        let consumed = cursors.map(|cursor| cursor.consumed).max();
        consumed.is_none_or(|consumed| self.next_index() < consumed + message::STREAM_WINDOW)
    }

    /// Next part to send to a reader, if it lies within its window. The last part is not limited.
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

    /// Whether the caller is there and lacks a part of the stream that ends at `next`.
    fn lacks_parts(&self, next: u64) -> bool {
        !self.is_closed && self.received < next
    }
}

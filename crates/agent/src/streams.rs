//! Output of running requests, kept until the entry has received it.
//!
//! Parts carry an index from 0, so an entry that lost a connection continues at the next part. A
//! stream whose window is full makes its producer wait.

use std::collections::VecDeque;

use decisions::ids;
use parking_lot::Mutex;
use peers::message;
use tokio::sync;

/// Output of one request.
pub struct OutputStream {
    request: ids::RequestId,
    keep: bool,
    buffer: Mutex<StreamBuffer>,
    window: sync::Notify,
    cancelled: sync::Notify,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum StreamPhase {
    Open,
    /// The producer stops.
    Cancelled,
    Ended,
}

struct StreamBuffer {
    session: ids::SessionId,
    /// Index of the first part that is kept.
    base: u64,
    parts: VecDeque<message::StreamPart>,
    /// Next part to send in the session.
    sent: u64,
    /// Next part that the entry has not received.
    received: u64,
    consumed: u64,
    phase: StreamPhase,
    /// Whether the session's list of ready streams holds this stream.
    listed: bool,
    /// Whether the session was closed, so that no one reads the stream.
    abandoned: bool,
}

impl OutputStream {
    /// Creates an empty stream; `keep` retains all parts after they were received.
    #[must_use]
    pub fn new(request: ids::RequestId, session: ids::SessionId, keep: bool) -> Self {
        let buffer = StreamBuffer {
            session,
            base: 0,
            parts: VecDeque::new(),
            sent: 0,
            received: 0,
            consumed: 0,
            phase: StreamPhase::Open,
            listed: false,
            abandoned: false,
        };
        Self {
            request,
            keep,
            buffer: Mutex::new(buffer),
            window: sync::Notify::new(),
            cancelled: sync::Notify::new(),
        }
    }

    /// Request of this stream.
    #[must_use]
    pub fn request(&self) -> ids::RequestId {
        self.request
    }

    /// Session that reads this stream.
    #[must_use]
    pub fn session(&self) -> ids::SessionId {
        self.buffer.lock().session
    }

    /// Appends a part; waits first while the window is full. False when the stream is cancelled.
    pub async fn push(&self, part: message::StreamPart) -> bool {
        loop {
            let opened = self.window.notified();
            {
                let mut buffer = self.buffer.lock();
                if buffer.phase != StreamPhase::Open {
                    return false;
                }
                if buffer.next() < buffer.consumed + message::STREAM_WINDOW {
                    buffer.parts.push_back(part);
                    return true;
                }
            }
            opened.await;
        }
    }

    /// Appends the last part, for which the window does not count.
    pub fn end(&self, part: message::StreamPart) {
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
        self.window.notify_waiters();
        self.cancelled.notify_waiters();
    }

    /// Returns once the stream is cancelled.
    pub async fn wait_cancelled(&self) {
        loop {
            let notified = self.cancelled.notified();
            if self.buffer.lock().phase == StreamPhase::Cancelled {
                return;
            }
            notified.await;
        }
    }

    /// Records what the entry has received and the caller has consumed.
    pub fn acknowledge(&self, received: u64, consumed: u64) {
        let mut buffer = self.buffer.lock();
        let received = received.clamp(buffer.base, buffer.next());
        buffer.sent = received;
        buffer.received = buffer.received.max(received);
        buffer.consumed = consumed.max(buffer.consumed);
        if !self.keep {
            while buffer.base < received && !buffer.parts.is_empty() {
                buffer.parts.pop_front();
                buffer.base += 1;
            }
        }
        drop(buffer);
        self.window.notify_waiters();
    }

    /// Moves the stream to another session, from part 0. False when parts are gone.
    pub fn attach(&self, session: ids::SessionId) -> bool {
        let mut buffer = self.buffer.lock();
        if buffer.base > 0 {
            return false;
        }
        buffer.session = session;
        buffer.sent = 0;
        buffer.received = 0;
        buffer.consumed = 0;
        buffer.listed = false;
        true
    }

    /// Takes parts that were not sent yet and returns their bytes. Stops at `limit` events in
    /// total, or once `bytes` are taken.
    pub fn take_unsent(
        &self,
        limit: usize,
        bytes: usize,
        events: &mut Vec<message::StreamEvent>,
    ) -> usize {
        let mut buffer = self.buffer.lock();
        buffer.listed = false;
        let mut taken = 0;
        while events.len() < limit && taken < bytes {
            let Some(part) = buffer.unsent() else { break };
            taken += part_bytes(part);
            events.push(message::StreamEvent {
                request: self.request,
                index: buffer.sent,
                part: part.clone(),
            });
            buffer.sent += 1;
        }
        taken
    }

    /// Whether the stream has to be added to its session's list of ready streams; counts it as
    /// listed if so.
    pub fn list(&self) -> bool {
        let mut buffer = self.buffer.lock();
        if buffer.listed || buffer.unsent().is_none() {
            return false;
        }
        buffer.listed = true;
        true
    }

    /// Lets the producer of a kept answer run to its end while no session reads it.
    pub fn release_window(&self) {
        self.buffer.lock().consumed = u64::MAX - message::STREAM_WINDOW;
        self.window.notify_waiters();
    }

    /// Marks the stream as no longer read; true when it has ended already.
    pub fn abandon(&self) -> bool {
        let mut buffer = self.buffer.lock();
        buffer.abandoned = true;
        buffer.phase == StreamPhase::Ended
    }

    /// Whether no one reads the stream any more.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.buffer.lock().abandoned
    }

    /// Whether all parts are retained after they were received.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.keep
    }

    /// Whether the last part was appended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.buffer.lock().phase == StreamPhase::Ended
    }

    /// Whether the answer ended and all of it was received.
    #[must_use]
    pub fn is_delivered(&self) -> bool {
        let buffer = self.buffer.lock();
        buffer.phase == StreamPhase::Ended && buffer.received == buffer.next()
    }

    /// Bytes of the parts that are held.
    #[must_use]
    pub fn bytes(&self) -> usize {
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
    fn next(&self) -> u64 {
        self.base + self.parts.len() as u64
    }

    fn unsent(&self) -> Option<&message::StreamPart> {
        let offset = usize::try_from(self.sent.checked_sub(self.base)?).ok()?;
        self.parts.get(offset)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REQUEST: ids::RequestId = ids::RequestId {
        entry: ids::Incarnation(1),
        sequence: 1,
    };

    fn text(text: &str) -> message::StreamPart {
        message::StreamPart::Text {
            text: text.into(),
            tokens: 1,
        }
    }

    // Guards against a lost poll reply that leaves a gap in the answer.
    #[tokio::test]
    async fn parts_that_were_not_received_are_sent_again() {
        let stream = OutputStream::new(REQUEST, ids::SessionId(1), false);
        for part in ["a", "b", "c"] {
            assert!(stream.push(text(part)).await);
        }
        let mut events = Vec::new();
        stream.take_unsent(8, usize::MAX, &mut events);
        assert_eq!(events.len(), 3);
        stream.acknowledge(1, 0);
        events.clear();
        stream.take_unsent(8, usize::MAX, &mut events);
        let indexes: Vec<_> = events.iter().map(|event| event.index).collect();
        assert_eq!(indexes, [1, 2]);
    }

    // Guards against a slow caller whose answer grows without bound at the agent.
    #[tokio::test(start_paused = true)]
    async fn full_window_makes_the_producer_wait() {
        let stream = OutputStream::new(REQUEST, ids::SessionId(1), false);
        for _ in 0..message::STREAM_WINDOW {
            assert!(stream.push(text("a")).await);
        }
        let second = std::time::Duration::from_secs(1);
        let blocked = tokio::time::timeout(second, stream.push(text("b"))).await;
        assert!(blocked.is_err());
        stream.acknowledge(1, 1);
        assert!(stream.push(text("b")).await);
    }
}

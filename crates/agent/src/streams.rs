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

struct StreamBuffer {
    session: ids::SessionId,
    /// Index of the first part that is kept.
    base: u64,
    parts: VecDeque<message::StreamPart>,
    /// Next part to send in the session.
    sent: u64,
    consumed: u64,
    ended: bool,
    cancelled: bool,
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
            consumed: 0,
            ended: false,
            cancelled: false,
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
                if buffer.cancelled {
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
        if buffer.ended {
            return;
        }
        buffer.parts.push_back(part);
        buffer.ended = true;
    }

    /// Makes the producer stop.
    pub fn cancel(&self) {
        self.buffer.lock().cancelled = true;
        self.window.notify_waiters();
        self.cancelled.notify_waiters();
    }

    /// Returns once the stream is cancelled.
    pub async fn wait_cancelled(&self) {
        loop {
            let notified = self.cancelled.notified();
            if self.buffer.lock().cancelled {
                return;
            }
            notified.await;
        }
    }

    /// Records what the entry has received and the caller has consumed.
    pub fn acknowledge(&self, received: u64, consumed: u64) {
        let mut buffer = self.buffer.lock();
        buffer.sent = received.clamp(buffer.base, buffer.next());
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
        buffer.consumed = 0;
        true
    }

    /// Takes parts that were not sent yet, up to `limit`.
    pub fn take_unsent(&self, limit: usize, events: &mut Vec<message::StreamEvent>) {
        let mut buffer = self.buffer.lock();
        let mut taken = 0;
        while taken < limit {
            let Some(part) = buffer.unsent() else { return };
            events.push(message::StreamEvent {
                request: self.request,
                index: buffer.sent,
                part: part.clone(),
            });
            buffer.sent += 1;
            taken += 1;
        }
    }

    /// Whether a part waits to be sent.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.buffer.lock().unsent().is_some()
    }

    /// Whether the answer ended and all of it was received.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let buffer = self.buffer.lock();
        buffer.ended && buffer.parts.is_empty()
    }
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
        stream.take_unsent(8, &mut events);
        assert_eq!(events.len(), 3);
        stream.acknowledge(1, 0);
        events.clear();
        stream.take_unsent(8, &mut events);
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

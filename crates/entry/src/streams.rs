//! Open response streams of a channel.
//!
//! A part is accepted only at the expected index, so duplicates are dropped and parts after a gap
//! are requested again. Streams with a new ack are kept in a list, so the cost of a poll grows with
//! the number of changed streams and not with the number of open ones.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use decisions::ids;
use parking_lot::Mutex;
use peers::message;
use tokio::sync::{self, mpsc};

const SHARD_COUNT: usize = 16;
/// Consumed parts after which an ack is sent at once, so that the window does not close while a
/// poll is outstanding.
const URGENT_ACK_PARTS: u64 = message::STREAM_WINDOW / 2;

/// Streams of one agent channel, sharded by request id.
#[derive(Default)]
pub struct StreamTable {
    shards: [Mutex<StreamShard>; SHARD_COUNT],
    signals: Arc<StreamSignals>,
}

#[derive(Default)]
struct StreamShard {
    /// Sorted by request.
    streams: Vec<OpenStream>,
    /// Final acks of closed streams, which let the agent free their parts.
    closed: Vec<message::StreamAck>,
}

struct OpenStream {
    request: ids::RequestId,
    received: u64,
    progress: Arc<StreamProgress>,
    sender: mpsc::UnboundedSender<message::StreamPart>,
}

/// Progress of one stream, updated by its reader without locking the shard.
#[derive(Default)]
struct StreamProgress {
    consumed: AtomicU64,
    acked: AtomicU64,
    /// Whether the request is in the list of changed streams.
    is_marked: AtomicBool,
}

#[derive(Default)]
struct StreamSignals {
    changed: [Mutex<Vec<ids::RequestId>>; SHARD_COUNT],
    urgent: sync::Notify,
}

/// Reader of one stream.
pub struct StreamReader {
    request: ids::RequestId,
    progress: Arc<StreamProgress>,
    signals: Arc<StreamSignals>,
    receiver: mpsc::UnboundedReceiver<message::StreamPart>,
}

impl StreamTable {
    /// Opens a stream at part 0.
    #[must_use]
    pub fn open(&self, request: ids::RequestId) -> StreamReader {
        // The agent's window bounds the channel.
        let (sender, receiver) = mpsc::unbounded_channel();
        let progress = Arc::<StreamProgress>::default();
        let stream = OpenStream {
            request,
            received: 0,
            progress: Arc::clone(&progress),
            sender,
        };
        let mut shard = self.shards[shard_index(request)].lock();
        match shard.position(request) {
            Ok(position) => shard.streams[position] = stream,
            Err(position) => shard.streams.insert(position, stream),
        }
        // A final ack of an earlier reader would close the new stream at the agent.
        shard.closed.retain(|ack| ack.request != request);
        drop(shard);
        StreamReader {
            request,
            progress,
            signals: Arc::clone(&self.signals),
            receiver,
        }
    }

    /// Handles one event; drops it if its stream is not open.
    pub fn receive(&self, event: message::StreamEvent) {
        let mut shard = self.shards[shard_index(event.request)].lock();
        let Ok(position) = shard.position(event.request) else {
            return;
        };
        let stream = &mut shard.streams[position];
        // A part after a gap is dropped; the ack makes the agent resend from the gap.
        self.signals.mark_changed(event.request, &stream.progress);
        if event.index != stream.received {
            return;
        }
        stream.received += 1;
        // The send fails only if the reader was dropped, and its owner then closes the stream.
        let _ = stream.sender.send(event.part);
    }

    /// Acks of the streams that changed since the last call, and final acks of closed ones.
    #[must_use]
    pub fn changed_acks(&self) -> Vec<message::StreamAck> {
        let mut acks = Vec::new();
        for (shard, changed) in self.shards.iter().zip(&self.signals.changed) {
            let changed = std::mem::take(&mut *changed.lock());
            let mut shard = shard.lock();
            for request in changed {
                if let Ok(position) = shard.position(request) {
                    acks.push(shard.streams[position].ack());
                }
            }
            acks.append(&mut shard.closed);
        }
        acks
    }

    /// Acks of all streams, for the first poll of a connection.
    #[must_use]
    pub fn all_acks(&self) -> Vec<message::StreamAck> {
        let mut acks = Vec::new();
        for (shard, changed) in self.shards.iter().zip(&self.signals.changed) {
            changed.lock().clear();
            let mut shard = shard.lock();
            acks.extend(shard.streams.iter().map(OpenStream::ack));
            acks.append(&mut shard.closed);
        }
        acks
    }

    /// Waits until a caller has consumed half a window of parts without an ack.
    pub async fn wait_for_urgent_ack(&self) {
        self.signals.urgent.notified().await;
    }

    /// Closes a stream.
    pub fn close(&self, request: ids::RequestId) {
        let mut shard = self.shards[shard_index(request)].lock();
        if let Ok(position) = shard.position(request) {
            let ack = shard.streams.remove(position).ack();
            shard.closed.push(message::StreamAck {
                is_closed: true,
                ..ack
            });
        }
    }

    /// Ends all streams with a failure.
    pub fn fail_all(&self, failure: &message::StreamFailure) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.closed.clear();
            for stream in std::mem::take(&mut shard.streams) {
                let part = message::StreamPart::Failed(failure.clone());
                let _ = stream.sender.send(part);
            }
        }
    }

    /// Number of open streams.
    #[must_use]
    pub fn count(&self) -> usize {
        let shards = self.shards.iter();
        shards.map(|shard| shard.lock().streams.len()).sum()
    }
}

impl StreamShard {
    fn position(&self, request: ids::RequestId) -> Result<usize, usize> {
        self.streams
            .binary_search_by_key(&request, |stream| stream.request)
    }
}

impl OpenStream {
    fn ack(&self) -> message::StreamAck {
        // Cleared before the load, so that a part consumed later marks the stream again.
        self.progress.is_marked.store(false, Ordering::SeqCst);
        let consumed = self.progress.consumed.load(Ordering::SeqCst);
        self.progress.acked.store(consumed, Ordering::SeqCst);
        message::StreamAck {
            request: self.request,
            received: self.received,
            consumed,
            is_closed: false,
        }
    }
}

impl StreamSignals {
    fn mark_changed(&self, request: ids::RequestId, progress: &StreamProgress) {
        if !progress.is_marked.swap(true, Ordering::SeqCst) {
            self.changed[shard_index(request)].lock().push(request);
        }
    }
}

impl StreamReader {
    /// Next part, or `None` after the stream was closed.
    pub async fn next(&mut self) -> Option<message::StreamPart> {
        let part = self.receiver.recv().await?;
        let consumed = self.progress.consumed.fetch_add(1, Ordering::SeqCst) + 1;
        self.signals.mark_changed(self.request, &self.progress);
        if consumed.saturating_sub(self.progress.acked.load(Ordering::SeqCst)) >= URGENT_ACK_PARTS {
            self.signals.urgent.notify_one();
        }
        Some(part)
    }
}

fn shard_index(request: ids::RequestId) -> usize {
    usize::try_from(request.sequence % SHARD_COUNT as u64).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use futures::FutureExt;

    use super::*;

    const REQUEST: ids::RequestId = request(1);

    const fn request(sequence: u64) -> ids::RequestId {
        ids::RequestId {
            entry: ids::Incarnation(1),
            sequence,
        }
    }

    fn event(index: u64) -> message::StreamEvent {
        message::StreamEvent {
            request: REQUEST,
            index,
            part: message::StreamPart::Bytes(vec![u8::try_from(index).unwrap_or(0)]),
        }
    }

    // Guards against duplicate or reordered parts reaching the caller.
    #[tokio::test]
    async fn parts_reach_the_caller_once_and_in_order() {
        let table = StreamTable::default();
        let mut reader = table.open(REQUEST);
        for index in [0, 0, 2, 1, 1, 2] {
            table.receive(event(index));
        }
        table.close(REQUEST);
        let mut bytes = Vec::new();
        while let Some(message::StreamPart::Bytes(part)) = reader.next().await {
            bytes.extend(part);
        }
        assert_eq!(bytes, [0, 1, 2]);
    }

    // Guards against a poll whose cost grows with the number of idle streams, and against a gap
    // that is never reported to the agent.
    #[test]
    fn only_changed_streams_are_acked() {
        let table = StreamTable::default();
        let _readers: Vec<_> = (0..100)
            .map(|sequence| table.open(request(sequence)))
            .collect();
        assert!(table.changed_acks().is_empty());
        table.receive(event(3));
        let ack = message::StreamAck {
            request: REQUEST,
            received: 0,
            consumed: 0,
            is_closed: false,
        };
        assert_eq!(table.changed_acks(), [ack]);
        assert!(table.changed_acks().is_empty());
        assert_eq!(table.all_acks().len(), 100);
    }

    // Guards against an agent that never frees the parts of a fully delivered response.
    #[test]
    fn closed_stream_is_acked_once_more() {
        let table = StreamTable::default();
        let _reader = table.open(REQUEST);
        table.receive(event(0));
        table.close(REQUEST);
        let acks = table.changed_acks();
        assert_eq!(acks.len(), 1);
        assert_eq!(acks[0].received, 1);
    }

    // Guards against a closed window that stalls the agent until the outstanding poll ends.
    #[tokio::test]
    async fn half_a_consumed_window_is_urgent() {
        let table = StreamTable::default();
        let mut reader = table.open(REQUEST);
        for index in 0..URGENT_ACK_PARTS {
            table.receive(event(index));
        }
        for _ in 1..URGENT_ACK_PARTS {
            reader.next().await;
        }
        assert!(table.wait_for_urgent_ack().now_or_never().is_none());
        reader.next().await;
        assert!(table.wait_for_urgent_ack().now_or_never().is_some());
    }
}

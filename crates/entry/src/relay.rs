//! Open streams of an entry.
//!
//! A part is taken only at the expected index, so parts that arrive again are dropped and parts
//! after a gap wait for the agent to send them again.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use decisions::ids;
use parking_lot::Mutex;
use peers::message;
use tokio::sync::mpsc;

const SHARD_COUNT: usize = 16;

/// Streams of one agent channel, in shards by request id.
pub struct StreamTable {
    shards: Vec<Mutex<Vec<OpenStream>>>,
}

struct OpenStream {
    request: ids::RequestId,
    received: u64,
    acked: (u64, u64),
    consumed: Arc<AtomicU64>,
    sender: mpsc::UnboundedSender<message::StreamPart>,
}

/// Receiving end of one stream.
pub struct StreamReader {
    consumed: Arc<AtomicU64>,
    receiver: mpsc::UnboundedReceiver<message::StreamPart>,
}

impl Default for StreamTable {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }
}

impl StreamTable {
    /// Opens a stream at part 0.
    #[must_use]
    pub fn open(&self, request: ids::RequestId) -> StreamReader {
        // The agent's window bounds the channel.
        let (sender, receiver) = mpsc::unbounded_channel();
        let consumed = Arc::new(AtomicU64::new(0));
        let stream = OpenStream {
            request,
            received: 0,
            acked: (0, 0),
            consumed: Arc::clone(&consumed),
            sender,
        };
        let mut shard = self.shard(request).lock();
        let position = shard.partition_point(|other| other.request < request);
        shard.insert(position, stream);
        StreamReader { consumed, receiver }
    }

    /// Takes one event; events of streams that are not open are dropped.
    pub fn receive(&self, event: message::StreamEvent) {
        let mut shard = self.shard(event.request).lock();
        let Ok(position) = shard.binary_search_by_key(&event.request, |stream| stream.request)
        else {
            return;
        };
        let stream = &mut shard[position];
        if event.index != stream.received {
            return;
        }
        stream.received += 1;
        // A reader that is gone closes the stream itself.
        let _ = stream.sender.send(event.part);
    }

    /// Acks of the streams whose state changed, or of all streams.
    #[must_use]
    pub fn acks(&self, all: bool) -> Vec<message::StreamAck> {
        let mut acks = Vec::new();
        for shard in &self.shards {
            for stream in shard.lock().iter_mut() {
                let consumed = stream.consumed.load(Ordering::Relaxed);
                let state = (stream.received, consumed);
                if all || state != stream.acked {
                    stream.acked = state;
                    acks.push(message::StreamAck {
                        request: stream.request,
                        received: stream.received,
                        consumed,
                    });
                }
            }
        }
        acks
    }

    /// Closes a stream.
    pub fn close(&self, request: ids::RequestId) {
        let mut shard = self.shard(request).lock();
        if let Ok(position) = shard.binary_search_by_key(&request, |stream| stream.request) {
            shard.remove(position);
        }
    }

    /// Ends all streams with a failure.
    pub fn fail_all(&self, failure: &message::StreamFailure) {
        for shard in &self.shards {
            for stream in std::mem::take(&mut *shard.lock()) {
                let part = message::StreamPart::Failed(failure.clone());
                let _ = stream.sender.send(part);
            }
        }
    }

    fn shard(&self, request: ids::RequestId) -> &Mutex<Vec<OpenStream>> {
        let index = usize::try_from(request.sequence % SHARD_COUNT as u64).unwrap_or(0);
        &self.shards[index]
    }
}

impl StreamReader {
    /// Next part, or `None` when the channel to the agent is gone.
    pub async fn next(&mut self) -> Option<message::StreamPart> {
        let part = self.receiver.recv().await?;
        self.consumed.fetch_add(1, Ordering::Relaxed);
        Some(part)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REQUEST: ids::RequestId = ids::RequestId {
        entry: ids::Incarnation(1),
        sequence: 1,
    };

    fn event(index: u64) -> message::StreamEvent {
        message::StreamEvent {
            request: REQUEST,
            index,
            part: message::StreamPart::Bytes(vec![u8::try_from(index).unwrap()]),
        }
    }

    // Guards against doubled or reordered parts that reach the caller.
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
}

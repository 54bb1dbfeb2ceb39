//! Splits the bytes of an event stream into server-sent events.
//!
//! Only complete events are passed on, so that a stream that breaks in the middle of an event can
//! be resumed at another replica.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event; a longer one is passed on in parts.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splitter of one stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Id of the newest complete event.
    newest_id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let end = end_of_last_event(&self.buffer[searched..]).map(|end| searched + end);
        let end = match end {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT_BYTES => self.buffer.len(),
            None => return None,
        };
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = newest_id(&whole) {
            self.newest_id = Some(id);
        }
        Some(whole)
    }

    /// Bytes after the last complete event.
    pub fn finish(&mut self) -> Option<Bytes> {
        let buffer = std::mem::take(&mut self.buffer).freeze();
        (!buffer.is_empty()).then_some(buffer)
    }

    /// Drops the incomplete event that a broken stream has left.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Id of the newest event that was passed on.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.newest_id
    }
}

/// Position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let unix = unix.map(|position| position + 2);
    let dos = dos.map(|position| position + 4);
    unix.max(dos)
}

/// Newest id among complete events.
fn newest_id(bytes: &[u8]) -> Option<u64> {
    bytes.rsplit(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = std::str::from_utf8(value).ok()?;
        text.trim().parse().ok()
    })
}

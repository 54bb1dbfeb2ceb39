//! Splits the bytes of an event stream into server-sent events.
//!
//! Only complete events are passed on, so that a stream that breaks in the middle of an event can
//! be resumed at another replica. Comments and blank lines are kept until the event that follows
//! them. A comment belongs to the event in which it stands, so a stream that ends after it, without
//! the blank line that ends an event, is incomplete. A replica that sends nothing else, or an event
//! without an end, exceeds the limit.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The replica sent too many bytes without completing an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{bytes} bytes without a complete event, more than {limit}"))]
pub struct EventOverflow {
    pub bytes: usize,
    pub limit: usize,
}

/// Splitter of one stream.
#[derive(Debug)]
pub struct EventSplitter {
    /// Maximum number of bytes without a complete event.
    limit: usize,
    buffer: BytesMut,
    /// Start of the first line of the buffer that has not ended.
    line_start: usize,
    /// A line of the current event, maybe a comment, has ended.
    has_line: bool,
    /// A line of the current event, which is not a comment, has ended.
    has_field: bool,
    /// Id of the newest complete event.
    newest_id: Option<u64>,
}

impl EventSplitter {
    /// Splitter that accepts up to `limit` bytes without a complete event.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            buffer: BytesMut::new(),
            line_start: 0,
            has_line: false,
            has_field: false,
            newest_id: None,
        }
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    /// [`EventOverflow`] when there is no complete event within the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventOverflow> {
        let searched = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        if let Some(end) = self.find_last_event(searched) {
            let whole = self.buffer.split_to(end).freeze();
            self.line_start -= end;
            self.newest_id = newest_id(&whole).or(self.newest_id);
            return Ok(Some(whole));
        }
        let (bytes, limit) = (self.buffer.len(), self.limit);
        if bytes > limit {
            return Err(EventOverflow { bytes, limit });
        }
        Ok(None)
    }

    /// Bytes after the last complete event.
    pub fn finish(&mut self) -> Option<Bytes> {
        let buffer = std::mem::take(&mut self.buffer).freeze();
        self.discard_partial();
        (!buffer.is_empty()).then_some(buffer)
    }

    /// Whether an event has begun that is not complete.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        self.has_line || self.buffer.len() > self.line_start
    }

    /// Drops the incomplete event that a broken stream has left.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
        self.has_line = false;
        self.has_field = false;
    }

    /// Id of the newest event that was passed on.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.newest_id
    }

    /// Reads the lines that end after `searched` bytes; returns the end of the last event.
    fn find_last_event(&mut self, searched: usize) -> Option<usize> {
        let mut end_of_event = None;
        let mut search_from = searched;
        while let Some(length) = find_line_end(&self.buffer[search_from..]) {
            let line_end = search_from + length;
            let line = &self.buffer[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let next_line = line_end + 1;
            match line.first() {
                None => {
                    if self.has_field {
                        end_of_event = Some(next_line);
                    }
                    self.has_field = false;
                }
                Some(b':') => {}
                Some(_) => self.has_field = true,
            }
            self.has_line = !line.is_empty();
            self.line_start = next_line;
            search_from = next_line;
        }
        end_of_event
    }
}

fn find_line_end(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Newest id among complete events.
fn newest_id(bytes: &[u8]) -> Option<u64> {
    bytes.rsplit(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = std::str::from_utf8(value).ok()?;
        text.trim().parse().ok()
    })
}

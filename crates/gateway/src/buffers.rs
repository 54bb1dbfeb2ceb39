//! Memory for requests and responses that are buffered, shared by all requests of a gateway.
//!
//! Bodies of requests have a budget of their own: one without room is refused before it is read. A
//! broken replica may send without end. What one response may hold is limited, and so is what all
//! of them hold together while they are read: beyond that a response is abandoned, and new requests are
//! refused until others are complete. A complete response no longer counts while its caller reads it.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use snafu::Snafu;

/// Share of the instance's memory for buffered responses: one in this many.
const BUFFER_SHARE: usize = 4;
/// Share of the instance's memory for bodies of requests: one in this many.
const UPLOAD_SHARE: usize = 2;
/// Share of the budget for one response: one in this many.
const RESPONSE_SHARE: usize = 8;
/// Maximum length of a buffered response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Share of the budget for one event: one in this many, so that hundreds of streams fit.
const EVENT_SHARE: usize = 512;
/// Bounds of the maximum length of an event.
const MIN_EVENT_BYTES: usize = 16 * 1024;
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Limits on the bytes that are buffered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferLimits {
    /// All responses together.
    pub total_bytes: usize,
    /// One response that is not a stream.
    pub response_bytes: usize,
    /// One event of a stream.
    pub event_bytes: usize,
    /// Bodies of all requests together.
    pub upload_bytes: usize,
}

impl BufferLimits {
    /// Limits for an instance with this much memory.
    #[must_use]
    pub fn of_memory(memory_bytes: usize) -> Self {
        let total_bytes = memory_bytes / BUFFER_SHARE;
        Self {
            total_bytes,
            response_bytes: (total_bytes / RESPONSE_SHARE).min(MAX_RESPONSE_BYTES),
            event_bytes: (total_bytes / EVENT_SHARE).clamp(MIN_EVENT_BYTES, MAX_EVENT_BYTES),
            upload_bytes: memory_bytes / UPLOAD_SHARE,
        }
    }
}

/// Limit that a buffer exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BufferError {
    #[snafu(display("the buffer has more than {limit} bytes"))]
    BufferTooLong { limit: usize },
    #[snafu(display("all buffers have more than {limit} bytes"))]
    BudgetExhausted { limit: usize },
}

/// Bytes that all buffers of one kind use.
#[derive(Debug)]
pub struct BufferBudget {
    total_bytes: usize,
    /// Maximum length of one buffer.
    buffer_bytes: usize,
    used: AtomicUsize,
}

impl BufferBudget {
    /// Unused budget for all buffers together, with the maximum length of one of them.
    #[must_use]
    pub fn new(total_bytes: usize, buffer_bytes: usize) -> Self {
        Self {
            total_bytes,
            buffer_bytes,
            used: AtomicUsize::new(0),
        }
    }

    /// Whether so little is left that new requests are refused; open ones may use the rest.
    #[must_use]
    pub fn is_nearly_exhausted(&self) -> bool {
        self.used.load(Ordering::Relaxed) > self.total_bytes / 4 * 3
    }

    /// Empty reservation for one buffer.
    #[must_use]
    pub fn reserve(self: &Arc<Self>) -> BufferReservation {
        BufferReservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// Part of the budget that one buffer uses, returned when dropped.
#[derive(Debug)]
pub struct BufferReservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// Raises the reservation to the capacity of a buffer that is to hold `length` bytes.
    ///
    /// # Errors
    /// [`BufferError`] when the buffer or all buffers together exceed their limit.
    pub fn grow_to(&mut self, length: usize, capacity: usize) -> Result<(), BufferError> {
        let limit = self.budget.buffer_bytes;
        if length > limit {
            return Err(BufferError::BufferTooLong { limit });
        }
        let additional = capacity.saturating_sub(self.bytes);
        let earlier = self.budget.used.fetch_add(additional, Ordering::Relaxed);
        self.bytes += additional;
        let limit = self.budget.total_bytes;
        if earlier + additional > limit {
            return Err(BufferError::BudgetExhausted { limit });
        }
        Ok(())
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

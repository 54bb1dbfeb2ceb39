//! Memory for responses that are buffered, shared by all requests of a gateway.
//!
//! A broken replica may send without end. What one response may hold is limited, and so is what all
//! of them hold together while they are read: beyond that a response is abandoned, and new requests are
//! refused until others are complete. A complete response no longer counts while its caller reads it.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use snafu::Snafu;

/// Share of the instance's memory for buffered responses: one in this many.
const BUFFER_SHARE: usize = 4;
/// Share of the budget for one response: one in this many.
const RESPONSE_SHARE: usize = 8;
/// Maximum length of a buffered response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Share of the budget for one event: one in this many, so that hundreds of streams fit.
const EVENT_SHARE: usize = 512;
/// Bounds of the maximum length of an event.
const MIN_EVENT_BYTES: usize = 16 * 1024;
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Limits on the bytes that are buffered for responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferLimits {
    /// All responses together.
    pub total_bytes: usize,
    /// One response that is not a stream.
    pub response_bytes: usize,
    /// One event of a stream.
    pub event_bytes: usize,
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
        }
    }
}

/// Limit that a response exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BufferError {
    #[snafu(display("the response has more than {limit} bytes"))]
    ResponseTooLong { limit: usize },
    #[snafu(display("the buffered responses have more than {limit} bytes"))]
    BudgetExhausted { limit: usize },
}

/// Bytes that are buffered for all responses.
#[derive(Debug)]
pub struct BufferBudget {
    limits: BufferLimits,
    used: AtomicUsize,
}

impl BufferBudget {
    /// Unused budget.
    #[must_use]
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            used: AtomicUsize::new(0),
        }
    }

    /// Limits of the budget.
    #[must_use]
    pub fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Whether so little is left that new requests are refused; open ones may use the rest.
    #[must_use]
    pub fn is_nearly_exhausted(&self) -> bool {
        self.used.load(Ordering::Relaxed) > self.limits.total_bytes / 4 * 3
    }

    /// Empty reservation for one response.
    #[must_use]
    pub fn reserve(self: &Arc<Self>) -> BufferReservation {
        BufferReservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// Part of the budget that one response uses, returned when dropped.
#[derive(Debug)]
pub struct BufferReservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// Raises the reservation to the capacity of a buffer that is to hold `length` bytes.
    ///
    /// # Errors
    /// [`BufferError`] when the response or all responses together exceed their limit.
    pub fn grow_to(&mut self, length: usize, capacity: usize) -> Result<(), BufferError> {
        let limits = self.budget.limits;
        if length > limits.response_bytes {
            return Err(BufferError::ResponseTooLong {
                limit: limits.response_bytes,
            });
        }
        let additional = capacity.saturating_sub(self.bytes);
        let earlier = self.budget.used.fetch_add(additional, Ordering::Relaxed);
        self.bytes += additional;
        if earlier + additional > limits.total_bytes {
            return Err(BufferError::BudgetExhausted {
                limit: limits.total_bytes,
            });
        }
        Ok(())
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

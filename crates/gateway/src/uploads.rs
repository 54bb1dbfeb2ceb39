//! Reading of callers' request bodies within a memory budget.
//!
//! A body takes its part of the budget from before it is read until it is dropped, also while it is
//! written to a replica.

use std::{sync::Arc, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::buffers;

/// Time in which the rest of a refused body is read and dropped, so that its caller reads the refusal.
const DISCARD_TIME: time::Duration = time::Duration::from_secs(1);
/// Initial capacity for a body without a stated length.
const INITIAL_BYTES: usize = 4096;

/// Reason why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UploadError {
    TooLong,
    /// The caller closed its connection or broke the framing.
    Broken,
    /// The bodies of all requests leave no room for it.
    NoMemory,
}

/// Body with its part of the budget.
struct ReservedBody {
    buffer: Vec<u8>,
    _reservation: buffers::BufferReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`UploadError`]; the rest of a body without room has been read and dropped.
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    budget: &Arc<buffers::BufferBudget>,
) -> Result<Bytes, UploadError> {
    let outcome = collect_body(&mut body, limit, budget).await;
    if outcome == Err(UploadError::NoMemory) {
        let discarding = async { while let Some(Ok(_)) = body.frame().await {} };
        // What arrives later is lost with the connection.
        let _ = tokio::time::timeout(DISCARD_TIME, discarding).await;
    }
    outcome
}

/// Reads and drops the body of a request that is refused, in the background, so that its caller reads
/// the refusal instead of a reset.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let discarding = async move { while let Some(Ok(_)) = body.frame().await {} };
    // Ends by itself; what arrives later is lost with the connection.
    tokio::spawn(tokio::time::timeout(DISCARD_TIME, discarding));
}

async fn collect_body(
    body: &mut Incoming,
    limit: usize,
    budget: &Arc<buffers::BufferBudget>,
) -> Result<Bytes, UploadError> {
    let mut reservation = budget.reserve();
    let mut buffer = Vec::new();
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limit {
            return Err(UploadError::TooLong);
        }
        reserve_buffer(&mut buffer, length, &mut reservation)?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| UploadError::Broken)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + bytes.len();
        if length > limit {
            return Err(UploadError::TooLong);
        }
        if length > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(INITIAL_BYTES).min(limit);
            reserve_buffer(&mut buffer, length.max(doubled), &mut reservation)?;
        }
        buffer.extend_from_slice(&bytes);
    }
    if buffer.is_empty() {
        return Ok(Bytes::new());
    }
    Ok(Bytes::from_owner(ReservedBody {
        buffer,
        _reservation: reservation,
    }))
}

/// Raises the capacity of a buffer within the budget.
fn reserve_buffer(
    buffer: &mut Vec<u8>,
    capacity: usize,
    reservation: &mut buffers::BufferReservation,
) -> Result<(), UploadError> {
    reservation
        .grow_to(capacity, capacity)
        .map_err(|_| UploadError::NoMemory)?;
    buffer.reserve_exact(capacity - buffer.len());
    Ok(())
}

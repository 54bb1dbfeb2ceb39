//! Reading and classification of a replica's response.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{attempts, buffers, dispatch, open_attempt, plan, protocol};

/// Maximum length of a refusal that is read so that its connection can be reused.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Reason why a body was not read to its end.
enum BodyError {
    Broken,
    TooLong {
        bytes: usize,
        error: buffers::BufferError,
    },
}

impl dispatch::Dispatcher {
    /// Turns a response into an open attempt or a failure.
    ///
    /// # Errors
    /// [`attempts::AttemptError::Failed`] when the response is no success of the replica.
    pub async fn classify_response(
        &self,
        plan: &plan::RequestPlan,
        open: open_attempt::OpenAttempt,
    ) -> Result<open_attempt::OpenAttempt, attempts::AttemptError> {
        let class = self.wire.classify(&open.head, &plan.request.id);
        let id = open.replica.id.clone();
        let failed = matches!(
            class,
            protocol::ResponseClass::Failed | protocol::ResponseClass::Unverified
        );
        self.replicas.lock().record_outcome(&id, failed, self.now());
        let failure =
            |execution, reason| attempts::AttemptFailure::new(&id, execution, reason).into();
        match class {
            protocol::ResponseClass::Succeeded => Ok(open),
            protocol::ResponseClass::NotRun => {
                self.drain_body(open).await;
                Err(failure(
                    attempts::ExecutionStatus::NotRun,
                    "replica_refused",
                ))
            }
            protocol::ResponseClass::Misdirected => {
                // An engine also refuses a version of an adapter that it does not hold.
                if plan.engine.is_none() {
                    self.request_replica_read();
                }
                self.drain_body(open).await;
                Err(failure(attempts::ExecutionStatus::NotRun, "misdirected"))
            }
            protocol::ResponseClass::Unverified => Err(failure(
                attempts::ExecutionStatus::Unknown,
                "foreign_answer",
            )),
            protocol::ResponseClass::Failed => {
                Err(self.read_failure_response(plan, open).await.into())
            }
        }
    }

    /// Buffers a whole response, so that the caller never gets a partial one.
    ///
    /// # Errors
    /// The failed attempt when the response is broken, too long or late.
    pub async fn read_response(
        &self,
        plan: &plan::RequestPlan,
        open: open_attempt::OpenAttempt,
    ) -> Result<(String, attempts::BufferedResponse), attempts::AttemptFailure> {
        let limit = plan.deadline + dispatch::RESPONSE_GRACE_PERIOD;
        let id = open.replica.id;
        let unknown =
            |reason| attempts::AttemptFailure::new(&id, attempts::ExecutionStatus::Unknown, reason);
        let mut reservation = self.buffers.reserve();
        let reading = read_body(open.body, &mut reservation);
        match tokio::time::timeout_at(limit, reading).await {
            Ok(Ok(body)) => {
                self.recycle_connection(open.connection, &open.head);
                let head = open.head;
                Ok((id, attempts::BufferedResponse { head, body }))
            }
            Ok(Err(error)) => {
                self.replicas.lock().record_outcome(&id, true, self.now());
                let reason = self.record_body_error(plan, &id, &error);
                let mut failure = unknown(reason);
                failure.is_connection_lost = matches!(error, BodyError::Broken);
                Err(failure)
            }
            Err(_) => Err(unknown("timeout")),
        }
    }

    /// Reads a failure that the replica reports after the request ran.
    async fn read_failure_response(
        &self,
        plan: &plan::RequestPlan,
        open: open_attempt::OpenAttempt,
    ) -> attempts::AttemptFailure {
        let mut failure = attempts::AttemptFailure::new(
            &open.replica.id,
            attempts::ExecutionStatus::Ran,
            "replica_failed",
        );
        match self.read_response(plan, open).await {
            Ok((_, response)) => failure.response = Some(response),
            Err(_) => failure.execution = attempts::ExecutionStatus::Unknown,
        }
        failure
    }

    /// Reads the rest of a refusal, so that its connection can be reused.
    async fn drain_body(&self, open: open_attempt::OpenAttempt) {
        let body = http_body_util::Limited::new(open.body, MAX_REFUSAL_BYTES);
        let reading = tokio::time::timeout(dispatch::RESPONSE_GRACE_PERIOD, body.collect());
        if let Ok(Ok(_)) = reading.await {
            self.recycle_connection(open.connection, &open.head);
        }
    }

    /// Logs a body over its limit and returns the reason for the failed attempt.
    fn record_body_error(
        &self,
        plan: &plan::RequestPlan,
        replica: &str,
        error: &BodyError,
    ) -> &'static str {
        let BodyError::TooLong { bytes, error } = error else {
            return "answer_broken";
        };
        let (reason, limit) = match error {
            buffers::BufferError::BufferTooLong { limit } => ("answer_too_long", *limit),
            buffers::BufferError::BudgetExhausted { limit } => ("buffers_full", *limit),
        };
        self.metrics.record_over_limit(reason);
        self.request_logger
            .log_over_limit(plan, replica, reason, *bytes, limit);
        reason
    }
}

async fn read_body(
    mut body: Incoming,
    reservation: &mut buffers::BufferReservation,
) -> Result<Bytes, BodyError> {
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        reserve_buffer(&mut buffer, bytes.len(), reservation)?;
        buffer.extend_from_slice(&bytes);
    }
    Ok(buffer.into())
}

/// Makes room for further bytes. The reservation covers the capacity, which at least doubles.
fn reserve_buffer(
    buffer: &mut Vec<u8>,
    additional: usize,
    reservation: &mut buffers::BufferReservation,
) -> Result<(), BodyError> {
    let needed = buffer.len() + additional;
    if needed <= buffer.capacity() {
        return Ok(());
    }
    let capacity = needed.max(2 * buffer.capacity());
    reservation
        .grow_to(needed, capacity)
        .map_err(|error| BodyError::TooLong {
            bytes: needed,
            error,
        })?;
    buffer.reserve_exact(capacity - buffer.len());
    Ok(())
}

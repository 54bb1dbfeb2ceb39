//! Sending of a request to a replica, up to the head of its response.

use std::time;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{attempts, connections, dispatch, plan, protocol, replica};

/// Minimum time without a response after which another replica is tried.
const MIN_SWITCH_DELAY: time::Duration = time::Duration::from_millis(400);

/// Reason why there is no head of a response.
pub enum SendFailure {
    Connection(connections::SendError),
    Unresponsive,
    DeadlinePassed,
}

impl dispatch::Dispatcher {
    /// Takes a connection to a replica from the pool or opens one.
    ///
    /// # Errors
    /// [`connections::SendError`] when there is none in time.
    pub async fn connect(
        &self,
        replica: &replica::ChosenReplica,
    ) -> Result<connections::ReplicaConnection, connections::SendError> {
        if let Some(connection) = self.pool.take(replica.address, &replica.id) {
            return Ok(connection);
        }
        connections::ReplicaConnection::open(
            replica.address,
            &replica.id,
            dispatch::CONNECT_TIMEOUT,
        )
        .await
    }

    /// Builds the request to a replica.
    #[must_use]
    pub fn build_request(
        &self,
        plan: &plan::RequestPlan,
        replica: &replica::ChosenReplica,
        version: Option<u32>,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let options = protocol::ForwardOptions {
            replica: &replica.id,
            time_left: plan.time_left(),
            adapter_version: version,
            priority: plan.engine.as_ref().map(|_| plan.route.priority),
            resume_after,
            organisation: plan.organisation.as_ref().map(|found| found.name.as_str()),
        };
        let mut request = Request::new(Full::new(plan.body.clone()));
        *request.method_mut() = plan.head.method.clone();
        *request.uri_mut() = plan.head.uri.clone();
        *request.headers_mut() = self.wire.forwarded_headers(&plan.head.headers, &options);
        request
    }

    /// Waits for the head of a response. If it takes long, the attempt is abandoned for another
    /// replica, provided that the request may run again and the budget allows a retry.
    ///
    /// # Errors
    /// [`SendFailure`] when there is no head.
    pub async fn receive_head(
        &self,
        plan: &plan::RequestPlan,
        history: &attempts::AttemptHistory,
        can_switch: bool,
        sending: impl Future<Output = Result<Response<Incoming>, connections::SendError>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let mut sending = std::pin::pin!(sending);
        let limit = plan.deadline + dispatch::RESPONSE_GRACE_PERIOD;
        if can_switch && history.sent_count < plan.route.max_attempts {
            let silence = plan.route.objective.max(MIN_SWITCH_DELAY);
            match tokio::time::timeout(silence, &mut sending).await {
                Ok(sent) => return sent.map_err(SendFailure::Connection),
                Err(_) if plan.has_time_left() && self.take_retry(plan) => {
                    return Err(SendFailure::Unresponsive);
                }
                Err(_) => {}
            }
        }
        match tokio::time::timeout_at(limit, sending).await {
            Ok(sent) => sent.map_err(SendFailure::Connection),
            Err(_) => Err(SendFailure::DeadlinePassed),
        }
    }

    /// Records a request without the head of a response.
    #[must_use]
    pub fn record_send_failure(
        &self,
        replica: &replica::ChosenReplica,
        cause: SendFailure,
    ) -> attempts::AttemptFailure {
        let now = self.now();
        let mut failure = attempts::AttemptFailure::new(
            &replica.id,
            attempts::ExecutionStatus::Unknown,
            "connection_lost",
        );
        let mut replicas = self.replicas.lock();
        match cause {
            SendFailure::Connection(error) if error.is_unsent() => {
                failure.execution = attempts::ExecutionStatus::NotSent;
                failure.reason = error.label();
            }
            SendFailure::Connection(error) => {
                failure.reason = error.label();
                failure.is_connection_lost = error.is_lost();
                replicas.record_outcome(&replica.id, true, now);
            }
            SendFailure::Unresponsive => {
                failure.reason = "silent";
                failure.has_reserved_retry = true;
                replicas.record_outcome(&replica.id, true, now);
            }
            SendFailure::DeadlinePassed => {
                failure.reason = "timeout";
                replicas.record_outcome(&replica.id, true, now);
            }
        }
        failure
    }

    /// Records that a replica leaves or wants no requests for a time.
    pub fn record_notice(&self, replica: &replica::ChosenReplica, notice: protocol::ReplicaNotice) {
        if notice == protocol::ReplicaNotice::default() {
            return;
        }
        let now = self.now();
        let is_new = self.replicas.lock().record_notice(replica, notice, now);
        if is_new {
            self.pool.remove_idle(replica.address);
        }
        self.request_logger
            .log_notice(&replica.id, is_new, notice.pause);
    }
}

//! Execution of a request: attempts at replicas until there is a final outcome.

use std::sync::Arc;

use bytes::Bytes;

use crate::{attempts, catalog, connections, dispatch, open_attempt, placement, plan, sending};

impl dispatch::Dispatcher {
    /// Makes attempts until there is a final outcome, and records them in `history`.
    pub async fn run(
        self: &Arc<Self>,
        plan: &mut plan::RequestPlan,
        history: &mut attempts::AttemptHistory,
    ) -> attempts::DispatchOutcome {
        self.budget.lock().record_request(&plan.service, self.now());
        let resume_after = plan.request.resume_after;
        if let Err(reply) = self.find_stream_origin(plan).await {
            return attempts::DispatchOutcome::Local(reply);
        }
        loop {
            let attempt = self.attempt(plan, history, resume_after).await;
            let failure = match attempt {
                Ok(open) if plan.is_stream() => {
                    plan.charge.settle();
                    return attempts::DispatchOutcome::Stream(Box::new(open), history.sent_count);
                }
                Ok(open) => match self.read_response(plan, open).await {
                    Ok((replica, response)) => {
                        plan.charge.settle();
                        self.record_start(plan);
                        return attempts::DispatchOutcome::Buffered { replica, response };
                    }
                    Err(failure) => failure,
                },
                Err(attempts::AttemptError::Refused(reply)) => {
                    return attempts::DispatchOutcome::Local(history.final_reply(reply));
                }
                Err(attempts::AttemptError::Failed(failure)) => failure,
            };
            record_execution(plan, failure.execution);
            if failure.is_connection_lost {
                self.record_lost_request(plan, &failure.replica).await;
            }
            let is_retried = self.may_retry(plan, history, &failure);
            let replica = &failure.replica;
            self.request_logger
                .log_failed_attempt(plan, replica, failure.reason, is_retried);
            if !is_retried {
                return history.outcome(plan, failure);
            }
            self.metrics.record_retry(failure.reason);
        }
    }

    /// Sends a request to one replica.
    ///
    /// # Errors
    /// [`attempts::AttemptError`] when there is no replica or no usable response.
    pub async fn attempt(
        self: &Arc<Self>,
        plan: &mut plan::RequestPlan,
        history: &mut attempts::AttemptHistory,
        resume_after: Option<u64>,
    ) -> Result<open_attempt::OpenAttempt, attempts::AttemptError> {
        self.admit_request(plan, history)
            .map_err(attempts::AttemptError::Refused)?;
        plan.refresh_adapter_version(&self.catalog.lock());
        let placement::AssignedReplica {
            replica,
            permit,
            version,
        } = self.assign_replica(plan, history).await?;
        // It may have been blocked, or its adapter replaced, while it waited for the permit.
        self.admit_request(plan, history)
            .map_err(attempts::AttemptError::Refused)?;
        plan.refresh_adapter_version(&self.catalog.lock());
        self.confirm_caller(plan, history)
            .map_err(attempts::AttemptError::Refused)?;
        if version.is_some_and(|granted| granted < plan.adapter_version) {
            return Err(attempts::AttemptError::not_sent(
                &replica.id,
                "version_replaced",
            ));
        }
        let guard = open_attempt::AttemptGuard::new(self, &replica.id, permit);
        let mut connection = self.connect(&replica).await.map_err(|error| {
            self.replicas
                .lock()
                .mark_unreachable(&replica.id, self.now());
            self.pool.remove_idle(replica.address);
            attempts::AttemptError::not_sent(&replica.id, error.label())
        })?;
        history.sent_count += 1;
        plan.charge.record_send();
        self.request_logger
            .log_send(plan, &replica, history.sent_count, version);
        let is_last = history.sent_count >= plan.route.max_attempts;
        let request = self.build_request(plan, &replica, version, resume_after);
        if is_last {
            // Only the request holds the body now, so that its memory is free once it is written.
            plan.body = Bytes::new();
        }
        let can_switch = plan.route.kind == catalog::RouteKind::Safe;
        let sent_at = self.now();
        let head = self
            .receive_head(plan, history, can_switch, connection.send(request))
            .await;
        let response = match head {
            Ok(response) => response,
            Err(sending::SendFailure::Connection(connections::SendError::NotSent { body })) => {
                if is_last {
                    plan.body = body;
                }
                let reason = connections::NOT_SENT_LABEL;
                return Err(attempts::AttemptError::not_sent(&replica.id, reason));
            }
            Err(reason) => return Err(self.record_send_failure(&replica, reason).into()),
        };
        let (head, body) = response.into_parts();
        self.record_notice(&replica, self.wire.notice(&head));
        if let Some(sample) = self.wire.load(&head.headers) {
            let now = self.now();
            // A failure says nothing about the time that work takes.
            let response_time = head.status.is_success().then(|| now.since(sent_at));
            self.replicas
                .lock()
                .record_load(&replica.id, sample, response_time, now);
        }
        let open = open_attempt::OpenAttempt {
            replica,
            head,
            body,
            connection,
            guard,
        };
        self.classify_response(plan, open).await
    }
}

/// Settles or keeps back the charge of a request, as its failed attempt may have run or not.
fn record_execution(plan: &mut plan::RequestPlan, execution: attempts::ExecutionStatus) {
    match execution {
        attempts::ExecutionStatus::NotSent | attempts::ExecutionStatus::NotRun => {
            plan.charge.record_not_run();
        }
        attempts::ExecutionStatus::Unknown | attempts::ExecutionStatus::Ran => {
            plan.charge.settle();
        }
    }
}

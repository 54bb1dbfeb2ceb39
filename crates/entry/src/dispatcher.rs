//! Request handling: admission, attempts with retries, and relay of the response.
//!
//! A request is retried only if the previous attempt did not run and never will, or if the request
//! is repeatable and no part of its response has reached the caller.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time,
};

use callers::{
    completion,
    error::{CallerError, ErrorCode},
    handler::{self, ResponsePart},
};
use decisions::{caller_key, claims, ids, retries, routing, units};
use futures::{StreamExt, future, stream};
use parking_lot::Mutex;
use peers::message;
use telemetry::logs;
use tokio::runtime;

use crate::{
    admissions, attempts, caller_errors, configuration, directory, drain, idempotency, metrics,
    plans, request_logger, response_parts, settings,
};

/// Number of waits for another endpoint after an agent was lost. In total they cover the 2 s in
/// which a restarted agent is connected again.
const MAX_ENDPOINT_WAITS: u32 = 40;
const ENDPOINT_WAIT_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Request dispatcher of one entry.
pub struct RequestDispatcher {
    settings: settings::EntrySettings,
    incarnation: ids::Incarnation,
    sequence: AtomicU64,
    pub(crate) context: attempts::AttemptContext,
    pub(crate) retries: Mutex<retries::RetryPolicy>,
    configuration: Arc<configuration::ConfigurationView>,
    drain: Arc<drain::DrainState>,
    admission: Arc<admissions::EntryAdmission>,
    idempotent: Option<Arc<idempotency::IdempotentRequests>>,
    request_logger: Arc<request_logger::RequestLogger>,
}

/// Response whose first part has arrived.
pub(crate) struct StartedResponse {
    pub(crate) source: ResponseSource,
    pub(crate) first: message::StreamPart,
}

/// Source of the remaining parts of a response.
pub(crate) enum ResponseSource {
    Attempt(attempts::OpenAttempt),
    Idempotent(idempotency::IdempotentResponse),
}

/// Failed attempt, which may be retried.
pub(crate) struct AttemptFailure {
    pub(crate) reason: retries::RetryReason,
    pub(crate) execution: retries::ExecutionStatus,
    pub(crate) error: CallerError,
}

impl RequestDispatcher {
    /// Creates a dispatcher that routes to the agents of a directory.
    #[must_use]
    pub fn new(
        settings: settings::EntrySettings,
        incarnation: ids::Incarnation,
        directory: Arc<directory::AgentDirectory>,
        metrics: Arc<metrics::EntryMetrics>,
        configuration: Arc<configuration::ConfigurationView>,
        admission: Arc<admissions::EntryAdmission>,
        runtime: runtime::Handle,
    ) -> Self {
        Self {
            settings,
            incarnation,
            sequence: AtomicU64::new(0),
            context: attempts::AttemptContext {
                directory,
                metrics,
                runtime,
            },
            retries: Mutex::new(retries::RetryPolicy::new(units::Timestamp(0))),
            configuration,
            drain: Arc::default(),
            admission,
            idempotent: None,
            request_logger: Arc::new(request_logger::RequestLogger::new(logs::discard_logger())),
        }
    }

    /// Enables idempotency keys.
    #[must_use]
    pub fn with_idempotency(mut self, idempotent: idempotency::IdempotentRequests) -> Self {
        self.idempotent = Some(Arc::new(idempotent));
        self
    }

    /// Enables log records on failed and retried requests.
    #[must_use]
    pub fn with_request_logger(mut self, request_logger: request_logger::RequestLogger) -> Self {
        self.request_logger = Arc::new(request_logger);
        self
    }

    /// Drain state, on which a shutdown waits.
    #[must_use]
    pub fn drain(&self) -> Arc<drain::DrainState> {
        Arc::clone(&self.drain)
    }

    async fn complete_request(
        &self,
        request: completion::CompletionRequest,
    ) -> Result<handler::ResponseStream, CallerError> {
        let open_request = self.drain.begin_request()?;
        let plan = plans::RequestPlan::completion(&self.settings, &self.configuration, request)?;
        let response = self.start_response(&plan).await?;
        Ok(self.relay_response(response, open_request))
    }

    async fn run_service(
        &self,
        call: handler::ServiceCall,
    ) -> Result<handler::ResponseStream, CallerError> {
        let open_request = self.drain.begin_request()?;
        let plan = plans::RequestPlan::service(&self.settings, &self.configuration, call)?;
        let response = self.start_response(&plan).await?;
        Ok(self.relay_response(response, open_request))
    }

    /// Makes attempts until one produces the first part of the response.
    async fn start_response(
        &self,
        plan: &plans::RequestPlan,
    ) -> Result<StartedResponse, CallerError> {
        self.context.metrics.record_request();
        if let Some(key) = &plan.key {
            return self.start_idempotent_response(plan, key).await;
        }
        self.retries.lock().record_first_attempt();
        let mut tried = Vec::new();
        let mut last_failure: Option<AttemptFailure> = None;
        let mut waits = 0;
        loop {
            let (target, backlog_guard) = match self.choose_target(plan, &tried) {
                Ok(chosen) => chosen,
                Err(error) => {
                    let may_have_run = last_failure.as_ref().is_some_and(|failure| {
                        failure.execution == retries::ExecutionStatus::Unknown
                    });
                    let can_wait =
                        may_have_run && waits < MAX_ENDPOINT_WAITS && !plan.time_left().is_zero();
                    if !can_wait || self.drain.is_draining() {
                        return Err(last_failure.map_or(error, |failure| failure.error));
                    }
                    waits += 1;
                    tokio::time::sleep(ENDPOINT_WAIT_INTERVAL).await;
                    continue;
                }
            };
            tried.push(target.endpoint);
            let failure = match self
                .run_hedged(plan, target, backlog_guard, &mut tried)
                .await
            {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            let failed = retries::FailedAttempt {
                reason: failure.reason,
                execution: failure.execution,
                repeatable: plan.repeatable,
                answer_started: false,
                attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
                time_left: plan.time_left(),
            };
            if self.retries.lock().retry(&failed).is_err() {
                return Err(failure.error);
            }
            self.context.metrics.record_retry(failure.reason);
            let reason = metrics::retry_label(failure.reason);
            self.request_logger.log_retry(reason, &failure.error);
            last_failure = Some(failure);
        }
    }

    async fn start_idempotent_response(
        &self,
        plan: &plans::RequestPlan,
        key: &str,
    ) -> Result<StartedResponse, CallerError> {
        let idempotent = self
            .idempotent
            .as_ref()
            .ok_or_else(caller_errors::keys_unsupported)?;
        let next_target = || self.choose_target(plan, &[]).map(|(target, _)| target);
        let request = idempotency::IdempotentRequest {
            context: &self.context,
            plan,
            key: claims::ClaimKey {
                operator: plan.operator.clone(),
                key: key.to_owned(),
            },
            next_target: &next_target,
        };
        let mut response = idempotent.run(&request).await?;
        let first = response.next().await;
        if let message::StreamPart::Failed(failure) = &first {
            return Err(caller_errors::stream_error(failure));
        }
        let source = ResponseSource::Idempotent(response);
        Ok(StartedResponse { source, first })
    }

    /// Chooses the endpoint of an attempt.
    pub(crate) fn choose_target(
        &self,
        plan: &plans::RequestPlan,
        tried: &[ids::EndpointId],
    ) -> Result<(attempts::AttemptTarget, Option<admissions::BacklogGuard>), CallerError> {
        let directory = &self.context.directory;
        let request = self.next_request_id();
        match &plan.target {
            plans::PlanTarget::Adapter {
                base_model,
                adapter,
            } => {
                let routing_request = routing::RoutingRequest {
                    base_model,
                    adapter: *adapter,
                    priority: plan.priority,
                    repeatable: plan.repeatable,
                    exclude: tried,
                };
                let chosen = directory
                    .choose(&routing_request)
                    .map_err(caller_errors::routing_refused)?;
                let choice = chosen.choice;
                if tried.is_empty() {
                    self.admission.admit(plan, &choice)?;
                }
                let backlog_guard = self
                    .admission
                    .add_to_backlog(plan, request, *adapter, &choice);
                directory.update_routing(|routing, now| {
                    routing.dispatched(request, *adapter, &choice, now);
                });
                let target = attempts::AttemptTarget {
                    request,
                    endpoint: choice.endpoint,
                    channel: chosen.channel,
                };
                Ok((target, Some(backlog_guard)))
            }
            plans::PlanTarget::Service(service) => {
                let exclude: Vec<_> = tried.iter().map(|endpoint| endpoint.agent).collect();
                let Some((agent, channel)) = directory.choose_service(service, &exclude) else {
                    let message = format!("no agent offers the service `{service}`");
                    return Err(CallerError::not_run(ErrorCode::UnknownService, message));
                };
                let endpoint = ids::EndpointId { agent, replica: 0 };
                let target = attempts::AttemptTarget {
                    request,
                    endpoint,
                    channel,
                };
                Ok((target, None))
            }
        }
    }

    fn relay_response(
        &self,
        response: StartedResponse,
        open_request: drain::OpenRequest,
    ) -> handler::ResponseStream {
        let metrics = Arc::clone(&self.context.metrics);
        let request_logger = Arc::clone(&self.request_logger);
        let state = Some((Some(response.first), response.source, open_request));
        stream::unfold(state, move |state| {
            let metrics = Arc::clone(&metrics);
            let request_logger = Arc::clone(&request_logger);
            async move {
                let (first, mut source, open_request) = state?;
                let part = match first {
                    Some(part) => part,
                    None => source.next().await,
                };
                let part = response_parts::convert(part);
                let outcome = match &part {
                    ResponsePart::Finished { .. } => "finished",
                    ResponsePart::Failed(error) => {
                        request_logger.log_failure(error);
                        "failed"
                    }
                    _ => return Some((part, Some((None, source, open_request)))),
                };
                metrics.record_outcome(outcome);
                Some((part, None))
            }
        })
        .boxed()
    }

    fn next_request_id(&self) -> ids::RequestId {
        ids::RequestId {
            entry: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn record_error<T>(&self, result: Result<T, CallerError>) -> Result<T, CallerError> {
        if let Err(error) = &result {
            self.context.metrics.record_refusal(error);
            self.request_logger.log_failure(error);
        }
        result
    }
}

impl ResponseSource {
    async fn next(&mut self) -> message::StreamPart {
        match self {
            Self::Attempt(attempt) => attempt.next().await,
            Self::Idempotent(response) => response.next().await,
        }
    }
}

impl handler::RequestHandler for RequestDispatcher {
    fn authorize(
        &self,
        key: Option<&caller_key::CallerKey>,
    ) -> Result<Option<String>, CallerError> {
        self.record_error(self.configuration.authorize(key))
    }

    fn complete(
        &self,
        request: completion::CompletionRequest,
    ) -> future::BoxFuture<'_, Result<handler::ResponseStream, CallerError>> {
        Box::pin(async { self.record_error(self.complete_request(request).await) })
    }

    fn call_service(
        &self,
        call: handler::ServiceCall,
    ) -> future::BoxFuture<'_, Result<handler::ResponseStream, CallerError>> {
        Box::pin(async { self.record_error(self.run_service(call).await) })
    }

    fn is_ready(&self) -> bool {
        !self.drain.is_draining()
            && self.configuration.is_ready()
            && self.context.directory.is_ready()
    }

    fn metrics(&self) -> String {
        self.context
            .metrics
            .record_backlog(&self.admission.report());
        self.context.metrics.render()
    }

    fn models(&self) -> Vec<handler::ModelName> {
        self.configuration.models()
    }

    fn status(&self) -> serde_json::Value {
        serde_json::json!({
            "entry": self.incarnation.to_string(),
            "data_centre": self.settings.data_centre,
            "configuration_version": self.configuration.version(),
            "draining": self.drain.is_draining(),
            "open_requests": self.drain.open_requests(),
            "backlog": self.admission.report(),
            "agents": self.context.directory.status(),
        })
    }
}

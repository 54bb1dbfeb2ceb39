//! Request plans: the properties that all attempts at a request share.

use std::time;

use callers::{completion, error::CallerError, handler};
use decisions::{ids, units};
use peers::message;
use xxhash_rust::xxh3;

use crate::{configuration, settings};

/// Length of the body prefix that decides which requests share a cached prefix, in bytes.
const CACHE_PREFIX_BYTES: usize = 1024;

/// Properties shared by all attempts at a request.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    pub priority: units::Priority,
    pub operator: String,
    pub operator_weight: u32,
    pub prefix_hash: u64,
    /// Deadline of the first token or the service's response.
    pub deadline: tokio::time::Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Idempotency key, if the request must run at most once across all entries.
    pub key: Option<String>,
    pub target: PlanTarget,
    pub work: message::DispatchWork,
}

/// Endpoints that can run the request.
#[derive(Clone, Debug)]
pub enum PlanTarget {
    Adapter {
        base_model: String,
        adapter: ids::AdapterId,
    },
    Service(String),
}

impl RequestPlan {
    /// Plan of a completion.
    ///
    /// # Errors
    /// [`CallerError`] when the model name is invalid or not configured.
    pub fn completion(
        settings: &settings::EntrySettings,
        configuration: &configuration::ConfigurationView,
        request: completion::CompletionRequest,
    ) -> Result<Self, CallerError> {
        let resolved = configuration.resolve(&request.model)?;
        let route = match request.kind {
            completion::CompletionKind::Completion => message::CompletionRoute::Completions,
            completion::CompletionKind::Chat => message::CompletionRoute::ChatCompletions,
        };
        let requested_priority = request.options.priority.unwrap_or(resolved.priority);
        let body_prefix = &request.body[..request.body.len().min(CACHE_PREFIX_BYTES)];
        Ok(Self {
            priority: requested_priority.min(resolved.allowed_priority),
            operator: resolved.operator,
            operator_weight: resolved.operator_weight,
            prefix_hash: xxh3::xxh3_64(body_prefix),
            deadline: deadline(settings, &request.options),
            repeatable: true,
            key: request.options.scoped_idempotency_key(),
            target: PlanTarget::Adapter {
                base_model: resolved.base_model.clone(),
                adapter: resolved.adapter.id(),
            },
            work: message::DispatchWork::Completion {
                route,
                base_model: resolved.base_model,
                adapter: resolved.adapter,
                body: request.body,
            },
        })
    }

    /// Plan of a service call. Unless the service is configured otherwise, only calls with a safe
    /// HTTP method are repeatable.
    ///
    /// # Errors
    /// [`CallerError`] when the service is not configured.
    pub fn service(
        settings: &settings::EntrySettings,
        configuration: &configuration::ConfigurationView,
        call: handler::ServiceCall,
    ) -> Result<Self, CallerError> {
        let is_safe = matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let repeatable = configuration.service(&call.service)?.unwrap_or(is_safe);
        Ok(Self {
            priority: call.options.priority.unwrap_or_default(),
            operator: String::new(),
            operator_weight: 1,
            prefix_hash: 0,
            deadline: deadline(settings, &call.options),
            repeatable,
            // A repeatable call needs no claim.
            key: call
                .options
                .scoped_idempotency_key()
                .filter(|_| !repeatable),
            target: PlanTarget::Service(call.service.clone()),
            work: message::DispatchWork::Service {
                service: call.service,
                method: call.method,
                path: call.path,
                content_type: call.content_type,
                body: call.body,
            },
        })
    }

    /// Time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(tokio::time::Instant::now())
    }

    /// Dispatch message for one attempt.
    #[must_use]
    pub fn dispatch_message(
        &self,
        session: ids::SessionId,
        endpoint: ids::EndpointId,
        request: ids::RequestId,
    ) -> message::Dispatch {
        message::Dispatch {
            session,
            agent: endpoint.agent,
            request,
            replica: endpoint.replica,
            priority: self.priority,
            operator: self.operator.clone(),
            operator_weight: self.operator_weight,
            prefix: self.prefix_hash,
            time_left: self.time_left(),
            repeatable: self.repeatable && self.key.is_none(),
            keep_response: self.key.is_some(),
            work: self.work.clone(),
        }
    }
}

fn deadline(
    settings: &settings::EntrySettings,
    options: &handler::RequestOptions,
) -> tokio::time::Instant {
    tokio::time::Instant::now() + options.deadline.unwrap_or(settings.default_deadline)
}

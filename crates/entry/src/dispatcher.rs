//! Admission of requests, attempts at them and relay of their answers.
//!
//! A request is sent again only when the earlier attempt did not run and never will, or when it may
//! be repeated and no part of its answer has reached the caller.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use callers::{
    completion,
    error::{CallerError, ErrorCode},
    handler::{self, AnswerPart},
};
use decisions::{ids, routing};
use futures::{StreamExt, future, stream};
use parking_lot::Mutex;
use peers::message;
use tokio::{runtime, sync};

use crate::{attempts, directory, failures, metrics, plans, settings};

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: usize = 3;
/// Share of the requests that may be sent again, so that retries cannot multiply an overload.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up while none are needed.
const RETRY_RESERVE: f64 = 20.0;

/// Dispatcher of one entry.
pub struct RequestDispatcher {
    settings: settings::EntrySettings,
    incarnation: ids::Incarnation,
    sequence: AtomicU64,
    context: attempts::AttemptContext,
    retry_credit: Mutex<f64>,
    drain: Arc<DrainState>,
}

/// Requests in progress, and whether new ones are refused.
#[derive(Default)]
pub struct DrainState {
    is_draining: AtomicBool,
    open: AtomicUsize,
    idle: sync::Notify,
}

/// Counts one request as open until it is dropped.
struct OpenRequest(Arc<DrainState>);

/// Attempt whose first part has arrived.
struct StartedAnswer {
    attempt: attempts::OpenAttempt,
    first: message::StreamPart,
}

/// Why an attempt is followed by another one.
struct Setback {
    reason: metrics::RetryReason,
    /// Whether the attempt is known not to have run.
    is_not_run: bool,
    error: CallerError,
}

impl RequestDispatcher {
    /// Creates a dispatcher over the agents of a directory.
    #[must_use]
    pub fn new(
        settings: settings::EntrySettings,
        incarnation: ids::Incarnation,
        directory: Arc<directory::AgentDirectory>,
        metrics: Arc<metrics::EntryMetrics>,
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
            retry_credit: Mutex::new(RETRY_RESERVE),
            drain: Arc::default(),
        }
    }

    /// State that a shutdown waits for.
    #[must_use]
    pub fn drain(&self) -> Arc<DrainState> {
        Arc::clone(&self.drain)
    }

    async fn complete_request(
        &self,
        request: completion::CompletionRequest,
    ) -> Result<handler::AnswerStream, CallerError> {
        let open = self.drain.enter()?;
        refuse_key(&request.options)?;
        let plan = plans::RequestPlan::completion(&self.settings, request)?;
        let answer = self.run(&plan).await?;
        Ok(self.relay(answer, open))
    }

    async fn run_service(
        &self,
        call: handler::ServiceCall,
    ) -> Result<handler::AnswerStream, CallerError> {
        let open = self.drain.enter()?;
        refuse_key(&call.options)?;
        let plan = plans::RequestPlan::service(&self.settings, call);
        let answer = self.run(&plan).await?;
        Ok(self.relay(answer, open))
    }

    /// Makes attempts until one has a first part.
    async fn run(&self, plan: &plans::RequestPlan) -> Result<StartedAnswer, CallerError> {
        self.context.metrics.requested();
        self.earn_retry();
        let mut tried = Vec::new();
        let mut last: Option<Setback> = None;
        loop {
            let target = match self.choose(plan, &tried) {
                Ok(target) => target,
                Err(error) => return Err(last.map_or(error, |setback| setback.error)),
            };
            tried.push(target.endpoint);
            let setback = match self.attempt(plan, target).await {
                Ok(answer) => return Ok(answer),
                Err(setback) => setback,
            };
            let may_repeat = setback.is_not_run || plan.repeatable;
            let is_last = tried.len() >= MAX_ATTEMPTS || plan.time_left().is_zero();
            if !may_repeat || is_last || !self.spend_retry() {
                return Err(setback.error);
            }
            self.context.metrics.retried(setback.reason);
            last = Some(setback);
        }
    }

    async fn attempt(
        &self,
        plan: &plans::RequestPlan,
        target: attempts::AttemptTarget,
    ) -> Result<StartedAnswer, Setback> {
        match attempts::dispatch(&self.context, target, plan).await {
            attempts::DispatchEnd::Open(mut attempt) => {
                let first = attempt.next().await;
                if let message::StreamPart::Failed(failure) = &first {
                    return Err(Setback {
                        reason: metrics::RetryReason::Failed,
                        is_not_run: failure.outcome == message::RunOutcome::NotRun,
                        error: failures::stream_error(failure),
                    });
                }
                Ok(StartedAnswer { attempt, first })
            }
            attempts::DispatchEnd::NotRun(reason) => Err(Setback {
                reason: match reason {
                    attempts::NotRunReason::Refused { .. } => metrics::RetryReason::Refused,
                    attempts::NotRunReason::Unconnected => metrics::RetryReason::Unconnected,
                    attempts::NotRunReason::Tombstone => metrics::RetryReason::Tombstone,
                },
                is_not_run: true,
                error: failures::not_run(reason),
            }),
            attempts::DispatchEnd::Unknown => Err(Setback {
                reason: metrics::RetryReason::Failed,
                is_not_run: false,
                error: failures::unknown(),
            }),
        }
    }

    fn choose(
        &self,
        plan: &plans::RequestPlan,
        tried: &[ids::EndpointId],
    ) -> Result<attempts::AttemptTarget, CallerError> {
        let directory = &self.context.directory;
        let request = self.next_request();
        match &plan.target {
            plans::PlanTarget::Adapter {
                base_model,
                adapter,
            } => {
                let wanted = routing::RoutingRequest {
                    base_model,
                    adapter: *adapter,
                    repeatable: plan.repeatable,
                    exclude: tried,
                };
                let chosen = directory.choose(&wanted).map_err(failures::refused)?;
                let choice = chosen.choice;
                let left = plan.time_left();
                if choice.wait > left {
                    return Err(failures::too_late(choice.wait, left));
                }
                directory.observe(|routing, now| {
                    routing.dispatched(request, *adapter, &choice, now);
                });
                Ok(attempts::AttemptTarget {
                    request,
                    endpoint: choice.endpoint,
                    channel: chosen.channel,
                })
            }
            plans::PlanTarget::Service(service) => {
                let exclude: Vec<_> = tried.iter().map(|endpoint| endpoint.agent).collect();
                let Some((agent, channel)) = directory.choose_service(service, &exclude) else {
                    let message = format!("no agent offers the service `{service}`");
                    return Err(CallerError::not_run(ErrorCode::UnknownService, message));
                };
                let endpoint = ids::EndpointId { agent, replica: 0 };
                Ok(attempts::AttemptTarget {
                    request,
                    endpoint,
                    channel,
                })
            }
        }
    }

    fn relay(&self, answer: StartedAnswer, open: OpenRequest) -> handler::AnswerStream {
        let metrics = Arc::clone(&self.context.metrics);
        let state = Some((Some(answer.first), answer.attempt, open));
        stream::unfold(state, move |state| {
            let metrics = Arc::clone(&metrics);
            async move {
                let (first, mut attempt, open) = state?;
                let part = match first {
                    Some(part) => part,
                    None => attempt.next().await,
                };
                let part = answer_part(part);
                let outcome = match &part {
                    AnswerPart::Finished { .. } => "finished",
                    AnswerPart::Failed(_) => "failed",
                    _ => return Some((part, Some((None, attempt, open)))),
                };
                metrics.ended(outcome);
                Some((part, None))
            }
        })
        .boxed()
    }

    fn next_request(&self) -> ids::RequestId {
        ids::RequestId {
            entry: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn earn_retry(&self) {
        let mut credit = self.retry_credit.lock();
        *credit = (*credit + RETRY_SHARE).min(RETRY_RESERVE);
    }

    fn spend_retry(&self) -> bool {
        let mut credit = self.retry_credit.lock();
        let is_affordable = *credit >= 1.0;
        if is_affordable {
            *credit -= 1.0;
        }
        is_affordable
    }

    fn count_refusal<T>(&self, answer: Result<T, CallerError>) -> Result<T, CallerError> {
        if let Err(error) = &answer {
            self.context.metrics.refused(error);
        }
        answer
    }
}

impl handler::RequestHandler for RequestDispatcher {
    fn complete(
        &self,
        request: completion::CompletionRequest,
    ) -> future::BoxFuture<'_, Result<handler::AnswerStream, CallerError>> {
        Box::pin(async { self.count_refusal(self.complete_request(request).await) })
    }

    fn call_service(
        &self,
        call: handler::ServiceCall,
    ) -> future::BoxFuture<'_, Result<handler::AnswerStream, CallerError>> {
        Box::pin(async { self.count_refusal(self.run_service(call).await) })
    }

    fn is_ready(&self) -> bool {
        !self.drain.is_draining() && self.context.directory.is_ready()
    }

    fn metrics(&self) -> String {
        self.context.metrics.render()
    }

    fn status(&self) -> serde_json::Value {
        serde_json::json!({
            "entry": self.incarnation.to_string(),
            "data_centre": self.settings.data_centre,
            "draining": self.drain.is_draining(),
            "open_requests": self.drain.open(),
            "agents": self.context.directory.status(),
        })
    }
}

impl DrainState {
    /// Refuses new requests from now on.
    pub fn start(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Number of open requests.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until no request is open.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.open() == 0 {
                return;
            }
            idle.await;
        }
    }

    fn enter(self: &Arc<Self>) -> Result<OpenRequest, CallerError> {
        // Counted before the check, so that a drain that starts in between sees the request.
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenRequest(Arc::clone(self));
        if self.is_draining() {
            return Err(failures::draining());
        }
        Ok(open)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.0.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// Refuses a key, because claims in the log are not available to this entry.
fn refuse_key(options: &handler::RequestOptions) -> Result<(), CallerError> {
    if options.idempotency_key.is_none() {
        return Ok(());
    }
    let message = "this entry has no log for idempotency keys; send the request without a key";
    Err(CallerError::not_run(ErrorCode::LogUnavailable, message))
}

fn answer_part(part: message::StreamPart) -> AnswerPart {
    match part {
        message::StreamPart::Head {
            status,
            content_type,
        } => AnswerPart::Head {
            status,
            content_type,
        },
        message::StreamPart::Text { text, .. } => AnswerPart::Text(text),
        message::StreamPart::Bytes(bytes) => AnswerPart::Bytes(bytes),
        message::StreamPart::Finished {
            finish_reason,
            prompt_tokens,
            completion_tokens,
        } => AnswerPart::Finished {
            finish_reason,
            prompt_tokens,
            completion_tokens,
        },
        message::StreamPart::Failed(failure) => {
            AnswerPart::Failed(failures::stream_error(&failure))
        }
    }
}

//! Attempts at a request: choice of a replica, place, send, and what follows a failure.
//!
//! A request is sent again only if it did not run, or if its route allows that it runs again; each
//! repeat draws on the budget that all gateways share.

use std::{sync::Arc, time};

use bytes::Bytes;
use decisions::{answer_length, attempt_budget, units};
use http::{Request, Response, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{
    answers, attempts, catalog, connections, journal, members, metrics, placement, plan, protocol,
    replica, settings,
};

/// Time for a new connection to a replica.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(300);
/// Time after a deadline in which a replica's own answer to it may still arrive.
const LATE_LIMIT: time::Duration = time::Duration::from_millis(120);
/// Replicas that are tried in vain for a connection.
const MAX_UNREACHABLE: usize = 3;
/// Shortest time after which a silent replica is given up for another one.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(400);
/// Largest answer of a plain service.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// State shared by all requests of a gateway.
pub struct Dispatcher {
    pub settings: settings::GatewaySettings,
    /// Random number of this start.
    pub incarnation: u64,
    pub wire: Arc<dyn protocol::WireProtocol>,
    pub catalog: Mutex<catalog::ServingCatalog>,
    pub members: Mutex<members::ReplicaTable>,
    pub budget: Mutex<attempt_budget::AttemptBudget>,
    pub lengths: Mutex<answer_length::AnswerLengths>,
    pub pool: connections::ConnectionPool,
    pub journal: journal::RequestJournal,
    pub metrics: metrics::GatewayMetrics,
    /// Number of the newest place.
    pub places: Mutex<u64>,
    started: Instant,
}

/// Request that was sent, with the head of its answer.
pub struct OpenAttempt {
    pub replica: replica::ChosenReplica,
    pub head: response::Parts,
    pub body: Incoming,
    pub connection: connections::ReplicaConnection,
    pub guard: AttemptGuard,
}

/// Counts the end of an attempt and gives up its place.
pub struct AttemptGuard {
    dispatcher: Arc<Dispatcher>,
    replica: String,
    /// Given up when the guard is dropped.
    _place: Option<placement::HeldPlace>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.dispatcher.members.lock().ended(&self.replica);
    }
}

/// Complete answer of a replica.
pub struct WholeAnswer {
    pub head: response::Parts,
    pub body: Bytes,
}

/// End of all attempts at a request.
pub enum Outcome {
    Whole {
        replica: String,
        answer: WholeAnswer,
    },
    /// Stream that has begun, with the sends so far.
    Stream(Box<OpenAttempt>, u32),
    Own(answers::OwnAnswer),
}

impl Dispatcher {
    /// Dispatcher that knows no configuration and no replica.
    #[must_use]
    pub fn new(
        settings: settings::GatewaySettings,
        incarnation: u64,
        wire: Arc<dyn protocol::WireProtocol>,
        logger: slog::Logger,
        metrics: metrics::GatewayMetrics,
    ) -> Self {
        let limits = attempt_budget::BudgetLimits {
            ratio: settings.retry_budget.ratio,
            window: settings.retry_budget.window_s,
            slack: settings.retry_budget.slack,
        };
        // Until brokers have told how many entries there are.
        let entries = u32::try_from(settings.data_centres.len()).unwrap_or(u32::MAX);
        let entries = entries.max(1).saturating_mul(2);
        Self {
            members: Mutex::new(members::ReplicaTable::new(
                &settings.data_centre,
                settings.broker_port,
            )),
            budget: Mutex::new(attempt_budget::AttemptBudget::new(limits, entries)),
            settings,
            incarnation,
            wire,
            catalog: Mutex::default(),
            lengths: Mutex::default(),
            pool: connections::ConnectionPool::default(),
            journal: journal::RequestJournal::new(logger),
            metrics,
            places: Mutex::new(0),
            started: Instant::now(),
        }
    }

    /// Time since the start of this process.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        let micros = self.started.elapsed().as_micros();
        units::Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.catalog.lock().current().is_some() && self.members.lock().ready() > 0
    }

    /// Whether a request asks for a longer answer than most.
    #[must_use]
    pub fn is_long(&self, plan: &plan::RequestPlan) -> bool {
        let need = plan.request.generation.as_ref();
        need.is_some_and(|need| self.lengths.lock().is_long(need.max_output_tokens))
    }

    /// Makes attempts until there is an answer.
    pub async fn run(self: &Arc<Self>, plan: &plan::RequestPlan) -> Outcome {
        self.budget.lock().first(&plan.service, self.now());
        let mut history = attempts::AttemptHistory::default();
        let resume_after = plan.request.resume_after;
        loop {
            let attempt = self.attempt(plan, &mut history, resume_after).await;
            let setback = match attempt {
                Ok(open) if plan.is_stream() => {
                    return Outcome::Stream(Box::new(open), history.arrivals);
                }
                Ok(open) => match self.collect(plan, open).await {
                    Ok((replica, answer)) => return Outcome::Whole { replica, answer },
                    Err(setback) => setback,
                },
                Err(AttemptError::Refused(answer)) => {
                    return Outcome::Own(history.last_answer(answer));
                }
                Err(AttemptError::Setback(setback)) => setback,
            };
            let is_repeated = self.may_repeat(plan, &mut history, &setback);
            let replica = &setback.replica;
            self.journal
                .retried(plan, replica, setback.reason, is_repeated);
            if !is_repeated {
                return history.outcome(plan, setback);
            }
            self.metrics.retried(setback.reason);
        }
    }

    /// Sends a request to one replica.
    ///
    /// # Errors
    /// [`AttemptError`] when there is none or it has no good answer.
    pub async fn attempt(
        self: &Arc<Self>,
        plan: &plan::RequestPlan,
        history: &mut attempts::AttemptHistory,
        resume_after: Option<u64>,
    ) -> Result<OpenAttempt, AttemptError> {
        let placement::PlacedReplica {
            replica,
            place,
            version,
        } = self.place(plan, history).await?;
        self.members.lock().sent(&replica.id);
        let guard = AttemptGuard {
            dispatcher: Arc::clone(self),
            replica: replica.id.clone(),
            _place: place,
        };
        let mut connection = self.connect(&replica).await.map_err(|error| {
            self.members.lock().unreachable(&replica.id, self.now());
            self.pool.forget(replica.address);
            AttemptError::unsent(&replica.id, connect_label(&error))
        })?;
        history.arrivals += 1;
        self.journal.sent(plan, &replica, history.arrivals, version);
        let request = self.request(plan, &replica, version, resume_after);
        let can_switch = plan.route.kind == catalog::RouteKind::Safe;
        let head = self
            .head(plan, history, can_switch, connection.send(request))
            .await;
        let response = match head {
            Ok(response) => response,
            Err(reason) => return Err(self.failed_send(&replica, reason).into()),
        };
        let (head, body) = response.into_parts();
        if let Some(sample) = self.wire.load(&head.headers) {
            self.members.lock().sampled(&replica.id, sample, self.now());
        }
        let open = OpenAttempt {
            replica,
            head,
            body,
            connection,
            guard,
        };
        self.judge(plan, open).await
    }

    /// Keeps the connection of an attempt whose answer is complete.
    pub fn keep(&self, connection: connections::ReplicaConnection, head: &response::Parts) {
        self.pool
            .keep(connection, connections::idle_limit(&head.headers));
    }

    async fn connect(
        &self,
        replica: &replica::ChosenReplica,
    ) -> Result<connections::ReplicaConnection, connections::SendError> {
        if let Some(connection) = self.pool.take(replica.address, &replica.id) {
            return Ok(connection);
        }
        connections::ReplicaConnection::open(replica.address, &replica.id, CONNECT_LIMIT).await
    }

    fn request(
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
        };
        let mut request = Request::new(Full::new(plan.body.clone()));
        *request.method_mut() = plan.head.method.clone();
        *request.uri_mut() = plan.head.uri.clone();
        *request.headers_mut() = self.wire.forwarded_headers(&plan.head.headers, &options);
        request
    }

    /// Waits for the head of an answer. A replica that is silent for long is given up for another
    /// one if the request may run again and the budget allows it.
    async fn head(
        &self,
        plan: &plan::RequestPlan,
        history: &attempts::AttemptHistory,
        can_switch: bool,
        sending: impl Future<Output = Result<Response<Incoming>, connections::SendError>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let mut sending = std::pin::pin!(sending);
        let limit = plan.deadline + LATE_LIMIT;
        if can_switch && history.arrivals < plan.route.max_attempts {
            let silence = plan.route.objective.max(MIN_SILENCE);
            match tokio::time::timeout(silence, &mut sending).await {
                Ok(sent) => return sent.map_err(SendFailure::Connection),
                Err(_) if plan.has_time() && self.take_repeat(plan) => {
                    return Err(SendFailure::Silent);
                }
                Err(_) => {}
            }
        }
        match tokio::time::timeout_at(limit, sending).await {
            Ok(sent) => sent.map_err(SendFailure::Connection),
            Err(_) => Err(SendFailure::Late),
        }
    }

    fn failed_send(
        &self,
        replica: &replica::ChosenReplica,
        failure: SendFailure,
    ) -> attempts::Setback {
        let now = self.now();
        let mut setback = attempts::Setback::new(
            &replica.id,
            attempts::RunKnowledge::Unknown,
            "connection_lost",
        );
        let mut members = self.members.lock();
        match failure {
            SendFailure::Connection(error) if error.is_unsent() => {
                setback.knowledge = attempts::RunKnowledge::Unsent;
                setback.reason = "connection_closed";
            }
            SendFailure::Connection(_) => members.observe(&replica.id, true, now),
            SendFailure::Silent => {
                setback.reason = "silent";
                setback.is_paid = true;
                members.observe(&replica.id, true, now);
            }
            SendFailure::Late => {
                setback.reason = "timeout";
                members.observe(&replica.id, true, now);
            }
        }
        setback
    }

    /// Sorts the head of an answer into an attempt to go on with or a setback.
    async fn judge(
        &self,
        plan: &plan::RequestPlan,
        open: OpenAttempt,
    ) -> Result<OpenAttempt, AttemptError> {
        let class = self.wire.classify(&open.head, &plan.request.id);
        let id = open.replica.id.clone();
        let failed = matches!(
            class,
            protocol::ResponseClass::Failed | protocol::ResponseClass::Unverified
        );
        self.members.lock().observe(&id, failed, self.now());
        match class {
            protocol::ResponseClass::Succeeded => Ok(open),
            protocol::ResponseClass::NotExecuted => {
                self.drain_body(open).await;
                Err(
                    attempts::Setback::new(&id, attempts::RunKnowledge::NotRun, "replica_refused")
                        .into(),
                )
            }
            protocol::ResponseClass::Misdirected => {
                self.drain_body(open).await;
                Err(
                    attempts::Setback::new(&id, attempts::RunKnowledge::NotRun, "misdirected")
                        .into(),
                )
            }
            protocol::ResponseClass::Unverified => {
                Err(
                    attempts::Setback::new(&id, attempts::RunKnowledge::Unknown, "foreign_answer")
                        .into(),
                )
            }
            protocol::ResponseClass::Failed => {
                let mut setback =
                    attempts::Setback::new(&id, attempts::RunKnowledge::Ran, "replica_failed");
                match self.collect(plan, open).await {
                    Ok((_, answer)) => setback.answer = Some(answer),
                    Err(_) => setback.knowledge = attempts::RunKnowledge::Unknown,
                }
                Err(setback.into())
            }
        }
    }

    /// Reads a whole answer, so that the caller never gets half of one.
    async fn collect(
        &self,
        plan: &plan::RequestPlan,
        open: OpenAttempt,
    ) -> Result<(String, WholeAnswer), attempts::Setback> {
        let body = http_body_util::Limited::new(open.body, MAX_ANSWER_BYTES);
        let limit = plan.deadline + LATE_LIMIT;
        let id = open.replica.id;
        match tokio::time::timeout_at(limit, body.collect()).await {
            Ok(Ok(body)) => {
                self.keep(open.connection, &open.head);
                let answer = WholeAnswer {
                    head: open.head,
                    body: body.to_bytes(),
                };
                Ok((id, answer))
            }
            Ok(Err(_)) => {
                self.members.lock().observe(&id, true, self.now());
                Err(attempts::Setback::new(
                    &id,
                    attempts::RunKnowledge::Unknown,
                    "answer_broken",
                ))
            }
            Err(_) => Err(attempts::Setback::new(
                &id,
                attempts::RunKnowledge::Unknown,
                "timeout",
            )),
        }
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    async fn drain_body(&self, open: OpenAttempt) {
        let body = http_body_util::Limited::new(open.body, MAX_ANSWER_BYTES);
        if let Ok(Ok(_)) = tokio::time::timeout(LATE_LIMIT, body.collect()).await {
            self.keep(open.connection, &open.head);
        }
    }

    /// Whether another attempt follows a setback.
    fn may_repeat(
        &self,
        plan: &plan::RequestPlan,
        history: &mut attempts::AttemptHistory,
        setback: &attempts::Setback,
    ) -> bool {
        history.exclude(&setback.replica);
        if setback.knowledge == attempts::RunKnowledge::Unsent {
            // A connection that closed before the request was sent did not reach the replica.
            history.unreachable += 1;
            return history.unreachable <= MAX_UNREACHABLE && plan.has_time();
        }
        if setback.knowledge != attempts::RunKnowledge::NotRun {
            history.may_have_run = true;
            if !plan.route.kind.is_repeatable() {
                return false;
            }
        }
        if history.arrivals >= plan.route.max_attempts || !plan.has_time() {
            return false;
        }
        setback.is_paid || self.take_repeat(plan)
    }

    /// Takes a repeat from the budget.
    pub fn take_repeat(&self, plan: &plan::RequestPlan) -> bool {
        let now = self.now();
        let entries = self.members.lock().entries(now);
        let mut budget = self.budget.lock();
        if let Some(entries) = entries {
            budget.set_entries(entries);
        }
        budget.try_repeat(&plan.service, now)
    }
}

/// Why the head of an answer is missing.
enum SendFailure {
    Connection(connections::SendError),
    Silent,
    Late,
}

/// Why an attempt has no answer to go on with.
pub enum AttemptError {
    /// No replica has a place.
    Refused(answers::OwnAnswer),
    Setback(attempts::Setback),
}

impl AttemptError {
    fn unsent(replica: &str, reason: &'static str) -> Self {
        Self::Setback(attempts::Setback::new(
            replica,
            attempts::RunKnowledge::Unsent,
            reason,
        ))
    }
}

impl From<attempts::Setback> for AttemptError {
    fn from(setback: attempts::Setback) -> Self {
        Self::Setback(setback)
    }
}

fn connect_label(error: &connections::SendError) -> &'static str {
    match error {
        connections::SendError::ConnectTimeout { .. } => "connect_timeout",
        _ => "connect_failed",
    }
}

//! Broker process: grants permits to entries and sends load commands to the engine.

use std::{sync::Arc, time};

use decisions::{engine_status, permits, slot_broker, units};
use futures::future::BoxFuture;
use parking_lot::Mutex;
use telemetry::{events, exposition, logs};
use tokio::sync::{Notify, oneshot};

use crate::{
    engine,
    engine_state::{self, MAX_MISSED_REPORTS},
    message, metrics, process_clock, quotas, service, settings, stream_book,
};

/// Interval of status reports while a load is pending.
const LOADING_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Interval of status reports while the engine cannot be reached.
const LOST_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Interval of status reports while no load is pending.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// All commands to an engine come from the broker on its instance, so the token is constant.
/// A late command is rejected by the number of accepted commands that it expects.
const FENCING_TOKEN: u64 = 1;

/// Broker of one engine.
pub struct EngineBroker {
    settings: settings::BrokerSettings,
    engine: Box<dyn engine::EngineControl>,
    state: Mutex<engine_state::EngineState>,
    clock: process_clock::ProcessClock,
    wake: Notify,
    /// Signals that a report has arrived, after which a command may be due.
    command_due: Notify,
    /// Held while a report is fetched, so that reports are applied in order.
    report_lock: tokio::sync::Mutex<()>,
    logger: slog::Logger,
    metrics: metrics::BrokerMetrics,
}

impl EngineBroker {
    /// Creates the broker of an engine.
    #[must_use]
    pub fn new(
        settings: settings::BrokerSettings,
        engine: Box<dyn engine::EngineControl>,
        logger: slog::Logger,
        metrics: metrics::BrokerMetrics,
    ) -> Self {
        let limits = slot_broker::BrokerLimits {
            adapter_slots: 0,
            parallel_loads: settings.parallel_loads,
            batch_slots: 1,
            unstarted: settings.unstarted,
        };
        let state = engine_state::EngineState::new(limits);
        Self {
            settings,
            engine,
            state: Mutex::new(state),
            clock: process_clock::ProcessClock::start(),
            wake: Notify::new(),
            command_due: Notify::new(),
            report_lock: tokio::sync::Mutex::default(),
            logger,
            metrics,
        }
    }

    /// Polls the engine and sends it commands until the task is dropped. Commands are sent
    /// concurrently, because one without a response must not delay permits.
    pub async fn run(&self) {
        tokio::join!(self.poll_engine(), self.send_commands());
    }

    async fn poll_engine(&self) {
        loop {
            let is_known = !self.state.lock().model.is_empty();
            if !is_known {
                self.wake.notified().await;
                continue;
            }
            self.update_status().await;
            self.command_due.notify_one();
            let (is_busy, is_lost) = {
                let state = self.state.lock();
                (state.broker.is_busy(), state.is_lost())
            };
            if is_busy && !is_lost {
                tokio::time::sleep(LOADING_POLL_INTERVAL).await;
                continue;
            }
            let interval = if is_lost {
                LOST_POLL_INTERVAL
            } else {
                IDLE_POLL_INTERVAL
            };
            // A timeout is the regular case.
            let _ = tokio::time::timeout(interval, self.wake.notified()).await;
        }
    }

    async fn send_commands(&self) {
        loop {
            self.command_due.notified().await;
            while self.send_next_command().await {
                self.update_status().await;
            }
        }
    }

    fn now(&self) -> units::Timestamp {
        self.clock.now()
    }

    async fn update_status(&self) {
        let _report_lock = self.report_lock.lock().await;
        let model = self.state.lock().model.clone();
        let report = self.engine.fetch_report(&model).await;
        let now = self.now();
        let mut state = self.state.lock();
        let outcomes = match report {
            Ok(report) => {
                if state.is_lost() {
                    logs::info(
                        &self.logger,
                        events::ENGINE_REGAINED,
                        "the engine responds again",
                    );
                }
                state.missed_reports = 0;
                state.sequence = report.sequence;
                state.broker.observe(&report.status, now)
            }
            Err(error) => {
                let was_lost = state.is_lost();
                state.missed_reports += 1;
                if matches!(error, engine::EngineError::NotListening) {
                    self.record_crash(&mut state, now);
                    state.missed_reports = state.missed_reports.max(MAX_MISSED_REPORTS);
                }
                if !state.is_lost() {
                    return;
                }
                if !was_lost {
                    logs::warn(&self.logger, events::ENGINE_UNREACHABLE, &error.to_string());
                }
                state.broker.engine_lost()
            }
        };
        state.refuse_replaced(now);
        state.deliver_outcomes(outcomes, now);
    }

    fn record_crash(&self, state: &mut engine_state::EngineState, now: units::Timestamp) {
        let Some(crash) = state.broker.record_crash(now) else {
            return;
        };
        self.metrics.record_crash();
        let parts = crash.suspects.iter();
        let parts = parts.map(|suspect| format!("{:x}@{}", suspect.part, suspect.position));
        slog::warn!(self.logger, "the engine crashed";
            "event" => events::ENGINE_CRASHED.number, "name" => events::ENGINE_CRASHED.name,
            "incarnation" => crash.incarnation,
            "suspects" => parts.collect::<Vec<_>>().join(" "));
    }

    /// Sends the next command; true if the engine's state may have changed.
    async fn send_next_command(&self) -> bool {
        let now = self.now();
        let (command, fenced) = {
            let mut state = self.state.lock();
            if state.missed_reports > 0 || !state.knows_engine() {
                return false;
            }
            let Some(command) = state.broker.next_command(now) else {
                return false;
            };
            let fenced = engine::FencedCommand {
                command: command.clone(),
                model: state.model.clone(),
                engine: state.identity.id.clone(),
                sequence: state.sequence,
                holder: self.settings.instance.clone(),
                fencing_token: FENCING_TOKEN,
            };
            (command, fenced)
        };
        let sequence = fenced.sequence;
        let reply = self.engine.send_command(fenced).await;
        self.metrics.record_command(&reply);
        self.log_command(&command, sequence, &reply);
        let mut state = self.state.lock();
        match (&reply, &command) {
            (Ok(engine::CommandReply::Accepted), engine_status::EngineCommand::Unload { name }) => {
                state.broker.unloaded(name);
                true
            }
            (Ok(engine::CommandReply::Accepted), _) => true,
            _ => {
                state.broker.command_failed(&command, self.now());
                false
            }
        }
    }

    fn log_command(
        &self,
        command: &engine_status::EngineCommand,
        sequence: u64,
        reply: &Result<engine::CommandReply, engine::EngineError>,
    ) {
        let outcome = match reply {
            Ok(reply) => format!("{reply:?}"),
            Err(error) => error.to_string(),
        };
        let (event, adapter) = match command {
            engine_status::EngineCommand::LoadModel => (events::MODEL_ORDERED, String::new()),
            engine_status::EngineCommand::Load { name, version } => {
                (events::ADAPTER_ORDERED, format!("{name}@{version}"))
            }
            engine_status::EngineCommand::Unload { name } => {
                (events::ADAPTER_EVICTED, name.clone())
            }
        };
        slog::info!(self.logger, "command sent to the engine";
            "event" => event.number, "name" => event.name, "adapter" => adapter,
            "sequence" => sequence, "outcome" => outcome);
    }

    /// Logs why a permit is refused. Grants appear in the log of the entry, which logs each send.
    fn log_refusal(&self, request: &str, reply: &message::PermitReply, waited: time::Duration) {
        let message::PermitDecision::Refused { reason, .. } = reply.decision else {
            return;
        };
        let view = &reply.view;
        slog::info!(self.logger, "permit refused";
            "event" => events::PLACE_REFUSED.number, "name" => events::PLACE_REFUSED.name,
            "request" => request, "reason" => reason.label(), "waited_ms" => millis(waited),
            "running" => view.running, "backlog_ms" => millis(view.backlog),
            "slot_wait_ms" => millis(view.slot_wait));
    }

    /// Updates the engine from the entry's call; false if the call is for an earlier incarnation.
    fn update_spec(
        &self,
        state: &mut engine_state::EngineState,
        engine: &message::EngineSpec,
    ) -> bool {
        let newest = state.identity.incarnation.max(state.broker.incarnation());
        if engine.identity.is_older_than(newest) {
            return false;
        }
        if engine.identity != state.identity {
            let incarnation = engine.identity.incarnation;
            slog::info!(self.logger, "new engine incarnation";
                "event" => events::ENGINE_RESTARTED.number,
                "name" => events::ENGINE_RESTARTED.name, "engine" => &engine.identity.id,
                "incarnation" => incarnation);
            state.identity = engine.identity.clone();
            state.missed_reports = 0;
            self.wake.notify_one();
        }
        if state.model != engine.model {
            state.model.clone_from(&engine.model);
            self.wake.notify_one();
        }
        state.broker.set_model_load_time(engine.model_load_time);
        state.broker.set_limits(slot_broker::BrokerLimits {
            adapter_slots: usize::try_from(engine.capacity.adapter_slots).unwrap_or(0),
            parallel_loads: self.settings.parallel_loads,
            batch_slots: usize::try_from(engine.capacity.batch_slots).unwrap_or(1),
            unstarted: self.settings.unstarted,
        });
        true
    }

    async fn acquire_permit(&self, call: message::PermitCall) -> message::PermitReply {
        let now = self.now();
        let known_adapters = call.known_adapters;
        let id = permits::PermitId {
            entry: call.entry,
            number: call.number,
        };
        let waiting = {
            let mut state = self.state.lock();
            state.release(call.entry, &call.released, now);
            if !self.update_spec(&mut state, &call.engine) {
                return message::PermitReply {
                    decision: engine_state::ENGINE_REPLACED,
                    view: state.view(call.entry, known_adapters, now),
                };
            }
            if state.is_lost() {
                return message::PermitReply {
                    decision: engine_state::ENGINE_LOST,
                    view: state.view(call.entry, known_adapters, now),
                };
            }
            let engine = call.engine.identity.clone();
            let request = call.into_request(id, now);
            if let Some(outcome) = state.broker.request_permit(request, now) {
                return message::PermitReply {
                    decision: outcome.into(),
                    view: state.view(id.entry, known_adapters, now),
                };
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.push(engine_state::WaitingPermit {
                id,
                engine,
                decision: sender,
            });
            receiver
        };
        self.wake.notify_one();
        let decision = waiting.await.unwrap_or(message::PermitDecision::Refused {
            reason: message::RefusalReason::EngineUnreachable,
            retry_after: time::Duration::ZERO,
        });
        let view = self.state.lock().view(id.entry, known_adapters, self.now());
        message::PermitReply { decision, view }
    }
}

impl service::BrokerHandler for EngineBroker {
    fn request_permit(&self, call: message::PermitCall) -> BoxFuture<'_, message::PermitReply> {
        Box::pin(async move {
            let asked = time::Instant::now();
            let request = call.request.clone();
            let reply = self.acquire_permit(call).await;
            let waited = asked.elapsed();
            self.metrics.record_decision(&reply.decision, waited);
            self.log_refusal(&request, &reply, waited);
            reply
        })
    }

    fn heartbeat(&self, call: message::HeartbeatCall) -> message::EngineView {
        let now = self.now();
        let mut state = self.state.lock();
        state.broker.entry_seen(call.entry, now);
        self.update_spec(&mut state, &call.engine);
        state.release(call.entry, &call.released, now);
        let blocked_parts = call.quarantine.blocked_parts;
        state.broker.record_blocked_parts(call.entry, blocked_parts);
        for cleared in &call.quarantine.cleared {
            state
                .broker
                .clear_suspects(cleared.incarnation, &cleared.parts);
        }
        let observed = call.quarantine.observed_crashes.into_iter();
        let observed = observed.map(|crash| crash.into_crash(now));
        state.relay.record(observed, now);
        state.view(call.entry, call.known_adapters, now)
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Runs a broker until the task is dropped.
///
/// # Errors
/// [`service::BrokerError`] when an address is in use.
pub async fn serve(broker: Arc<EngineBroker>) -> Result<(), service::BrokerError> {
    let listen = broker.settings.listen;
    let metrics = match broker.settings.metrics {
        Some(address) => Some(service::bind(address).await?),
        None => None,
    };
    let rendered = Arc::clone(&broker);
    let exposed = async move {
        if let Some(listener) = metrics {
            let text = move |_: &str| (http::StatusCode::OK, rendered.metrics.render());
            exposition::serve(listener, text).await;
        }
    };
    let handler: Arc<dyn service::BrokerHandler> = Arc::clone(&broker) as _;
    let quotas = Arc::new(quotas::QuotaBook::new(broker.metrics.quota_decisions()));
    let streams = Arc::new(stream_book::StreamBook::new());
    let serving = service::serve(listen, handler, quotas, streams);
    let ((), (), served) = tokio::join!(broker.run(), exposed, serving);
    served
}

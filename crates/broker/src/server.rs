//! Broker process: places for entries, orders to the engine.

use std::{sync::Arc, time};

use decisions::{engine_report, places, slot_broker, units};
use futures::future::BoxFuture;
use parking_lot::Mutex;
use telemetry::{events, exposition, logs};
use tokio::sync::{Notify, oneshot};

use crate::{engine, message, metrics, service, settings};

/// Reports while a load is awaited.
const BUSY_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Reports while the engine only serves.
const CALM_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Reports without an answer after which waiting requests are refused.
const SILENT_REPORTS: u32 = 3;
/// All orders of an engine come from the broker on its instance, so the token never changes hands.
/// A late order is kept out by the number of accepted orders that it expects.
const FENCING_TOKEN: u64 = 1;

struct WaitingPlace {
    id: places::PlaceId,
    outcome: oneshot::Sender<places::PlaceOutcome>,
}

struct EngineState {
    broker: slot_broker::SlotBroker,
    waiting: Vec<WaitingPlace>,
    name: message::EngineName,
    model: String,
    /// Accepted orders, from the newest report.
    sequence: u64,
    silent_reports: u32,
}

/// Broker of one engine.
pub struct EngineBroker {
    settings: settings::BrokerSettings,
    orders: Box<dyn engine::EngineOrders>,
    state: Mutex<EngineState>,
    started: tokio::time::Instant,
    wake: Notify,
    /// A report has arrived, by which an order may be due.
    order_due: Notify,
    /// Held during a report, so that reports are taken in their order.
    reporting: tokio::sync::Mutex<()>,
    logger: slog::Logger,
    metrics: metrics::BrokerMetrics,
}

impl EngineBroker {
    /// Broker over the calls to its engine.
    #[must_use]
    pub fn new(
        settings: settings::BrokerSettings,
        orders: Box<dyn engine::EngineOrders>,
        logger: slog::Logger,
        metrics: metrics::BrokerMetrics,
    ) -> Self {
        let limits = slot_broker::BrokerLimits {
            adapter_slots: 0,
            parallel_loads: settings.parallel_loads,
            batch_slots: 1,
            unstarted: settings.unstarted,
        };
        let state = EngineState {
            broker: slot_broker::SlotBroker::new(limits),
            waiting: Vec::new(),
            name: message::EngineName {
                id: String::new(),
                incarnation: 0,
            },
            model: String::new(),
            sequence: 0,
            silent_reports: 0,
        };
        Self {
            settings,
            orders,
            state: Mutex::new(state),
            started: tokio::time::Instant::now(),
            wake: Notify::new(),
            order_due: Notify::new(),
            reporting: tokio::sync::Mutex::default(),
            logger,
            metrics,
        }
    }

    /// Follows the engine and gives it orders until the task is dropped. Orders have a task of
    /// their own, because an engine may leave one unanswered while places are due.
    pub async fn run(&self) {
        tokio::join!(self.follow(), self.give_orders());
    }

    async fn follow(&self) {
        loop {
            let is_known = !self.state.lock().model.is_empty();
            if !is_known {
                self.wake.notified().await;
                continue;
            }
            self.report().await;
            self.order_due.notify_one();
            let is_busy = self.state.lock().broker.is_busy();
            if is_busy {
                tokio::time::sleep(BUSY_INTERVAL).await;
            } else {
                let _ = tokio::time::timeout(CALM_INTERVAL, self.wake.notified()).await;
            }
        }
    }

    async fn give_orders(&self) {
        loop {
            self.order_due.notified().await;
            while self.order().await {
                self.report().await;
            }
        }
    }

    fn now(&self) -> units::Timestamp {
        let micros = self.started.elapsed().as_micros();
        units::Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    async fn report(&self) {
        let _reporting = self.reporting.lock().await;
        let model = self.state.lock().model.clone();
        let report = self.orders.report(&model).await;
        let now = self.now();
        let mut state = self.state.lock();
        let outcomes = match report {
            Ok(report) => {
                if state.silent_reports >= SILENT_REPORTS {
                    logs::info(
                        &self.logger,
                        events::ENGINE_REGAINED,
                        "the engine answers again",
                    );
                }
                state.silent_reports = 0;
                state.sequence = report.sequence;
                state.broker.observe(&report.slots, now)
            }
            Err(error) => {
                state.silent_reports += 1;
                if state.silent_reports < SILENT_REPORTS {
                    return;
                }
                if state.silent_reports == SILENT_REPORTS {
                    logs::warn(&self.logger, events::ENGINE_UNREACHABLE, &error.to_string());
                }
                state.broker.lose_engine()
            }
        };
        state.settle(outcomes);
    }

    /// Gives the next order; true if the engine's state may have changed.
    async fn order(&self) -> bool {
        let now = self.now();
        let (order, fenced) = {
            let mut state = self.state.lock();
            if state.silent_reports > 0 {
                return false;
            }
            let Some(order) = state.broker.next_order(now) else {
                return false;
            };
            let fenced = engine::FencedOrder {
                order: order.clone(),
                model: state.model.clone(),
                engine: state.name.id.clone(),
                sequence: state.sequence,
                holder: self.settings.instance.clone(),
                fencing_token: FENCING_TOKEN,
            };
            (order, fenced)
        };
        let sequence = fenced.sequence;
        let reply = self.orders.order(fenced).await;
        self.metrics.ordered(&reply);
        self.log_order(&order, sequence, &reply);
        let mut state = self.state.lock();
        match (&reply, &order) {
            (Ok(engine::OrderReply::Accepted), engine_report::AdapterOrder::Unload { name }) => {
                state.broker.unloaded(name);
                true
            }
            (Ok(engine::OrderReply::Accepted), _) => true,
            _ => {
                state.broker.order_failed(&order, self.now());
                false
            }
        }
    }

    fn log_order(
        &self,
        order: &engine_report::AdapterOrder,
        sequence: u64,
        reply: &Result<engine::OrderReply, engine::EngineError>,
    ) {
        let outcome = match reply {
            Ok(reply) => format!("{reply:?}"),
            Err(error) => error.to_string(),
        };
        let (event, adapter) = match order {
            engine_report::AdapterOrder::LoadModel => (events::MODEL_ORDERED, String::new()),
            engine_report::AdapterOrder::Load { name, version } => {
                (events::ADAPTER_ORDERED, format!("{name}@{version}"))
            }
            engine_report::AdapterOrder::Unload { name } => (events::ADAPTER_EVICTED, name.clone()),
        };
        slog::info!(self.logger, "order to the engine";
            "event" => event.number, "name" => event.name, "adapter" => adapter,
            "sequence" => sequence, "outcome" => outcome);
    }

    /// Logs why a request gets no place. A grant is told by the entry's record of the send.
    fn log_refusal(&self, request: &str, reply: &message::PlaceReply, waited: time::Duration) {
        let message::PlaceAnswer::Refused { reason, .. } = reply.answer else {
            return;
        };
        let view = &reply.view;
        slog::info!(self.logger, "no place";
            "event" => events::PLACE_REFUSED.number, "name" => events::PLACE_REFUSED.name,
            "request" => request, "reason" => reason.label(), "waited_ms" => millis(waited),
            "running" => view.running, "backlog_ms" => millis(view.backlog),
            "slot_wait_ms" => millis(view.slot_wait));
    }

    /// Takes what the entry knows of the engine; false if it means an earlier incarnation.
    fn adopt(&self, state: &mut EngineState, engine: &message::EngineSetup) -> bool {
        if engine.name.incarnation < state.name.incarnation {
            return false;
        }
        if engine.name != state.name {
            let incarnation = engine.name.incarnation;
            slog::info!(self.logger, "engine known"; "event" => events::ENGINE_RESTARTED.number,
                "name" => events::ENGINE_RESTARTED.name, "engine" => &engine.name.id,
                "incarnation" => incarnation);
            state.name = engine.name.clone();
            self.wake.notify_one();
        }
        if state.model != engine.model {
            state.model.clone_from(&engine.model);
            self.wake.notify_one();
        }
        state.broker.set_limits(slot_broker::BrokerLimits {
            adapter_slots: usize::try_from(engine.size.adapter_slots).unwrap_or(0),
            parallel_loads: self.settings.parallel_loads,
            batch_slots: usize::try_from(engine.size.batch_slots).unwrap_or(1),
            unstarted: self.settings.unstarted,
        });
        true
    }

    async fn take_place(&self, call: message::PlaceCall) -> message::PlaceReply {
        let now = self.now();
        let id = places::PlaceId {
            entry: call.entry,
            number: call.number,
        };
        let waiting = {
            let mut state = self.state.lock();
            state.release(call.entry, &call.released, now);
            if !self.adopt(&mut state, &call.engine) {
                return message::PlaceReply {
                    answer: message::PlaceAnswer::Refused {
                        reason: message::RefusalReason::OtherEngine,
                        retry_after: time::Duration::ZERO,
                    },
                    view: state.view(now),
                };
            }
            let request = places::PlaceRequest {
                id,
                adapter: call.adapter.map(|adapter| places::AdapterWant {
                    name: adapter.name,
                    version: adapter.version,
                }),
                request: call.request,
                priority: call.priority,
                prompt_tokens: call.prompt_tokens,
                output_tokens: call.output_tokens,
                objective: now + call.objective,
                begin_limit: now + call.begin_limit,
                deadline: now + call.deadline,
            };
            if let Some(outcome) = state.broker.ask(request, now) {
                return message::PlaceReply {
                    answer: outcome.into(),
                    view: state.view(now),
                };
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.push(WaitingPlace {
                id,
                outcome: sender,
            });
            receiver
        };
        self.wake.notify_one();
        let outcome = waiting.await.unwrap_or(places::PlaceOutcome::Refused {
            reason: places::PlaceRefusal::Engine,
            retry_after: time::Duration::ZERO,
        });
        let view = self.state.lock().view(self.now());
        message::PlaceReply {
            answer: outcome.into(),
            view,
        }
    }
}

impl EngineState {
    /// Tells waiting calls their outcomes; a place of a call that is gone is given up.
    fn settle(&mut self, outcomes: Vec<(places::PlaceId, places::PlaceOutcome)>) {
        for (id, outcome) in outcomes {
            let Some(position) = self.waiting.iter().position(|place| place.id == id) else {
                continue;
            };
            let place = self.waiting.swap_remove(position);
            if place.outcome.send(outcome).is_err() {
                self.broker.release(id, units::Timestamp::default());
            }
        }
    }

    fn release(&mut self, entry: u64, numbers: &[u64], now: units::Timestamp) {
        for number in numbers {
            let id = places::PlaceId {
                entry,
                number: *number,
            };
            self.broker.release(id, now);
        }
    }

    fn view(&self, now: units::Timestamp) -> message::EngineView {
        let count = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        let held = self.broker.held();
        message::EngineView {
            incarnation: self.name.incarnation,
            has_model: self.broker.has_model(),
            held: held
                .map(|content| (content.name.clone(), content.version))
                .collect(),
            coming: self.broker.coming(),
            recent: self.broker.recent().map(str::to_owned).collect(),
            slot_wait: self.broker.slot_wait(),
            backlog: self.broker.backlog(now),
            running: count(self.broker.running()),
            entries: count(self.broker.entries(now)),
        }
    }
}

impl service::BrokerHandler for EngineBroker {
    fn place(&self, call: message::PlaceCall) -> BoxFuture<'_, message::PlaceReply> {
        Box::pin(async move {
            let asked = time::Instant::now();
            let request = call.request.clone();
            let reply = self.take_place(call).await;
            let waited = asked.elapsed();
            self.metrics.answered(&reply.answer, waited);
            self.log_refusal(&request, &reply, waited);
            reply
        })
    }

    fn view(&self, call: message::ViewCall) -> message::EngineView {
        let now = self.now();
        let mut state = self.state.lock();
        state.broker.heard(call.entry, now);
        self.adopt(&mut state, &call.engine);
        state.release(call.entry, &call.released, now);
        state.view(now)
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
    let ((), (), served) = tokio::join!(broker.run(), exposed, service::serve(listen, handler));
    served
}

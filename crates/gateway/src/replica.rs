//! State of a replica in one gateway: its record, the engine state from its broker, the load from
//! its responses, and its failures.

use std::{net, sync::Arc, time};

use broker::{client, message};
use decisions::{
    adapter_pooling, engine_speed, failure_rate, relative_speed, replica_choice, replica_load,
    software_version, units,
};
use xxhash_rust::xxh3;

use crate::{catalog, plan, protocol, replica_table, store};

/// Age beyond which a broker's view is ignored.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(2);

/// Engine state reported by its broker.
#[derive(Clone, Debug)]
struct ReceivedView {
    view: message::EngineView,
    /// Adapters of this or of an earlier view, with their hash. Replies may overtake each other, so
    /// the view may bear another hash.
    adapters: message::EngineAdapters,
    adapters_hash: u64,
    received_at: units::Timestamp,
}

/// Replica and its known state.
pub struct Replica {
    pub record: store::ReplicaRecord,
    pub broker: Arc<client::BrokerClient>,
    /// Offset of the record.
    pub offset: u64,
    view: Option<ReceivedView>,
    load: replica_load::ReplicaLoad,
    /// Time of the last view that shows another unloaded adapter than the one before.
    unloaded_at: Option<units::Timestamp>,
    /// Open requests of this gateway at the replica.
    pub outstanding: u32,
    pub failures: failure_rate::FailureRate,
    /// Not chosen until then, unless no replica is reachable.
    pub unreachable_until: units::Timestamp,
    /// Set when the record is missing after an outage of the store; the time until it is kept.
    pub missing_until: Option<units::Timestamp>,
}

/// Replica that was chosen for a request.
#[derive(Clone)]
pub struct ChosenReplica {
    pub id: String,
    pub incarnation: u64,
    pub address: net::SocketAddr,
    pub software: software_version::SoftwareVersion,
    pub broker: Arc<client::BrokerClient>,
    /// Base models that the replica has loaded.
    pub models: Vec<String>,
    /// The adapter is known to be loaded.
    pub is_loaded: bool,
    /// Loaded version of the adapter, if known.
    pub version: Option<u32>,
    /// Expected time until the request starts.
    pub expected_wait: time::Duration,
    /// Hash of its adapters that this entry knows.
    pub adapters_hash: Option<u64>,
    /// Age of the broker's view, for the log.
    pub view_age: Option<time::Duration>,
}

impl Replica {
    /// Creates a replica from its record.
    #[must_use]
    pub fn new(offset: u64, record: store::ReplicaRecord, broker_port: u16) -> Self {
        let broker = protocol::broker_address(record.address, broker_port);
        Self {
            broker: Arc::new(client::BrokerClient::new(broker)),
            record,
            offset,
            view: None,
            load: replica_load::ReplicaLoad::default(),
            unloaded_at: None,
            outstanding: 0,
            failures: failure_rate::FailureRate::default(),
            unreachable_until: units::Timestamp::default(),
            missing_until: None,
        }
    }

    /// Records the load reported by a response, which came `response_time` after its request.
    pub fn record_load(
        &mut self,
        sample: protocol::LoadSample,
        response_time: Option<time::Duration>,
        now: units::Timestamp,
    ) {
        let report = replica_load::LoadReport {
            running: sample.running,
            waiting: sample.waiting,
            slowdown_percent: sample.slowdown_percent,
            response_time,
        };
        self.load.record(report, now);
    }

    /// Usual work time of a plain service's replica, if known.
    #[must_use]
    pub fn work_time(&self, now: units::Timestamp) -> Option<time::Duration> {
        self.load.work_time(now)
    }

    /// Records the engine state reported by the broker.
    pub fn record_view(&mut self, mut view: message::EngineView, now: units::Timestamp) {
        let earlier = self.view.take();
        let stated = view
            .adapters
            .take()
            .map(|stated| (stated, view.adapters_hash));
        let has_unloaded =
            earlier
                .as_ref()
                .zip(stated.as_ref())
                .is_some_and(|(known, (stated, _))| {
                    known.adapters.recent.last() != stated.recent.last()
                });
        let known = earlier.map(|known| (known.adapters, known.adapters_hash));
        let Some((adapters, adapters_hash)) = stated.or(known) else {
            // The adapters that the broker omitted were forgotten when the engine restarted.
            return;
        };
        if has_unloaded {
            self.unloaded_at = Some(now);
        }
        self.view = Some(ReceivedView {
            view,
            adapters,
            adapters_hash,
            received_at: now,
        });
    }

    /// Whether the engine is short of adapter slots, as far as its views tell.
    #[must_use]
    pub fn is_short_of_places(&self, now: units::Timestamp) -> bool {
        let since = self.unloaded_at.map(|unloaded_at| now.since(unloaded_at));
        since.is_some_and(|since| since < adapter_pooling::UNLOAD_MEMORY)
    }

    /// Hash of the adapters that are known, to be sent to the broker.
    #[must_use]
    pub fn adapters_hash(&self) -> Option<u64> {
        self.view.as_ref().map(|known| known.adapters_hash)
    }

    /// Applies a record unless it is older than the current one.
    pub fn update_record(
        &mut self,
        offset: u64,
        record: store::ReplicaRecord,
    ) -> Option<replica_table::ReplicaTableChange> {
        if offset < self.offset {
            return None;
        }
        self.offset = offset;
        self.missing_until = None;
        let has_moved = record.address != self.record.address;
        let is_new = has_moved || record.incarnation != self.record.incarnation;
        let is_draining = record.is_draining && !self.record.is_draining;
        self.record = record;
        if has_moved {
            let port = self.broker.address().port();
            let broker = protocol::broker_address(self.record.address, port);
            self.broker = Arc::new(client::BrokerClient::new(broker));
        }
        if is_new {
            self.unreachable_until = units::Timestamp::default();
            self.view = None;
            self.load = replica_load::ReplicaLoad::default();
            self.unloaded_at = None;
            let (id, address) = (self.record.id.clone(), self.record.address);
            return Some(replica_table::ReplicaTableChange::Listed { id, address });
        }
        let id = self.record.id.clone();
        is_draining.then_some(replica_table::ReplicaTableChange::Draining { id })
    }

    /// Whether it is neither draining nor missing in the store.
    #[must_use]
    pub fn accepts_requests(&self, now: units::Timestamp) -> bool {
        !self.record.is_draining && !self.is_expired(now)
    }

    /// Whether its record is missing and the time for which it was kept is over.
    #[must_use]
    pub fn is_expired(&self, now: units::Timestamp) -> bool {
        self.missing_until.is_some_and(|until| now >= until)
    }

    /// Whether its broker has reported an engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.view.is_some()
    }

    /// Sort key of an order that all entries share.
    #[must_use]
    pub fn address_hash(&self) -> u64 {
        xxh3::xxh3_64(self.record.address.to_string().as_bytes())
    }

    /// Change that reports its removal.
    #[must_use]
    pub fn removal(&self) -> replica_table::ReplicaTableChange {
        replica_table::ReplicaTableChange::Removed {
            id: self.record.id.clone(),
            address: self.record.address,
        }
    }

    /// Chosen replica, without the fields that depend on the request.
    #[must_use]
    pub fn to_chosen(&self, now: units::Timestamp) -> ChosenReplica {
        ChosenReplica {
            id: self.record.id.clone(),
            incarnation: self.record.incarnation,
            address: self.record.address,
            software: self.record.software.clone(),
            broker: Arc::clone(&self.broker),
            models: self.loaded_models(),
            is_loaded: false,
            version: None,
            expected_wait: time::Duration::ZERO,
            adapters_hash: self.adapters_hash(),
            view_age: self.view.as_ref().map(|known| now.since(known.received_at)),
        }
    }

    fn loaded_models(&self) -> Vec<String> {
        let models = self.record.models.iter();
        models.map(|loaded| loaded.name.clone()).collect()
    }

    /// Recent view from the broker, if it is of this incarnation.
    #[must_use]
    pub fn fresh_view(&self, now: units::Timestamp) -> Option<&message::EngineView> {
        self.fresh_state(now).map(|known| &known.view)
    }

    /// Adapters in a recent view.
    fn fresh_adapters(&self, now: units::Timestamp) -> Option<&message::EngineAdapters> {
        self.fresh_state(now).map(|known| &known.adapters)
    }

    fn fresh_state(&self, now: units::Timestamp) -> Option<&ReceivedView> {
        let known = self.view.as_ref()?;
        let is_fresh = now.since(known.received_at) < MAX_VIEW_AGE;
        let incarnation = self.record.incarnation;
        // A broker that no entry has called yet does not know its engine.
        let is_current = incarnation == 0 || known.view.incarnation == incarnation;
        (is_fresh && is_current).then_some(known)
    }

    /// Whether its broker serves a newer incarnation than that of its record.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        let incarnation = self.record.incarnation;
        let view = self.view.as_ref().map(|known| &known.view);
        incarnation != 0 && view.is_some_and(|view| view.incarnation > incarnation)
    }

    /// Whether it can load an adapter.
    pub fn readiness(
        &self,
        plan: &plan::RequestPlan,
        now: units::Timestamp,
    ) -> replica_choice::EngineReadiness {
        if !self.broker.is_reachable(now) {
            replica_choice::EngineReadiness::NoBroker
        } else if self.has_model(plan, now) {
            replica_choice::EngineReadiness::Ready
        } else {
            replica_choice::EngineReadiness::NoModel
        }
    }

    fn has_model(&self, plan: &plan::RequestPlan, now: units::Timestamp) -> bool {
        if let Some(view) = self.fresh_view(now) {
            return view.has_model;
        }
        let generation = plan.request.generation.as_ref();
        generation.is_none_or(|generation| {
            self.record
                .models
                .iter()
                .any(|loaded| loaded.name == generation.model)
        })
    }

    /// Version of the loaded adapter; `None` if it is not loaded.
    pub fn loaded_version(&self, plan: &plan::RequestPlan, now: units::Timestamp) -> Option<u32> {
        let (model, adapter) = plan.adapter()?;
        if let Some(adapters) = self.fresh_adapters(now) {
            let loaded = adapters.loaded.iter().find(|(name, _)| name == adapter);
            return loaded.map(|(_, version)| *version);
        }
        let model = self
            .record
            .models
            .iter()
            .find(|loaded| loaded.name == model)?;
        let loaded = model.adapters.iter().find(|loaded| loaded.name == adapter);
        loaded.map(|loaded| loaded.version)
    }

    /// Location of the request's adapter.
    pub fn adapter_location(
        &self,
        plan: &plan::RequestPlan,
        now: units::Timestamp,
    ) -> replica_choice::AdapterLocation {
        let Some((_, adapter)) = plan.adapter() else {
            return replica_choice::AdapterLocation::Loaded;
        };
        if let Some(version) = self.loaded_version(plan, now)
            && version >= plan.adapter_version
        {
            return replica_choice::AdapterLocation::Loaded;
        }
        let Some(adapters) = self.fresh_adapters(now) else {
            return replica_choice::AdapterLocation::Cold;
        };
        if adapters.loading.iter().any(|name| name == adapter) {
            return replica_choice::AdapterLocation::Loading;
        }
        if adapters.recent.iter().any(|name| name == adapter) {
            replica_choice::AdapterLocation::Warm
        } else {
            replica_choice::AdapterLocation::Cold
        }
    }

    /// Time until it could start another prompt.
    #[must_use]
    pub fn backlog(&self, now: units::Timestamp) -> time::Duration {
        let known = self
            .view
            .as_ref()
            .filter(|_| self.fresh_view(now).is_some());
        known.map_or(time::Duration::ZERO, |known| {
            known
                .view
                .backlog
                .saturating_sub(now.since(known.received_at))
        })
    }

    /// Speed of the engine, as its broker reports it.
    #[must_use]
    pub fn token_times(&self, now: units::Timestamp) -> engine_speed::TokenTimes {
        let view = self.fresh_view(now);
        view.map_or_else(engine_speed::TokenTimes::default, |view| view.token_times)
    }

    /// Replica of a plain service as an option for a request, at a distance in usual request durations.
    /// `usual_work` is the median of the service's work times, if known.
    #[must_use]
    pub fn service_option(
        &self,
        distance: f64,
        usual_work: Option<time::Duration>,
        now: units::Timestamp,
    ) -> replica_choice::ServiceOption {
        let work_time = self.work_time(now);
        let compared = work_time.zip(usual_work);
        let work_ratio = compared.map_or(1.0, |(own, usual)| {
            relative_speed::significant_ratio(own, usual)
        });
        replica_choice::ServiceOption {
            outstanding: self.load.outstanding(now).max(f64::from(self.outstanding)),
            slots: self.record.slots,
            slowdown: self.load.slowdown(now),
            work_ratio,
            work_time,
            is_queueing: self.load.is_queueing(now),
            distance,
            failures: self.failures.rate(now),
        }
    }
}

/// Spec of an engine. An engine that has loaded a base model keeps it.
#[must_use]
pub fn engine_spec(
    replica: &ChosenReplica,
    engine: &catalog::EngineLimits,
    model: &str,
) -> message::EngineSpec {
    let model = replica.models.first().map_or(model, String::as_str);
    message::EngineSpec {
        identity: message::EngineIdentity {
            id: replica.id.clone(),
            incarnation: replica.incarnation,
        },
        capacity: message::EngineCapacity {
            adapter_slots: engine.adapter_capacity(model, &replica.models),
            batch_slots: engine.slots,
        },
        model: model.to_owned(),
        model_load_time: engine.model_load_time(model),
    }
}

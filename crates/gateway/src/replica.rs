//! Replica as one gateway knows it: its record, what its broker and its answers told, and its
//! failures.

use std::{net, sync::Arc, time};

use broker::{client, message};
use decisions::{failure_rate, replica_choice, units};
use xxhash_rust::xxh3;

use crate::{catalog, plan, protocol, replica_table, store};

/// Age beyond which a broker's view is not used.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(2);
/// Age beyond which the load in an answer is not used.
const MAX_SAMPLE_AGE: time::Duration = time::Duration::from_millis(1500);

/// Engine state as its broker told it.
#[derive(Clone, Debug)]
struct ReceivedView {
    view: message::EngineView,
    received_at: units::Timestamp,
}

/// Replica with what is known of it.
pub struct Replica {
    pub record: store::ReplicaRecord,
    pub broker: Arc<client::BrokerClient>,
    /// Offset of the record.
    pub offset: u64,
    view: Option<ReceivedView>,
    sample: Option<(protocol::LoadSample, units::Timestamp)>,
    /// Requests that this gateway has open there.
    pub outstanding: u32,
    pub failures: failure_rate::FailureRate,
    /// Left out until then, unless all are.
    pub unreachable_until: units::Timestamp,
    /// Missing in the newest listing after an outage, and until when it is kept.
    pub missing_until: Option<units::Timestamp>,
}

/// Replica that was chosen for a request.
#[derive(Clone)]
pub struct ChosenReplica {
    pub id: String,
    pub incarnation: u64,
    pub address: net::SocketAddr,
    pub broker: Arc<client::BrokerClient>,
    /// Base model that the replica holds.
    pub model: Option<String>,
    /// The adapter is known to be in a slot.
    pub is_loaded: bool,
    /// Held version of the adapter, as far as known.
    pub version: Option<u32>,
    /// Expected time until the request begins.
    pub expected_wait: time::Duration,
    /// What the broker last told, for the log: age of the view.
    pub view_age: Option<time::Duration>,
}

impl Replica {
    /// Replica of which only its record is known.
    #[must_use]
    pub fn new(offset: u64, record: store::ReplicaRecord, broker_port: u16) -> Self {
        let broker = protocol::broker_address(record.address, broker_port);
        Self {
            broker: Arc::new(client::BrokerClient::new(broker)),
            record,
            offset,
            view: None,
            sample: None,
            outstanding: 0,
            failures: failure_rate::FailureRate::default(),
            unreachable_until: units::Timestamp::default(),
            missing_until: None,
        }
    }

    /// Takes the load that an answer told.
    pub fn record_load(&mut self, sample: protocol::LoadSample, now: units::Timestamp) {
        self.sample = Some((sample, now));
    }

    /// Takes what the broker told of the engine.
    pub fn record_view(&mut self, view: message::EngineView, now: units::Timestamp) {
        self.view = Some(ReceivedView {
            view,
            received_at: now,
        });
    }

    /// Takes a newer record.
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
            self.view = None;
            self.sample = None;
            let (id, address) = (self.record.id.clone(), self.record.address);
            return Some(replica_table::ReplicaTableChange::Listed { id, address });
        }
        let id = self.record.id.clone();
        is_draining.then_some(replica_table::ReplicaTableChange::Draining { id })
    }

    /// Place of the replica in an order that all entries share.
    #[must_use]
    pub fn address_hash(&self) -> u64 {
        xxh3::xxh3_64(self.record.address.to_string().as_bytes())
    }

    /// Change that tells of its removal.
    #[must_use]
    pub fn removal(&self) -> replica_table::ReplicaTableChange {
        replica_table::ReplicaTableChange::Removed {
            id: self.record.id.clone(),
            address: self.record.address,
        }
    }

    /// The replica as a request gets it, without what concerns the request.
    #[must_use]
    pub fn to_chosen(&self, now: units::Timestamp) -> ChosenReplica {
        ChosenReplica {
            id: self.record.id.clone(),
            incarnation: self.record.incarnation,
            address: self.record.address,
            broker: Arc::clone(&self.broker),
            model: self.record.models.first().map(|held| held.name.clone()),
            is_loaded: false,
            version: None,
            expected_wait: time::Duration::ZERO,
            view_age: self.view.as_ref().map(|known| now.since(known.received_at)),
        }
    }

    /// What its broker told lately of this incarnation.
    #[must_use]
    pub fn fresh_view(&self, now: units::Timestamp) -> Option<&message::EngineView> {
        let known = self.view.as_ref()?;
        let is_fresh = now.since(known.received_at) < MAX_VIEW_AGE;
        // A broker that no entry has asked yet knows nothing of its engine.
        (is_fresh && known.view.incarnation == self.record.incarnation).then_some(&known.view)
    }

    /// Whether it can take an adapter.
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
        let need = plan.request.generation.as_ref();
        need.is_none_or(|need| {
            self.record
                .models
                .iter()
                .any(|held| held.name == need.model)
        })
    }

    /// Version of the adapter in a slot; `None` if it is not held.
    pub fn loaded_version(&self, plan: &plan::RequestPlan, now: units::Timestamp) -> Option<u32> {
        let (model, adapter) = plan.adapter()?;
        if let Some(view) = self.fresh_view(now) {
            let held = view.loaded.iter().find(|(name, _)| name == adapter);
            return held.map(|(_, version)| *version);
        }
        let model = self.record.models.iter().find(|held| held.name == model)?;
        let held = model.adapters.iter().find(|held| held.name == adapter);
        held.map(|held| held.version)
    }

    /// Where the adapter of a request is.
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
        let view = self.fresh_view(now);
        if view.is_some_and(|view| view.loading.iter().any(|name| name == adapter)) {
            return replica_choice::AdapterLocation::Loading;
        }
        let is_recent = view.is_some_and(|view| view.recent.iter().any(|name| name == adapter));
        if is_recent {
            replica_choice::AdapterLocation::Warm
        } else {
            replica_choice::AdapterLocation::Cold
        }
    }

    /// Time until it would begin another prompt.
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

    /// The replica of a plain service as an option for a request.
    #[must_use]
    pub fn service_option(
        &self,
        data_centre: &str,
        now: units::Timestamp,
    ) -> replica_choice::ServiceOption {
        let sample = self
            .sample
            .filter(|(_, at)| now.since(*at) < MAX_SAMPLE_AGE)
            .map(|(sample, _)| sample);
        let told = sample.map_or(0, |sample| sample.running + sample.waiting);
        let slowdown = sample.map_or(1.0, |sample| f64::from(sample.slowdown_percent) / 100.0);
        replica_choice::ServiceOption {
            outstanding: self.outstanding.max(told),
            slots: self.record.slots,
            slowdown,
            is_local: self.record.data_centre == data_centre,
            failures: self.failures.rate(now),
        }
    }
}

/// What an engine is to hold. An engine that holds a model keeps it.
#[must_use]
pub fn engine_spec(
    replica: &ChosenReplica,
    engine: &catalog::EngineLimits,
    model: String,
) -> message::EngineSpec {
    message::EngineSpec {
        identity: message::EngineIdentity {
            id: replica.id.clone(),
            incarnation: replica.incarnation,
        },
        capacity: message::EngineCapacity {
            adapter_slots: engine.adapter_slots,
            batch_slots: engine.slots,
        },
        model: replica.model.clone().unwrap_or(model),
    }
}

//! Replicas as one gateway knows them.
//!
//! What the store lists is merged with what answers and brokers tell. A replica that the store
//! lists as leaving, or no longer lists, gets no more requests; after an outage of the store,
//! replicas that are missing are kept for a moment, because those that live are listed again.

use std::{net, sync::Arc, time};

use broker::{client, message};
use decisions::{failure_rate, replica_choice, units};
use xxhash_rust::xxh3;

use crate::{catalog, dialect, plan, store};

/// Time after an outage in which missing replicas are kept.
const RETURN_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Age beyond which a broker's view is not used.
const VIEW_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Age beyond which the load in an answer is not used.
const SAMPLE_LIMIT: time::Duration = time::Duration::from_millis(1500);
/// Time for which a replica that cannot be connected is left out.
const UNREACHABLE_LIMIT: time::Duration = time::Duration::from_millis(1200);

/// Engine state as its broker told it.
#[derive(Clone, Debug)]
struct KnownView {
    view: message::EngineView,
    told_at: units::Timestamp,
}

/// Replica with what is known of it.
pub struct Replica {
    pub record: store::ReplicaRecord,
    pub broker: Arc<client::BrokerClient>,
    offset: u64,
    view: Option<KnownView>,
    sample: Option<(dialect::LoadSample, units::Timestamp)>,
    outstanding: u32,
    failures: failure_rate::FailureRate,
    unreachable_until: units::Timestamp,
    /// Missing in the newest listing after an outage, and until when it is kept.
    missing_until: Option<units::Timestamp>,
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
    pub is_held: bool,
    /// Held version of the adapter, as far as known.
    pub version: Option<u32>,
    /// Expected time until the request begins.
    pub cost: time::Duration,
    /// What the broker last told, for the log: age of the view.
    pub view_age: Option<time::Duration>,
}

/// What changed in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    Listed {
        id: String,
        address: net::SocketAddr,
    },
    Leaving {
        id: String,
    },
    Gone {
        id: String,
        address: net::SocketAddr,
    },
    Unreadable {
        id: String,
    },
}

/// Table of replicas, sorted by id.
pub struct ReplicaTable {
    data_centre: String,
    broker_port: u16,
    replicas: Vec<Replica>,
    /// Offset up to which removals are known.
    listed_to: u64,
}

impl ReplicaTable {
    /// Empty table of a gateway in a data centre.
    #[must_use]
    pub fn new(data_centre: &str, broker_port: u16) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            broker_port,
            replicas: Vec::new(),
            listed_to: 0,
        }
    }

    /// Takes changes from the store. `after_outage` states that the store was away until a moment
    /// ago.
    pub fn apply(
        &mut self,
        batch: store::ChangeBatch<store::ReplicaChange>,
        after_outage: bool,
        now: units::Timestamp,
    ) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        let is_current = batch.next >= self.listed_to;
        let mut listed = Vec::new();
        for (offset, change) in batch.changes {
            match change {
                store::ReplicaChange::Present(record) => {
                    listed.push(record.id.clone());
                    changes.extend(self.list(offset, record));
                }
                store::ReplicaChange::Gone { id } if after_outage => self.miss(&id, offset, now),
                store::ReplicaChange::Gone { id } => changes.extend(self.remove(&id, offset)),
                store::ReplicaChange::Unreadable { id } => {
                    changes.push(MemberChange::Unreadable { id });
                }
            }
        }
        if batch.is_complete && is_current {
            changes.extend(self.drop_missing(&listed, after_outage, now));
        }
        self.listed_to = self.listed_to.max(batch.next);
        changes
    }

    /// Removes replicas whose return was awaited in vain.
    pub fn expire(&mut self, now: units::Timestamp) -> Vec<MemberChange> {
        let is_over = |replica: &Replica| replica.missing_until.is_some_and(|until| now >= until);
        let gone = self.replicas.iter().filter(|replica| is_over(replica));
        let changes = gone.map(Replica::gone).collect();
        self.replicas.retain(|replica| !is_over(replica));
        changes
    }

    /// Whether a replica that was chosen still takes requests.
    #[must_use]
    pub fn takes_requests(&self, id: &str) -> bool {
        let found = self.find(id).ok();
        found.is_some_and(|position| !self.replicas[position].record.is_leaving)
    }

    /// Number of replicas that take requests.
    #[must_use]
    pub fn ready(&self) -> usize {
        let ready = self
            .replicas
            .iter()
            .filter(|replica| !replica.record.is_leaving);
        ready.count()
    }

    /// Replicas of a service, without what concerns a request.
    #[must_use]
    pub fn of_service(&self, service: &str, now: units::Timestamp) -> Vec<ChosenReplica> {
        let replicas = self
            .replicas
            .iter()
            .filter(|replica| replica.record.service == service);
        replicas.map(|replica| replica.chosen(now)).collect()
    }

    /// Largest number of entries that a broker has told.
    #[must_use]
    pub fn entries(&self, now: units::Timestamp) -> Option<u32> {
        let views = self
            .replicas
            .iter()
            .filter_map(|replica| replica.fresh_view(now));
        views.map(|view| view.entries).max()
    }

    /// Chooses a replica for a generation, except those given by their ids.
    #[must_use]
    pub fn choose_engine(
        &self,
        plan: &plan::RequestPlan,
        excluded: &[String],
        now: units::Timestamp,
    ) -> Option<ChosenReplica> {
        let candidates = self.candidates(&plan.service, excluded, now);
        let ranks = ranks(&candidates, plan);
        let shares = self.shares(&candidates, plan);
        let options: Vec<_> = candidates
            .iter()
            .zip(ranks.into_iter().zip(shares))
            .map(|(replica, (rank, share))| self.option(replica, plan, rank, share, now))
            .collect();
        let position = replica_choice::choose(&options)?;
        let replica = candidates[position];
        let mut chosen = replica.chosen(now);
        chosen.version = replica.held_version(plan, now);
        chosen.is_held = options[position].adapter == replica_choice::AdapterPlace::Held;
        chosen.cost = options[position].cost();
        Some(chosen)
    }

    /// Chooses a replica of a plain service, except those given by their ids.
    #[must_use]
    pub fn choose_service(
        &self,
        service: &str,
        excluded: &[String],
        now: units::Timestamp,
    ) -> Option<ChosenReplica> {
        let candidates = self.candidates(service, excluded, now);
        let options: Vec<_> = candidates
            .iter()
            .map(|replica| replica.service_option(&self.data_centre, now))
            .collect();
        let position = replica_choice::choose_service(&options)?;
        Some(candidates[position].chosen(now))
    }

    /// Counts a request that is sent to a replica.
    pub fn sent(&mut self, id: &str) {
        if let Some(replica) = self.find_mut(id) {
            replica.outstanding += 1;
        }
    }

    /// Counts the end of a request at a replica.
    pub fn ended(&mut self, id: &str) {
        if let Some(replica) = self.find_mut(id) {
            replica.outstanding = replica.outstanding.saturating_sub(1);
        }
    }

    /// Counts whether a replica failed a request.
    pub fn observe(&mut self, id: &str, has_failed: bool, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.failures.observe(has_failed, now);
        }
    }

    /// Leaves out a replica that cannot be connected.
    pub fn unreachable(&mut self, id: &str, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.failures.observe(true, now);
            replica.unreachable_until = now + UNREACHABLE_LIMIT;
        }
    }

    /// Leaves out a replica for a moment whose address has another one now or whose instance is
    /// silent.
    pub fn set_aside(&mut self, id: &str, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.unreachable_until = now + UNREACHABLE_LIMIT;
        }
    }

    /// Takes the load that an answer told.
    pub fn sampled(&mut self, id: &str, sample: dialect::LoadSample, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.sample = Some((sample, now));
        }
    }

    /// Takes what a broker told of its engine.
    pub fn viewed(&mut self, id: &str, view: message::EngineView, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.view = Some(KnownView { view, told_at: now });
        }
    }

    fn list(&mut self, offset: u64, record: store::ReplicaRecord) -> Option<MemberChange> {
        let id = record.id.clone();
        match self.find(&id) {
            Ok(position) => self.replicas[position].relist(offset, record),
            Err(position) => {
                let address = record.address;
                let broker = dialect::broker_address(address, self.broker_port);
                let replica = Replica {
                    broker: Arc::new(client::BrokerClient::new(broker)),
                    record,
                    offset,
                    view: None,
                    sample: None,
                    outstanding: 0,
                    failures: failure_rate::FailureRate::default(),
                    unreachable_until: units::Timestamp::default(),
                    missing_until: None,
                };
                self.replicas.insert(position, replica);
                Some(MemberChange::Listed { id, address })
            }
        }
    }

    fn remove(&mut self, id: &str, offset: u64) -> Option<MemberChange> {
        let position = self.find(id).ok()?;
        if offset < self.replicas[position].offset {
            return None;
        }
        Some(self.replicas.remove(position).gone())
    }

    /// Keeps a replica for a moment whose record lapsed during an outage.
    fn miss(&mut self, id: &str, offset: u64, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id)
            && offset >= replica.offset
        {
            replica.missing_until.get_or_insert(now + RETURN_LIMIT);
        }
    }

    fn drop_missing(
        &mut self,
        listed: &[String],
        after_outage: bool,
        now: units::Timestamp,
    ) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for replica in &mut self.replicas {
            if listed.contains(&replica.record.id) {
                replica.missing_until = None;
            } else if after_outage {
                replica.missing_until.get_or_insert(now + RETURN_LIMIT);
            } else {
                changes.push(replica.gone());
            }
        }
        if !after_outage {
            self.replicas
                .retain(|replica| listed.contains(&replica.record.id));
        }
        changes
    }

    fn candidates(
        &self,
        service: &str,
        excluded: &[String],
        now: units::Timestamp,
    ) -> Vec<&Replica> {
        let usable = |replica: &&Replica| {
            replica.record.service == service
                && !replica.record.is_leaving
                && !excluded.contains(&replica.record.id)
                && !self.is_superseded(replica)
        };
        let all: Vec<&Replica> = self.replicas.iter().filter(usable).collect();
        let reachable: Vec<&Replica> = all
            .iter()
            .copied()
            .filter(|replica| now >= replica.unreachable_until)
            .collect();
        if reachable.is_empty() { all } else { reachable }
    }

    /// Whether each candidate is among the replicas for answers of the request's length.
    fn shares(
        &self,
        candidates: &[&Replica],
        plan: &plan::RequestPlan,
    ) -> Vec<replica_choice::LengthShare> {
        let mut order: Vec<u64> = self
            .replicas
            .iter()
            .filter(|replica| replica.record.service == plan.service)
            .map(Replica::position_hash)
            .collect();
        order.sort_unstable();
        let share = |replica: &&Replica| {
            let position = order.partition_point(|hash| *hash < replica.position_hash());
            let serves_long = replica_choice::serves_long(position, order.len());
            if serves_long == plan.is_long {
                replica_choice::LengthShare::Own
            } else {
                replica_choice::LengthShare::Other
            }
        };
        candidates.iter().map(share).collect()
    }

    /// Whether a later replica has the address.
    fn is_superseded(&self, replica: &Replica) -> bool {
        self.replicas.iter().any(|other| {
            other.record.address == replica.record.address
                && other.record.incarnation > replica.record.incarnation
        })
    }

    fn option(
        &self,
        replica: &Replica,
        plan: &plan::RequestPlan,
        rank: u32,
        share: replica_choice::LengthShare,
        now: units::Timestamp,
    ) -> replica_choice::ReplicaOption {
        let view = replica.fresh_view(now);
        let adapter = replica.adapter_place(plan, now);
        replica_choice::ReplicaOption {
            adapter,
            readiness: replica.readiness(plan, now),
            share,
            slot_wait: view.map_or(time::Duration::ZERO, |view| view.slot_wait),
            backlog: replica.backlog(now),
            is_local: replica.record.data_centre == self.data_centre,
            failures: replica.failures.part(now),
            rank,
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.replicas
            .binary_search_by(|replica| replica.record.id.as_str().cmp(id))
    }

    fn find_mut(&mut self, id: &str) -> Option<&mut Replica> {
        let position = self.find(id).ok()?;
        self.replicas.get_mut(position)
    }
}

impl Replica {
    fn relist(&mut self, offset: u64, record: store::ReplicaRecord) -> Option<MemberChange> {
        if offset < self.offset {
            return None;
        }
        self.offset = offset;
        self.missing_until = None;
        let is_new = record.incarnation != self.record.incarnation;
        let is_leaving = record.is_leaving && !self.record.is_leaving;
        self.record = record;
        if is_new {
            self.view = None;
            self.sample = None;
            let (id, address) = (self.record.id.clone(), self.record.address);
            return Some(MemberChange::Listed { id, address });
        }
        let id = self.record.id.clone();
        is_leaving.then_some(MemberChange::Leaving { id })
    }

    /// Place of the replica in an order that all entries share.
    fn position_hash(&self) -> u64 {
        xxh3::xxh3_64(self.record.address.to_string().as_bytes())
    }

    fn gone(&self) -> MemberChange {
        MemberChange::Gone {
            id: self.record.id.clone(),
            address: self.record.address,
        }
    }

    fn chosen(&self, now: units::Timestamp) -> ChosenReplica {
        ChosenReplica {
            id: self.record.id.clone(),
            incarnation: self.record.incarnation,
            address: self.record.address,
            broker: Arc::clone(&self.broker),
            model: self.record.models.first().map(|held| held.name.clone()),
            is_held: false,
            version: None,
            cost: time::Duration::ZERO,
            view_age: self.view.as_ref().map(|known| now.since(known.told_at)),
        }
    }

    fn fresh_view(&self, now: units::Timestamp) -> Option<&message::EngineView> {
        let known = self.view.as_ref()?;
        let is_fresh = now.since(known.told_at) < VIEW_LIMIT;
        // A broker that no entry has asked yet knows nothing of its engine.
        (is_fresh && known.view.incarnation == self.record.incarnation).then_some(&known.view)
    }

    fn readiness(
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
    fn held_version(&self, plan: &plan::RequestPlan, now: units::Timestamp) -> Option<u32> {
        let (model, adapter) = plan.adapter()?;
        if let Some(view) = self.fresh_view(now) {
            let held = view.held.iter().find(|(name, _)| name == adapter);
            return held.map(|(_, version)| *version);
        }
        let model = self.record.models.iter().find(|held| held.name == model)?;
        let held = model.adapters.iter().find(|held| held.name == adapter);
        held.map(|held| held.version)
    }

    fn adapter_place(
        &self,
        plan: &plan::RequestPlan,
        now: units::Timestamp,
    ) -> replica_choice::AdapterPlace {
        let Some((_, adapter)) = plan.adapter() else {
            return replica_choice::AdapterPlace::Held;
        };
        if let Some(version) = self.held_version(plan, now)
            && version >= plan.adapter_version
        {
            return replica_choice::AdapterPlace::Held;
        }
        let view = self.fresh_view(now);
        if view.is_some_and(|view| view.coming.iter().any(|name| name == adapter)) {
            return replica_choice::AdapterPlace::Coming;
        }
        let is_warm = view.is_some_and(|view| view.recent.iter().any(|name| name == adapter));
        if is_warm {
            replica_choice::AdapterPlace::Warm
        } else {
            replica_choice::AdapterPlace::Cold
        }
    }

    fn backlog(&self, now: units::Timestamp) -> time::Duration {
        let known = self
            .view
            .as_ref()
            .filter(|_| self.fresh_view(now).is_some());
        known.map_or(time::Duration::ZERO, |known| {
            known.view.backlog.saturating_sub(now.since(known.told_at))
        })
    }

    fn service_option(
        &self,
        data_centre: &str,
        now: units::Timestamp,
    ) -> replica_choice::ServiceOption {
        let sample = self
            .sample
            .filter(|(_, at)| now.since(*at) < SAMPLE_LIMIT)
            .map(|(sample, _)| sample);
        let told = sample.map_or(0, |sample| sample.running + sample.waiting);
        let pace = sample.map_or(1.0, |sample| f64::from(sample.pace_percent) / 100.0);
        replica_choice::ServiceOption {
            outstanding: self.outstanding.max(told),
            slots: self.record.slots,
            pace,
            is_local: self.record.data_centre == data_centre,
            failures: self.failures.part(now),
        }
    }
}

/// What an engine is to hold. An engine that holds a model keeps it.
#[must_use]
pub fn engine_setup(
    replica: &ChosenReplica,
    engine: &catalog::EngineLimits,
    model: String,
) -> message::EngineSetup {
    message::EngineSetup {
        name: message::EngineName {
            id: replica.id.clone(),
            incarnation: replica.incarnation,
        },
        size: message::EngineSize {
            adapter_slots: engine.adapter_slots,
            batch_slots: engine.slots,
        },
        model: replica.model.clone().unwrap_or(model),
    }
}

/// Position of each replica in the order of the adapter's hash. The address is hashed, because it
/// outlives restarts of the replica and with them the adapters on its disk.
fn ranks(replicas: &[&Replica], plan: &plan::RequestPlan) -> Vec<u32> {
    let Some((_, adapter)) = plan.adapter() else {
        return vec![0; replicas.len()];
    };
    let seed = xxh3::xxh3_64(adapter.as_bytes());
    let mut order: Vec<(u64, usize)> = replicas
        .iter()
        .enumerate()
        .map(|(position, replica)| {
            let address = replica.record.address.to_string();
            (xxh3::xxh3_64_with_seed(address.as_bytes(), seed), position)
        })
        .collect();
    order.sort_unstable();
    let mut ranks = vec![0; replicas.len()];
    for (rank, (_, position)) in (0..).zip(order) {
        ranks[position] = rank;
    }
    ranks
}

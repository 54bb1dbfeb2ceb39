//! Adapter slots and prompt backlog of one engine, shared by all entries.
//!
//! Entries ask for a place before they send a request to the engine. A place holds the request's
//! adapter in its slot until it is released. Loads are ordered one by one, the adapter of the most
//! urgent waiting request first; the least recently used adapter without a place makes way.
//! Load: entries that compete for the few slots of an engine, with stale views of each other.
//!
//! The engine gets a prompt only when it has begun almost all earlier ones, so that the order of the
//! rest is decided here: requests that can still begin within their objective come first, those that
//! cannot wait for a quiet moment. Load: a burst beyond what the engine reads, under which a queue
//! in order of arrival would make every request late.

use std::{collections::VecDeque, time};

use crate::{start_times, units};

/// Adapters that the engine is assumed to load quickly again.
const RECENT_ADAPTERS: usize = 30;
/// Time after which the places of a silent entry are released.
const ENTRY_SILENCE: time::Duration = time::Duration::from_millis(2500);
/// Time after which a load that is not reported is ordered again.
const LOAD_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Time after which a model that is not reported is ordered again.
const MODEL_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Pause for a caller while an engine has no model.
const MODEL_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Wait before an adapter whose load was refused is ordered again.
const LOAD_BACKOFF: time::Duration = time::Duration::from_millis(300);

/// Size of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrokerLimits {
    pub adapter_slots: usize,
    /// Loads under way at the same time.
    pub parallel_loads: usize,
    /// Requests that run at the same time.
    pub batch_slots: usize,
    /// Requests without an event that the engine may have.
    pub unstarted: u32,
}

/// Place of one request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PlaceId {
    /// Incarnation of the entry.
    pub entry: u64,
    pub number: u64,
}

/// Adapter with the lowest version that will do.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AdapterWant {
    pub name: String,
    /// 0 for any version.
    pub version: u32,
}

/// Adapter in a slot.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlotContent {
    pub name: String,
    pub version: u32,
}

/// Request for a place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceRequest {
    pub id: PlaceId,
    pub adapter: Option<AdapterWant>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The request is on time if it begins by then.
    pub objective: units::Timestamp,
    /// The request is of no use to its caller if it begins later.
    pub deadline: units::Timestamp,
}

/// Reason why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceRefusal {
    /// The prompts ahead take longer than the request can wait.
    Backlog,
    /// All slots are taken by adapters in use.
    Slots,
    /// The adapter did not arrive in time.
    Late,
    /// The engine restarted or cannot be reached.
    Engine,
}

/// Outcome of a request for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceOutcome {
    /// The adapter's version in the slot, if the request names an adapter.
    Granted { version: Option<u32> },
    Refused {
        reason: PlaceRefusal,
        retry_after: time::Duration,
    },
}

/// Refusal while an engine has no model.
const NO_MODEL: PlaceOutcome = PlaceOutcome::Refused {
    reason: PlaceRefusal::Engine,
    retry_after: MODEL_PAUSE,
};

/// Order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdapterOrder {
    /// Load the base model into an engine that holds none.
    LoadModel,
    Load {
        name: String,
        version: u32,
    },
    Unload {
        name: String,
    },
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotReport {
    /// Start of the engine; a new one means that all slots are empty.
    pub incarnation: u64,
    /// The engine holds the base model.
    pub has_model: bool,
    /// The engine holds no model at all.
    pub is_empty: bool,
    /// An order is being carried out.
    pub is_busy: bool,
    pub held: Vec<SlotContent>,
    pub coming: Vec<SlotContent>,
    /// Requests that have made no event yet.
    pub unstarted: u32,
}

#[derive(Debug)]
struct Slot {
    content: SlotContent,
    places: u32,
    used_at: units::Timestamp,
}

#[derive(Debug)]
struct Loading {
    name: String,
    ordered_at: units::Timestamp,
}

#[derive(Debug)]
struct Place {
    id: PlaceId,
    adapter: Option<String>,
}

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    heard_at: units::Timestamp,
}

/// Slots and places of one engine.
#[derive(Debug)]
pub struct SlotBroker {
    limits: BrokerLimits,
    incarnation: u64,
    /// The engine has reported since this broker started.
    is_known: bool,
    has_model: bool,
    /// A model may be ordered: the engine is empty and carries out no order.
    can_load_model: bool,
    model_ordered_at: Option<units::Timestamp>,
    /// Sorted by name.
    slots: Vec<Slot>,
    loading: Vec<Loading>,
    /// Adapters whose load was refused, and until when they wait.
    refused: Vec<(String, units::Timestamp)>,
    waiting: Vec<PlaceRequest>,
    /// Sorted by id.
    places: Vec<Place>,
    recent: VecDeque<String>,
    entries: Vec<Entry>,
    starts: start_times::StartTimes,
}

impl SlotBroker {
    /// Broker of an engine of which nothing is known yet.
    #[must_use]
    pub fn new(limits: BrokerLimits) -> Self {
        Self {
            limits,
            incarnation: 0,
            is_known: false,
            has_model: false,
            can_load_model: false,
            model_ordered_at: None,
            slots: Vec::new(),
            loading: Vec::new(),
            refused: Vec::new(),
            waiting: Vec::new(),
            places: Vec::new(),
            recent: VecDeque::new(),
            entries: Vec::new(),
            starts: start_times::StartTimes::default(),
        }
    }

    /// Takes the size of the engine.
    pub fn set_limits(&mut self, limits: BrokerLimits) {
        self.limits = limits;
    }

    /// Notes that an entry is alive.
    pub fn heard(&mut self, entry: u64, now: units::Timestamp) {
        match self
            .entries
            .iter_mut()
            .find(|held| held.incarnation == entry)
        {
            Some(held) => held.heard_at = now,
            None => self.entries.push(Entry {
                incarnation: entry,
                heard_at: now,
            }),
        }
    }

    /// Asks for a place; `None` while its adapter has to be loaded.
    pub fn ask(&mut self, request: PlaceRequest, now: units::Timestamp) -> Option<PlaceOutcome> {
        self.heard(request.id.entry, now);
        if !self.is_known {
            self.waiting.push(request);
            return None;
        }
        if !self.has_model {
            return Some(NO_MODEL);
        }
        let backlog = self.backlog(now);
        if now + backlog >= request.deadline {
            return Some(PlaceOutcome::Refused {
                reason: PlaceRefusal::Backlog,
                retry_after: backlog / 2,
            });
        }
        let Some(want) = &request.adapter else {
            return self.grant_or_wait(request, now);
        };
        if self.is_usable(want) {
            return self.grant_or_wait(request, now);
        }
        if !self.can_make_room(want) {
            return Some(PlaceOutcome::Refused {
                reason: PlaceRefusal::Slots,
                retry_after: LOAD_BACKOFF,
            });
        }
        self.waiting.push(request);
        None
    }

    /// Gives up a place, or a wait for one.
    pub fn release(&mut self, id: PlaceId, now: units::Timestamp) {
        self.waiting.retain(|request| request.id != id);
        let Ok(position) = self.places.binary_search_by_key(&id, |place| place.id) else {
            return;
        };
        let place = self.places.remove(position);
        let Some(name) = place.adapter else { return };
        if let Ok(position) = self.find(&name) {
            let slot = &mut self.slots[position];
            slot.places = slot.places.saturating_sub(1);
            slot.used_at = now;
        }
    }

    /// Takes the engine's report and returns what is decided by it.
    pub fn observe(
        &mut self,
        report: &SlotReport,
        now: units::Timestamp,
    ) -> Vec<(PlaceId, PlaceOutcome)> {
        if report.incarnation != self.incarnation {
            self.restart(report.incarnation);
        }
        self.is_known = true;
        self.has_model = report.has_model;
        self.can_load_model = report.is_empty && !report.is_busy;
        self.starts.observe(report.unstarted, now);
        self.loading.retain(|loading| {
            let is_coming = report
                .coming
                .iter()
                .any(|content| content.name == loading.name);
            is_coming || now.since(loading.ordered_at) < LOAD_LIMIT
        });
        self.adopt(&report.held, now);
        self.adopt_coming(&report.coming, now);
        self.decide(now)
    }

    /// Outcomes of waiting requests whose adapter is held or whose time is over.
    pub fn decide(&mut self, now: units::Timestamp) -> Vec<(PlaceId, PlaceOutcome)> {
        self.expire(now);
        let mut outcomes = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|request| self.order(request, now));
        for request in waiting {
            if self.is_known && !self.has_model {
                outcomes.push((request.id, NO_MODEL));
            } else if self.is_startable(&request) && self.is_free() {
                outcomes.push((request.id, self.grant(&request, now)));
            } else if now >= request.deadline {
                let is_startable = self.is_startable(&request);
                outcomes.push((request.id, self.late(is_startable, now)));
            } else {
                self.waiting.push(request);
            }
        }
        outcomes
    }

    /// Refuses all waiting requests, because the engine cannot be reached.
    pub fn lose_engine(&mut self) -> Vec<(PlaceId, PlaceOutcome)> {
        let refused = PlaceOutcome::Refused {
            reason: PlaceRefusal::Engine,
            retry_after: LOAD_BACKOFF,
        };
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .map(|request| (request.id, refused))
            .collect()
    }

    /// Next order to the engine, if one is due. An unload makes way for a load that follows.
    pub fn next_order(&mut self, now: units::Timestamp) -> Option<AdapterOrder> {
        if !self.has_model {
            return self.model_order(now);
        }
        if self.loading.len() >= self.limits.parallel_loads {
            return None;
        }
        let want = self.next_load(now)?;
        if self.taken() >= self.limits.adapter_slots {
            let name = self.evictable(&want)?;
            return Some(AdapterOrder::Unload { name });
        }
        self.loading.push(Loading {
            name: want.name.clone(),
            ordered_at: now,
        });
        Some(AdapterOrder::Load {
            name: want.name,
            version: want.version,
        })
    }

    fn model_order(&mut self, now: units::Timestamp) -> Option<AdapterOrder> {
        let is_ordered = self
            .model_ordered_at
            .is_some_and(|at| now.since(at) < MODEL_LIMIT);
        if is_ordered || !self.can_load_model {
            return None;
        }
        self.model_ordered_at = Some(now);
        Some(AdapterOrder::LoadModel)
    }

    /// Whether the engine holds the base model.
    #[must_use]
    pub fn has_model(&self) -> bool {
        self.has_model
    }

    /// Notes that the engine refused an order, or that its answer was lost.
    pub fn order_failed(&mut self, order: &AdapterOrder, now: units::Timestamp) {
        let AdapterOrder::Load { name, .. } = order else {
            return;
        };
        self.loading.retain(|loading| loading.name != *name);
        self.refused.retain(|(held, _)| held != name);
        self.refused.push((name.clone(), now + LOAD_BACKOFF));
    }

    /// Notes that the engine has dropped an adapter.
    pub fn unloaded(&mut self, name: &str) {
        if let Ok(position) = self.find(name) {
            self.slots.remove(position);
        }
        self.remember(name);
    }

    /// Time until the engine would begin another prompt that can be on time.
    #[must_use]
    pub fn backlog(&self, now: units::Timestamp) -> time::Duration {
        let timely = self
            .waiting
            .iter()
            .filter(|request| !self.is_late(request, now));
        let timely = u32::try_from(timely.count()).unwrap_or(u32::MAX);
        let beyond = (self.places.len() + 1).saturating_sub(self.limits.batch_slots);
        let beyond = u32::try_from(beyond).unwrap_or(u32::MAX);
        let ahead = self.starts.unstarted().saturating_add(timely);
        self.starts.interval() * ahead.saturating_add(beyond)
    }

    /// Adapters in slots, sorted by name.
    pub fn held(&self) -> impl Iterator<Item = &SlotContent> {
        self.slots.iter().map(|slot| &slot.content)
    }

    /// Names of adapters that the engine held recently.
    pub fn recent(&self) -> impl Iterator<Item = &str> {
        self.recent.iter().map(String::as_str)
    }

    /// Slots that are free or whose adapter is idle, less those that loads will take.
    #[must_use]
    pub fn room(&self) -> usize {
        let idle = self.slots.iter().filter(|slot| slot.places == 0).count();
        let free = self.limits.adapter_slots.saturating_sub(self.taken());
        let wanted = self.distinct_wants();
        (idle + free).saturating_sub(wanted)
    }

    /// Places that are taken.
    #[must_use]
    pub fn running(&self) -> usize {
        self.places.len()
    }

    /// Entries heard of lately.
    #[must_use]
    pub fn entries(&self, now: units::Timestamp) -> usize {
        let heard = self
            .entries
            .iter()
            .filter(|entry| now.since(entry.heard_at) < ENTRY_SILENCE);
        heard.count()
    }

    /// Whether a load or a prompt is under way or due.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let is_loading = !self.has_model || !self.loading.is_empty();
        is_loading || !self.waiting.is_empty() || self.starts.unstarted() > 0
    }

    /// Grants a place if the engine is free and nobody waits for it.
    fn grant_or_wait(
        &mut self,
        request: PlaceRequest,
        now: units::Timestamp,
    ) -> Option<PlaceOutcome> {
        let is_first = !self.waiting.iter().any(|held| self.is_startable(held));
        if is_first && self.is_free() {
            return Some(self.grant(&request, now));
        }
        self.waiting.push(request);
        None
    }

    /// Position of a waiting request: those that can be on time first, by urgency and objective.
    fn order(&self, request: &PlaceRequest, now: units::Timestamp) -> (bool, u8, units::Timestamp) {
        let is_late = self.is_late(request, now);
        (is_late, request.priority, request.objective)
    }

    /// Whether a request cannot begin within its objective any more.
    fn is_late(&self, request: &PlaceRequest, now: units::Timestamp) -> bool {
        now + self.starts.interval() > request.objective
    }

    /// Whether the engine can begin another prompt.
    fn is_free(&self) -> bool {
        let is_reading = self.starts.unstarted() >= self.limits.unstarted;
        !is_reading && self.places.len() < self.limits.batch_slots
    }

    /// Whether all that a request needs is at the engine.
    fn is_startable(&self, request: &PlaceRequest) -> bool {
        let want = request.adapter.as_ref();
        self.is_known && want.is_none_or(|want| self.is_usable(want))
    }

    /// Refusal of a request that has waited for as long as it can.
    fn late(&self, is_startable: bool, now: units::Timestamp) -> PlaceOutcome {
        let (reason, retry_after) = if is_startable {
            (PlaceRefusal::Backlog, self.backlog(now))
        } else {
            (PlaceRefusal::Late, LOAD_BACKOFF)
        };
        PlaceOutcome::Refused {
            reason,
            retry_after,
        }
    }

    fn grant(&mut self, request: &PlaceRequest, now: units::Timestamp) -> PlaceOutcome {
        self.starts.granted();
        let mut version = None;
        if let Some(want) = &request.adapter
            && let Ok(position) = self.find(&want.name)
        {
            let slot = &mut self.slots[position];
            slot.places += 1;
            slot.used_at = now;
            version = Some(slot.content.version);
        }
        let place = Place {
            id: request.id,
            adapter: request.adapter.as_ref().map(|want| want.name.clone()),
        };
        if let Err(position) = self.places.binary_search_by_key(&place.id, |held| held.id) {
            self.places.insert(position, place);
        }
        PlaceOutcome::Granted { version }
    }

    /// Adapter of the most urgent waiting request that is not on its way.
    fn next_load(&self, now: units::Timestamp) -> Option<AdapterWant> {
        let due = self.waiting.iter().filter_map(|request| {
            let want = request.adapter.as_ref()?;
            let is_loading = self.loading.iter().any(|loading| loading.name == want.name);
            let is_refused = self
                .refused
                .iter()
                .any(|(name, until)| *name == want.name && now < *until);
            let is_due = !is_loading && !is_refused && !self.is_usable(want);
            is_due.then_some((self.order(request, now), want))
        });
        let first = due.min_by_key(|(order, _)| *order);
        first.map(|(_, want)| want.clone())
    }

    /// Idle adapter that makes way for another one: the one that was used least recently, or the
    /// older version of the wanted one itself.
    fn evictable(&self, want: &AdapterWant) -> Option<String> {
        let is_wanted = |name: &str| {
            self.waiting
                .iter()
                .filter_map(|request| request.adapter.as_ref())
                .any(|want| want.name == name)
        };
        let idle = || self.slots.iter().filter(|slot| slot.places == 0);
        let other = idle()
            .filter(|slot| !is_wanted(&slot.content.name))
            .min_by_key(|slot| slot.used_at);
        let own = || idle().find(|slot| slot.content.name == want.name);
        other.or_else(own).map(|slot| slot.content.name.clone())
    }

    fn can_make_room(&self, want: &AdapterWant) -> bool {
        let is_awaited = self.loading.iter().any(|loading| loading.name == want.name)
            || self.find(&want.name).is_ok()
            || self
                .waiting
                .iter()
                .filter_map(|request| request.adapter.as_ref())
                .any(|held| held.name == want.name);
        is_awaited || self.room() > 0
    }

    fn distinct_wants(&self) -> usize {
        let mut names: Vec<&str> = self
            .waiting
            .iter()
            .filter_map(|request| request.adapter.as_ref())
            .map(|want| want.name.as_str())
            .filter(|name| self.find(name).is_err())
            .filter(|name| !self.loading.iter().any(|loading| loading.name == *name))
            .collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }

    /// Slots that are held or that loads will take. A newer version takes one of its own until it
    /// replaces the held one.
    fn taken(&self) -> usize {
        self.slots.len() + self.loading.len()
    }

    fn is_usable(&self, want: &AdapterWant) -> bool {
        let is_loading = self.loading.iter().any(|loading| loading.name == want.name);
        let held = self.find(&want.name).ok();
        held.is_some_and(|position| {
            !is_loading && self.slots[position].content.version >= want.version
        })
    }

    fn adopt(&mut self, held: &[SlotContent], now: units::Timestamp) {
        let gone: Vec<String> = self
            .slots
            .iter()
            .filter(|slot| !held.iter().any(|content| content.name == slot.content.name))
            .map(|slot| slot.content.name.clone())
            .collect();
        for name in gone {
            self.unloaded(&name);
        }
        for content in held {
            match self.find(&content.name) {
                Ok(position) if self.slots[position].content.version < content.version => {
                    self.slots[position].content.version = content.version;
                    self.loading.retain(|loading| loading.name != content.name);
                }
                Ok(_) => {}
                Err(position) => {
                    self.loading.retain(|loading| loading.name != content.name);
                    self.recent.retain(|name| *name != content.name);
                    let slot = Slot {
                        content: content.clone(),
                        places: self.places_of(&content.name),
                        used_at: now,
                    };
                    self.slots.insert(position, slot);
                }
            }
        }
    }

    /// Counts loads that an earlier broker of this engine has ordered.
    fn adopt_coming(&mut self, coming: &[SlotContent], now: units::Timestamp) {
        for content in coming {
            let is_known = self
                .loading
                .iter()
                .any(|loading| loading.name == content.name);
            if !is_known {
                self.loading.push(Loading {
                    name: content.name.clone(),
                    ordered_at: now,
                });
            }
        }
    }

    fn places_of(&self, name: &str) -> u32 {
        let places = self
            .places
            .iter()
            .filter(|place| place.adapter.as_deref() == Some(name));
        u32::try_from(places.count()).unwrap_or(u32::MAX)
    }

    fn expire(&mut self, now: units::Timestamp) {
        self.entries
            .retain(|entry| now.since(entry.heard_at) < ENTRY_SILENCE);
        let entries = &self.entries;
        let lost: Vec<PlaceId> = self
            .places
            .iter()
            .map(|place| place.id)
            .chain(self.waiting.iter().map(|request| request.id))
            .filter(|id| !entries.iter().any(|entry| entry.incarnation == id.entry))
            .collect();
        for id in lost {
            self.release(id, now);
        }
        self.refused.retain(|(_, until)| now < *until);
    }

    fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.has_model = false;
        self.can_load_model = false;
        self.model_ordered_at = None;
        self.slots.clear();
        self.loading.clear();
        self.refused.clear();
        self.places.clear();
        self.recent.clear();
        self.starts = start_times::StartTimes::default();
    }

    fn remember(&mut self, name: &str) {
        self.recent.retain(|held| held != name);
        self.recent.push_back(name.to_owned());
        if self.recent.len() > RECENT_ADAPTERS {
            self.recent.pop_front();
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|slot| slot.content.name.as_str().cmp(name))
    }
}

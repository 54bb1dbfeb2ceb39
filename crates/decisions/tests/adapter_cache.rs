//! Adapter cache of one engine.

use decisions::{adapter_cache, eviction, ids, units};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: units::Timestamp = units::Timestamp(1_000_000);

fn adapter(number: u64) -> ids::AdapterId {
    ids::AdapterId(number)
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn policies() -> [Box<dyn eviction::EvictionPolicy>; 3] {
    [
        Box::new(eviction::LeastRecentlyUsed),
        Box::new(eviction::DemandScarcity),
        Box::new(eviction::CooperativeCache),
    ]
}

fn full_cache(
    policy: Box<dyn eviction::EvictionPolicy>,
    count: u64,
) -> adapter_cache::AdapterCache {
    let mut cache = adapter_cache::AdapterCache::new(usize::try_from(count).unwrap(), policy);
    let adapters: Vec<_> = (0..count).map(adapter).collect();
    cache.adopt(&adapters, NOW);
    cache
}

// Guards against a load order in which the request with the earliest deadline waits for others.
#[test]
fn loads_follow_the_earliest_deadline() {
    let policy = Box::new(eviction::DemandScarcity);
    let mut cache = adapter_cache::AdapterCache::new(3, policy);
    for (number, deadline) in [(1, 30), (2, 10), (3, 20), (1, 5)] {
        cache.request(adapter(number), units::Timestamp(deadline), NOW);
    }
    assert_eq!(cache.waiting_loads(), 3);
    let order: Vec<_> = (0..3)
        .map(|_| cache.next_load(NOW, &mut rng()).unwrap().adapter.0)
        .collect();
    assert_eq!(order, [1, 2, 3]);
    assert_eq!(cache.waiting_loads(), 0);
}

// Guards against eviction of an adapter that is in demand and has no copy elsewhere.
#[test]
fn demand_and_scarcity_decide_the_eviction() {
    let mut cache = full_cache(Box::new(eviction::DemandScarcity), 3);
    for number in [0, 0, 0, 1, 1, 2] {
        cache.request(adapter(number), NOW, NOW);
    }
    cache.set_copies(adapter(0), 5, NOW);
    cache.request(adapter(9), NOW, NOW);
    let plan = cache.next_load(NOW, &mut rng()).unwrap();
    assert_eq!(plan.evict, Some(adapter(0)));
}

// Guards against a cooperative cache that duplicates what neighbours hold.
#[test]
fn cooperative_admission_falls_with_availability() {
    let usage = |copies_elsewhere| eviction::AdapterUsage {
        rate: 0.5,
        copies_elsewhere,
        last_used: NOW,
    };
    let policy: Box<dyn eviction::EvictionPolicy> = Box::new(eviction::CooperativeCache);
    assert!(policy.admits(&usage(0), 0.49));
    assert!(!policy.admits(&usage(1), 0.49));
    assert!(policy.value(&usage(0), NOW) > policy.value(&usage(1), NOW));
}

// Guards against a failing adapter that is loaded again at once and uses up the weight store.
#[test]
fn failed_loads_back_off_exponentially() {
    let mut cache = adapter_cache::AdapterCache::new(1, Box::new(eviction::DemandScarcity));
    cache.request(adapter(1), NOW, NOW);
    let mut now = NOW;
    for exponent in 0..8 {
        let plan = cache.next_load(now, &mut rng()).unwrap();
        let next = cache.load_failed(&plan, now, &mut rng()).unwrap();
        let backoff = (250_000_u64 << exponent).min(16_000_000);
        assert!((backoff..backoff * 3 / 2).contains(&(next.0 - now.0)));
        assert_eq!(
            cache.next_load(units::Timestamp(next.0 - 1), &mut rng()),
            None
        );
        now = next;
    }
    assert_eq!(cache.failures(adapter(1)), 8);
}

// Guards against pins, residents and replies of an engine that has since restarted cold: a late
// release would take away the pin of a newer request.
#[test]
fn cold_restart_resets_slots_and_pins() {
    let mut cache = adapter_cache::AdapterCache::new(1, Box::new(eviction::DemandScarcity));
    cache.request(adapter(0), NOW, NOW);
    let old_plan = cache.next_load(NOW, &mut rng()).unwrap();
    cache.loaded(&old_plan, NOW);
    let old_pin = cache.pin(adapter(0), NOW).unwrap();
    cache.reset(1);
    assert!(cache.resident().is_empty());
    cache.request(adapter(0), NOW, NOW);
    let plan = cache.next_load(NOW, &mut rng()).unwrap();
    cache.loaded(&old_plan, NOW);
    assert!(cache.pin(adapter(0), NOW).is_none());
    cache.loaded(&plan, NOW);
    let pin = cache.pin(adapter(0), NOW).unwrap();
    cache.unpin(old_pin, NOW);
    assert_eq!(cache.pins(adapter(0)), 1);
    cache.unpin(pin, NOW);
    assert_eq!(cache.pins(adapter(0)), 0);
}

// Guards against a load kept ahead of others by a request that has left the queue.
#[test]
fn a_deadline_moves_back_when_its_request_leaves() {
    let mut cache = adapter_cache::AdapterCache::new(1, Box::new(eviction::DemandScarcity));
    cache.request(adapter(1), units::Timestamp(10), NOW);
    cache.request(adapter(2), units::Timestamp(20), NOW);
    cache.set_deadline(adapter(1), Some(units::Timestamp(30)));
    assert_eq!(
        cache.next_load(NOW, &mut rng()).unwrap().adapter,
        adapter(2)
    );
}

// Guards against a prefetch that displaces adapters of similar value or delays a waiting load.
#[test]
fn prefetch_needs_a_clear_gain_and_no_waiting_load() {
    let mut cache = full_cache(Box::new(eviction::DemandScarcity), 2);
    for number in [0, 0, 1] {
        cache.request(adapter(number), NOW, NOW);
    }
    let hot = |rate| adapter_cache::HotAdapter {
        adapter: adapter(7),
        rate,
        copies: 1,
    };
    assert_eq!(cache.prefetch(&[hot(0.08)], NOW), None);
    cache.request(adapter(9), NOW, NOW);
    assert_eq!(cache.prefetch(&[hot(10.0)], NOW), None);
    cache.set_deadline(adapter(9), None);
    let plan = cache.prefetch(&[hot(10.0)], NOW).unwrap();
    assert_eq!(plan.evict, Some(adapter(1)));
}

#[derive(Clone, Debug)]
enum Step {
    Request(u64),
    Pin(u64),
    Unpin(prop::sample::Index),
    Load,
    Loaded(prop::sample::Index),
    Failed(prop::sample::Index),
    Prefetch(u64),
    Reset,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = any::<prop::sample::Index>;
    let step = prop_oneof![
        4 => (0..6_u64).prop_map(Step::Request),
        4 => (0..6_u64).prop_map(Step::Pin),
        2 => index().prop_map(Step::Unpin),
        4 => Just(Step::Load),
        4 => index().prop_map(Step::Loaded),
        1 => index().prop_map(Step::Failed),
        1 => (0..6_u64).prop_map(Step::Prefetch),
        1 => Just(Step::Reset),
    ];
    prop::collection::vec(step, 1..120)
}

/// State of the agent: pins of requests in flight with the engine start they belong to, and load
/// commands without a reply.
struct AgentModel {
    cache: adapter_cache::AdapterCache,
    pins: Vec<(ids::AdapterId, u32, adapter_cache::AdapterPin)>,
    loads: Vec<adapter_cache::LoadPlan>,
    restarts: u32,
    evictions: usize,
    rng: ChaCha8Rng,
}

impl AgentModel {
    fn record_plan(&mut self, plan: Option<adapter_cache::LoadPlan>) {
        self.loads.extend(plan);
        let Some(evicted) = plan.and_then(|plan| plan.evict) else {
            return;
        };
        self.evictions += 1;
        assert_eq!(self.in_flight(evicted), 0, "a pinned adapter was evicted");
    }

    fn in_flight(&self, adapter: ids::AdapterId) -> usize {
        let pins = self.pins.iter();
        pins.filter(|(pinned, restarts, _)| *pinned == adapter && *restarts == self.restarts)
            .count()
    }

    fn apply(&mut self, step: &Step, now: units::Timestamp) {
        match step {
            Step::Request(number) => self.cache.request(adapter(*number), now, now),
            Step::Pin(number) => {
                let pin = self.cache.pin(adapter(*number), now);
                let restarts = self.restarts;
                self.pins
                    .extend(pin.map(|pin| (adapter(*number), restarts, pin)));
            }
            Step::Unpin(index) if !self.pins.is_empty() => {
                let (_, _, pin) = self.pins.swap_remove(index.index(self.pins.len()));
                self.cache.unpin(pin, now);
            }
            Step::Load => {
                let plan = self.cache.next_load(now, &mut self.rng);
                self.record_plan(plan);
            }
            Step::Loaded(index) if !self.loads.is_empty() => {
                let plan = self.loads.swap_remove(index.index(self.loads.len()));
                self.cache.loaded(&plan, now);
            }
            Step::Failed(index) if !self.loads.is_empty() => {
                let plan = self.loads.swap_remove(index.index(self.loads.len()));
                self.cache.load_failed(&plan, now, &mut self.rng);
            }
            Step::Prefetch(number) => {
                let (adapter, rate, copies) = (adapter(*number), 9.0, 0);
                let hot = adapter_cache::HotAdapter {
                    adapter,
                    rate,
                    copies,
                };
                let plan = self.cache.prefetch(&[hot], now);
                self.record_plan(plan);
            }
            Step::Reset => {
                self.cache.reset(2);
                self.restarts += 1;
            }
            Step::Unpin(_) | Step::Loaded(_) | Step::Failed(_) => {}
        }
    }
}

// Guards against eviction of an adapter that serves a request, and against more adapters than
// slots, under every policy.
#[test]
fn pinned_adapters_stay_and_slots_suffice() {
    let evictions = std::cell::Cell::new(0);
    proptest!(|(steps in steps(), policy in 0..3_usize)| {
        let policy = policies().into_iter().nth(policy).unwrap();
        let mut model = AgentModel {
            cache: adapter_cache::AdapterCache::new(2, policy),
            pins: Vec::new(),
            loads: Vec::new(),
            restarts: 0,
            evictions: 0,
            rng: rng(),
        };
        for (second, step) in (0_u64..).zip(&steps) {
            model.apply(step, units::Timestamp(second * 1_000_000));
            let cache = &model.cache;
            prop_assert!(cache.resident().len() + cache.loading().len() <= 2);
            for number in 0..6 {
                let pins = cache.pins(adapter(number)) as usize;
                prop_assert_eq!(pins, model.in_flight(adapter(number)));
            }
        }
        evictions.set(evictions.get() + model.evictions);
    });
    assert!(evictions.get() > 0, "no eviction was tried");
}

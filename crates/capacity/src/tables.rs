//! State of an agent and of the claims: request table, claim window, queue and slots.

use std::time;

use decisions::{
    adapter_cache, claims, eviction, ids, queueing, queueing::QueuePolicy, request_table, units,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

use crate::{
    measure::{self, float},
    series::{Point, Series},
};

const TABLE_SIZES: [usize; 3] = [1_000, 10_000, 100_000];
const QUEUE_SIZES: [usize; 3] = [16, 64, 256];
const SLOT_SIZES: [usize; 3] = [8, 32, 128];
const DEMAND_SIZES: [usize; 3] = [300, 3_000, 21_000];
/// Operations that are timed on a filled structure.
const OPERATIONS: usize = 1_000;
/// Entries whose requests share a request table.
const ENTRIES: u64 = 9;
const WINDOW: time::Duration = time::Duration::from_mins(10);
const NOW: units::Timestamp = units::Timestamp(1_000_000);

/// Measures all tables.
#[must_use]
pub fn measure() -> Vec<Series> {
    let mut all = request_table_series();
    all.extend(claim_window_series());
    all.extend(queue_series());
    all.extend(slot_series());
    all
}

fn sized<T>(
    name: &str,
    per: &str,
    sizes: [usize; 3],
    build: impl Fn(usize) -> T,
    time: impl Fn(usize) -> f64,
) -> Vec<Series> {
    let point = |size, value| Point {
        size: float(size),
        value,
    };
    let bytes = sizes.map(|size| point(size, measure::held(|| build(size)).bytes));
    let times = sizes.map(|size| point(size, time(size) / 1e3));
    vec![
        Series::new(&format!("{name} state"), "B", per, bytes),
        Series::new(&format!("{name} time"), "µs", per, times),
    ]
}

fn request(number: u64) -> ids::RequestId {
    ids::RequestId {
        entry: ids::Incarnation(1 + number % ENTRIES),
        sequence: number / ENTRIES,
    }
}

fn request_table_series() -> Vec<Series> {
    let life = |table: &mut request_table::RequestTable, number: u64| {
        let admitted = table.admit(request(number), NOW).is_ok();
        let started = table.start(request(number), NOW);
        table.finish(request(number), NOW);
        assert!(admitted && started, "a request was refused");
    };
    let build = |size: usize| {
        let mut table = request_table::RequestTable::default();
        (0..size as u64).for_each(|number| life(&mut table, number));
        table
    };
    let time = |size| {
        let prepare = || build(size);
        measure::nanoseconds(OPERATIONS, prepare, |table, index| {
            life(table, (size + index) as u64);
        })
    };
    sized("request table", "request", TABLE_SIZES, build, time)
}

/// Claim of the usual size: an operator's name and a UUID as the key.
#[must_use]
pub fn claim(number: u64, claimed_at: u64) -> claims::ClaimRecord {
    let hash = u128::from(xxh3::xxh3_64(&number.to_le_bytes()));
    let key = uuid::Uuid::from_u128(hash << 64 | u128::from(number));
    claims::ClaimRecord {
        key: claims::ClaimKey {
            operator: format!("operator-{}", number % 40),
            key: key.to_string(),
        },
        attempt: 0,
        supersedes: None,
        request: request(number),
        agent: ids::Incarnation(xxh3::xxh3_64(&(number % 250).to_le_bytes())),
        body_hash: hash << 60,
        claimed_at: claims::WallTime(claimed_at),
    }
}

fn claim_window_series() -> Vec<Series> {
    let apply = |window: &mut claims::ClaimWindow, number: u64| {
        let claims = vec![claim(number, 1_000_000)];
        let effects = window.apply(number, &claims::ClaimBatch { claims });
        assert_eq!(effects, [claims::ClaimEffect::Won], "a claim was refused");
    };
    let build = |size: usize| {
        let mut window = claims::ClaimWindow::new(WINDOW, 0);
        (0..size as u64).for_each(|number| apply(&mut window, number));
        window
    };
    let time = |size| {
        let prepare = || build(size);
        measure::nanoseconds(OPERATIONS, prepare, |window, index| {
            apply(window, (size + index) as u64);
        })
    };
    sized("claim window", "claim", TABLE_SIZES, build, time)
}

fn adapter(number: usize) -> ids::AdapterId {
    ids::AdapterId(xxh3::xxh3_64(&number.to_le_bytes()))
}

fn queued(number: usize) -> queueing::QueuedRequest {
    queueing::QueuedRequest {
        request: request(number as u64),
        adapter: Some(adapter(number % 8)),
        priority: [
            units::Priority::Low,
            units::Priority::Normal,
            units::Priority::High,
        ][number % 3],
        operator: format!("operator-{}", number % 10),
        weight: 1,
        deadline: NOW + time::Duration::from_millis(500 + 37 * (number as u64 % 100)),
    }
}

fn queue_series() -> Vec<Series> {
    let build = |size: usize| {
        let mut queue = queueing::ReplicaQueue::default();
        (0..size).for_each(|number| queue.push(queued(number)));
        queue
    };
    let mut resident: Vec<_> = (0..8).map(adapter).collect();
    resident.sort_unstable();
    let running = [queueing::RunningRequest {
        request: request(u64::from(u32::MAX)),
        adapter: Some(adapter(0)),
        generated: 1,
    }];
    // One push and one start keep the length of the queue.
    let time = |size| {
        let batch = queueing::BatchView {
            running: &running,
            limit: 32,
            resident: &resident,
        };
        let prepare = || build(size);
        measure::nanoseconds(OPERATIONS, prepare, |queue, index| {
            queue.push(queued(size + index));
            assert!(queue.next(&batch, NOW).is_some(), "nothing was started");
        })
    };
    sized("queue", "waiting request", QUEUE_SIZES, build, time)
}

fn filled_slots(capacity: usize) -> adapter_cache::AdapterCache {
    let policy = Box::new(eviction::DemandScarcity);
    let mut slots = adapter_cache::AdapterCache::new(capacity, policy);
    let adapters: Vec<_> = (0..capacity).map(adapter).collect();
    slots.adopt(&adapters, NOW);
    slots
}

fn demanded_slots(adapters: usize) -> adapter_cache::AdapterCache {
    let mut slots = filled_slots(8);
    (0..adapters).for_each(|number| slots.set_copies(adapter(number), 1, NOW));
    slots
}

fn slot_series() -> Vec<Series> {
    // One request for an absent adapter: plan, load, pin, release.
    let misses = |size| {
        let prepare = || (filled_slots(size), ChaCha8Rng::seed_from_u64(3));
        measure::nanoseconds(OPERATIONS, prepare, |(slots, rng), index| {
            let wanted = adapter(size + index);
            slots.request(wanted, NOW, NOW);
            if let Some(plan) = slots.next_load(NOW, rng) {
                slots.loaded(&plan, NOW);
            }
            let pin = slots.pin(wanted, NOW);
            slots.unpin(pin.expect("the adapter was loaded"), NOW);
        })
    };
    let mut all = sized("slots", "slot", SLOT_SIZES, filled_slots, misses);
    let hits = |size| {
        let prepare = || demanded_slots(size);
        measure::nanoseconds(OPERATIONS, prepare, |slots, index| {
            slots.request(adapter(index % 8), NOW, NOW);
        })
    };
    all.extend(sized(
        "adapter demand",
        "adapter",
        DEMAND_SIZES,
        demanded_slots,
        hits,
    ));
    all
}

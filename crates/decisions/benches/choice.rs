//! Cost of one endpoint choice and of applying one load report.
//!
//! Run with `cargo bench -p decisions`. The target is at most 10 µs per choice at 2,000 replicas and
//! 21,000 adapters, without linear growth in either.

use std::time;

use decisions::routing::RoutingPolicy;
use decisions::{ids, load_times, routing, units, wait_routing};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

const SIZES: [Size; 6] = [
    Size::new(20, 3_000),
    Size::new(20, 21_000),
    Size::new(200, 3_000),
    Size::new(200, 21_000),
    Size::new(2_000, 3_000),
    Size::new(2_000, 21_000),
];
const ADAPTER_SLOTS: u16 = 16;
/// Adapters that every second endpoint holds.
const HOT_ADAPTERS: u64 = 4;
/// Requests in flight at one entry.
const IN_FLIGHT: usize = 512;

fn main() {
    divan::main();
}

#[derive(Clone, Copy, Debug)]
struct Size {
    replicas: u32,
    adapters: u64,
}

impl Size {
    const fn new(replicas: u32, adapters: u64) -> Self {
        Self { replicas, adapters }
    }
}

/// Policy with endpoints, adapters and requests in flight, and a random source of further requests.
struct Workload {
    policy: wait_routing::WaitRouting,
    rng: ChaCha8Rng,
    now: units::Timestamp,
    size: Size,
    sequence: u64,
    open: Vec<routing::Attempt>,
}

fn adapter(number: u64) -> ids::AdapterId {
    ids::AdapterId(xxh3::xxh3_64(&number.to_le_bytes()))
}

fn endpoint(number: u32) -> ids::EndpointId {
    ids::EndpointId {
        agent: ids::Incarnation(xxh3::xxh3_64(&number.to_le_bytes())),
        replica: 0,
    }
}

impl Workload {
    fn new(size: Size) -> Self {
        let mut workload = Self {
            policy: wait_routing::WaitRouting::new(load_times::StoreLimits::default(), 1),
            rng: ChaCha8Rng::seed_from_u64(2),
            now: units::Timestamp(1_000_000),
            size,
            sequence: 0,
            open: Vec::new(),
        };
        for number in 0..size.replicas {
            let location = routing::EndpointLocation {
                endpoint: endpoint(number),
                distance: time::Duration::from_micros(1_500),
            };
            workload.policy.endpoint_added(&location, workload.now);
            let report = workload.make_report(number);
            workload
                .policy
                .report(endpoint(number), &report, workload.now);
        }
        for _ in 0..IN_FLIGHT {
            workload.send();
        }
        workload
    }

    fn adapter(&mut self) -> ids::AdapterId {
        let is_hot = self.rng.random_bool(0.5);
        let count = if is_hot {
            HOT_ADAPTERS
        } else {
            self.size.adapters
        };
        adapter(self.rng.random_range(0..count))
    }

    fn make_report(&mut self, number: u32) -> routing::EndpointReport {
        let hot = if number.is_multiple_of(2) {
            HOT_ADAPTERS
        } else {
            0
        };
        let mut loaded: Vec<_> = (0..hot).map(adapter).collect();
        while loaded.len() < usize::from(ADAPTER_SLOTS) {
            loaded.push(adapter(self.rng.random_range(0..self.size.adapters)));
        }
        loaded.sort_unstable();
        loaded.dedup();
        routing::EndpointReport {
            as_of: self.now,
            base_model: "base".to_owned(),
            ready: true,
            adapter_slots: ADAPTER_SLOTS,
            batch_limit: 32,
            running: self.rng.random_range(0..32),
            waits: [time::Duration::from_millis(self.rng.random_range(0..400)); 3],
            loaded,
            ..routing::EndpointReport::default()
        }
    }

    /// Sends one request and records its first token.
    fn send(&mut self) {
        let adapter = self.adapter();
        let Ok(choice) = self.policy.choose(&request(adapter), self.now) else {
            return;
        };
        let request = ids::RequestId {
            entry: ids::Incarnation(1),
            sequence: self.sequence,
        };
        self.sequence += 1;
        self.policy.dispatched(request, adapter, &choice, self.now);
        let attempt = routing::Attempt {
            request,
            endpoint: choice.endpoint,
        };
        self.policy
            .first_token(attempt, self.now + time::Duration::from_millis(50));
        self.open.push(attempt);
    }
}

fn request(adapter: ids::AdapterId) -> routing::RoutingRequest<'static> {
    routing::RoutingRequest {
        base_model: "base",
        adapter,
        priority: units::Priority::Normal,
        repeatable: true,
        exclude: &[],
    }
}

#[divan::bench(args = SIZES, sample_count = 1_000, sample_size = 20)]
fn choose(bencher: divan::Bencher<'_, '_>, size: Size) {
    let mut workload = Workload::new(size);
    bencher.bench_local(move || {
        let adapter = workload.adapter();
        workload.now = workload.now + time::Duration::from_micros(100);
        workload.policy.choose(&request(adapter), workload.now)
    });
}

/// Choices of several threads through one lock, as the entry makes them, without a pause between
/// two choices. The time at 8 threads divided by 8 is the time per choice, lock included.
#[divan::bench(args = [Size::new(20, 3_000), Size::new(2_000, 21_000)], threads = [1, 8], sample_count = 1_000, sample_size = 20)]
fn choose_locked(bencher: divan::Bencher<'_, '_>, size: Size) {
    let workload = parking_lot::Mutex::new(Workload::new(size));
    bencher.bench(|| {
        let mut workload = workload.lock();
        let adapter = workload.adapter();
        workload.now = workload.now + time::Duration::from_micros(100);
        let now = workload.now;
        workload.policy.choose(&request(adapter), now)
    });
}

/// Full lifecycle of a request: choice, dispatch, first token, one more token, end.
#[divan::bench(args = SIZES, sample_count = 1_000)]
fn request_life(bencher: divan::Bencher<'_, '_>, size: Size) {
    let mut workload = Workload::new(size);
    bencher.bench_local(move || {
        workload.now = workload.now + time::Duration::from_micros(100);
        workload.send();
        let position = workload.rng.random_range(0..workload.open.len());
        let attempt = workload.open.swap_remove(position);
        let end = routing::AttemptEnd::Finished;
        workload.policy.between_token(attempt, workload.now);
        workload.policy.ended(attempt, end, workload.now);
    });
}

/// A report in which most adapters changed, which is the worst case.
#[divan::bench(args = SIZES, sample_count = 1_000)]
fn report(bencher: divan::Bencher<'_, '_>, size: Size) {
    let workload = std::cell::RefCell::new(Workload::new(size));
    bencher
        .with_inputs(|| {
            let mut workload = workload.borrow_mut();
            workload.now = workload.now + time::Duration::from_micros(100);
            let number = workload.rng.random_range(0..size.replicas);
            (endpoint(number), workload.make_report(number))
        })
        .bench_local_values(|(endpoint, report)| {
            let mut workload = workload.borrow_mut();
            let now = workload.now;
            workload.policy.report(endpoint, &report, now);
        });
}

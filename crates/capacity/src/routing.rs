//! Routing state of an entry: memory per replica, time per load report and per choice.

use std::time;

use decisions::{ids, load_times, routing, routing::RoutingPolicy, units, wait_routing};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

use crate::{
    measure,
    series::{Point, Series},
    sizes,
};

/// Numbers of replicas; the last is the target of section 1.2.
const SIZES: [u32; 3] = [20, 200, 2_000];
/// Requests in flight at one entry while choices are timed.
const IN_FLIGHT: usize = 512;
const REPORTS: usize = 2_000;
const CHOICES: usize = 5_000;
/// Adapters of which half of the replicas hold a copy.
const HOT_ADAPTERS: u64 = 4;

/// Measures the routing state.
#[must_use]
pub fn measure() -> Vec<Series> {
    let mut state = Vec::new();
    let mut reporting = Vec::new();
    let mut repeating = Vec::new();
    let mut choosing = Vec::new();
    for size in SIZES {
        let at = |value| Point {
            size: f64::from(size),
            value,
        };
        let held = measure::held(|| Workload::new(size));
        state.push(at(held.bytes));
        let mut workload = held.value;
        let views: Vec<_> = (0..REPORTS).map(|_| workload.report()).collect();
        reporting.push(at(report_time(size, &views) / 1e3));
        repeating.push(at(repeat_time(size, &views[0]) / 1e3));
        choosing.push(at(choice_time(size) / 1e3));
    }
    vec![
        Series::new("routing state", "B", "replica", state),
        Series::new(
            "report with all adapters changed",
            "µs",
            "replica",
            reporting,
        ),
        Series::new("report without changes", "µs", "replica", repeating),
        Series::new("endpoint choice", "µs", "replica", choosing),
    ]
}

struct Workload {
    policy: wait_routing::WaitRouting,
    generator: ChaCha8Rng,
    now: units::Timestamp,
    replicas: u32,
}

struct Report {
    endpoint: ids::EndpointId,
    view: routing::EndpointReport,
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
    fn new(replicas: u32) -> Self {
        let mut workload = Self {
            policy: wait_routing::WaitRouting::new(load_times::StoreLimits::default(), 1),
            generator: ChaCha8Rng::seed_from_u64(2),
            now: units::Timestamp(1_000_000),
            replicas,
        };
        for number in 0..replicas {
            let location = routing::EndpointLocation {
                endpoint: endpoint(number),
                distance: time::Duration::from_micros(1_500),
            };
            workload.policy.endpoint_added(&location, workload.now);
            let view = workload.view(number);
            workload
                .policy
                .report(endpoint(number), &view, workload.now);
        }
        workload
    }

    fn view(&mut self, number: u32) -> routing::EndpointReport {
        let hot = if number.is_multiple_of(2) {
            HOT_ADAPTERS
        } else {
            0
        };
        let mut loaded: Vec<_> = (0..hot).map(adapter).collect();
        while loaded.len() < usize::from(sizes::ADAPTER_SLOTS) {
            loaded.push(adapter(self.generator.random_range(0..sizes::ADAPTERS)));
        }
        loaded.sort_unstable();
        loaded.dedup();
        routing::EndpointReport {
            as_of: self.now,
            base_model: format!("base-model-{}", number % 6),
            ready: true,
            adapter_slots: sizes::ADAPTER_SLOTS,
            batch_limit: 32,
            running: self.generator.random_range(0..32),
            waits: [time::Duration::from_millis(self.generator.random_range(0..400)); 3],
            loaded,
            ..routing::EndpointReport::default()
        }
    }

    fn report(&mut self) -> Report {
        let number = self.generator.random_range(0..self.replicas);
        Report {
            endpoint: endpoint(number),
            view: self.view(number),
        }
    }

    fn send(&mut self, sequence: u64) {
        let adapter = self.adapter();
        let Ok(choice) = self.policy.choose(&request(adapter), self.now) else {
            return;
        };
        let request = ids::RequestId {
            entry: ids::Incarnation(1),
            sequence,
        };
        self.policy.dispatched(request, adapter, &choice, self.now);
        let attempt = routing::Attempt {
            request,
            endpoint: choice.endpoint,
        };
        let first = self.now + time::Duration::from_millis(50);
        self.policy.first_token(attempt, first);
    }

    fn adapter(&mut self) -> ids::AdapterId {
        let is_hot = self.generator.random_bool(0.5);
        let count = if is_hot {
            HOT_ADAPTERS
        } else {
            sizes::ADAPTERS
        };
        adapter(self.generator.random_range(0..count))
    }
}

fn request(adapter: ids::AdapterId) -> routing::RoutingRequest<'static> {
    routing::RoutingRequest {
        base_model: "base-model-0",
        adapter,
        priority: units::Priority::Normal,
        repeatable: true,
        exclude: &[],
    }
}

fn report_time(replicas: u32, reports: &[Report]) -> f64 {
    measure::nanoseconds(
        reports.len(),
        || Workload::new(replicas),
        |workload, index| {
            let report = &reports[index];
            let now = workload.now;
            workload.policy.report(report.endpoint, &report.view, now);
        },
    )
}

fn repeat_time(replicas: u32, report: &Report) -> f64 {
    measure::nanoseconds(
        REPORTS,
        || {
            let mut workload = Workload::new(replicas);
            let now = workload.now;
            workload.policy.report(report.endpoint, &report.view, now);
            workload
        },
        |workload, _| {
            let now = workload.now;
            workload.policy.report(report.endpoint, &report.view, now);
        },
    )
}

fn choice_time(replicas: u32) -> f64 {
    let prepare = || {
        let mut workload = Workload::new(replicas);
        (0..IN_FLIGHT as u64).for_each(|sequence| workload.send(sequence));
        workload
    };
    measure::nanoseconds(CHOICES, prepare, |workload, _| {
        let adapter = workload.adapter();
        workload.now = workload.now + time::Duration::from_micros(100);
        let choice = workload.policy.choose(&request(adapter), workload.now);
        std::hint::black_box(choice).ok();
    })
}

//! Cost of one request's lifecycle in request tables of different sizes.

use decisions::{ids, request_table, units};
use divan::Bencher;

fn main() {
    divan::main();
}

/// Admits, starts and finishes one request and removes the oldest, at a constant table size.
#[divan::bench(args = [1_000, 10_000, 100_000, 1_000_000])]
fn request_lifecycle(bencher: Bencher, retained: u64) {
    let mut table = request_table::RequestTable::default();
    let retention = u64::try_from(request_table::RETENTION.as_micros()).unwrap_or(u64::MAX);
    let interval = retention / retained;
    let mut number = 0;
    let mut next = || {
        number += 1;
        let entry = ids::Incarnation(number % 320);
        let request = ids::RequestId {
            entry,
            sequence: number / 320,
        };
        let now = units::Timestamp(number * interval);
        let _ = table.admit(request, now);
        let is_started = table.start(request, now);
        table.finish(request, now);
        table.expire(now);
        is_started
    };
    for _ in 0..retained {
        next();
    }
    bencher.bench_local(next);
}

//! Appends of claims and the sum of the load rates, under virtual time.

use std::time;

use decisions::{claim_batch, load_budget, load_budget::LoadPolicy, units};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::{
    measure::float,
    series::{Point, Series},
    sizes, tables,
};

/// Numbers of claim streams.
const STREAMS: [u16; 3] = [4, 16, 64];
/// Waits between two appends of one stream in milliseconds.
const GAPS: [u64; 4] = [20, 50, 100, 200];
/// Claims in one append whose size is measured.
const BATCHES: [u64; 3] = [1, 4, 16];
/// Time of one append.
const APPEND_TIME: time::Duration = time::Duration::from_millis(10);
/// Virtual time of a simulation in seconds.
const PERIOD: f64 = 60.0;
const STEP: time::Duration = time::Duration::from_millis(1);
/// Agents that share the weight store.
const AGENTS: [u32; 3] = [20, 80, sizes::AGENTS];
const WAITING_LOADS: u32 = 2;

/// Measures claims and the load budget.
#[must_use]
pub fn measure() -> Vec<Series> {
    let mut all = vec![record_bytes("JSON"), record_bytes("bincode")];
    for streams in STREAMS {
        let points = GAPS.map(|gap| point(gap, appends(Writers::Home, streams, gap)));
        let name = format!("appends of claims, {streams} streams with a home each");
        all.push(Series::new(&name, "1/s", "ms of gap", points));
    }
    let points = GAPS.map(|gap| point(gap, appends(Writers::RegionHomes, 16, gap)));
    let name = "appends of claims, 16 streams with a home in each region";
    all.push(Series::new(name, "1/s", "ms of gap", points));
    let points = GAPS.map(|gap| point(gap, appends(Writers::EveryEntry, 16, gap)));
    let name = "appends of claims, 16 streams written by every entry";
    all.push(Series::new(name, "1/s", "ms of gap", points));
    all.extend(load_rates());
    all
}

fn point(size: u64, value: f64) -> Point {
    Point {
        size: crate::measure::float64(size),
        value,
    }
}

fn record_bytes(format: &str) -> Series {
    let size = |claims: u64| {
        let claims = (0..claims).map(|number| tables::claim(number, 1_790_000_000_000));
        let batch = decisions::claims::ClaimBatch {
            claims: claims.collect(),
        };
        let bytes = if format == "JSON" {
            serde_json::to_vec(&batch).map(|bytes| bytes.len()).ok()
        } else {
            bincode::serialize(&batch).map(|bytes| bytes.len()).ok()
        };
        float(bytes.unwrap_or(0))
    };
    let points = BATCHES.map(|claims| point(claims, size(claims)));
    Series::new(&format!("claim record in {format}"), "B", "claim", points)
}

/// Who appends to a claim stream.
#[derive(Clone, Copy, Debug)]
enum Writers {
    /// One entry per stream, to which the others hand their claims.
    Home,
    /// One entry per stream and region, as section 6 of the design has it.
    RegionHomes,
    EveryEntry,
}

struct Writer {
    batcher: claim_batch::ClaimBatcher,
    ends: Option<units::Timestamp>,
}

/// Appends per second of 180 claims/s with random arrivals.
fn appends(writers: Writers, streams: u16, gap: u64) -> f64 {
    let per_stream = match writers {
        Writers::Home => 1,
        Writers::RegionHomes => sizes::REGIONS as usize,
        Writers::EveryEntry => sizes::ENTRIES as usize,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(streams) + gap);
    let mut all: Vec<Writer> = (0..usize::from(streams) * per_stream)
        .map(|_| Writer {
            batcher: claim_batch::ClaimBatcher::new(time::Duration::from_millis(gap)),
            ends: None,
        })
        .collect();
    let interval = Exp::new(sizes::REQUESTS_PER_SECOND * sizes::KEYED_SHARE)
        .expect("the rate of claims is positive");
    let mut now = units::Timestamp(0);
    let mut arrival = units::Timestamp(0);
    let end = now + time::Duration::from_secs_f64(PERIOD);
    let mut number = 0;
    let mut appends = 0;
    while now < end {
        while arrival <= now {
            let claim = tables::claim(number, now.0 / 1_000);
            let stream = usize::from(claim.key.stream_index(streams));
            let writer = stream * per_stream + rng.random_range(0..per_stream);
            all[writer].batcher.push(claim);
            number += 1;
            arrival = arrival + time::Duration::from_secs_f64(interval.sample(&mut rng));
        }
        for writer in &mut all {
            if writer.ends.is_some_and(|ends| ends <= now) {
                writer.batcher.finish_append();
                writer.ends = None;
            }
            if writer.batcher.next_batch(now).is_some() {
                writer.ends = Some(now + APPEND_TIME);
                appends += 1;
            }
        }
        now = now + STEP;
    }
    float(appends) / PERIOD
}

fn load_rates() -> Vec<Series> {
    let series = |name: &str, rate: fn(u32) -> f64| {
        let points = AGENTS.map(|agents| point(u64::from(agents), rate(agents)));
        Series::new(name, "loads/s", "agent", points)
    };
    vec![
        series("sum of load rates, equal demand", |agents| {
            f64::from(agents) * rate(agents, WAITING_LOADS, WAITING_LOADS * (agents - 1))
        }),
        series("sum of load rates, one agent with demand", |agents| {
            let idle = rate(agents, 0, WAITING_LOADS);
            rate(agents, WAITING_LOADS, 0) + f64::from(agents - 1) * idle
        }),
        series("sum of load rates, no reports", |agents| {
            let policy = load_budget::DemandShare::new(agents);
            f64::from(agents) * policy.rate(units::Timestamp(0))
        }),
        series("load rate of one agent alone with demand", |agents| {
            rate(agents, WAITING_LOADS, 0)
        }),
    ]
}

/// Rate of an agent after a report with this demand.
fn rate(agents: u32, own: u32, others: u32) -> f64 {
    let mut policy = load_budget::DemandShare::new(agents);
    let now = units::Timestamp(1_000_000);
    let demand = load_budget::LoadDemand {
        own,
        others,
        agents,
        reported: now,
    };
    policy.update_demand(demand, now);
    policy.rate(now)
}

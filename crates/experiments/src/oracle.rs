//! Policy with full knowledge.
//!
//! It sees the true state of all replicas and of the store without lag: answer lengths, slow
//! engines, loads in flight and the demand of all entries. It does not see future requests.

use std::time;

use decisions::{eviction, ids, units};

use crate::{fakes, replica, workload};

/// Predicted difference for which a replica with the adapter in its batch is preferred.
const MARGIN: time::Duration = time::Duration::from_millis(50);
/// Requests at which a replica counts as crowded.
const CROWDED: usize = 28;
/// Share of a batch that one copy of an adapter is expected to serve.
const COPY_SHARE: f64 = 0.5;
/// Value of a copy that demand does not need, relative to one that it needs.
const SPARE_VALUE: f64 = 1e-3;

/// Keeps as many copies as the demand of all entries needs, most requested adapters first.
#[derive(Clone, Copy, Debug)]
pub struct NeededCopies;

impl eviction::EvictionPolicy for NeededCopies {
    fn value(&self, usage: &eviction::AdapterUsage, _now: units::Timestamp) -> f64 {
        let needed = copies_needed(usage.rate);
        let copies = f64::from(usage.copies_elsewhere);
        if copies < needed {
            return usage.rate;
        }
        usage.rate * SPARE_VALUE / (copies + 1.0)
    }
}

/// Copies that serve a request rate.
fn copies_needed(rate: f64) -> f64 {
    let shortest = f64::from(*fakes::SHORT_TOKENS.start());
    let longest = f64::from(*fakes::SHORT_TOKENS.end());
    let capacity = fakes::nominal_capacity() / f64::midpoint(shortest, longest);
    (rate / (capacity * COPY_SHARE)).ceil().max(1.0)
}

/// Requests at a replica.
#[must_use]
pub fn occupied(replica: &replica::Replica) -> usize {
    replica.engine.sequences.len() + replica.waiting.len()
}

/// Adapter of which every holder is crowded, with its copies; the one with the most requests.
#[must_use]
pub fn crowded_adapter(
    replicas: &[replica::Replica],
    held: &[Vec<ids::AdapterId>],
) -> Option<(ids::AdapterId, u32)> {
    let mut running: Vec<_> = replicas
        .iter()
        .filter(|replica| occupied(replica) >= CROWDED)
        .flat_map(|replica| &replica.engine.sequences)
        .map(|sequence| sequence.adapter)
        .collect();
    running.sort_unstable();
    let crowded = running
        .chunk_by(|left, right| left == right)
        .filter(|same| {
            let mut holders = replicas.iter().zip(held);
            holders.all(|(replica, held)| !held.contains(&same[0]) || occupied(replica) >= CROWDED)
        });
    let adapter = crowded.max_by_key(|same| same.len())?[0];
    let copies = held.iter().filter(|held| held.contains(&adapter)).count();
    Some((adapter, u32::try_from(copies).unwrap_or(u32::MAX)))
}

/// Prediction for one replica.
#[derive(Clone, Copy, Debug)]
struct Prediction {
    position: usize,
    first_token: time::Duration,
    /// Requests in the batch on the same adapter.
    companions: usize,
    occupied: usize,
    is_holder: bool,
}

/// Replica with the earliest first token, filled batches of the same adapter preferred.
#[must_use]
pub fn choose(
    replicas: &[replica::Replica],
    store: &fakes::WeightStore,
    job: &workload::Job,
    now: units::Timestamp,
) -> usize {
    let predictions: Vec<_> = (0..replicas.len())
        .map(|position| predict(replicas, position, store, job, now))
        .collect();
    let lowest = predictions.iter().map(|prediction| prediction.first_token);
    let lowest = lowest.min().unwrap_or_default();
    let near = predictions
        .iter()
        .filter(|prediction| prediction.first_token <= lowest + MARGIN);
    let best = near.max_by_key(|prediction| {
        let room = usize::from(fakes::BATCH_LIMIT).saturating_sub(prediction.occupied);
        let is_holder = prediction.is_holder && prediction.occupied < CROWDED;
        let packed = if is_holder {
            prediction.companions
        } else {
            room
        };
        (is_holder, packed, room)
    });
    best.map_or(0, |prediction| prediction.position)
}

fn predict(
    replicas: &[replica::Replica],
    position: usize,
    store: &fakes::WeightStore,
    job: &workload::Job,
    now: units::Timestamp,
) -> Prediction {
    let replica = &replicas[position];
    let load = load_time(replica, store, job.adapter, now);
    let queue = queue_time(replica, job, now);
    let sequences = &replica.engine.sequences;
    let requests = u32::try_from(sequences.len() + 1).unwrap_or(u32::MAX);
    let step = fakes::step_time(requests, fakes::distinct_adapters(sequences) + 1);
    let companions = sequences.iter().filter(|s| s.adapter == job.adapter);
    Prediction {
        position,
        first_token: queue.max(load) + step.mul_f64(replica.engine.slowness),
        companions: companions.count(),
        occupied: sequences.len() + replica.waiting.len(),
        is_holder: load.is_zero(),
    }
}

/// Time until the adapter is resident.
fn load_time(
    replica: &replica::Replica,
    store: &fakes::WeightStore,
    adapter: ids::AdapterId,
    now: units::Timestamp,
) -> time::Duration {
    let pending = replica.loads.iter().find(|load| load.adapter == adapter);
    if let Some(pending) = pending {
        return pending.done.since(now);
    }
    let resident = replica.slots.resident();
    if resident.contains(&adapter) {
        return time::Duration::ZERO;
    }
    let held = resident.len() + replica.slots.loading().len();
    let is_unpinned = |adapter: &&ids::AdapterId| replica.slots.pins(**adapter) == 0;
    let free = usize::from(fakes::ADAPTER_SLOTS).saturating_sub(held);
    let free = free + resident.iter().filter(is_unpinned).count();
    let queued = replica.slots.waiting_loads();
    let behind = fakes::LOAD_TIME * u32::try_from(queued).unwrap_or(u32::MAX);
    let expected = store.expected(now) + behind;
    if free > queued {
        return expected;
    }
    // A slot becomes free when the last request of some adapter ends.
    let ends = resident.iter().map(|adapter| {
        let sequences = replica.engine.sequences.iter();
        let left = sequences
            .filter(|sequence| sequence.adapter == *adapter)
            .map(|sequence| sequence.length - sequence.generated);
        left.max().unwrap_or(0)
    });
    steps(replica, ends.min().unwrap_or(0)) + expected
}

/// Time until the request enters the batch.
fn queue_time(
    replica: &replica::Replica,
    job: &workload::Job,
    now: units::Timestamp,
) -> time::Duration {
    let sequences = &replica.engine.sequences;
    let before = replica.waiting.iter();
    let before = before.filter(|waiting| waiting.priority >= job.priority);
    let ahead = before.count();
    let step = replica
        .engine
        .step_end
        .map_or(time::Duration::ZERO, |end| end.since(now));
    let free = usize::from(fakes::BATCH_LIMIT).saturating_sub(sequences.len());
    if ahead < free {
        return step;
    }
    let mut left: Vec<_> = sequences
        .iter()
        .map(|sequence| sequence.length - sequence.generated)
        .collect();
    left.sort_unstable();
    let place = (ahead - free).min(left.len().saturating_sub(1));
    step + steps(replica, left.get(place).copied().unwrap_or(0))
}

fn steps(replica: &replica::Replica, count: u32) -> time::Duration {
    let sequences = &replica.engine.sequences;
    let requests = u32::try_from(sequences.len()).unwrap_or(u32::MAX);
    let step = fakes::step_time(requests, fakes::distinct_adapters(sequences));
    step.mul_f64(replica.engine.slowness) * count
}

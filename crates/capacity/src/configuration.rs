//! Configuration: state, snapshot, replay and cost of a patch per adapter.

use std::{sync::Arc, time};

use bytes::Bytes;
use decisions::units;
use operators::{configuration, patch, replay, snapshot};
use platform::http;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::{
    measure,
    series::{Point, Series},
};

/// Numbers of adapters; the last is the target of section 1.2.
const SIZES: [u32; 3] = [3_000, 10_000, 21_000];
const ADAPTERS_PER_PATCH: u32 = 1_000;
const BASE_MODELS: u32 = 6;
const OPERATORS: u32 = 40;
const RETENTION: time::Duration = time::Duration::from_hours(24);
/// Patches that are timed one by one.
const SINGLE_PATCHES: u32 = 500;

/// Measures all items of the configuration.
#[must_use]
pub fn measure() -> Vec<Series> {
    let mut state = Vec::new();
    let mut stored = Vec::new();
    let mut peak = Vec::new();
    let mut replaying = Vec::new();
    let mut loading = Vec::new();
    let mut patching = Vec::new();
    let mut records = Vec::new();
    for size in SIZES {
        let at = |value| Point {
            size: f64::from(size),
            value,
        };
        let log = records_of(size);
        let held = measure::held(|| replayed(&log));
        let replay = held.value;
        state.push(at(held.bytes));
        let time = measure::nanoseconds(1, || (), |(), _| drop(replayed(&log)));
        replaying.push(at(time / 1e6));
        let parts = snapshot_records(&replay);
        let bytes: usize = parts.iter().map(Vec::len).sum();
        stored.push(at(measure::float(bytes)));
        let time = measure::nanoseconds(1, || (), |(), _| drop(from_snapshot(&parts)));
        loading.push(at(time / 1e6));
        peak.push(at(read_peak(&parts)));
        patching.push(at(patch_time(&replay) / 1e3));
        records.push(at(patch_bytes(&replay)));
    }
    vec![
        Series::new("configuration state", "B", "adapter", state),
        Series::new("snapshot records", "B", "adapter", stored),
        Series::new("peak while reading a snapshot", "B", "adapter", peak),
        Series::new("replay of patches", "ms", "adapter", replaying),
        Series::new("start from a snapshot", "ms", "adapter", loading),
        Series::new("one patch", "µs", "adapter", patching),
        Series::new("patch record", "B", "adapter", records),
    ]
}

/// Adapter as operators publish it, with names of a usual length.
fn adapter(number: u32) -> configuration::AdapterEntry {
    configuration::AdapterEntry {
        name: format!("northlink-school-{number:05}-notes").into(),
        base_model: format!("base-model-{}-8b", number % BASE_MODELS).into(),
        operator: format!("operator-{}", number % OPERATORS).into(),
        versions: [1, 2, 3].into(),
        default_version: 3,
        priority: units::Priority::Normal,
    }
}

fn change(id: u32, base: u64, changes: Vec<patch::ConfigurationChange>) -> Vec<u8> {
    snapshot::encode_patch(&patch::Patch {
        id: patch::PatchId(Uuid::from_u128(u128::from(id) << 64 | 1)),
        base,
        changes,
    })
}

fn records_of(size: u32) -> Vec<Vec<u8>> {
    let patches = size / ADAPTERS_PER_PATCH;
    let record = |number: u32| {
        let first = number * ADAPTERS_PER_PATCH;
        let adapters = first..first + ADAPTERS_PER_PATCH;
        let changes = adapters.map(|id| patch::ConfigurationChange::AddAdapter(adapter(id)));
        change(number, u64::from(number), changes.collect())
    };
    (0..patches).map(record).collect()
}

fn apply(
    replay: &mut replay::ConfigurationReplay,
    first: u64,
    retained: u64,
    log: &[impl AsRef<[u8]>],
) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let records: Vec<replay::RecordView<'_>> = (first..)
        .zip(log)
        .map(|(offset, record)| replay::RecordView {
            offset,
            payload: record.as_ref(),
        })
        .collect();
    let batch = replay::BatchView {
        first_retained: retained,
        end: first + records.len() as u64,
        records: &records,
    };
    replay.apply_batch(&batch, units::Timestamp(0), &mut rng);
}

fn replayed(log: &[Vec<u8>]) -> replay::ConfigurationReplay {
    let mut replay = replay::ConfigurationReplay::new(RETENTION);
    apply(&mut replay, 0, 0, log);
    replay
}

fn snapshot_records(replay: &replay::ConfigurationReplay) -> Vec<Vec<u8>> {
    let state = replay.snapshot();
    let id = Uuid::from_u128(7);
    let encode = |state| snapshot::encode_snapshot(id, &state, snapshot::MAX_PART_BYTES).ok();
    state.and_then(encode).unwrap_or_default()
}

/// Reader that starts at a log which holds only the snapshot.
fn from_snapshot(parts: &[impl AsRef<[u8]>]) -> replay::ConfigurationReplay {
    let mut replay = replay::ConfigurationReplay::new(RETENTION);
    let first = snapshot_offset(parts);
    apply(&mut replay, first, first, parts);
    replay
}

/// Offset that the snapshot holds at; its parts follow there in this log.
fn snapshot_offset(parts: &[impl AsRef<[u8]>]) -> u64 {
    let first = parts.first().map(AsRef::as_ref).unwrap_or_default();
    match snapshot::decode_record(first) {
        Ok(snapshot::ConfigurationRecord::Part(part)) => part.header.as_of,
        _ => 0,
    }
}

/// Bytes allocated at most by a reader that gets the snapshot in one answer of the HTTP log: the
/// body, its decoded records and the state.
fn read_peak(parts: &[Vec<u8>]) -> f64 {
    let first = snapshot_offset(parts);
    let records = (first..)
        .zip(parts)
        .map(|(offset, payload)| http::RecordBody {
            offset,
            payload: payload.clone(),
        });
    let answer = http::ReadResponse {
        first_retained: first,
        end: first + parts.len() as u64,
        records: records.collect(),
    };
    let sent = serde_json::to_vec(&answer).unwrap_or_default();
    drop(answer);
    let held = measure::held(|| {
        let body = sent.clone();
        let answer: Option<http::ReadResponse> = serde_json::from_slice(&body).ok();
        let records = answer.into_iter().flat_map(|answer| answer.records);
        let payloads: Vec<Bytes> = records.map(|record| record.payload.into()).collect();
        drop(body);
        from_snapshot(&payloads)
    });
    assert!(held.value.is_following(), "the snapshot was not usable");
    held.peak
}

/// Time of one patch while a reader holds the version before, as the published state does.
fn patch_time(replay: &replay::ConfigurationReplay) -> f64 {
    let first = replay.next_offset();
    let version = replay.version();
    let records: Vec<Vec<u8>> = (0..SINGLE_PATCHES)
        .map(|number| single_patch(number, version + u64::from(number)))
        .collect();
    let mut published = replay.configuration().map(Arc::clone);
    measure::nanoseconds(
        records.len(),
        || replay.clone(),
        |replay, index| {
            let offset = first + index as u64;
            apply(replay, offset, 0, &records[index..=index]);
            published = replay.configuration().map(Arc::clone);
        },
    )
}

fn single_patch(number: u32, base: u64) -> Vec<u8> {
    let target = patch::AdapterPriority {
        name: adapter(number).name,
        priority: units::Priority::High,
    };
    let changes = vec![
        patch::ConfigurationChange::SetAdapterPriority(target),
        patch::ConfigurationChange::ReplaceAdapter(adapter(number)),
    ];
    change(1_000_000 + number, base, changes)
}

fn patch_bytes(replay: &replay::ConfigurationReplay) -> f64 {
    measure::float(single_patch(0, replay.version()).len())
}

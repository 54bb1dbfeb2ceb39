//! Exhaustive search over small interleavings of two publishers, a snapshot writer, expiry of
//! records and a cold reader. All readers run the production replay.

mod support;

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use operators::{patch, replay, snapshot};
use support::{RETENTION, TestLog, patch};

const MAX_EXPIRED: u64 = 2;
/// The second publisher sends its patch twice, as after a lost reply.
const MAX_SENDS: [u8; 2] = [1, 2];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ModelRules {
    Correct,
    /// `as_of` of a snapshot is the log's end when it is appended, not when it was captured.
    AsOfAtAppend,
    /// A reader continues after expired records as if it had read them.
    SkipExpired,
}

#[derive(Clone)]
struct ModelPublisher {
    reader: replay::ConfigurationReplay,
    patch: Option<patch::Patch>,
    sends: u8,
}

#[derive(Clone)]
struct ModelState {
    log: TestLog,
    publishers: [ModelPublisher; 2],
    cold_reader: replay::ConfigurationReplay,
    /// Number of expired records that the cold reader skipped, with [`ModelRules::SkipExpired`].
    skipped: u64,
    captured: Option<snapshot::Snapshot>,
    is_appended: bool,
}

#[derive(Clone, Copy, Debug)]
enum ModelStep {
    Read(usize),
    Send(usize),
    Capture,
    Append,
    Expire,
    ReadCold,
}

struct SearchResult {
    states: usize,
    violations: usize,
    /// Steps in which the cold reader installed the snapshot.
    snapshot_installs: usize,
}

impl ModelState {
    fn new() -> Self {
        let reader = replay::ConfigurationReplay::new(RETENTION);
        let publisher = ModelPublisher {
            reader: reader.clone(),
            patch: None,
            sends: 0,
        };
        Self {
            log: TestLog::new(),
            publishers: [publisher.clone(), publisher],
            cold_reader: reader,
            skipped: 0,
            captured: None,
            is_appended: false,
        }
    }

    /// State after a step; none when the step is not possible.
    fn after(&self, step: ModelStep, rules: ModelRules) -> Option<Self> {
        let mut next = self.clone();
        match step {
            ModelStep::Read(index) => {
                next.log.read(&mut next.publishers[index].reader, 1);
            }
            ModelStep::Send(index) => next.send(index)?,
            ModelStep::Capture => {
                if next.captured.is_some() {
                    return None;
                }
                next.captured = Some(next.publishers[0].reader.snapshot()?);
            }
            ModelStep::Append => {
                let mut snapshot = next.captured.clone()?;
                if next.is_appended {
                    return None;
                }
                next.is_appended = true;
                if rules == ModelRules::AsOfAtAppend {
                    snapshot.as_of = next.log.end();
                }
                let id = uuid::Uuid::from_u128(9);
                for part in
                    snapshot::encode_snapshot(id, &snapshot, snapshot::MAX_PART_BYTES).unwrap()
                {
                    next.log.append(part);
                }
            }
            ModelStep::Expire => {
                if next.log.first_retained >= MAX_EXPIRED || next.log.records.is_empty() {
                    return None;
                }
                next.log.expire();
            }
            ModelStep::ReadCold => next.read_cold(rules),
        }
        Some(next)
    }

    fn send(&mut self, index: usize) -> Option<()> {
        let publisher = &mut self.publishers[index];
        if publisher.sends >= MAX_SENDS[index] || !publisher.reader.is_following() {
            return None;
        }
        publisher.sends += 1;
        let base = publisher.reader.version();
        let patch = publisher
            .patch
            .get_or_insert_with(|| patch(index as u128, base));
        let record = snapshot::encode_patch(patch);
        self.log.append(record);
        Some(())
    }

    fn read_cold(&mut self, rules: ModelRules) {
        if rules != ModelRules::SkipExpired {
            self.log.read(&mut self.cold_reader, 1);
            return;
        }
        // The shifted log start hides the expired records from the reader.
        let position = self.cold_reader.next_offset() + self.skipped;
        self.skipped += self.log.first_retained.saturating_sub(position);
        let mut log = self.log.clone();
        log.first_retained -= self.skipped;
        log.read(&mut self.cold_reader, 1);
    }

    fn is_valid(&self, before: &Self) -> bool {
        let readers = self.publishers.iter().map(|publisher| &publisher.reader);
        let earlier = before.publishers.iter().map(|publisher| &publisher.reader);
        let is_monotonic = readers
            .clone()
            .chain([&self.cold_reader])
            .zip(earlier.chain([&before.cold_reader]))
            .all(|(now, then)| now.version() >= then.version());
        let offset = usize::try_from(self.cold_reader.next_offset() + self.skipped).unwrap();
        let is_cold_valid = !self.cold_reader.is_following()
            || self.cold_reader.configuration() == self.log.history.get(offset);
        is_monotonic && is_cold_valid && readers.into_iter().all(|reader| self.log.agrees(reader))
    }

    /// Hash of everything that later steps depend on. Snapshots have one part here, so position,
    /// version and phase describe a reader.
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let position = |reader: &replay::ConfigurationReplay| {
            (
                reader.next_offset(),
                reader.version(),
                reader.is_following(),
            )
        };
        self.log.records.hash(&mut hasher);
        for configuration in &self.log.history {
            for adapter in configuration.adapters() {
                adapter.name.hash(&mut hasher);
            }
            configuration.version().hash(&mut hasher);
        }
        (self.log.first_retained, self.skipped, self.is_appended).hash(&mut hasher);
        position(&self.cold_reader).hash(&mut hasher);
        for publisher in &self.publishers {
            let base = publisher.patch.as_ref().map(|patch| patch.base);
            (position(&publisher.reader), publisher.sends, base).hash(&mut hasher);
        }
        let captured = self.captured.as_ref();
        captured.map(|snapshot| snapshot.as_of).hash(&mut hasher);
        hasher.finish()
    }
}

fn search(rules: ModelRules) -> SearchResult {
    let steps = [
        ModelStep::Read(0),
        ModelStep::Read(1),
        ModelStep::Send(0),
        ModelStep::Send(1),
        ModelStep::Capture,
        ModelStep::Append,
        ModelStep::Expire,
        ModelStep::ReadCold,
    ];
    let start = ModelState::new();
    let mut seen = HashSet::from([start.state_hash()]);
    let mut pending = vec![start];
    let mut result = SearchResult {
        states: 0,
        violations: 0,
        snapshot_installs: 0,
    };
    while let Some(state) = pending.pop() {
        result.states += 1;
        for step in steps {
            let Some(next) = state.after(step, rules) else {
                continue;
            };
            if !next.is_valid(&state) {
                result.violations += 1;
                continue;
            }
            let is_rewound = next.cold_reader.next_offset() < state.cold_reader.next_offset();
            result.snapshot_installs += usize::from(is_rewound);
            if seen.insert(next.state_hash()) {
                pending.push(next);
            }
        }
    }
    println!(
        "{rules:?}: {} states, {} violations, {} snapshot installs",
        result.states, result.violations, result.snapshot_installs
    );
    result
}

// Guards against an order of appends, reads, expiry and snapshots after which readers differ.
#[test]
fn readers_agree_in_every_interleaving() {
    let result = search(ModelRules::Correct);
    assert_eq!(result.violations, 0);
    assert!(result.states > 1_000 && result.snapshot_installs > 0);
}

// Guards against a search that cannot detect a violation.
#[test]
fn search_detects_broken_rules() {
    assert!(search(ModelRules::AsOfAtAppend).violations > 0);
    assert!(search(ModelRules::SkipExpired).violations > 0);
}

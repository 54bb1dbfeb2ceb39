//! In-memory log and builders shared by the replay tests.

use std::{collections::VecDeque, sync::Arc, time};

use decisions::units;
use operators::{
    configuration::{self, Configuration},
    patch, replay,
};
use rand::SeedableRng;
use uuid::Uuid;

pub const RETENTION: time::Duration = time::Duration::from_secs(4_000);

/// Log with the configuration after each record, as computed by a reader that reads every record.
#[derive(Clone)]
pub struct TestLog {
    pub first_retained: u64,
    pub records: VecDeque<Arc<Vec<u8>>>,
    pub reference: replay::ConfigurationReplay,
    pub history: Vec<Arc<Configuration>>,
}

impl TestLog {
    pub fn new() -> Self {
        Self {
            first_retained: 0,
            records: VecDeque::new(),
            reference: replay::ConfigurationReplay::new(RETENTION),
            history: vec![Arc::default()],
        }
    }

    pub fn end(&self) -> u64 {
        self.first_retained + self.records.len() as u64
    }

    pub fn append(&mut self, payload: Vec<u8>) -> Vec<replay::PatchDecision> {
        self.records.push_back(Arc::new(payload));
        let mut reference = self.reference.clone();
        let decisions = self.read(&mut reference, 1);
        self.history
            .push(Arc::clone(reference.configuration().unwrap()));
        self.reference = reference;
        decisions
    }

    pub fn expire(&mut self) {
        if self.records.pop_front().is_some() {
            self.first_retained += 1;
        }
    }

    /// Lets a reader read at most `max` records at virtual time 0.
    pub fn read(
        &self,
        reader: &mut replay::ConfigurationReplay,
        max: usize,
    ) -> Vec<replay::PatchDecision> {
        self.read_at(reader, max, units::Timestamp(0))
    }

    pub fn read_at(
        &self,
        reader: &mut replay::ConfigurationReplay,
        max: usize,
        now: units::Timestamp,
    ) -> Vec<replay::PatchDecision> {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
        let start = reader.next_offset().max(self.first_retained);
        let views: Vec<replay::RecordView<'_>> = (start..self.end())
            .take(max)
            .map(|offset| replay::RecordView {
                offset,
                payload: &self.records[usize::try_from(offset - self.first_retained).unwrap()],
            })
            .collect();
        let batch = replay::BatchView {
            first_retained: self.first_retained,
            end: self.end(),
            records: &views,
        };
        reader.apply_batch(&batch, now, &mut rng)
    }

    /// A reader that claims to be at an offset must hold the state of the log at that offset.
    pub fn agrees(&self, reader: &replay::ConfigurationReplay) -> bool {
        let offset = usize::try_from(reader.next_offset()).unwrap();
        !reader.is_following() || reader.configuration() == self.history.get(offset)
    }
}

pub fn adapter(name: &str, priority: units::Priority) -> configuration::AdapterEntry {
    configuration::AdapterEntry {
        name: name.into(),
        base_model: "m-8b".into(),
        operator: "northlink".into(),
        versions: [1, 2].into(),
        default_version: 2,
        priority,
    }
}

pub fn patch(id: u128, base: u64) -> patch::Patch {
    let name = format!("adapter-{id}-{base}");
    patch::Patch {
        id: patch::PatchId(Uuid::from_u128(id)),
        base,
        changes: vec![patch::ConfigurationChange::AddAdapter(adapter(
            &name,
            units::Priority::Normal,
        ))],
    }
}

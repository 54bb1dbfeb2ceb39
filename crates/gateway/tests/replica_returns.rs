//! Tables of replicas over drawn series of writes, copies and returns of the store.

use std::collections::BTreeMap;

use decisions::{software_version::SoftwareVersion, units::Timestamp};
use gateway::{
    replica_table::ReplicaTable,
    store::{ChangeBatch, ReplicaChange, ReplicaRecord, StorePosition},
};
use proptest::prelude::*;

const REPLICAS: usize = 3;
const READERS: usize = 3;
const MAX_STEPS: usize = 60;
/// All reads are within the time for which records are held back.
const NOW: Timestamp = Timestamp(60_000_000);

/// What a replica has last said of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Ready { start: u64 },
    Draining { start: u64 },
    Gone { start: u64 },
}

impl State {
    fn start(self) -> u64 {
        match self {
            Self::Ready { start } | Self::Draining { start } | Self::Gone { start } => start,
        }
    }

    /// State after the next event in the life of a replica.
    fn next(self) -> Self {
        match self {
            Self::Ready { start } => Self::Draining { start },
            Self::Draining { start } => Self::Gone { start },
            Self::Gone { start } => Self::Ready { start: start + 1 },
        }
    }

    fn change(self, replica: usize) -> ReplicaChange {
        let id = id(replica);
        if matches!(self, Self::Gone { .. }) {
            return ReplicaChange::Removed { id };
        }
        ReplicaChange::Updated(ReplicaRecord {
            id,
            incarnation: self.start(),
            service: "desk".to_owned(),
            address: "10.1.0.4:8200".parse().unwrap(),
            data_centre: "north".to_owned(),
            software: SoftwareVersion::default(),
            slots: 8,
            is_draining: matches!(self, Self::Draining { .. }),
            models: Vec::new(),
        })
    }
}

fn id(replica: usize) -> String {
    format!("desk-{replica}")
}

#[derive(Clone, Debug)]
enum Step {
    /// A replica goes on in its life and writes it.
    Live {
        replica: usize,
    },
    /// A replica writes its state again.
    Rewrite {
        replica: usize,
    },
    Copy,
    Return,
    Read {
        reader: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..REPLICAS).prop_map(|replica| Step::Live { replica }),
        2 => (0..REPLICAS).prop_map(|replica| Step::Rewrite { replica }),
        1 => Just(Step::Copy),
        1 => Just(Step::Return),
        6 => (0..READERS).prop_map(|reader| Step::Read { reader }),
    ];
    prop::collection::vec(step, 1..MAX_STEPS)
}

#[derive(Default)]
struct ModelStore {
    history: u64,
    records: Vec<(usize, State)>,
    copy: Vec<(usize, State)>,
}

struct Reader {
    table: ReplicaTable,
    from: Option<StorePosition>,
    /// Newest state that it has read of each replica.
    newest: [State; REPLICAS],
}

impl Reader {
    fn new() -> Self {
        Self {
            table: ReplicaTable::new("north", 7380),
            from: None,
            newest: [State::Gone { start: 0 }; REPLICAS],
        }
    }

    /// Reads as a follower does: all records where the history was replaced.
    fn read(&mut self, store: &ModelStore) {
        let from = self.from.filter(|from| from.history == store.history);
        let offsets = (0..).zip(store.records.iter().copied());
        let read: Vec<(u64, (usize, State))> = if let Some(from) = from {
            let since = offsets.filter(|(offset, _)| *offset >= from.offset);
            since.collect()
        } else {
            let newest = offsets.map(|(offset, written)| (written.0, (offset, written)));
            let newest: BTreeMap<usize, (u64, (usize, State))> = newest.collect();
            let listed = newest.into_values();
            let is_listed = |state: State| !matches!(state, State::Gone { .. });
            listed.filter(|(_, (_, state))| is_listed(*state)).collect()
        };
        for (_, (replica, state)) in &read {
            self.record(*replica, *state);
        }
        let next = StorePosition {
            history: store.history,
            offset: u64::try_from(store.records.len()).unwrap(),
        };
        let changes = read
            .into_iter()
            .map(|(offset, (replica, state))| (offset, state.change(replica)))
            .collect();
        let batch = ChangeBatch {
            changes,
            next,
            is_complete: from.is_none(),
            reaches_end: true,
        };
        self.table.apply_batch(batch, None, NOW);
        self.table.apply_due(NOW);
        self.from = Some(next);
    }

    fn record(&mut self, replica: usize, state: State) {
        let rank = |state: State| match state {
            State::Ready { start } => (start, 0),
            State::Draining { start } => (start, 1),
            State::Gone { start } => (start, 2),
        };
        if rank(state) > rank(self.newest[replica]) {
            self.newest[replica] = state;
        }
    }

    fn sends_to(&self, replica: usize) -> Option<u64> {
        let found = self.table.find_available(&id(replica), NOW);
        found.map(|replica| replica.incarnation)
    }

    /// Whether it sends to no start of a replica that it has read to be over.
    fn keeps_what_it_knows(&self, replica: usize) -> bool {
        let Some(start) = self.sends_to(replica) else {
            return true;
        };
        match self.newest[replica] {
            State::Ready { start: newest } => start >= newest,
            State::Draining { start: newest } | State::Gone { start: newest } => start > newest,
        }
    }
}

// Guards against tables that go back to what an older copy of the store says, or stay behind what is
// written after a return.
#[test]
fn tables_follow_the_replicas_over_returns() {
    proptest!(|(steps in steps())| {
        let mut store = ModelStore::default();
        let mut states = [State::Gone { start: 0 }; REPLICAS];
        let mut readers: Vec<_> = (0..READERS).map(|_| Reader::new()).collect();
        for step in steps {
            match step {
                Step::Live { replica } => {
                    states[replica] = states[replica].next();
                    store.records.push((replica, states[replica]));
                }
                Step::Rewrite { replica } => store.records.push((replica, states[replica])),
                Step::Copy => store.copy.clone_from(&store.records),
                Step::Return => {
                    store.records.clone_from(&store.copy);
                    store.history += 1;
                }
                Step::Read { reader } => {
                    readers[reader].read(&store);
                    for replica in 0..REPLICAS {
                        prop_assert!(readers[reader].keeps_what_it_knows(replica));
                    }
                }
            }
        }
        for reader in &mut readers {
            reader.read(&store);
        }
        store.records.extend(states.into_iter().enumerate());
        for reader in &mut readers {
            reader.read(&store);
            for (replica, state) in states.into_iter().enumerate() {
                let expected = match state {
                    State::Ready { start } => Some(start),
                    State::Draining { .. } | State::Gone { .. } => None,
                };
                prop_assert_eq!(reader.sends_to(replica), expected);
            }
        }
    });
}

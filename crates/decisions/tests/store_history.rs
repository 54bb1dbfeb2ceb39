//! Which answers of the store belong to one history, and what a reader knows after returns from
//! older copies.

use decisions::store_history::{
    HistoryCause,
    StatedEra::{self, Missing, Number, Unreadable},
    StoreHistory,
};
use proptest::prelude::*;
use test_case::test_case;

/// Answers in order: the history in which each request was sent, the era that the answer states, and
/// whether the answer may be used.
type Answers<'a> = &'a [(u64, StatedEra, bool)];

// Guards against an offset that is used in another history than its own, against a late answer
// that counts as a return of the store, and against reads without end at a store that states no era.
#[test_case(&[(0, Number(4), true), (0, Number(4), true)], 0, None; "one era")]
#[test_case(&[(0, Missing, true), (0, Missing, true)], 0, None; "no era")]
#[test_case(&[(0, Number(4), true), (0, Number(5), false), (1, Number(5), true)], 1,
    Some(HistoryCause::EraRose); "return")]
#[test_case(&[(0, Number(4), true), (0, Number(5), false), (0, Number(4), false),
    (0, Number(5), false), (1, Number(5), true)], 1, Some(HistoryCause::EraRose); "late answers")]
#[test_case(&[(0, Number(4), true), (0, Number(5), false), (0, Number(6), false),
    (1, Number(5), false), (2, Number(6), true)], 2, Some(HistoryCause::EraRose); "two returns")]
#[test_case(&[(0, Number(4), true), (0, Number(3), false), (1, Number(3), true)], 1,
    Some(HistoryCause::EraFell); "era falls")]
#[test_case(&[(0, Number(4), true), (0, Missing, false), (1, Missing, true)], 1,
    Some(HistoryCause::EraNotStated); "era is missing")]
#[test_case(&[(0, Number(4), true), (0, Unreadable, false), (1, Unreadable, true)], 1,
    Some(HistoryCause::EraNotStated); "era cannot be read")]
#[test_case(&[(0, Missing, true), (0, Number(4), false), (0, Missing, false), (1, Number(4), true)], 1,
    Some(HistoryCause::EraStated); "era is stated later")]
fn answers_belong_to_the_history_of_their_requests(
    answers: Answers,
    number: u64,
    cause: Option<HistoryCause>,
) {
    let mut history = StoreHistory::default();
    for (position, (sent_in, era, is_usable)) in answers.iter().enumerate() {
        let used = history.record_answer(*sent_in, *era);
        assert_eq!(used, *is_usable, "answer {position} of {answers:?}");
    }
    assert_eq!(history.number(), number);
    assert_eq!(history.change().map(|change| change.cause), cause);
}

// Guards against offsets that the store has lost and that are read from again, and against a second
// history that begins because of a read from before.
#[test]
fn lost_offsets_begin_one_history() {
    let mut history = StoreHistory::default();
    assert!(history.record_answer(0, Missing));
    history.record_lost_offsets(0);
    history.record_lost_offsets(0);
    assert_eq!(history.number(), 1);
    let cause = history.change().unwrap().cause;
    assert_eq!(cause, HistoryCause::OffsetsLost);
}

/// Step of a run.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator writes the next version.
    Write,
    Copy,
    /// The store returns from its copy; the versions written since are gone.
    Return,
    /// The operator writes the newest version again.
    Rewrite,
    Read {
        reader: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Write),
        1 => Just(Step::Copy),
        1 => Just(Step::Return),
        2 => Just(Step::Rewrite),
        6 => (0..READERS).prop_map(|reader| Step::Read { reader }),
    ];
    prop::collection::vec(step, 1..80)
}

const READERS: usize = 3;

/// Store of one topic with versions as its records.
#[derive(Default)]
struct ModelStore {
    records: Vec<u64>,
    copy: Vec<u64>,
    era: u64,
}

/// Reader that keeps the newest version, as gateways do.
#[derive(Default)]
struct ModelReader {
    history: StoreHistory,
    /// History and offset of the next read; `None` reads all records.
    position: Option<(u64, usize)>,
    version: u64,
}

impl ModelReader {
    fn read(&mut self, store: &ModelStore) {
        let sent_in = self.history.number();
        let from = self.position.map_or(0, |(_, offset)| offset);
        if !self.history.record_answer(sent_in, Number(store.era)) {
            self.position = None;
            return;
        }
        assert!(from <= store.records.len(), "offset of another history");
        for version in &store.records[from..] {
            self.version = self.version.max(*version);
        }
        self.position = Some((sent_in, store.records.len()));
    }
}

// Guards against a reader that misses a record for ever, because the store has returned from a copy
// and the record was written below the reader's offset.
#[test]
fn readers_hold_the_newest_version_after_returns() {
    proptest!(|(steps in steps())| {
        let mut store = ModelStore::default();
        let mut readers: Vec<_> = (0..READERS).map(|_| ModelReader::default()).collect();
        let mut written = 0;
        for step in steps {
            match step {
                Step::Write => {
                    written += 1;
                    store.records.push(written);
                }
                Step::Copy => store.copy.clone_from(&store.records),
                Step::Return => {
                    store.records.clone_from(&store.copy);
                    store.era += 1;
                }
                Step::Rewrite => store.records.push(written),
                Step::Read { reader } => {
                    let known = readers[reader].version;
                    readers[reader].read(&store);
                    prop_assert!(readers[reader].version >= known);
                }
            }
        }
        store.records.push(written);
        for reader in &mut readers {
            // The first read may find that the history was replaced.
            reader.read(&store);
            reader.read(&store);
            prop_assert_eq!(reader.version, written);
        }
    });
}

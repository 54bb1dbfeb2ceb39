//! Properties of the request table for arbitrary sequences of calls.

use std::time;

use decisions::{
    ids,
    request_table::{self, CancelOutcome, RequestState},
    units,
};
use proptest::prelude::*;

fn request(entry: u64, sequence: u64) -> ids::RequestId {
    let entry = ids::Incarnation(entry);
    ids::RequestId { entry, sequence }
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Admit,
    Start,
    Finish,
    Fail,
    Cancel,
}

fn calls() -> impl Strategy<Value = Vec<(Call, u64, u64)>> {
    let call = prop_oneof![
        Just(Call::Admit),
        Just(Call::Start),
        Just(Call::Finish),
        Just(Call::Fail),
        Just(Call::Cancel),
    ];
    prop::collection::vec((call, 0..2_u64, 0..4_u64), 1..200)
}

/// Results of the calls for one request.
#[derive(Clone, Copy, Debug, Default)]
struct CallResults {
    ran: u32,
    not_run: u32,
}

proptest! {
    // Guards against a request that runs twice, or runs although `not_run` was reported.
    #[test]
    fn request_runs_at_most_once_and_never_after_not_run(calls in calls()) {
        let mut table = request_table::RequestTable::default();
        let mut results = [[CallResults::default(); 4]; 2];
        for (second, (call, entry, sequence)) in (0_u64..).zip(calls) {
            let now = units::Timestamp(second * 1_000_000);
            let request = request(entry, sequence);
            let results = &mut results[usize::try_from(entry).unwrap()][usize::try_from(sequence).unwrap()];
            let before = table.state(request);
            match call {
                Call::Admit => {
                    prop_assert_eq!(table.admit(request, now).err(), before);
                }
                Call::Start => results.ran += u32::from(table.start(request, now)),
                Call::Finish => table.finish(request, now),
                Call::Fail => table.fail(request, now),
                Call::Cancel => {
                    let outcome = table.cancel(request, now);
                    results.not_run += u32::from(outcome == CancelOutcome::NotRun);
                    prop_assert_eq!(outcome == CancelOutcome::Running, table.is_cancelling(request));
                }
            }
            table.expire(now);
            prop_assert!(results.ran <= 1);
            prop_assert!(results.ran == 0 || results.not_run == 0);
            prop_assert!(before.is_none_or(RequestState::is_open) || table.state(request) == before);
        }
    }
}

// Guards against the removal of an open request, and of an ended one while a repeated dispatch may
// still arrive.
#[test]
fn only_ended_requests_expire() {
    let mut table = request_table::RequestTable::default();
    let start = units::Timestamp(0);
    for sequence in 0..4 {
        table.admit(request(1, sequence), start).unwrap();
        assert!(sequence == 0 || table.start(request(1, sequence), start));
    }
    table.finish(request(1, 2), start);
    table.fail(request(1, 3), start + time::Duration::from_secs(1));
    table.expire(start + request_table::RETENTION);
    let states: Vec<_> = (0..4).map(|n| table.state(request(1, n))).collect();
    let open = [Some(RequestState::Queued), Some(RequestState::Running)];
    assert_eq!(states[..2], open);
    assert_eq!(states[2..], [None, Some(RequestState::Failed)]);
    let later = start + request_table::RETENTION * 2;
    assert_eq!(table.cancel(request(1, 3), later), CancelOutcome::Failed);
    table.expire(later);
    assert_eq!(table.len(), 2);
}

// Guards against lost requests when sequence numbers arrive out of order.
#[test]
fn out_of_order_sequences_are_found() {
    let mut table = request_table::RequestTable::default();
    let start = units::Timestamp(0);
    for number in 0..1_000_u64 {
        let scrambled = number * 387 % 1_000;
        table
            .admit(request(scrambled % 7, scrambled), start)
            .unwrap();
    }
    assert_eq!(table.len(), 1_000);
    let known = (0..1_000).filter(|n| table.state(request(n % 7, *n)).is_some());
    assert_eq!(known.count(), 1_000);
}

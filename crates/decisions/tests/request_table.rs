//! Properties of the request table over arbitrary sequences of calls.

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

/// What callers have been told about one request.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    ran: u32,
    not_run: u32,
}

proptest! {
    // Guards against a request that runs twice, or runs although a caller was told `not_run`.
    #[test]
    fn no_request_is_both_not_run_and_run(calls in calls()) {
        let mut table = request_table::RequestTable::default();
        let mut told = [[Told::default(); 4]; 2];
        for (second, (call, entry, sequence)) in (0_u64..).zip(calls) {
            let now = units::Timestamp(second * 1_000_000);
            let request = request(entry, sequence);
            let told = &mut told[usize::try_from(entry).unwrap()][usize::try_from(sequence).unwrap()];
            let before = table.state(request);
            match call {
                Call::Admit => {
                    prop_assert_eq!(table.admit(request, now).err(), before);
                }
                Call::Start => told.ran += u32::from(table.start(request, now)),
                Call::Finish => table.finish(request, now),
                Call::Fail => table.fail(request, now),
                Call::Cancel => {
                    let outcome = table.cancel(request, now);
                    told.not_run += u32::from(outcome == CancelOutcome::NotRun);
                    prop_assert_eq!(outcome == CancelOutcome::Running, table.is_cancelling(request));
                }
            }
            table.expire(now);
            prop_assert!(told.ran <= 1);
            prop_assert!(told.ran == 0 || told.not_run == 0);
            prop_assert!(before.is_none_or(RequestState::is_open) || table.state(request) == before);
        }
    }
}

// Guards against an open request that is dropped with the old ones, and an ended one dropped
// while a repeated dispatch may still arrive.
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

// Guards against requests of one entry that are lost when those of others arrive out of order.
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

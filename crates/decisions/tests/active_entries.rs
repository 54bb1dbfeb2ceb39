//! Prompt parts that entries have told a broker they keep from engines.

#[allow(dead_code)]
mod support;

use decisions::active_entries::ActiveEntries;
use support::at;
use test_case::test_case;

const PART: u64 = 7;
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const RESTARTED: u64 = 3;
/// Interval of heartbeats.
const INTERVAL_MS: u64 = 500;

/// Records the heartbeats of an entry in a period.
fn call(entries: &mut ActiveEntries, incarnation: u64, parts: &[u64], from_ms: u64, to_ms: u64) {
    for now_ms in (from_ms..=to_ms).step_by(usize::try_from(INTERVAL_MS).unwrap()) {
        entries.record_call(incarnation, at(now_ms));
        entries.record_blocked_parts(incarnation, parts.to_vec());
        entries.expire(at(now_ms));
    }
}

// Guards against a part that ends engines again because all entries that knew it were killed at once.
#[test_case(3_000, &[PART]; "just started")]
#[test_case(30_000, &[PART]; "before the next trial")]
#[test_case(70_000, &[]; "after the next trial is due")]
fn part_is_kept_after_the_loss_of_all_entries(asked_ms: u64, expected: &[u64]) {
    let mut entries = ActiveEntries::default();
    call(&mut entries, FIRST, &[PART], 0, 5_000);
    call(&mut entries, SECOND, &[], 200, 5_200);
    call(&mut entries, RESTARTED, &[], 6_200, 5_000 + asked_ms);
    let parts = entries.parts_blocked_by_others(RESTARTED, at(5_000 + asked_ms));
    assert_eq!(parts, expected);
}

// Guards against a sound part that is refused because an entry ended before the others found it sound.
#[test]
fn part_ends_with_its_entry_while_another_one_goes_on() {
    let mut entries = ActiveEntries::default();
    call(&mut entries, SECOND, &[], 0, 500);
    call(&mut entries, FIRST, &[PART], 500, 5_000);
    call(&mut entries, SECOND, &[], 5_000, 8_500);
    assert!(
        entries
            .parts_blocked_by_others(SECOND, at(8_500))
            .is_empty()
    );
}

// Guards against an entry that adopts its own verdict, which would never end.
#[test]
fn entry_is_not_told_its_own_parts() {
    let mut entries = ActiveEntries::default();
    call(&mut entries, FIRST, &[PART], 0, 500);
    assert!(entries.parts_blocked_by_others(FIRST, at(500)).is_empty());
    assert_eq!(entries.parts_blocked_by_others(SECOND, at(500)), [PART]);
}

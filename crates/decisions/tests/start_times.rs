//! Measured time between the starts of requests at an engine.

use std::time;

use decisions::{start_times::StartTimes, units};
use test_case::test_case;

// Guards against a backlog told by an assumed speed: engines differ, and neighbours slow them.
#[test_case(40)]
#[test_case(250)]
fn the_interval_follows_the_engine(step_ms: u64) {
    let mut starts = StartTimes::default();
    let mut unstarted = 0_u32;
    for step in 0..200 {
        while starts.unstarted() < 2 {
            starts.granted();
            unstarted += 1;
        }
        unstarted = unstarted.saturating_sub(1);
        starts.observe(unstarted, units::Timestamp(step * step_ms * 1000));
    }
    let expected = time::Duration::from_millis(step_ms);
    let off = starts.interval().abs_diff(expected);
    assert!(off < expected / 5, "{:?}", starts.interval());
}

// Guards against idle time that is taken for a slow engine.
#[test]
fn idle_time_does_not_count() {
    let mut starts = StartTimes::default();
    let before = starts.interval();
    for step in 0..100 {
        starts.observe(0, units::Timestamp(step * 1_000_000));
    }
    assert_eq!(starts.interval(), before);
}

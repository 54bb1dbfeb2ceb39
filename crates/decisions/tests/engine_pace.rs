//! Times that are measured from an engine's reports.

use std::time;

use decisions::{engine_pace::EnginePace, engine_report::*, units};
use test_case::test_case;

const READ_TOKENS: u64 = 2_000;

fn at(millis: u64) -> units::Timestamp {
    units::Timestamp(millis * 1000)
}

fn report(unstarted: u32, tokens: Option<u64>) -> SlotReport {
    let started = tokens.map(|tokens| StartedRequest {
        request: "request-1".to_owned(),
        tokens,
    });
    SlotReport {
        unstarted,
        started: started.into_iter().collect(),
        ..SlotReport::default()
    }
}

/// Engine that has read prompts of 2,000 tokens in 300 ms each and made a token every 60 ms.
fn slow_pace() -> EnginePace {
    let mut pace = EnginePace::default();
    for step in 0..200 {
        let read = if step % 5 == 4 { READ_TOKENS } else { 0 };
        pace.observe(&report(1, Some(2_000 + step)), read, at(step * 60));
    }
    pace
}

// Guards against a backlog that is judged by the pace of a calm engine while neighbours slow it.
#[test]
fn the_times_follow_a_slow_engine() {
    let pace = slow_pace();
    let read = pace.read_time(READ_TOKENS).as_millis();
    assert!((280..=320).contains(&read), "{read} ms");
    let answer = pace.answer_time(10).as_millis();
    assert!((560..=640).contains(&answer), "{answer} ms");
}

// Guards against an engine that gets nothing for good because it was slow when it was last used.
#[test]
fn the_times_of_an_idle_engine_are_forgotten() {
    let mut pace = slow_pace();
    for step in 0..40 {
        pace.observe(&report(0, None), 0, at(12_000 + step * 400));
    }
    assert!(pace.read_time(READ_TOKENS) < time::Duration::from_millis(100));
    assert!(pace.answer_time(10) < time::Duration::from_millis(200));
}

// Guards against a pace that is measured only while an event arrives: events hold several tokens,
// and most reports show none.
#[test]
fn reports_without_an_event_count() {
    let mut pace = EnginePace::default();
    for step in 0..2_400_u64 {
        let tokens = 2_000 + step / 12 * 3;
        pace.observe(&report(0, Some(tokens)), 0, at(step * 20));
    }
    let answer = pace.answer_time(10).as_millis();
    assert!((760..=840).contains(&answer), "{answer} ms");
}

// Guards against a backlog told by an assumed speed: engines differ, and neighbours slow them.
#[test_case(40)]
#[test_case(250)]
fn the_read_time_follows_the_engine(step_ms: u64) {
    let mut pace = EnginePace::default();
    for step in 0..200 {
        pace.observe(&report(1, None), READ_TOKENS, at(step * step_ms));
    }
    let expected = time::Duration::from_millis(step_ms);
    let off = pace.read_time(READ_TOKENS).abs_diff(expected);
    assert!(off < expected / 5, "{:?}", pace.read_time(READ_TOKENS));
}

// Guards against idle time that is taken for a slow engine.
#[test]
fn idle_time_does_not_count() {
    let mut pace = EnginePace::default();
    let before = pace.read_time(READ_TOKENS);
    for step in 0..100 {
        pace.observe(&report(0, None), 0, at(step * 1000));
    }
    assert_eq!(pace.read_time(READ_TOKENS), before);
}

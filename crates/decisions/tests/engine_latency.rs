//! Prefill and decode times measured from an engine's reports.

use std::time;

use decisions::{engine_latency::EngineLatency, engine_status::*, units};
use test_case::test_case;

const PROMPT_TOKENS: u64 = 2_000;

fn at(millis: u64) -> units::Timestamp {
    units::Timestamp(millis * 1000)
}

fn report(unstarted: u32, tokens: Option<u64>) -> EngineStatus {
    let started = tokens.map(|tokens| StartedRequest {
        request: "request-1".to_owned(),
        tokens,
    });
    EngineStatus {
        unstarted,
        started: started.into_iter().collect(),
        ..EngineStatus::default()
    }
}

/// Engine that has prefilled prompts of 2,000 tokens in 300 ms each and generated a token every 60 ms.
fn slow_engine() -> EngineLatency {
    let mut latency = EngineLatency::default();
    for step in 0..200 {
        let read = if step % 5 == 4 { PROMPT_TOKENS } else { 0 };
        latency.observe(&report(1, Some(2_000 + step)), read, at(step * 60));
    }
    latency
}

// Guards against a backlog estimated with the latency of an idle engine while neighbours slow it.
#[test]
fn estimates_follow_a_slow_engine() {
    let latency = slow_engine();
    let read = latency.prefill_time(PROMPT_TOKENS).as_millis();
    assert!((280..=320).contains(&read), "{read} ms");
    let decode_time = latency.decode_time(10).as_millis();
    assert!((560..=640).contains(&decode_time), "{decode_time} ms");
}

// Guards against an engine that never gets requests again because it was slow when last used.
#[test]
fn estimates_of_an_idle_engine_decay() {
    let mut latency = slow_engine();
    for step in 0..40 {
        latency.observe(&report(0, None), 0, at(12_000 + step * 400));
    }
    assert!(latency.prefill_time(PROMPT_TOKENS) < time::Duration::from_millis(100));
    assert!(latency.decode_time(10) < time::Duration::from_millis(200));
}

// Guards against a decode time measured only in reports with an event: events hold several tokens,
// and most reports show none.
#[test]
fn reports_without_an_event_count_towards_decode_time() {
    let mut latency = EngineLatency::default();
    for step in 0..2_400_u64 {
        let tokens = 2_000 + step / 12 * 3;
        latency.observe(&report(0, Some(tokens)), 0, at(step * 20));
    }
    let decode_time = latency.decode_time(10).as_millis();
    assert!((760..=840).contains(&decode_time), "{decode_time} ms");
}

// Guards against a backlog estimated with an assumed speed: engines differ, and neighbours slow them.
#[test_case(40)]
#[test_case(250)]
fn the_read_time_follows_the_engine(step_ms: u64) {
    let mut latency = EngineLatency::default();
    for step in 0..200 {
        latency.observe(&report(1, None), PROMPT_TOKENS, at(step * step_ms));
    }
    let expected = time::Duration::from_millis(step_ms);
    let off = latency.prefill_time(PROMPT_TOKENS).abs_diff(expected);
    assert!(
        off < expected / 5,
        "{:?}",
        latency.prefill_time(PROMPT_TOKENS)
    );
}

// Guards against idle time measured as prefill time.
#[test]
fn idle_time_does_not_count() {
    let mut latency = EngineLatency::default();
    let before = latency.prefill_time(PROMPT_TOKENS);
    for step in 0..100 {
        latency.observe(&report(0, None), 0, at(step * 1000));
    }
    assert_eq!(latency.prefill_time(PROMPT_TOKENS), before);
}

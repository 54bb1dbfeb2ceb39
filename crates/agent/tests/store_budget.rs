//! Several agents that share the weight store and learn of each other through two entries.

use std::time;

use agent::store_budget::StoreBudget;
use decisions::{load_budget, units};
use peers::message::PeerDemand;
use test_case::test_case;

const AGENTS: usize = 4;
const STEP: time::Duration = time::Duration::from_millis(10);
const SECONDS: u32 = 60;
/// Steps between two polls of one entry.
const POLL_STEPS: usize = 20;

/// How agents learn of each other's demand; times are in steps.
#[derive(Clone, Copy)]
struct Reports {
    lag: usize,
    cut: usize,
    gone: usize,
    /// Whether one entry knows only the agent that it polls.
    is_partial: bool,
}

const FRESH: Reports = Reports {
    lag: 0,
    cut: usize::MAX,
    gone: usize::MAX,
    is_partial: false,
};

/// Starts in 60 s of four agents with a backlog that never ends. Reports are `lag` steps old at
/// one entry and twice as old at the other, and none arrive after step `cut`. From step `gone` on,
/// the last agent is unknown to the entries but goes on loading, as when a network splits.
fn starts(reports: Reports) -> u32 {
    let Reports {
        lag,
        cut,
        gone,
        is_partial,
    } = reports;
    let start = units::Timestamp(0);
    let budgets: Vec<_> = (0..)
        .take(AGENTS)
        .map(|seed| StoreBudget::new(4, seed, start))
        .collect();
    let mut history: Vec<[u32; AGENTS]> = Vec::new();
    let mut starts = 0;
    for step in 0..usize::try_from(SECONDS * 100).unwrap() {
        let now = start + STEP * u32::try_from(step).unwrap();
        // Demand moves between the agents every second.
        let waiting =
            std::array::from_fn(|agent| if agent == step / 100 % AGENTS { 40 } else { 5 });
        history.push(waiting);
        for (agent, budget) in budgets.iter().enumerate() {
            let is_split = step >= gone && agent + 1 == AGENTS;
            let entry = 1 + (step / POLL_STEPS) % 2;
            if step % POLL_STEPS == agent && step < cut && !is_split {
                let age = (lag * entry).min(step);
                let reported = &history[step - age];
                let known = if step >= gone.saturating_add(200) {
                    AGENTS - 1
                } else {
                    AGENTS
                };
                let others = (0..known).filter(|other| *other != agent);
                let peers = PeerDemand {
                    waiting: others.map(|other| reported[other]).sum(),
                    agents: u32::try_from(known).unwrap(),
                    age: STEP * u32::try_from(age).unwrap(),
                };
                let alone = PeerDemand {
                    agents: 1,
                    ..PeerDemand::default()
                };
                let peers = if is_partial && entry == 2 {
                    alone
                } else {
                    peers
                };
                budget.update_demand(waiting[agent], &peers, now);
            }
            if budget.try_start_load(now) {
                starts += 1;
                budget.record_load_end(load_budget::NOMINAL_LOAD_TIME, now);
            }
        }
    }
    starts
}

// Guards against agents that together exceed the store's rate when reports lag or stop, when an
// agent is gone, or when an entry has just started. A tenth is allowed for bursts.
#[test_case(FRESH; "fresh reports")]
#[test_case(Reports { lag: 100, ..FRESH }; "late reports")]
#[test_case(Reports { lag: 50, cut: 2000, ..FRESH }; "reports stop")]
#[test_case(Reports { lag: 50, gone: 2000, ..FRESH }; "an agent is gone")]
#[test_case(Reports { lag: 50, is_partial: true, ..FRESH }; "an entry knows one agent")]
fn sum_of_starts_stays_within_the_rate(reports: Reports) {
    let limit = load_budget::STORE_RATE * f64::from(SECONDS) * 1.1;
    let starts = starts(reports);
    println!("{starts} starts, limit {limit}");
    assert!(f64::from(starts) <= limit, "{starts} starts, limit {limit}");
}

// Guards against an entry that has just started and whose newer view of few agents takes the share
// of the only agent with demand away.
#[test]
fn view_of_more_agents_is_preferred() {
    let start = units::Timestamp(0);
    let budget = StoreBudget::new(4, 1, start);
    let mut starts = 0;
    for step in 0..3000 {
        let now = start + STEP * step;
        let agents = if step % 40 == 0 { 4 } else { 1 };
        if step % 20 == 0 {
            let peers = PeerDemand {
                agents,
                ..PeerDemand::default()
            };
            budget.update_demand(40, &peers, now);
        }
        if budget.try_start_load(now) {
            starts += 1;
            budget.record_load_end(load_budget::NOMINAL_LOAD_TIME, now);
        }
    }
    assert!(starts > 90, "{starts} starts of 110 that its share allows");
}

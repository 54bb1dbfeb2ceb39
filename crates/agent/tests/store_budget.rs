//! Agents that share the weight store and learn each other's demand through two entries.

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

/// Delivery of demand reports to the agents; times are in steps.
#[derive(Clone, Copy)]
struct ReportPattern {
    lag: usize,
    stop_step: usize,
    split_step: usize,
    /// Whether one of the entries knows only the agent that it polls.
    is_partial: bool,
}

const FRESH_REPORTS: ReportPattern = ReportPattern {
    lag: 0,
    stop_step: usize::MAX,
    split_step: usize::MAX,
    is_partial: false,
};

/// Load starts in 60 s of four agents with a permanent backlog. Reports are `lag` steps old at one
/// entry and twice as old at the other, and stop after step `stop_step`. From step `split_step` on,
/// the last agent is unknown to the entries but continues to load, as in a network partition.
fn count_load_starts(reports: ReportPattern) -> u32 {
    let ReportPattern {
        lag,
        stop_step,
        split_step,
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
            let is_split = step >= split_step && agent + 1 == AGENTS;
            let entry = 1 + (step / POLL_STEPS) % 2;
            if step % POLL_STEPS == agent && step < stop_step && !is_split {
                let age = (lag * entry).min(step);
                let reported = &history[step - age];
                let known = if step >= split_step.saturating_add(200) {
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

// Guards against agents that together exceed the store's rate when reports are delayed or stop,
// when an agent is partitioned, or when an entry has just started. Allows 10 % for bursts.
#[test_case(FRESH_REPORTS; "fresh reports")]
#[test_case(ReportPattern { lag: 100, ..FRESH_REPORTS }; "delayed reports")]
#[test_case(ReportPattern { lag: 50, stop_step: 2000, ..FRESH_REPORTS }; "reports stop")]
#[test_case(ReportPattern { lag: 50, split_step: 2000, ..FRESH_REPORTS }; "an agent is partitioned")]
#[test_case(ReportPattern { lag: 50, is_partial: true, ..FRESH_REPORTS }; "an entry knows one agent")]
fn total_load_starts_stay_within_the_store_rate(reports: ReportPattern) {
    let limit = load_budget::STORE_RATE * f64::from(SECONDS) * 1.1;
    let starts = count_load_starts(reports);
    println!("{starts} starts, limit {limit}");
    assert!(f64::from(starts) <= limit, "{starts} starts, limit {limit}");
}

// Guards against an entry that has just started, whose newer view of few agents would take the
// share away from the only agent with demand.
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

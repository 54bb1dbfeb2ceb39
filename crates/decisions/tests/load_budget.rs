//! Simulated agents that share one weight store, in virtual time.

use std::time;

use decisions::{load_budget, units};

const AGENTS: usize = 20;
const STEP: time::Duration = time::Duration::from_millis(10);
const STEPS: u64 = 6_000;

/// Demand reports between agents.
#[derive(Clone, Copy)]
struct Reports {
    lag: time::Duration,
    /// Time when reports stop.
    until: units::Timestamp,
    /// Time when the demand starts.
    burst: units::Timestamp,
}

struct Load {
    agent: usize,
    started: units::Timestamp,
    /// Remaining work in seconds at full speed.
    left: f64,
}

struct Outcome {
    starts: usize,
    finished: usize,
    largest_in_flight: usize,
    slowest: time::Duration,
    /// Mean rate while loads were waiting, in loads/s.
    rate: f64,
}

/// Simulates a weight store whose loads take 0.25 s up to 8 in flight and proportionally longer
/// beyond. A `store_speed` below 1 models a store that is slower than expected.
fn simulate(
    policy: impl Fn() -> Box<dyn load_budget::LoadPolicy>,
    reports: Reports,
    demand: [u32; AGENTS],
    store_speed: f64,
) -> Outcome {
    let start = units::Timestamp(0);
    let mut budgets: Vec<_> = (0..20_u64)
        .map(|agent| load_budget::LoadBudget::new(policy(), agent, start))
        .collect();
    let mut waiting = [0; AGENTS];
    let mut history: Vec<[u32; AGENTS]> = Vec::new();
    let mut loads: Vec<Load> = Vec::new();
    let (mut starts, mut finished, mut largest, mut busy) = (0, 0, 0, 0);
    let mut slowest = time::Duration::ZERO;
    for step in 0..STEPS {
        let now = start + STEP * u32::try_from(step).unwrap();
        if now == reports.burst {
            waiting = demand;
        }
        history.push(waiting);
        busy += u32::from(waiting.iter().any(|waiting| *waiting > 0));
        let lag_steps = usize::try_from(reports.lag.as_millis() / STEP.as_millis()).unwrap();
        for (agent, budget) in budgets.iter_mut().enumerate() {
            if now < reports.until
                && let Some(seen) = history.len().checked_sub(lag_steps + 1)
            {
                let total: u32 = history[seen].iter().sum();
                let demand = load_budget::LoadDemand {
                    own: waiting[agent],
                    others: total - history[seen][agent],
                    agents: u32::try_from(AGENTS).unwrap(),
                    reported: start + STEP * u32::try_from(seen).unwrap(),
                };
                budget.update_demand(demand, now);
            }
            if waiting[agent] > 0 && budget.try_start(now) {
                waiting[agent] -= 1;
                starts += 1;
                let (started, left) = (now, 0.25);
                loads.push(Load {
                    agent,
                    started,
                    left,
                });
            }
        }
        largest = largest.max(loads.len());
        let in_flight = f64::from(u32::try_from(loads.len()).unwrap());
        let speed = store_speed * (8.0 / in_flight.max(1.0)).min(1.0);
        for load in &mut loads {
            load.left -= STEP.as_secs_f64() * speed;
        }
        for load in loads.extract_if(.., |load| load.left <= 0.0) {
            let elapsed = (now + STEP).since(load.started);
            slowest = slowest.max(elapsed);
            budgets[load.agent].finish(elapsed, now + STEP);
            finished += 1;
        }
    }
    Outcome {
        starts,
        finished,
        largest_in_flight: largest,
        slowest,
        rate: f64::from(u32::try_from(starts).unwrap())
            / (f64::from(busy) * STEP.as_secs_f64()).max(1.0),
    }
}

fn adaptive_share() -> Box<dyn load_budget::LoadPolicy> {
    Box::new(load_budget::AdaptiveShare::new(20))
}

fn static_share() -> Box<dyn load_budget::LoadPolicy> {
    Box::new(load_budget::StaticShare::new(20))
}

fn load_time_backoff() -> Box<dyn load_budget::LoadPolicy> {
    Box::new(load_budget::LoadTimeBackoff::new(20))
}

const FRESH: Reports = Reports {
    lag: time::Duration::from_millis(500),
    until: units::Timestamp(u64::MAX),
    burst: units::Timestamp(0),
};

fn print(name: &str, outcome: &Outcome) {
    println!(
        "{name}: {} starts, {} finished, {:.2} loads/s while waiting, {} in flight at most, slowest {:?}",
        outcome.starts, outcome.finished, outcome.rate, outcome.largest_in_flight, outcome.slowest
    );
}

// Guards against a static split that leaves the store idle while one agent has all the demand.
#[test]
fn concentrated_demand_gets_most_of_the_rate() {
    let mut waiting = [0; AGENTS];
    waiting[3] = 150;
    let static_share = simulate(static_share, FRESH, waiting, 1.0);
    let shared = simulate(adaptive_share, FRESH, waiting, 1.0);
    print("one agent, static", &static_share);
    print("one agent, default", &shared);
    assert!(shared.rate > 3.0, "{} loads/s", shared.rate);
    assert!(shared.rate > static_share.rate * 5.0);
}

// Guards against agents that together exceed the store's rate when all of them have demand.
#[test]
fn even_demand_stays_within_the_rate() {
    let outcome = simulate(adaptive_share, FRESH, [40; AGENTS], 1.0);
    let alone = simulate(load_time_backoff, FRESH, [40; AGENTS], 1.0);
    print("all agents, default", &outcome);
    print("all agents, load times only", &alone);
    assert!((3.5..=4.9).contains(&outcome.rate), "{}", outcome.rate);
}

// Guards against agents that overload the store when reports are late or missing.
#[test]
fn late_or_missing_reports_do_not_overload_the_store() {
    let lag = time::Duration::from_millis(2_500);
    let late = Reports { lag, ..FRESH };
    let until = units::Timestamp(5_000_000);
    let gone = Reports { until, ..FRESH };
    let burst = units::Timestamp(10_000_000);
    let sudden = Reports {
        lag,
        burst,
        ..FRESH
    };
    for (name, reports) in [
        ("late", late),
        ("gone after 5 s", gone),
        ("late, sudden", sudden),
    ] {
        let outcome = simulate(adaptive_share, reports, [40; AGENTS], 1.0);
        print(name, &outcome);
        assert!(outcome.rate <= 4.9, "{} loads/s", outcome.rate);
        assert!(outcome.starts > 100);
        assert!(outcome.largest_in_flight <= 60);
    }
}

// Guards against agents that keep their full rate while the store is slower than expected.
#[test]
fn slow_store_gets_fewer_loads() {
    let usual = simulate(adaptive_share, FRESH, [40; AGENTS], 1.0);
    let slow = simulate(adaptive_share, FRESH, [40; AGENTS], 0.1);
    print("slow store, default", &slow);
    assert!(slow.starts * 2 < usual.starts);
    assert!(slow.finished > 0);
}

// Guards against a rate of zero, at which an agent would never observe the store again.
#[test]
fn rate_recovers_after_overload() {
    use load_budget::LoadPolicy;
    let mut policy = load_budget::LoadTimeBackoff::new(1);
    let now = |second: u64| units::Timestamp(second * 1_000_000);
    for second in 0..100 {
        policy.observe_load_time(time::Duration::from_secs(9), now(second));
    }
    assert!(policy.rate(now(100)) > 0.0);
    for second in 100..130 {
        policy.observe_load_time(load_budget::NOMINAL_LOAD_TIME, now(second));
    }
    assert!((policy.rate(now(130)) - load_budget::STORE_RATE).abs() < 1e-9);
}

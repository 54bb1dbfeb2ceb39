//! Retry budget shared by all entries.

use std::time;

use decisions::{retry_budget::*, units};
use test_case::test_case;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    window: time::Duration::from_secs(10),
    slack: 52,
};

// Guards against retries beyond the shared budget in any window while every request fails. Spreads
// 30 requests per second over the entries for 40 s.
#[test_case(4)]
#[test_case(28)]
fn entries_together_stay_within_the_budget(entries: u32) {
    let count = usize::try_from(entries).unwrap();
    let mut budgets: Vec<_> = (0..entries)
        .map(|_| RetryBudget::new(LIMITS, entries))
        .collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..1200_u64 {
        let now = units::Timestamp(step * 33_333);
        let budget = &mut budgets[usize::try_from(step).unwrap() % count];
        budget.record_request("desk", now);
        requests.push(now);
        if budget.try_retry("desk", now) {
            retries.push(now);
        }
    }
    assert!(retries.len() > 100, "{}", retries.len());
    for start in &requests {
        let inside = |at: &&units::Timestamp| **at >= *start && at.since(*start) < LIMITS.window;
        let requested = f64::from(u32::try_from(requests.iter().filter(inside).count()).unwrap());
        let spent = f64::from(u32::try_from(retries.iter().filter(inside).count()).unwrap());
        // Requests before the window also add to the budget, so a window with few requests is
        // checked against the full 300.
        let allowed = LIMITS.ratio * requested.max(300.0) + f64::from(LIMITS.slack);
        assert!(spent <= allowed, "{spent} of {allowed}");
    }
}

// Guards against a failing service that exhausts the retries of another one.
#[test]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(LIMITS, 4);
    let now = units::Timestamp(1);
    while budget.try_retry("one", now) {}
    assert!(budget.try_retry("other", now));
}

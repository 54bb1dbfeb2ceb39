//! Budget for repeats that all entries share.

use std::time;

use decisions::{retry_budget::*, units};
use test_case::test_case;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    window: time::Duration::from_secs(10),
    slack: 52,
};

// Guards against repeats beyond the shared budget in any window while every request fails. Plays 30
// requests a second over the entries for 40 s.
#[test_case(4)]
#[test_case(28)]
fn all_entries_together_stay_within_the_budget(entries: u32) {
    let count = usize::try_from(entries).unwrap();
    let mut budgets: Vec<_> = (0..entries)
        .map(|_| RetryBudget::new(LIMITS, entries))
        .collect();
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for step in 0..1200_u64 {
        let now = units::Timestamp(step * 33_333);
        let budget = &mut budgets[usize::try_from(step).unwrap() % count];
        budget.record_request("desk", now);
        requests.push(now);
        if budget.try_retry("desk", now) {
            repeats.push(now);
        }
    }
    assert!(repeats.len() > 100, "{}", repeats.len());
    for start in &requests {
        let inside = |at: &&units::Timestamp| **at >= *start && at.since(*start) < LIMITS.window;
        let firsts = f64::from(u32::try_from(requests.iter().filter(inside).count()).unwrap());
        let again = f64::from(u32::try_from(repeats.iter().filter(inside).count()).unwrap());
        // Half of a window before may count as well, so a window that has just begun is left out.
        let allowed = LIMITS.ratio * firsts.max(300.0) + f64::from(LIMITS.slack);
        assert!(again <= allowed, "{again} of {allowed}");
    }
}

// Guards against one failing service that uses up the repeats of another.
#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(LIMITS, 4);
    let now = units::Timestamp(1);
    while budget.try_retry("one", now) {}
    assert!(budget.try_retry("other", now));
}

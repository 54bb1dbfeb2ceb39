//! Decision whether a failed attempt is followed by another one.
//!
//! A request is retried only if it did not run, or if its route allows more than one
//! execution; each retry is taken from the budget that all gateways share.

use crate::{attempts, dispatch, plan};

/// Maximum number of failed connections per request.
const MAX_CONNECT_FAILURES: usize = 3;

impl dispatch::Dispatcher {
    /// Whether to make another attempt after a failure.
    #[must_use]
    pub fn may_retry(
        &self,
        plan: &plan::RequestPlan,
        history: &mut attempts::AttemptHistory,
        failure: &attempts::AttemptFailure,
    ) -> bool {
        history.exclude(&failure.replica);
        if failure.execution == attempts::ExecutionStatus::NotSent {
            // The request did not reach the replica, so another attempt needs no retry budget.
            history.connect_failures += 1;
            return history.connect_failures <= MAX_CONNECT_FAILURES && plan.has_time_left();
        }
        if failure.execution != attempts::ExecutionStatus::NotRun {
            history.may_have_run = true;
            if !plan.route.kind.is_repeatable() {
                return false;
            }
        }
        if history.sent_count >= plan.route.max_attempts || !plan.has_time_left() {
            return false;
        }
        failure.has_reserved_retry || self.take_retry(plan)
    }

    /// Takes a retry from the budget; false if it is exhausted.
    pub fn take_retry(&self, plan: &plan::RequestPlan) -> bool {
        let now = self.now();
        let entries = self.replicas.lock().entry_count(now);
        let mut budget = self.budget.lock();
        if let Some(entries) = entries {
            budget.set_entry_count(entries);
        }
        budget.try_retry(&plan.service, now)
    }
}

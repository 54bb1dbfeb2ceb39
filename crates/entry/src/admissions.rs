//! Admission control of an entry, and its backlog of requests without a first token.

use std::{sync::Arc, time};

use callers::error::{CallerError, ErrorCode};
use decisions::{admission, backlog, ids, routing, units};
use parking_lot::Mutex;
use serde::Serialize;

use crate::{clock, plans};

/// Number of adapters with the largest backlog that `status` reports.
const TOP_ADAPTER_COUNT: usize = 5;

/// Admission control and the requests that wait for their first token.
pub struct EntryAdmission {
    clock: clock::EntryClock,
    control: Mutex<admission::AdmissionControl>,
    backlog: Mutex<backlog::BacklogTable>,
}

/// Keeps a request in the backlog until it is dropped.
pub struct BacklogGuard {
    admission: Arc<EntryAdmission>,
    request: ids::RequestId,
    priority: units::Priority,
    received_at: units::Timestamp,
    predicted_wait: time::Duration,
}

/// Backlog of one priority or adapter.
#[derive(Clone, Debug, Serialize)]
pub struct BacklogStatus {
    /// Priority, or hash of the adapter version.
    pub name: String,
    pub waiting: u32,
    pub at_risk: u32,
    pub late: u32,
    pub predicted_wait_ms: u128,
    /// Shortest time between a predicted first token and its deadline.
    pub least_slack_ms: Option<u128>,
}

/// Backlog of an entry.
#[derive(Clone, Debug, Serialize)]
pub struct BacklogReport {
    pub priorities: Vec<BacklogStatus>,
    pub top_adapters: Vec<BacklogStatus>,
}

impl EntryAdmission {
    /// Creates an admission control with an empty backlog.
    #[must_use]
    pub fn new(clock: clock::EntryClock) -> Self {
        let now = clock.now();
        Self {
            clock,
            control: Mutex::new(admission::AdmissionControl::new(now)),
            backlog: Mutex::default(),
        }
    }

    /// Admits a request if the chosen endpoint can serve it before its deadline.
    ///
    /// # Errors
    /// [`CallerError`] with the time after which a retry may succeed.
    pub fn admit(
        &self,
        plan: &plans::RequestPlan,
        choice: &routing::Choice,
    ) -> Result<(), CallerError> {
        let request = admission::AdmissionRequest {
            priority: plan.priority,
            time_left: plan.time_left(),
            wait: choice.wait,
            first_token: choice.first_token,
        };
        let now = self.clock.now();
        let admitted = self.control.lock().admit(&request, &mut rand::rng(), now);
        admitted.map_err(|refusal| {
            let code = match refusal.reason {
                admission::AdmissionReason::DeadlineUnreachable => ErrorCode::DeadlineUnreachable,
                admission::AdmissionReason::KeptForHigherPriority => ErrorCode::Overloaded,
            };
            CallerError::not_run(code, refusal.to_string()).retry_after(refusal.retry_after)
        })
    }

    /// Adds a dispatched request to the backlog.
    #[must_use]
    pub fn add_to_backlog(
        self: &Arc<Self>,
        plan: &plans::RequestPlan,
        request: ids::RequestId,
        adapter: ids::AdapterId,
        choice: &routing::Choice,
    ) -> BacklogGuard {
        let now = self.clock.now();
        self.backlog.lock().track(backlog::WaitingRequest {
            request,
            priority: plan.priority,
            adapter,
            received: now,
            deadline: now + plan.time_left(),
            expected: now + choice.first_token,
        });
        BacklogGuard {
            admission: Arc::clone(self),
            request,
            priority: plan.priority,
            received_at: now,
            predicted_wait: choice.wait,
        }
    }

    /// Backlog at the current time.
    #[must_use]
    pub fn report(&self) -> BacklogReport {
        let now = self.clock.now();
        let backlog = self.backlog.lock();
        let priorities = backlog.priorities(now);
        let adapters = backlog.top_adapters(TOP_ADAPTER_COUNT, now);
        drop(backlog);
        let priorities = priorities.iter().map(|entry| {
            let name = format!("{:?}", entry.priority).to_lowercase();
            backlog_status(name, &entry.total)
        });
        let adapters = adapters
            .iter()
            .map(|entry| backlog_status(format!("{:016x}", entry.adapter.0), &entry.total));
        BacklogReport {
            priorities: priorities.collect(),
            top_adapters: adapters.collect(),
        }
    }
}

impl BacklogGuard {
    /// Wait predicted at dispatch.
    #[must_use]
    pub fn predicted_wait(&self) -> time::Duration {
        self.predicted_wait
    }

    /// Time since dispatch in excess of the predicted wait.
    #[must_use]
    pub fn excess_wait(&self) -> time::Duration {
        let elapsed = self.admission.clock.now().since(self.received_at);
        elapsed.saturating_sub(self.predicted_wait)
    }

    /// Records the wait for the first token, which later admissions take into account.
    pub fn record_first_token(self, is_on_time: bool) {
        let now = self.admission.clock.now();
        let outcome = admission::AdmissionOutcome {
            priority: self.priority,
            predicted_wait: self.predicted_wait,
            wait: now.since(self.received_at),
            on_time: is_on_time,
        };
        self.admission.control.lock().observe(&outcome, now);
    }
}

impl Drop for BacklogGuard {
    fn drop(&mut self) {
        self.admission.backlog.lock().remove(self.request);
    }
}

fn backlog_status(name: String, total: &backlog::BacklogTotal) -> BacklogStatus {
    BacklogStatus {
        name,
        waiting: total.waiting,
        at_risk: total.at_risk,
        late: total.late,
        predicted_wait_ms: total.predicted_wait.as_millis(),
        least_slack_ms: total.least_slack.map(|slack| slack.as_millis()),
    }
}

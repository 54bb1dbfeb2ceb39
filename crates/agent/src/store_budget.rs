//! Budget of one agent for loads from the weight store, shared by its replicas.

use std::time;

use decisions::{load_budget, units};
use parking_lot::Mutex;

/// Load budget that takes back a permit for which no load could start.
pub struct StoreBudget {
    state: Mutex<BudgetState>,
}

struct BudgetState {
    budget: load_budget::LoadBudget,
    /// Permits that were taken and given back unused.
    unused: u32,
}

impl StoreBudget {
    /// Budget of one of `agents` agents.
    #[must_use]
    pub fn new(agents: u32, seed: u64, now: units::Timestamp) -> Self {
        let policy = Box::new(load_budget::DemandControl::new(agents));
        let budget = load_budget::LoadBudget::new(policy, seed, now);
        Self {
            state: Mutex::new(BudgetState { budget, unused: 0 }),
        }
    }

    /// Takes the permit for one load, if there is one now.
    #[must_use]
    pub fn try_start(&self, now: units::Timestamp) -> bool {
        let mut state = self.state.lock();
        if state.unused > 0 {
            state.unused -= 1;
            return true;
        }
        state.budget.try_start(now)
    }

    /// Gives back a permit for which no load started.
    pub fn give_back(&self) {
        self.state.lock().unused += 1;
    }

    /// Records the end of a load.
    pub fn finish(&self, elapsed: time::Duration, now: units::Timestamp) {
        self.state.lock().budget.finish(elapsed, now);
    }

    /// Takes the newest demand.
    pub fn on_demand(&self, demand: load_budget::LoadDemand, now: units::Timestamp) {
        self.state.lock().budget.on_demand(demand, now);
    }
}

//! Rate limit of one agent for loads from the weight store, shared by its replicas.

use std::time;

use decisions::{load_budget, units};
use parking_lot::Mutex;
use peers::message;

/// Age beyond which a demand view is replaced by one that counts fewer agents. Equals the age
/// beyond which `load_budget` ignores reports.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(3);

/// Load budget with refunds of starts for which no load could be started.
pub struct StoreBudget {
    state: Mutex<BudgetState>,
}

struct BudgetState {
    budget: load_budget::LoadBudget,
    /// Refunded starts, available at once.
    unused_starts: u32,
    peer_demand: PeerDemandView,
    /// Largest number of agents known so far.
    agents: u32,
}

/// Newest demand of the other agents as reported by an entry.
struct PeerDemandView {
    waiting: u32,
    agents: u32,
    /// Time of the oldest report in this view.
    reported: units::Timestamp,
}

impl PeerDemandView {
    /// Mean demand per agent, assumed for each agent missing from the view: an agent that no entry
    /// reaches may still run and use the static share.
    fn mean_demand(&self, own: u32) -> u32 {
        let total = self.waiting.saturating_add(own);
        total.div_ceil(self.agents.max(1))
    }

    /// Whether another view replaces this one. Views of different entries are not added up. The
    /// view of an entry that has just started has few agents and would grant too large a share.
    fn is_replaced_by(&self, other: &Self, now: units::Timestamp) -> bool {
        let is_old = now.since(self.reported) > MAX_VIEW_AGE;
        is_old || (other.reported >= self.reported && other.agents >= self.agents)
    }
}

impl StoreBudget {
    /// Budget of one of `agents` agents.
    #[must_use]
    pub fn new(agents: u32, seed: u64, now: units::Timestamp) -> Self {
        let policy = Box::new(load_budget::AdaptiveShare::new(agents));
        let budget = load_budget::LoadBudget::new(policy, seed, now);
        Self {
            state: Mutex::new(BudgetState {
                budget,
                unused_starts: 0,
                agents,
                peer_demand: PeerDemandView {
                    waiting: 0,
                    agents,
                    reported: now,
                },
            }),
        }
    }

    /// Takes the budget of one load; false if none is available now.
    #[must_use]
    pub fn try_start_load(&self, now: units::Timestamp) -> bool {
        let mut state = self.state.lock();
        if state.unused_starts > 0 {
            state.unused_starts -= 1;
            return true;
        }
        state.budget.try_start(now)
    }

    /// Refunds the budget of a load that did not start.
    pub fn refund_start(&self) {
        self.state.lock().unused_starts += 1;
    }

    /// Records the end of a load.
    pub fn record_load_end(&self, elapsed: time::Duration, now: units::Timestamp) {
        self.state.lock().budget.finish(elapsed, now);
    }

    /// Updates the share from the peer demand reported by an entry and this agent's own demand.
    pub fn update_demand(&self, own: u32, peers: &message::PeerDemand, now: units::Timestamp) {
        let mut state = self.state.lock();
        let view = PeerDemandView {
            waiting: peers.waiting,
            agents: peers.agents,
            reported: units::Timestamp(now.0.saturating_sub(duration_micros(peers.age))),
        };
        if state.peer_demand.is_replaced_by(&view, now) {
            state.peer_demand = view;
        }
        state.agents = state.agents.max(state.peer_demand.agents);
        let missing = state.agents - state.peer_demand.agents;
        let reserved = state.peer_demand.mean_demand(own).saturating_mul(missing);
        let demand = load_budget::LoadDemand {
            own,
            others: state.peer_demand.waiting.saturating_add(reserved),
            agents: state.peer_demand.agents,
            reported: state.peer_demand.reported,
        };
        state.budget.update_demand(demand, now);
    }
}

fn duration_micros(age: time::Duration) -> u64 {
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

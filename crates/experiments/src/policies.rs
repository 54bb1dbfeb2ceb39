//! Policies that are compared: the product, its variants, the baselines and full knowledge.

use decisions::{eviction, load_budget, load_times, queueing, routing, units, wait_routing};

use crate::{baselines, oracle, workload};

/// Endpoint selection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutingKind {
    Product,
    Baseline(baselines::BaselineRule),
    /// Chooses from the true state, without lag.
    FullKnowledge,
}

/// Choice of the adapters that stay in the slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvictionKind {
    DemandScarcity,
    CooperativeCache,
    LeastRecentlyUsed,
    NeededCopies,
}

/// Limit on the loads of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetKind {
    StaticShare,
    DemandShare,
    LoadTimeControl,
    DemandControl,
    /// Every load is requested at once.
    Uncoordinated,
    /// Loads of all replicas start in the order of their deadlines, as the store admits them.
    Central,
}

/// One column of choices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySetup {
    pub name: &'static str,
    pub routing: RoutingKind,
    /// Whether the agents use the product's queue; else the baseline queue.
    pub has_replica_queue: bool,
    pub eviction: EvictionKind,
    pub budget: BudgetKind,
    /// Whether entries refuse requests that they expect to be late.
    pub has_admission: bool,
}

/// The product.
pub const PRODUCT: PolicySetup = PolicySetup {
    name: "cowslipdeal",
    routing: RoutingKind::Product,
    has_replica_queue: true,
    eviction: EvictionKind::DemandScarcity,
    budget: BudgetKind::DemandControl,
    has_admission: true,
};

/// Policy with full knowledge.
pub const FULL_KNOWLEDGE: PolicySetup = PolicySetup {
    name: "full knowledge",
    routing: RoutingKind::FullKnowledge,
    has_replica_queue: true,
    eviction: EvictionKind::NeededCopies,
    budget: BudgetKind::Central,
    has_admission: false,
};

const fn baseline(name: &'static str, rule: baselines::BaselineRule) -> PolicySetup {
    PolicySetup {
        name,
        routing: RoutingKind::Baseline(rule),
        has_replica_queue: false,
        eviction: EvictionKind::LeastRecentlyUsed,
        budget: BudgetKind::Uncoordinated,
        has_admission: false,
    }
}

/// Baselines: FIFO queue, LRU eviction and uncoordinated loads.
pub const BASELINES: [PolicySetup; 4] = [
    baseline("random", baselines::BaselineRule::Random),
    baseline("round robin", baselines::BaselineRule::RoundRobin),
    baseline(
        "least outstanding",
        baselines::BaselineRule::LeastOutstanding,
    ),
    baseline("adapter hash", baselines::BaselineRule::AdapterHash),
];

const fn with_budget(name: &'static str, budget: BudgetKind) -> PolicySetup {
    PolicySetup {
        name,
        budget,
        ..PRODUCT
    }
}

const fn with_eviction(name: &'static str, eviction: EvictionKind) -> PolicySetup {
    PolicySetup {
        name,
        eviction,
        ..PRODUCT
    }
}

/// Variants of the product that differ in one choice.
pub const VARIANTS: [PolicySetup; 7] = [
    PolicySetup {
        name: "no admission",
        has_admission: false,
        ..PRODUCT
    },
    with_budget("static shares", BudgetKind::StaticShare),
    with_budget("demand shares", BudgetKind::DemandShare),
    with_budget("load-time back-off", BudgetKind::LoadTimeControl),
    with_budget("uncoordinated loads", BudgetKind::Uncoordinated),
    with_eviction("cooperative cache", EvictionKind::CooperativeCache),
    with_eviction("LRU eviction", EvictionKind::LeastRecentlyUsed),
];

impl PolicySetup {
    /// Routing policy of one entry; `None` with full knowledge.
    #[must_use]
    pub fn routing(&self, seed: u64) -> Option<Box<dyn routing::RoutingPolicy>> {
        match self.routing {
            RoutingKind::Product => {
                let limits = load_times::StoreLimits::default();
                Some(Box::new(wait_routing::WaitRouting::new(limits, seed)))
            }
            RoutingKind::Baseline(rule) => {
                Some(Box::new(baselines::BaselineRouting::new(rule, seed)))
            }
            RoutingKind::FullKnowledge => None,
        }
    }

    /// Queue of one replica.
    #[must_use]
    pub fn queue(&self) -> Box<dyn queueing::QueuePolicy> {
        if self.has_replica_queue {
            return Box::new(queueing::ReplicaQueue::default());
        }
        Box::new(baselines::ArrivalQueue::default())
    }

    /// Eviction of one replica.
    #[must_use]
    pub fn eviction(&self) -> Box<dyn eviction::EvictionPolicy> {
        match self.eviction {
            EvictionKind::DemandScarcity => Box::new(eviction::DemandScarcity),
            EvictionKind::CooperativeCache => Box::new(eviction::CooperativeCache),
            EvictionKind::LeastRecentlyUsed => Box::new(eviction::LeastRecentlyUsed),
            EvictionKind::NeededCopies => Box::new(oracle::NeededCopies),
        }
    }

    /// Load budget of one agent; `None` when its loads are not limited there.
    #[must_use]
    pub fn budget(&self, seed: u64) -> Option<load_budget::LoadBudget> {
        let agents = u32::try_from(workload::AGENTS).unwrap_or(u32::MAX);
        let policy: Box<dyn load_budget::LoadPolicy> = match self.budget {
            BudgetKind::StaticShare => Box::new(load_budget::StaticShare::new(agents)),
            BudgetKind::DemandShare => Box::new(load_budget::DemandShare::new(agents)),
            BudgetKind::LoadTimeControl => Box::new(load_budget::LoadTimeBackoff::new(agents)),
            BudgetKind::DemandControl => Box::new(load_budget::AdaptiveShare::new(agents)),
            BudgetKind::Uncoordinated | BudgetKind::Central => return None,
        };
        let now = units::Timestamp(0);
        Some(load_budget::LoadBudget::new(policy, seed, now))
    }
}

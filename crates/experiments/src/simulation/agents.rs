//! Agent side of the event loop: loads, reports and what peers tell each other.

use std::{rc::Rc, time};

use decisions::{adapter_cache, ids, load_budget, units};

use super::{EXCHANGE_INTERVAL, Event, REPORT_INTERVAL, Simulation};
use crate::{fakes, oracle, policies, replica, workload};

impl Simulation {
    pub(super) fn start_loads(&mut self, agent: usize) {
        if self.setup.budget == policies::BudgetKind::Central {
            self.start_central_loads();
            return;
        }
        let first = agent * workload::REPLICAS_PER_AGENT;
        let mut replicas: Vec<_> = (first..first + workload::REPLICAS_PER_AGENT).collect();
        replicas.sort_by_key(|replica| self.replicas[*replica].earliest_load());
        for replica in replicas {
            while self.replicas[replica].earliest_load().is_some()
                && self.start_load(agent, replica)
            {}
        }
    }

    /// Starts the most urgent load of a replica; false when budget or slots do not allow one.
    fn start_load(&mut self, agent: usize, replica: usize) -> bool {
        if !self.replicas[replica].can_load() {
            return false;
        }
        if let Some(budget) = self.agents[agent].budget.as_mut()
            && !budget.try_start(self.now)
        {
            let due = budget
                .next_start(self.now)
                .max(self.now + time::Duration::from_millis(1));
            self.schedule_loads(agent, due);
            return false;
        }
        self.command_load(replica)
    }

    fn command_load(&mut self, number: usize) -> bool {
        let replica = &mut self.replicas[number];
        let Some(plan) = replica.slots.next_load(self.now, &mut self.rng) else {
            return false;
        };
        self.begin_load(number, plan)
    }

    fn begin_load(&mut self, number: usize, plan: adapter_cache::LoadPlan) -> bool {
        let replica = &mut self.replicas[number];
        let done = self.store.request(self.now);
        self.recorder.load(self.now);
        replica.load_started(&plan, done, self.now);
        let started = self.now;
        self.schedule(
            done,
            Event::LoadDone {
                replica: number,
                plan,
                started,
            },
        );
        true
    }

    /// Starts a copy of an adapter of which every holder is crowded, at the emptiest replica.
    fn add_copy(&mut self) -> bool {
        let held: Vec<_> = self.replicas.iter().map(held_adapters).collect();
        let Some((adapter, copies)) = oracle::crowded_adapter(&self.replicas, &held) else {
            return false;
        };
        let absent = (0..self.replicas.len()).filter(|replica| !held[*replica].contains(&adapter));
        let emptiest = absent.min_by_key(|replica| oracle::occupied(&self.replicas[*replica]));
        let Some(number) = emptiest else {
            return false;
        };
        let rate = f64::from(fakes::BATCH_LIMIT);
        let hot = adapter_cache::HotAdapter {
            adapter,
            rate,
            copies,
        };
        let plan = self.replicas[number].slots.prefetch(&[hot], self.now);
        plan.is_some_and(|plan| self.begin_load(number, plan))
    }

    /// Starts loads in the order of their deadlines while the store admits them at once.
    fn start_central_loads(&mut self) {
        while self.store.backlog(self.now).is_zero() {
            if self.add_copy() {
                continue;
            }
            let urgent = (0..self.replicas.len())
                .filter(|replica| self.replicas[*replica].can_load())
                .filter_map(|replica| Some((self.replicas[replica].earliest_load()?, replica)))
                .min();
            let Some((_, replica)) = urgent else {
                return;
            };
            if !self.command_load(replica) {
                return;
            }
        }
        // Timestamps are whole microseconds, and a shorter backlog would give the present time.
        let due = self.now + self.store.backlog(self.now) + time::Duration::from_micros(1);
        self.schedule_loads(0, due);
    }

    fn schedule_loads(&mut self, agent: usize, due: units::Timestamp) {
        if self.agents[agent].loads_due.is_none() {
            self.agents[agent].loads_due = Some(due);
            self.schedule(due, Event::LoadsDue(agent));
        }
    }

    pub(super) fn end_load(
        &mut self,
        number: usize,
        plan: &adapter_cache::LoadPlan,
        started: units::Timestamp,
    ) {
        self.store.finish();
        let replica = &mut self.replicas[number];
        replica.load_finished(plan, self.now);
        let agent = replica.agent;
        if let Some(budget) = self.agents[agent].budget.as_mut() {
            budget.finish(self.now.since(started), self.now);
        }
        self.refill(number);
        self.start_loads(agent);
    }

    pub(super) fn report(&mut self, agent: usize) {
        let first = agent * workload::REPLICAS_PER_AGENT;
        let replicas = first..first + workload::REPLICAS_PER_AGENT;
        let waiting = replicas
            .clone()
            .map(|replica| self.replicas[replica].slots.waiting_loads());
        let waiting: usize = waiting.sum();
        self.agents[agent].waiting_loads = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.agents[agent].reported = self.now;
        for replica in replicas {
            let view = Rc::new(self.replicas[replica].view(self.now));
            for entry in 0..workload::ENTRIES {
                let distance = self.deployment.distance(entry, agent);
                let at = self.now + distance + self.replicas[replica].report_lag;
                let view = Rc::clone(&view);
                self.schedule(
                    at,
                    Event::Reported {
                        entry,
                        replica,
                        view,
                    },
                );
            }
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::Report(agent));
    }

    /// Tells an agent the demand and the copies of its peers as of their last reports.
    pub(super) fn exchange(&mut self, agent: usize) {
        let own = self
            .replicas_of(agent)
            .map(|replica| replica.slots.waiting_loads());
        let own = u32::try_from(own.sum::<usize>()).unwrap_or(u32::MAX);
        let others = self.agents.iter().enumerate();
        let others: Vec<_> = others.filter(|(other, _)| *other != agent).collect();
        let demand = load_budget::LoadDemand {
            own,
            others: others.iter().map(|(_, other)| other.waiting_loads).sum(),
            agents: u32::try_from(self.agents.len()).unwrap_or(u32::MAX),
            reported: others
                .iter()
                .map(|(_, other)| other.reported)
                .min()
                .unwrap_or(self.now),
        };
        if let Some(budget) = self.agents[agent].budget.as_mut() {
            budget.update_demand(demand, self.now);
        }
        let held: Vec<_> = self.replicas.iter().map(held_adapters).collect();
        let first = agent * workload::REPLICAS_PER_AGENT;
        for replica in first..first + workload::REPLICAS_PER_AGENT {
            self.tell_copies(replica, &held);
        }
        self.start_loads(agent);
        self.schedule(self.now + EXCHANGE_INTERVAL, Event::Exchange(agent));
    }

    fn replicas_of(&self, agent: usize) -> impl Iterator<Item = &replica::Replica> {
        self.replicas
            .iter()
            .filter(move |replica| replica.agent == agent)
    }

    /// Tells a replica the copies of its adapters elsewhere.
    pub(super) fn tell_copies(&mut self, number: usize, held: &[Vec<ids::AdapterId>]) {
        for adapter in &held[number] {
            let others = held
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != number);
            let copies = others.filter(|(_, held)| held.contains(adapter)).count();
            let copies = u32::try_from(copies).unwrap_or(u32::MAX);
            self.replicas[number]
                .slots
                .set_copies(*adapter, copies, self.now);
        }
    }
}

/// Adapters that are loaded or being loaded.
pub(super) fn held_adapters(replica: &replica::Replica) -> Vec<ids::AdapterId> {
    let mut held = replica.slots.resident();
    held.extend(replica.slots.loading());
    held
}

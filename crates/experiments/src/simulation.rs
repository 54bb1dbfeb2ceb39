//! Discrete-event loop over the entries, agents, engines and the store.

use std::{cmp, collections::BinaryHeap, rc::Rc, time};

use decisions::{ids, load_budget, routing, slots, units};
use rand_chacha::ChaCha8Rng;

use crate::{fakes, measures, oracle, policies, replica, workload};

/// Interval of the agents' reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Interval in which entries relay the demand and the copies of peers to an agent.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Change of an engine's speed.
#[derive(Clone, Copy, Debug)]
pub struct SpeedChange {
    pub at: units::Timestamp,
    pub replica: usize,
    pub slowness: f64,
    pub report_lag: time::Duration,
}

enum Event {
    Arrive(usize),
    Dispatch {
        job: usize,
        replica: usize,
    },
    Wake(usize),
    StepEnd(usize),
    LoadDone {
        replica: usize,
        plan: slots::LoadPlan,
        started: units::Timestamp,
    },
    LoadsDue(usize),
    Report(usize),
    Reported {
        entry: usize,
        replica: usize,
        view: Rc<routing::EndpointView>,
    },
    Exchange(usize),
    Tokens {
        entry: usize,
        replica: usize,
        tokens: Rc<Vec<fakes::Token>>,
    },
    Ended {
        job: usize,
        replica: usize,
        end: routing::AttemptEnd,
    },
    Speed(SpeedChange),
}

struct Scheduled {
    at: units::Timestamp,
    /// Orders events of the same time by their scheduling.
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The earliest event is the greatest, as the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

struct Agent {
    budget: Option<load_budget::LoadBudget>,
    /// Loads that waited at the last report.
    waiting_loads: u32,
    reported: units::Timestamp,
    /// Time of the next scheduled attempt to start loads.
    loads_due: Option<units::Timestamp>,
}

/// One run of one policy.
pub struct Simulation {
    deployment: workload::Deployment,
    setup: policies::PolicySetup,
    jobs: Vec<workload::Job>,
    end: units::Timestamp,
    entries: Vec<Option<Box<dyn routing::RoutingPolicy>>>,
    agents: Vec<Agent>,
    replicas: Vec<replica::Replica>,
    store: fakes::WeightStore,
    events: BinaryHeap<Scheduled>,
    scheduled: u64,
    now: units::Timestamp,
    rng: ChaCha8Rng,
    recorder: measures::Recorder,
}

impl Simulation {
    /// Run that is ready to start; `warm_up` is not measured.
    #[must_use]
    pub fn new(
        deployment: workload::Deployment,
        setup: policies::PolicySetup,
        jobs: Vec<workload::Job>,
        window: measures::Window,
        seed: u64,
    ) -> Self {
        let recorder = measures::Recorder::new(jobs.len(), window);
        let mut simulation = Self {
            deployment,
            setup,
            jobs,
            end: window.end,
            entries: Vec::new(),
            agents: Vec::new(),
            replicas: Vec::new(),
            store: fakes::WeightStore::default(),
            events: BinaryHeap::new(),
            scheduled: 0,
            now: units::Timestamp(0),
            rng: workload::generator(seed, 2),
            recorder,
        };
        simulation.populate(seed);
        simulation
    }

    fn populate(&mut self, seed: u64) {
        for number in 0..workload::REPLICAS {
            let agent = number / workload::REPLICAS_PER_AGENT;
            let local = number % workload::REPLICAS_PER_AGENT;
            let capacity = usize::from(fakes::ADAPTER_SLOTS);
            self.replicas.push(replica::Replica {
                endpoint: ids::EndpointId {
                    agent: ids::Incarnation(u64::try_from(agent).unwrap_or(u64::MAX)),
                    replica: u16::try_from(local).unwrap_or(u16::MAX),
                },
                agent,
                queue: self.setup.queue(),
                slots: slots::AdapterSlots::new(capacity, self.setup.eviction()),
                engine: fakes::Engine::default(),
                parked: Vec::new(),
                waiting: Vec::new(),
                loads: Vec::new(),
                stalls: Vec::new(),
                report_lag: time::Duration::ZERO,
            });
        }
        for number in 0..workload::AGENTS {
            let own_seed = seed.wrapping_mul(1_000) + u64::try_from(number).unwrap_or(0);
            self.agents.push(Agent {
                budget: self.setup.budget(own_seed),
                waiting_loads: 0,
                reported: units::Timestamp(0),
                loads_due: None,
            });
            // Agents do not report in step.
            let phase = u32::try_from(number).unwrap_or(0);
            let agents = u32::try_from(workload::AGENTS).unwrap_or(1);
            self.schedule(
                self.now + REPORT_INTERVAL * phase / agents,
                Event::Report(number),
            );
            let exchange = self.now + EXCHANGE_INTERVAL * phase / agents;
            self.schedule(exchange, Event::Exchange(number));
        }
        for number in 0..workload::ENTRIES {
            let own_seed = seed.wrapping_mul(77) + u64::try_from(number).unwrap_or(0);
            let mut policy = self.setup.routing(own_seed);
            if let Some(policy) = policy.as_mut() {
                for replica in &self.replicas {
                    let distance = self.deployment.distance(number, replica.agent);
                    let endpoint = replica.endpoint;
                    policy.endpoint_added(&routing::EndpointPlace { endpoint, distance }, self.now);
                    policy.report(endpoint, &replica.view(self.now), self.now);
                }
            }
            self.entries.push(policy);
        }
        for job in 0..self.jobs.len() {
            let at = self.jobs[job].sent + self.deployment.to_clients;
            self.schedule(at, Event::Arrive(job));
        }
    }

    /// Adds a change of an engine's speed.
    pub fn change_speed(&mut self, change: SpeedChange) {
        self.schedule(change.at, Event::Speed(change));
    }

    /// Runs to the end and returns what was measured.
    #[must_use]
    pub fn run(mut self) -> measures::RunRecord {
        while let Some(next) = self.events.pop() {
            if next.at > self.end {
                break;
            }
            self.now = next.at;
            self.handle(next.event);
        }
        self.recorder.close(&self.jobs)
    }

    fn schedule(&mut self, at: units::Timestamp, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.events.push(Scheduled { at, number, event });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Dispatch { job, replica } => self.dispatch(job, replica),
            Event::Wake(replica) => self.refill(replica),
            Event::StepEnd(replica) => self.end_step(replica),
            Event::LoadDone {
                replica,
                plan,
                started,
            } => self.end_load(replica, &plan, started),
            Event::LoadsDue(agent) => {
                self.agents[agent].loads_due = None;
                self.start_loads(agent);
            }
            Event::Report(agent) => self.report(agent),
            Event::Reported {
                entry,
                replica,
                view,
            } => {
                let endpoint = self.replicas[replica].endpoint;
                if let Some(policy) = self.entries[entry].as_mut() {
                    policy.report(endpoint, &view, self.now);
                }
            }
            Event::Exchange(agent) => self.exchange(agent),
            Event::Tokens {
                entry,
                replica,
                tokens,
            } => self.receive(entry, replica, &tokens),
            Event::Ended { job, replica, end } => {
                let attempt = self.attempt(job, replica);
                if let Some(policy) = self.entries[self.jobs[job].entry].as_mut() {
                    policy.ended(attempt, end, self.now);
                }
            }
            Event::Speed(change) => {
                let replica = &mut self.replicas[change.replica];
                replica.engine.slowness = change.slowness;
                replica.report_lag = change.report_lag;
            }
        }
    }

    fn attempt(&self, job: usize, replica: usize) -> routing::Attempt {
        routing::Attempt {
            request: replica::request_id(self.jobs[job].entry, job),
            endpoint: self.replicas[replica].endpoint,
        }
    }

    fn arrive(&mut self, number: usize) {
        let job = &self.jobs[number];
        let entry = job.entry;
        let replica = if let Some(policy) = self.entries[entry].as_mut() {
            let request = routing::RoutingRequest {
                base_model: "base",
                adapter: job.adapter,
                repeatable: true,
                exclude: &[],
            };
            let choice = policy.choose(&request, self.now);
            let choice = choice.expect("all endpoints are ready throughout the run");
            let id = replica::request_id(entry, number);
            policy.dispatched(id, job.adapter, &choice, self.now);
            let found = self
                .replicas
                .iter()
                .position(|r| r.endpoint == choice.endpoint);
            found.expect("a chosen endpoint is a replica")
        } else {
            let chosen = oracle::choose(&self.replicas, &self.store, job, self.now);
            self.share_demand(number);
            chosen
        };
        let distance = self
            .deployment
            .distance(entry, replica / workload::REPLICAS_PER_AGENT);
        let event = Event::Dispatch {
            job: number,
            replica,
        };
        self.schedule(self.now + distance, event);
    }

    /// Counts a request's demand at all replicas, and tells them the copies.
    fn share_demand(&mut self, number: usize) {
        let adapter = self.jobs[number].adapter;
        let deadline = self.jobs[number].deadline;
        for replica in &mut self.replicas {
            let is_waiting = replica.waiting.iter().any(|w| w.adapter == adapter);
            if !is_waiting {
                replica.slots.request(adapter, deadline, self.now);
                replica.slots.set_deadline(adapter, None);
            }
        }
        let held: Vec<_> = self.replicas.iter().map(held_adapters).collect();
        for replica in 0..self.replicas.len() {
            self.tell_copies(replica, &held);
        }
    }

    fn tell_copies(&mut self, number: usize, held: &[Vec<ids::AdapterId>]) {
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

    fn dispatch(&mut self, number: usize, replica: usize) {
        let job = &self.jobs[number];
        self.replicas[replica].arrive(number, job, self.now);
        self.recorder
            .arrived(number, self.replicas[replica].waiting.last());
        // The deadline at the client includes the way back.
        self.schedule(
            job.deadline + time::Duration::from_micros(1),
            Event::Wake(replica),
        );
        self.refill(replica);
        self.start_loads(self.replicas[replica].agent);
    }

    /// Moves requests into the engine unless a step is running.
    fn refill(&mut self, number: usize) {
        let replica = &mut self.replicas[number];
        let expired = replica.expire(self.now);
        if replica.engine.step_end.is_none() {
            replica.fill(&self.jobs, self.now);
            if let Some(end) = replica.engine.start_step(self.now) {
                self.schedule(end, Event::StepEnd(number));
            }
        }
        let stalls = std::mem::take(&mut self.replicas[number].stalls);
        for stall in stalls {
            self.recorder.stalled(stall);
        }
        for job in expired {
            let at = self.now + self.way_back(job, number);
            let end = routing::AttemptEnd::NotRun;
            self.schedule(
                at,
                Event::Ended {
                    job,
                    replica: number,
                    end,
                },
            );
        }
    }

    fn way_back(&self, job: usize, replica: usize) -> time::Duration {
        let agent = self.replicas[replica].agent;
        self.deployment.distance(self.jobs[job].entry, agent)
    }

    fn end_step(&mut self, number: usize) {
        let result = self.replicas[number].engine.end_step();
        self.recorder.step(&result, self.now);
        for entry in 0..workload::ENTRIES {
            let tokens = result.tokens.iter();
            let tokens = tokens.filter(|token| self.jobs[token.job].entry == entry);
            let tokens: Vec<_> = tokens.copied().collect();
            if tokens.is_empty() {
                continue;
            }
            let distance = self.deployment.distance(entry, self.replicas[number].agent);
            let event = Event::Tokens {
                entry,
                replica: number,
                tokens: Rc::new(tokens),
            };
            self.schedule(self.now + distance, event);
        }
        for sequence in result.finished {
            let job = sequence.job;
            let at = self.now + self.way_back(job, number);
            self.replicas[number].finish(sequence, self.now);
            let end = routing::AttemptEnd::Finished;
            self.schedule(
                at,
                Event::Ended {
                    job,
                    replica: number,
                    end,
                },
            );
        }
        self.refill(number);
        self.start_loads(self.replicas[number].agent);
    }

    fn receive(&mut self, entry: usize, replica: usize, tokens: &[fakes::Token]) {
        for token in tokens {
            let attempt = self.attempt(token.job, replica);
            if token.is_first {
                let at = self.now + self.deployment.to_clients;
                self.recorder.first_token(token.job, at);
            }
            let Some(policy) = self.entries[entry].as_mut() else {
                continue;
            };
            if token.is_first {
                policy.first_token(attempt, self.now);
            } else {
                policy.between_token(attempt, self.now);
            }
        }
    }

    fn start_loads(&mut self, agent: usize) {
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

    /// Starts loads in the order of their deadlines while the store admits them at once.
    fn start_central_loads(&mut self) {
        while self.store.backlog(self.now).is_zero() {
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

    fn end_load(&mut self, number: usize, plan: &slots::LoadPlan, started: units::Timestamp) {
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

    fn report(&mut self, agent: usize) {
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
    fn exchange(&mut self, agent: usize) {
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
            budget.on_demand(demand, self.now);
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
}

fn held_adapters(replica: &replica::Replica) -> Vec<ids::AdapterId> {
    let mut held = replica.slots.resident();
    held.extend(replica.slots.loading());
    held
}

//! Discrete-event loop over the entries, agents, engines and the store.

use std::{cmp, collections::BinaryHeap, rc::Rc, time};

use decisions::{adapter_cache, admission, ids, load_budget, routing, units};
use rand_chacha::ChaCha8Rng;

use crate::{fakes, measures, policies, replica, workload};

mod agents;
mod entries;

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
        plan: adapter_cache::LoadPlan,
        started: units::Timestamp,
    },
    LoadsDue(usize),
    Report(usize),
    Reported {
        entry: usize,
        replica: usize,
        view: Rc<routing::EndpointReport>,
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

/// Entry with its routing policy, `None` with full knowledge, and its admission control.
struct Entry {
    policy: Option<Box<dyn routing::RoutingPolicy>>,
    admission: Option<admission::AdmissionControl>,
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
    entries: Vec<Entry>,
    /// Prediction for each admitted request.
    predictions: Vec<Option<routing::Choice>>,
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
            predictions: vec![None; recorder.jobs()],
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
                slots: adapter_cache::AdapterCache::new(capacity, self.setup.eviction()),
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
                    policy.endpoint_added(
                        &routing::EndpointLocation { endpoint, distance },
                        self.now,
                    );
                    policy.report(endpoint, &replica.view(self.now), self.now);
                }
            }
            let has_admission = self.setup.has_admission;
            let admission = has_admission.then(|| admission::AdmissionControl::new(self.now));
            self.entries.push(Entry { policy, admission });
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
                if let Some(policy) = self.entries[entry].policy.as_mut() {
                    policy.report(endpoint, &view, self.now);
                }
            }
            Event::Exchange(agent) => self.exchange(agent),
            Event::Tokens {
                entry,
                replica,
                tokens,
            } => self.receive(entry, replica, &tokens),
            Event::Ended { job, replica, end } => self.end_attempt(job, replica, end),
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
}

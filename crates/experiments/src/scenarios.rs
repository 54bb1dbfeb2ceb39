//! Scenarios and the figures of one policy in each.
//!
//! The loads were fixed before the first result was seen: offered tokens are 0.7 of the nominal
//! capacity outside the swing.

use std::time;

use decisions::units;
use rand::seq::index;
use serde::Serialize;

use crate::{measures, policies, simulation, workload};

/// Offered tokens, as a share of the nominal capacity, outside the swing.
pub const UTILIZATION: f64 = 0.7;
/// Share of long requests in the scenario with long work.
pub const LONG_SHARE: f64 = 0.02;
/// Slow replicas at any time in the scenario with stragglers.
pub const STRAGGLERS: usize = 2;
/// Factor by which a straggler is slower.
const SLOWNESS: f64 = 5.0;
/// Lag of a straggler's reports.
const REPORT_LAG: time::Duration = time::Duration::from_secs(2);
/// Time after which other replicas become the stragglers.
const STRAGGLER_TIME: u64 = 20;
/// Time after the measured window in which its requests end or expire, in seconds.
const DRAIN: u64 = 12;
/// Factor of the demand at the peak.
pub const SWING: f64 = 5.0;
/// Rise and fall of the demand, in seconds.
const RISE: u64 = 2;
/// Time at the peak, in seconds.
const HOLD: u64 = 8;

/// Scenario to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Load stalls and batch efficiency in steady demand.
    Steady,
    /// Requests in time while demand swings.
    Peak,
    /// Short requests beside long ones.
    LongWork,
    /// First-token times beside stragglers.
    Stragglers,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 4] = [
    Scenario::Steady,
    Scenario::Peak,
    Scenario::LongWork,
    Scenario::Stragglers,
];

/// Lengths of the parts of a run, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub warm_up: u64,
    pub measured: u64,
}

/// Figures of one policy in one scenario; each is a name and a value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    pub name: &'static str,
    pub value: f64,
}

impl Scenario {
    /// Name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Peak => "peak",
            Self::LongWork => "long-work",
            Self::Stragglers => "stragglers",
        }
    }

    /// Lengths of the full runs.
    #[must_use]
    pub fn timing(self) -> Timing {
        let (warm_up, measured) = match self {
            Self::Steady | Self::Stragglers => (40, 120),
            Self::Peak => (60, 70),
            Self::LongWork => (120, 120),
        };
        Timing { warm_up, measured }
    }

    /// Figures of one run, or of a run and its counterpart.
    #[must_use]
    pub fn figures(
        self,
        deployment: workload::Deployment,
        setup: policies::PolicySetup,
        seed: u64,
        timing: Timing,
    ) -> Vec<Figure> {
        let base = Run {
            deployment,
            setup,
            seed,
            timing,
            long_share: 0.0,
            planned_long_share: 0.0,
            has_swing: false,
            has_stragglers: false,
        };
        match self {
            Self::Steady => steady_figures(&base.record()),
            Self::Peak => base.peak_figures(),
            Self::LongWork => {
                let planned_long_share = LONG_SHARE;
                let without = Run {
                    planned_long_share,
                    ..base
                };
                let with = Run {
                    long_share: LONG_SHARE,
                    ..without
                };
                tail_figures(&without.record(), &with.record())
            }
            Self::Stragglers => {
                let with = Run {
                    has_stragglers: true,
                    ..base
                };
                tail_figures(&base.record(), &with.record())
            }
        }
    }
}

/// One simulated run.
#[derive(Clone, Copy, Debug)]
struct Run {
    deployment: workload::Deployment,
    setup: policies::PolicySetup,
    seed: u64,
    timing: Timing,
    long_share: f64,
    planned_long_share: f64,
    has_swing: bool,
    has_stragglers: bool,
}

impl Run {
    fn record(&self) -> measures::RunRecord {
        let swing = self.has_swing.then(|| self.swing());
        let measured = swing.map_or(self.timing.measured, |_| 2 * RISE + HOLD);
        let start = swing.map_or(self.timing.warm_up, |swing| swing.start.as_secs());
        let total = self.timing.warm_up + self.timing.measured;
        let window = measures::Window {
            start: seconds(start),
            stop: seconds(start + measured),
            end: seconds(total + DRAIN),
        };
        let shift = match swing {
            // Late enough before the swing that the two do not coincide.
            Some(swing) => swing.start.as_secs().saturating_sub(20),
            None => self.timing.warm_up + self.timing.measured / 2,
        };
        let demand = workload::Demand {
            duration: time::Duration::from_secs(total),
            utilization: UTILIZATION,
            shift: Some(time::Duration::from_secs(shift)),
            swing,
            long_share: self.long_share,
            planned_long_share: self.planned_long_share,
        };
        let mut rng = workload::generator(self.seed, 0);
        let popularity = workload::Popularity::new(demand.shift, &mut rng);
        let jobs = demand.requests(&popularity, &mut rng);
        let (deployment, setup) = (self.deployment, self.setup);
        let mut run = simulation::Simulation::new(deployment, setup, jobs, window, self.seed);
        if self.has_stragglers {
            for change in self.speed_changes() {
                run.change_speed(change);
            }
        }
        run.run()
    }

    fn swing(&self) -> workload::Swing {
        workload::Swing {
            start: time::Duration::from_secs(self.timing.warm_up + 10),
            rise: time::Duration::from_secs(RISE),
            hold: time::Duration::from_secs(HOLD),
            factor: SWING,
        }
    }

    /// Throughout the measured window two replicas are slow, others every 20 s.
    fn speed_changes(&self) -> Vec<simulation::SpeedChange> {
        let mut rng = workload::generator(self.seed, 1);
        let mut changes = Vec::new();
        for turn in 0..self.timing.measured.div_ceil(STRAGGLER_TIME) {
            let from = self.timing.warm_up + turn * STRAGGLER_TIME;
            for replica in index::sample(&mut rng, workload::REPLICAS, STRAGGLERS) {
                changes.push(simulation::SpeedChange {
                    at: seconds(from),
                    replica,
                    slowness: SLOWNESS,
                    report_lag: REPORT_LAG,
                });
                changes.push(simulation::SpeedChange {
                    at: seconds(from + STRAGGLER_TIME),
                    replica,
                    slowness: 1.0,
                    report_lag: time::Duration::ZERO,
                });
            }
        }
        // A replica that is drawn twice in a row is healed first and then slowed.
        changes.sort_by(|left, right| {
            let by_speed = left.slowness.total_cmp(&right.slowness);
            left.at.cmp(&right.at).then(by_speed)
        });
        changes
    }

    fn peak_figures(self) -> Vec<Figure> {
        let run = Self {
            has_swing: true,
            ..self
        };
        let mut record = run.record();
        let high = record.in_time(units::Priority::High);
        let resident = record.high_in_time_resident();
        let normal = record.in_time(units::Priority::Normal);
        let low = record.in_time(units::Priority::Low);
        let (start, end) = (record.window.start, record.window.stop);
        // The usual share is that of the 10 s before the swing.
        record.window.start = seconds(self.timing.warm_up);
        let recovery = record.recovery(start, end);
        vec![
            figure("peak high in time", high),
            figure("high, resident", resident),
            figure("peak normal in time", normal),
            figure("peak low in time", low),
            figure("recovery s", recovery),
        ]
    }
}

fn seconds(seconds: u64) -> units::Timestamp {
    units::Timestamp(0) + time::Duration::from_secs(seconds)
}

fn figure(name: &'static str, value: f64) -> Figure {
    Figure { name, value }
}

fn steady_figures(record: &measures::RunRecord) -> Vec<Figure> {
    vec![
        figure(
            "stalled share",
            record.share(|outcome| outcome.stall.is_some()),
        ),
        figure("stall p50 s", record.stall_quantile(0.5)),
        figure("stall p99 s", record.stall_quantile(0.99)),
        figure("loads/request", record.loads_per_request()),
        figure("in time", record.share(|outcome| outcome.is_in_time)),
        figure("tokens/step", record.counts.tokens_per_step()),
        figure("adapters/batch", record.counts.distinct_per_batch()),
    ]
}

/// 99th percentiles of short requests without and with a disturbance.
fn tail_figures(without: &measures::RunRecord, with: &measures::RunRecord) -> Vec<Figure> {
    let ratio = |with_stalls| with.short_p99(with_stalls) / without.short_p99(with_stalls);
    vec![
        figure("p99 without s", without.short_p99(true)),
        figure("p99 with s", with.short_p99(true)),
        figure("p99 ratio", ratio(true)),
        figure("p99 without s, no stalls", without.short_p99(false)),
        figure("p99 with s, no stalls", with.short_p99(false)),
        figure("p99 ratio, no stalls", ratio(false)),
    ]
}

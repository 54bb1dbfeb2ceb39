//! Deployments and the requests that callers send.

use std::time;

use decisions::{ids, units};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::fakes;

/// Adapters of a deployment.
pub const ADAPTERS: u32 = 3_000;
/// Exponent of the popularity; about 5% of the requests fall beyond the 160 most popular.
pub const POPULARITY_EXPONENT: f64 = 1.5;
/// Entries of a deployment.
pub const ENTRIES: usize = 4;
/// Agents of a deployment.
pub const AGENTS: usize = 10;
/// Replicas behind one agent.
pub const REPLICAS_PER_AGENT: usize = 2;
/// Replicas of a deployment.
pub const REPLICAS: usize = AGENTS * REPLICAS_PER_AGENT;
/// Factor by which a long answer is longer.
pub const LONG_FACTOR: u32 = 30;
/// Ranks of which a random half changes places with unpopular adapters when popularity shifts.
const SHIFTED_RANKS: usize = 200;
/// Share of requests of high and of normal priority; the rest is low.
const HIGH_SHARE: f64 = 0.2;
const NORMAL_SHARE: f64 = 0.5;
/// Delay within a data centre.
const LOCAL_DELAY: time::Duration = time::Duration::from_micros(100);

/// Network of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub between: time::Duration,
    /// One-way delay between clients and entries.
    pub to_clients: time::Duration,
}

/// School exchanges.
pub const NORTHLINK: Deployment = Deployment {
    name: "Northlink",
    data_centres: 4,
    between: time::Duration::from_micros(1_500),
    to_clients: time::Duration::from_millis(3),
};

/// Procession traffic.
pub const MARCHA_SERENA: Deployment = Deployment {
    name: "Marcha Serena",
    data_centres: 3,
    between: time::Duration::from_millis(1),
    to_clients: time::Duration::from_millis(1),
};

impl Deployment {
    /// One-way delay between an entry and an agent.
    #[must_use]
    pub fn distance(&self, entry: usize, agent: usize) -> time::Duration {
        if entry % self.data_centres == agent % self.data_centres {
            return LOCAL_DELAY;
        }
        self.between
    }
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Job {
    pub entry: usize,
    pub adapter: ids::AdapterId,
    pub priority: units::Priority,
    /// Time at which the client sends it.
    pub sent: units::Timestamp,
    /// Time at which the first token is due at the client.
    pub deadline: units::Timestamp,
    /// Length of the answer, in tokens.
    pub length: u32,
    pub is_long: bool,
}

/// Swing of the demand.
#[derive(Clone, Copy, Debug)]
pub struct Swing {
    pub start: time::Duration,
    /// Time of the rise, and of the fall.
    pub rise: time::Duration,
    pub hold: time::Duration,
    pub factor: f64,
}

/// Demand of one run.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub duration: time::Duration,
    /// Offered tokens per second, divided by the nominal capacity.
    pub utilization: f64,
    pub shift: Option<time::Duration>,
    pub swing: Option<Swing>,
    /// Share of long requests.
    pub long_share: f64,
    /// Long share for which the rate is computed; the same for a run with long requests and its
    /// counterpart without.
    pub planned_long_share: f64,
}

/// Popularity of the adapters: adapter by rank, before and after the shift.
#[derive(Clone, Debug)]
pub struct Popularity {
    pub before: Vec<ids::AdapterId>,
    pub after: Vec<ids::AdapterId>,
    pub shift: Option<units::Timestamp>,
}

impl Popularity {
    /// Popularity that is determined by the seed.
    #[must_use]
    pub fn new(shift: Option<time::Duration>, rng: &mut ChaCha8Rng) -> Self {
        let mut before: Vec<_> = (0..ADAPTERS).map(adapter_id).collect();
        before.shuffle(rng);
        let mut after = before.clone();
        for rank in 0..SHIFTED_RANKS {
            if rng.random_bool(0.5) {
                let other = rng.random_range(SHIFTED_RANKS..before.len());
                after.swap(rank, other);
            }
        }
        let shift = shift.map(|shift| units::Timestamp(0) + shift);
        Self {
            before,
            after,
            shift,
        }
    }

    /// Adapters by rank at a time.
    #[must_use]
    pub fn ranks(&self, now: units::Timestamp) -> &[ids::AdapterId] {
        if self.shift.is_some_and(|shift| now >= shift) {
            return &self.after;
        }
        &self.before
    }
}

/// Share of the requests that each rank gets, most popular first.
#[must_use]
pub fn popularity_shares() -> Vec<f64> {
    let weights = (1..=ADAPTERS).map(|rank| f64::from(rank).powf(-POPULARITY_EXPONENT));
    let weights: Vec<f64> = weights.collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / total).collect()
}

fn adapter_id(number: u32) -> ids::AdapterId {
    let name = format!("adapter-{number}");
    ids::AdapterRef { name, version: 1 }.id()
}

impl Demand {
    /// Requests per second outside the swing.
    #[must_use]
    pub fn request_rate(&self) -> f64 {
        let short = f64::midpoint(
            f64::from(*fakes::SHORT_TOKENS.start()),
            f64::from(*fakes::SHORT_TOKENS.end()),
        );
        let extra = f64::from(LONG_FACTOR - 1) * self.planned_long_share;
        let replicas = f64::from(u32::try_from(REPLICAS).unwrap_or(u32::MAX));
        self.utilization * fakes::nominal_capacity() * replicas / (short * (1.0 + extra))
    }

    fn factor(&self, at: f64) -> f64 {
        let Some(swing) = self.swing else {
            return 1.0;
        };
        let rise = swing.rise.as_secs_f64();
        let since = at - swing.start.as_secs_f64();
        let left = 2.0 * rise + swing.hold.as_secs_f64() - since;
        let part = (since.min(left) / rise).clamp(0.0, 1.0);
        1.0 + (swing.factor - 1.0) * part
    }

    /// Requests in the order of their sending.
    ///
    /// # Panics
    /// When the utilization is not positive.
    #[must_use]
    pub fn requests(&self, popularity: &Popularity, rng: &mut ChaCha8Rng) -> Vec<Job> {
        let peak = self.swing.map_or(1.0, |swing| swing.factor);
        let rate = self.request_rate() * peak;
        let gaps = Exp::new(rate).expect("the rate is positive");
        let ranks = Zipf::new(f64::from(ADAPTERS), POPULARITY_EXPONENT).expect("valid Zipf");
        let mut jobs = Vec::new();
        let mut at = 0.0;
        loop {
            at += gaps.sample(rng);
            if at >= self.duration.as_secs_f64() {
                return jobs;
            }
            // Thinning: candidates arrive at the peak rate and are kept in proportion. All draws
            // happen for each candidate, so that runs of one seed stay comparable.
            let is_kept = rng.random::<f64>() < self.factor(at) / peak;
            let job = self.job(at, popularity, &ranks, rng);
            if is_kept {
                jobs.push(job);
            }
        }
    }

    fn job(
        &self,
        at: f64,
        popularity: &Popularity,
        ranks: &Zipf<f64>,
        rng: &mut ChaCha8Rng,
    ) -> Job {
        let sent = units::Timestamp(0) + time::Duration::from_secs_f64(at);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rank = ranks.sample(rng) as usize - 1;
        let (priority, time_allowed) = priority(rng.random());
        let is_long = rng.random::<f64>() < self.long_share;
        let length = rng.random_range(fakes::SHORT_TOKENS);
        Job {
            entry: rng.random_range(0..ENTRIES),
            adapter: popularity.ranks(sent)[rank],
            priority,
            sent,
            deadline: sent + time_allowed,
            length: if is_long {
                length * LONG_FACTOR
            } else {
                length
            },
            is_long,
        }
    }
}

/// Priority for a draw from 0..1, with the time allowed to the first token.
fn priority(draw: f64) -> (units::Priority, time::Duration) {
    if draw < HIGH_SHARE {
        return (units::Priority::High, time::Duration::from_millis(1_200));
    }
    if draw < HIGH_SHARE + NORMAL_SHARE {
        return (units::Priority::Normal, time::Duration::from_secs(3));
    }
    (units::Priority::Low, time::Duration::from_secs(10))
}

/// Generator of a seed; each purpose has a stream of its own.
#[must_use]
pub fn generator(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose);
    rng
}

//! Share of a gateway's requests that may leave for each other data centre because of a wait at home.
//!
//! Answers the load in which one data centre is busier than others. All of its gateways see the same gap
//! at about the same time, through views that are up to half a second old. Without a bound they would
//! all send their requests to the same data centre and back again. The shares therefore change slowly, in proportion
//! to the gap and to how long it has lasted, and keep still while the gap is small.

use std::time;

use crate::units;

/// Gap, as a part of the objective, above which a share grows.
const RISE_GAP: f64 = 0.05;
/// Gap below which it falls; between the two it keeps still.
const FALL_GAP: f64 = 0.02;
/// Share for a gap of a whole objective, divided among the other data centres.
const PROPORTIONAL_GAIN: f64 = 0.5;
/// Growth of the lasting part a second, for a gap of a whole objective.
const INTEGRAL_GAIN: f64 = 0.25;
/// Fall of the lasting part a second without a gap.
const DECAY: f64 = 0.05;
/// Largest change of a share a second.
const MAX_CHANGE: f64 = 0.25;
/// Longest time between two reviews that counts; after a pause of the process nothing jumps.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Objectives below this count as this. Views are up to half a second old, and shares that follow a
/// smaller gap than that age would oscillate.
const MIN_SCALE: time::Duration = time::Duration::from_secs(1);

/// Known load of a service in one data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DataCentreLoad {
    /// Mean time until a replica would start another request; `None` if no usable replica is known.
    pub wait: Option<time::Duration>,
    /// Time that the way there adds to a request.
    pub delay: time::Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RemoteShare {
    share: f64,
    /// Lasting part of the share.
    integral: f64,
    /// Time by which requests start sooner there.
    gap: time::Duration,
}

/// Shares of one service, in the order of the other data centres.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteShares {
    shares: Vec<RemoteShare>,
    reviewed_at: Option<units::Timestamp>,
}

impl RemoteShares {
    /// Adapts the shares to the wait at home and the loads of the other data centres, which keep their
    /// order between reviews; if their number changes, all shares start from 0.
    pub fn review(
        &mut self,
        home_wait: Option<time::Duration>,
        others: &[DataCentreLoad],
        objective: time::Duration,
        now: units::Timestamp,
    ) {
        if self.shares.len() != others.len() {
            self.shares = vec![RemoteShare::default(); others.len()];
        }
        let reviewed_at = self.reviewed_at.replace(now).unwrap_or(now);
        let interval = now.since(reviewed_at).min(MAX_INTERVAL).as_secs_f64();
        let scale = objective.max(MIN_SCALE).as_secs_f64();
        let count = f64::from(u32::try_from(others.len()).unwrap_or(u32::MAX));
        for (share, load) in self.shares.iter_mut().zip(others) {
            match load.wait {
                Some(wait) => {
                    let home = home_wait.unwrap_or_default();
                    let away = wait + load.delay;
                    share.gap = home.saturating_sub(away);
                    let gap = (home.as_secs_f64() - away.as_secs_f64()) / scale;
                    share.follow(gap, interval, count);
                }
                // It is cut off or has no replica.
                None => *share = RemoteShare::default(),
            }
        }
        self.limit_sum();
    }

    /// Keeps the sum of the shares at most 1.
    fn limit_sum(&mut self) {
        let sum: f64 = self.shares.iter().map(|share| share.share).sum();
        if sum > 1.0 {
            for share in &mut self.shares {
                share.share /= sum;
                share.integral /= sum;
            }
        }
    }

    /// Share of each other data centre, 0 to 1.
    pub fn values(&self) -> impl Iterator<Item = f64> + '_ {
        self.shares.iter().map(|share| share.share)
    }

    /// Time by which all requests start sooner in another data centre; zero without a review.
    #[must_use]
    pub fn gap(&self, position: usize) -> time::Duration {
        let share = self.shares.get(position);
        share.map_or(time::Duration::ZERO, |share| share.gap)
    }

    /// Position of the data centre for which a request may leave; each request may leave for one at
    /// most.
    #[must_use]
    pub fn assigned(&self, request_hash: u64) -> Option<usize> {
        #[expect(clippy::cast_precision_loss, reason = "a share needs less precision")]
        let mut rest = request_hash as f64 / u64::MAX as f64;
        for (position, share) in self.shares.iter().enumerate() {
            if rest < share.share {
                return Some(position);
            }
            rest -= share.share;
        }
        None
    }
}

impl RemoteShare {
    /// Moves towards the share that a gap calls for; `count` data centres react to the same wait.
    fn follow(&mut self, gap: f64, interval: f64, count: f64) {
        if gap > RISE_GAP {
            self.integral += INTEGRAL_GAIN / count * gap * interval;
        } else if gap < FALL_GAP {
            let surplus = INTEGRAL_GAIN / count * gap.min(0.0);
            self.integral += (surplus - DECAY) * interval;
        }
        self.integral = self.integral.clamp(0.0, 1.0);
        let proportional = PROPORTIONAL_GAIN / count * gap.clamp(0.0, 1.0);
        let target = (self.integral + proportional).min(1.0);
        let max_change = MAX_CHANGE * interval;
        self.share += (target - self.share).clamp(-max_change, max_change);
    }
}

//! Token bucket whose units can be given back, and its promises to refused callers.
//!
//! A unit that is given back counts as if it had never been taken: not if the bucket would have
//! been full without it in the meantime. A window therefore never has more than the burst and its
//! rate, also when requests wait and are refused later. Refused callers are told different times,
//! so that a burst of refusals does not return as one.

use std::{collections::VecDeque, time};

use crate::{quota, units};

/// Interval in which the lowest headroom is kept as one number.
const HEADROOM_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Number of intervals for which the headroom is known; older charges are not given back.
const HEADROOM_COUNT: usize = 64;
/// Fraction that spreads successive numbers evenly over an interval.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Lowest headroom of a bucket in an interval.
#[derive(Clone, Copy, Debug)]
struct IntervalHeadroom {
    starts_at: units::Timestamp,
    lowest: f64,
}

/// Token bucket. It may hold a debt, that is a level below 0.
#[derive(Debug)]
pub struct QuotaBucket {
    level: f64,
    refilled_at: units::Timestamp,
    headrooms: VecDeque<IntervalHeadroom>,
    /// Time up to which the units of the bucket are promised.
    promised_until: units::Timestamp,
    spread: f64,
}

impl QuotaBucket {
    /// Empty bucket.
    #[must_use]
    pub fn new(now: units::Timestamp) -> Self {
        Self {
            level: 0.0,
            refilled_at: now,
            headrooms: VecDeque::new(),
            promised_until: now,
            spread: 0.0,
        }
    }

    /// Units in the bucket.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds what has become available since the last call.
    pub fn refill(&mut self, limit: quota::QuotaLimit, now: units::Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let refilled = self.level + limit.rate_per_s * elapsed;
        self.level = refilled.min(limit.burst);
        self.refilled_at = self.refilled_at.max(now);
        self.record_headroom(limit.burst - self.level, now);
    }

    /// Takes units if the bucket has them.
    pub fn take(&mut self, units: f64) -> bool {
        if units > self.level {
            return false;
        }
        self.level -= units;
        true
    }

    /// Adds units from another bucket, or takes them if negative.
    pub fn add(&mut self, units: f64) {
        self.level += units;
    }

    /// Gives back units that were taken `age` ago and not used.
    pub fn give_back(&mut self, units: f64, age: time::Duration, now: units::Timestamp) {
        let taken_at = now.saturating_sub(age);
        let is_known = self
            .headrooms
            .front()
            .is_some_and(|oldest| oldest.starts_at <= taken_at);
        if !is_known {
            return;
        }
        let first = self
            .headrooms
            .partition_point(|interval| interval.starts_at <= taken_at);
        let later = self.headrooms.range(first..);
        let lowest = later.map(|interval| interval.lowest);
        let units = lowest.fold(units, f64::min).max(0.0);
        self.level += units;
        for interval in self.headrooms.range_mut(first..) {
            interval.lowest -= units;
        }
    }

    /// Time after which a caller is told to return, because the bucket then has `cost` units that
    /// nobody else was told of.
    pub fn promise(
        &mut self,
        limit: quota::QuotaLimit,
        cost: f64,
        now: units::Timestamp,
    ) -> time::Duration {
        let room_at = now + limit.time_for(cost - self.level);
        let promised_at = self.promised_until.max(room_at);
        let latest = now + quota::MAX_RETRY_DELAY;
        if cost > limit.burst || promised_at >= latest {
            self.spread = (self.spread + GOLDEN_RATIO).fract();
            return quota::MAX_RETRY_DELAY.mul_f64(f64::midpoint(1.0, self.spread));
        }
        self.promised_until = promised_at + limit.time_for(cost);
        promised_at.since(now)
    }

    /// Records that a gateway has promised units on its own.
    pub fn extend_promises(&mut self, limit: quota::QuotaLimit, units: f64, now: units::Timestamp) {
        let latest = now + quota::MAX_RETRY_DELAY;
        let promised_until = self.promised_until.max(now) + limit.time_for(units);
        self.promised_until = promised_until.min(latest);
    }

    fn record_headroom(&mut self, headroom: f64, now: units::Timestamp) {
        if let Some(newest) = self.headrooms.back_mut()
            && now.since(newest.starts_at) < HEADROOM_INTERVAL
        {
            newest.lowest = newest.lowest.min(headroom);
            return;
        }
        if self.headrooms.len() == HEADROOM_COUNT {
            self.headrooms.pop_front();
        }
        self.headrooms.push_back(IntervalHeadroom {
            starts_at: now,
            lowest: headroom,
        });
    }
}

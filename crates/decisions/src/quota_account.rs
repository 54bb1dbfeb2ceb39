//! Account of one gateway for the quota of one organisation.
//!
//! Most requests of a busy organisation are decided without a call: from a short lease, or with a
//! refusal that the owner has just given. Without an owner it spends the gateway's own part
//! of the limit, for a time in which nobody else has that part.

use std::{collections::VecDeque, time};

use crate::{quota, quota_demand, quota_ledger, units};

/// Time for which a refusal of the owner holds for further requests. Short, because units that are
/// given back may make room earlier.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(100);
/// Number of requests for which a lease is worthwhile.
const MIN_LEASE_REQUESTS: f64 = 2.0;
/// Maximum number of returns that wait for a call; more are merged.
const MAX_RETURNS: usize = 32;

/// How a gateway lost its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerLoss {
    /// Its process has ended, or has taken the gateway off its list.
    Ended,
    /// It did not respond and may still serve other gateways.
    Silent,
}

impl OwnerLoss {
    /// Label in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Silent => "silent",
        }
    }
}

/// Decision without a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalDecision {
    Charged {
        /// Time at which the owner granted the units.
        granted_at: units::Timestamp,
    },
    Refused {
        retry_after: time::Duration,
    },
    /// The owner must be asked.
    Ask(quota_ledger::RequestedUnits),
}

/// Decision of a gateway that reaches no owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DetachedDecision {
    Charged,
    Exceeded {
        retry_after: time::Duration,
    },
    /// The gateway's part may have been given to others.
    Unconfirmed,
}

#[derive(Clone, Copy, Debug)]
struct GrantedUnits {
    at: units::Timestamp,
    units: f64,
}

/// Refusal of the owner that holds for further requests.
#[derive(Clone, Copy, Debug)]
struct RecentRefusal {
    until: units::Timestamp,
    cost: f64,
    /// Time that the next caller is told.
    retry_at: units::Timestamp,
}

/// Account of one organisation's quota.
#[derive(Debug)]
pub struct QuotaAccount {
    organisation: u64,
    limit: quota::VersionedLimit,
    lease: f64,
    lease_until: units::Timestamp,
    /// Part of the bucket: as the owner told it, or what the gateway holds without an owner.
    part: quota_ledger::QuotaPart,
    /// Time from which the part refills while there is no owner.
    refills_from: units::Timestamp,
    is_attached: bool,
    /// Number of the attachment to the present owner.
    number: u64,
    /// Last response of an owner; `None` before the first.
    contact: Option<units::Timestamp>,
    granted: VecDeque<GrantedUnits>,
    returned: Vec<GrantedUnits>,
    refusal: Option<RecentRefusal>,
    promised: f64,
    demand: quota_demand::RecentDemand,
}

impl QuotaAccount {
    /// Account that has not been attached to an owner yet.
    #[must_use]
    pub fn new(organisation: u64, limit: quota::VersionedLimit) -> Self {
        Self {
            organisation,
            limit,
            lease: 0.0,
            lease_until: units::Timestamp::default(),
            part: quota_ledger::QuotaPart::default(),
            refills_from: units::Timestamp::default(),
            is_attached: false,
            number: 0,
            contact: None,
            granted: VecDeque::new(),
            returned: Vec::new(),
            refusal: None,
            promised: 0.0,
            demand: quota_demand::RecentDemand::default(),
        }
    }

    /// Hash of the organisation's name.
    #[must_use]
    pub fn organisation(&self) -> u64 {
        self.organisation
    }

    /// Number of the attachment to the present owner, which rises with each loss of one.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Part of the bucket, as last told or as held.
    #[must_use]
    pub fn part(&self) -> quota_ledger::QuotaPart {
        self.part
    }

    /// Limit of the bucket.
    #[must_use]
    pub fn limit(&self) -> quota::QuotaLimit {
        self.limit.limit
    }

    /// Takes over a limit of a newer configuration.
    pub fn update_limit(&mut self, limit: quota::VersionedLimit) {
        if limit.version <= self.limit.version {
            return;
        }
        if limit.limit != self.limit.limit {
            // The owner learns of the limit from a handover; it knows the attachment.
            self.is_attached = false;
            self.lease = 0.0;
            self.refusal = None;
        }
        self.limit = limit;
    }

    /// Charges a request from the lease, or refuses it as the owner has refused one just now.
    pub fn charge(&mut self, cost: f64, now: units::Timestamp) -> LocalDecision {
        self.demand.record(cost, now);
        self.expire_lease(now);
        if self.lease >= cost {
            self.lease -= cost;
            let granted_at = self.lease_until.saturating_sub(quota::LEASE_TIME);
            return LocalDecision::Charged { granted_at };
        }
        let refusal = self.refusal.as_mut().filter(|refusal| now < refusal.until);
        if let Some(refusal) = refusal
            && cost >= refusal.cost
        {
            let latest = now + quota::MAX_RETRY_DELAY;
            let retry_at = refusal.retry_at + self.limit.limit.time_for(cost);
            refusal.retry_at = retry_at.min(latest);
            self.promised += cost;
            return LocalDecision::Refused {
                retry_after: refusal.retry_at.since(now),
            };
        }
        let expected = self.demand.expected(quota::LEASE_TIME);
        let is_busy = expected >= cost * MIN_LEASE_REQUESTS;
        LocalDecision::Ask(quota_ledger::RequestedUnits {
            cost,
            lease: if is_busy { expected - cost } else { 0.0 },
        })
    }

    /// Gives back the charge of a request that did not run.
    pub fn give_back(&mut self, cost: f64, granted_at: units::Timestamp, now: units::Timestamp) {
        self.return_units(cost, granted_at, now);
        // A refusal may no longer hold.
        self.refusal = None;
    }

    /// State for the next call to the owner, which takes the returns along. They are lost with the
    /// call, so that they never count twice.
    pub fn take_attachment(&mut self, now: units::Timestamp) -> quota_ledger::QuotaAttachment {
        self.expire_lease(now);
        let handover = (!self.is_attached).then(|| quota_ledger::QuotaHandover {
            limit: self.limit,
            units: self.held_units(now, 0.0),
        });
        let returned = std::mem::take(&mut self.returned).into_iter();
        let returned = returned.map(|granted| quota_ledger::ReturnedUnits {
            age: now.since(granted.at),
            units: granted.units,
        });
        quota_ledger::QuotaAttachment {
            organisation: self.organisation,
            number: self.number,
            handover,
            promised: std::mem::take(&mut self.promised),
            returned: returned.collect(),
        }
    }

    /// Records a grant for a request that was asked for at `asked_at`.
    pub fn record_grant(
        &mut self,
        requested: quota_ledger::RequestedUnits,
        granted: f64,
        asked_at: units::Timestamp,
        now: units::Timestamp,
    ) {
        self.refusal = None;
        self.granted.push_back(GrantedUnits {
            at: now,
            units: granted,
        });
        self.forget_grants(now);
        self.return_units(granted - requested.cost, asked_at, now);
    }

    /// Records a refusal of the owner.
    pub fn record_refusal(
        &mut self,
        cost: f64,
        retry_after: time::Duration,
        now: units::Timestamp,
    ) {
        self.refusal = Some(RecentRefusal {
            until: now + retry_after.min(REFUSAL_TIME),
            cost,
            retry_at: now + retry_after,
        });
    }

    /// Records the part that the owner has told for an attachment.
    pub fn record_part(
        &mut self,
        attachment: &quota_ledger::QuotaAttachment,
        part: quota_ledger::QuotaPart,
        now: units::Timestamp,
    ) {
        if attachment.number != self.number {
            return;
        }
        // The limit may have changed while the call was under way.
        let told = attachment.handover.map(|handover| handover.limit.version);
        self.is_attached |= told == Some(self.limit.version);
        self.part = part;
        self.refills_from = now;
        self.contact = Some(now);
    }

    /// Records that an owner is lost or left, unless that is known. The next one gets a handover.
    pub fn record_loss(&mut self, number: u64, loss: OwnerLoss, now: units::Timestamp) {
        if number != self.number {
            return;
        }
        self.forget_grants(now);
        if self.is_attached {
            let granted = self.granted.iter().map(|granted| granted.units);
            self.part.units -= granted.sum::<f64>();
            self.refills_from = now;
        }
        if loss == OwnerLoss::Silent {
            self.part.units = self.part.units.min(0.0);
            self.refills_from = now + quota::SILENCE_LIMIT;
        }
        self.is_attached = false;
        self.number += 1;
        self.refusal = None;
    }

    /// Charges a request to the gateway's own part, because no owner can be reached.
    pub fn charge_detached(&mut self, cost: f64, now: units::Timestamp) -> DetachedDecision {
        let is_confirmed = self
            .contact
            .is_some_and(|contact| now.since(contact) < quota::DETACHED_TIME);
        if !is_confirmed {
            return DetachedDecision::Unconfirmed;
        }
        self.charge_part(cost, now)
    }

    /// Charges a request to an even part, because the deployment has no brokers.
    pub fn charge_even_part(
        &mut self,
        cost: f64,
        gateways: u32,
        now: units::Timestamp,
    ) -> DetachedDecision {
        self.part.gateways = gateways;
        self.charge_part(cost, now)
    }

    fn charge_part(&mut self, cost: f64, now: units::Timestamp) -> DetachedDecision {
        let held = self.held_units(now, cost);
        if held < cost {
            let limit = self.limit.limit.part(1, self.part.gateways);
            return DetachedDecision::Exceeded {
                retry_after: limit.time_for(cost - held) + self.refills_from.since(now),
            };
        }
        self.part.units = held - cost;
        self.refills_from = self.refills_from.max(now);
        DetachedDecision::Charged
    }

    /// Units of the gateway's part without an owner, refilled up to now. A part holds one request of `cost`
    /// at least, since otherwise a small one would never admit any.
    fn held_units(&self, now: units::Timestamp, cost: f64) -> f64 {
        if self.part.gateways == 0 {
            return 0.0;
        }
        let limit = self.limit.limit.part(1, self.part.gateways);
        let refilled = limit.rate_per_s * now.since(self.refills_from).as_secs_f64();
        (self.part.units + refilled).min(limit.burst.max(cost))
    }

    /// Puts unused units back into the lease, or on the list of returns if they are too old.
    fn return_units(&mut self, units: f64, granted_at: units::Timestamp, now: units::Timestamp) {
        if units <= 0.0 {
            return;
        }
        self.expire_lease(now);
        let ends_at = granted_at + quota::LEASE_TIME;
        if ends_at <= now {
            self.queue_return(GrantedUnits {
                at: granted_at,
                units,
            });
            return;
        }
        let is_empty = self.lease <= 0.0;
        self.lease_until = if is_empty {
            ends_at
        } else {
            ends_at.min(self.lease_until)
        };
        self.lease += units;
    }

    fn expire_lease(&mut self, now: units::Timestamp) {
        if self.lease <= 0.0 || now < self.lease_until {
            return;
        }
        let granted = GrantedUnits {
            at: self.lease_until.saturating_sub(quota::LEASE_TIME),
            units: self.lease,
        };
        self.lease = 0.0;
        self.queue_return(granted);
    }

    fn queue_return(&mut self, granted: GrantedUnits) {
        if self.returned.len() < MAX_RETURNS {
            self.returned.push(granted);
            return;
        }
        if let Some(last) = self.returned.last_mut() {
            last.at = last.at.min(granted.at);
            last.units += granted.units;
        }
    }

    fn forget_grants(&mut self, now: units::Timestamp) {
        let is_old = |granted: &GrantedUnits| now.since(granted.at) > quota::SILENCE_LIMIT;
        while self.granted.front().is_some_and(is_old) {
            self.granted.pop_front();
        }
    }
}

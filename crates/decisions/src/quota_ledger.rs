//! Quotas that one broker owns.
//!
//! Answers the load of organisations whose callers sit at few of the gateways, move between them and
//! send bursts, at times beyond their limits. One bucket for each organisation serves
//! all gateways that reach this owner. Where a part of them reaches another owner, each owner has the
//! part of the limit that its gateways stand for, so that the parts never add up to more than the
//! limit.

use std::time;

use serde::{Deserialize, Serialize};

use crate::{quota, quota_bucket, quota_roster, units};

/// Largest part of the bucket that a lease may take beyond the request that asks for it.
const MAX_LEASE_SHARE: f64 = 0.25;

/// Gateway that calls an owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayIdentity {
    /// Hash of the instance's name, which a restarted gateway keeps.
    pub gateway: u64,
    /// Random number of the process.
    pub incarnation: u64,
    /// Largest number of gateways that brokers have told it; 0 if none has.
    pub known_gateways: u32,
}

/// Units that a gateway was granted and that were not used.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReturnedUnits {
    /// Time since they were granted.
    pub age: time::Duration,
    pub units: f64,
}

/// What a gateway tells an owner that may not know it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaHandover {
    /// Limit of the bucket, from the gateway's configuration.
    pub limit: quota::VersionedLimit,
    /// Units that the gateway brings from its former owner; a debt if negative.
    pub units: f64,
}

/// State that a gateway has with the owner of an organisation's quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaAttachment {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Number that rises whenever the gateway changes the owner.
    pub number: u64,
    pub handover: Option<QuotaHandover>,
    /// Units that the gateway has promised to refused callers on its own.
    pub promised: f64,
    pub returned: Vec<ReturnedUnits>,
}

/// Charge of a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestedUnits {
    pub cost: f64,
    /// Units that further requests are expected to need soon.
    pub lease: f64,
}

/// Part of an owner's bucket that belongs to each of its gateways.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaPart {
    pub units: f64,
    /// Gateways that share the limit.
    pub gateways: u32,
    /// Gateways that use this owner.
    pub attached: u32,
}

/// Decision of an owner on a charge.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum ChargeDecision {
    /// The cost, and a lease if more.
    Granted { units: f64, part: QuotaPart },
    Refused {
        retry_after: time::Duration,
        part: QuotaPart,
    },
    /// The owner does not know the gateway's attachment.
    HandoverNeeded,
}

#[derive(Debug)]
struct AttachedGateway {
    gateway: u64,
    incarnation: u64,
    number: u64,
    heard_at: units::Timestamp,
    /// Its part of the bucket, set aside since it went silent.
    set_aside: Option<f64>,
}

impl AttachedGateway {
    fn silent_from(&self) -> units::Timestamp {
        self.heard_at + quota::SILENCE_LIMIT
    }
}

/// Quota of one organisation.
#[derive(Debug)]
struct OwnedQuota {
    organisation: u64,
    limit: quota::VersionedLimit,
    bucket: quota_bucket::QuotaBucket,
    /// Sorted by the gateway's hash.
    gateways: Vec<AttachedGateway>,
}

/// Quotas that one broker owns, sorted by the organisation's hash.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    roster: quota_roster::QuotaRoster,
    quotas: Vec<OwnedQuota>,
}

impl QuotaLedger {
    /// Number of gateways that have called this broker.
    #[must_use]
    pub fn heard_count(&self) -> u32 {
        self.roster.heard_count()
    }

    /// Records a heartbeat, whose attachments are all that the gateway has with this owner. Returns
    /// the parts in their order; `None` where a handover is needed.
    pub fn record_heartbeat(
        &mut self,
        identity: &GatewayIdentity,
        attachments: &[QuotaAttachment],
        now: units::Timestamp,
    ) -> Vec<Option<QuotaPart>> {
        self.record_call(identity, now);
        let gateways = self.roster.gateway_count();
        for owned in &mut self.quotas {
            let organisation = owned.organisation;
            let mut listed = attachments.iter();
            if !listed.any(|attachment| attachment.organisation == organisation) {
                owned.advance(gateways, now);
                owned.detach(identity.gateway);
            }
        }
        let parts = attachments.iter().map(|attachment| {
            let owned = self.attach(identity, attachment, now)?;
            Some(owned.part(gateways))
        });
        let parts = parts.collect();
        let is_used = |owned: &OwnedQuota| !owned.gateways.is_empty();
        self.quotas.retain(is_used);
        parts
    }

    /// Decides on the charge of a request.
    pub fn charge(
        &mut self,
        identity: &GatewayIdentity,
        attachment: &QuotaAttachment,
        requested: RequestedUnits,
        now: units::Timestamp,
    ) -> ChargeDecision {
        self.record_call(identity, now);
        let gateways = self.roster.gateway_count();
        match self.attach(identity, attachment, now) {
            Some(owned) => owned.charge(requested, gateways, now),
            None => ChargeDecision::HandoverNeeded,
        }
    }

    fn record_call(&mut self, identity: &GatewayIdentity, now: units::Timestamp) {
        let (gateway, known) = (identity.gateway, identity.known_gateways);
        self.roster.record_call(gateway, known, now);
        self.roster.expire(now);
    }

    /// Attaches a gateway to a quota; `None` if that takes a handover.
    fn attach(
        &mut self,
        identity: &GatewayIdentity,
        attachment: &QuotaAttachment,
        now: units::Timestamp,
    ) -> Option<&mut OwnedQuota> {
        let organisation = attachment.organisation;
        let found = self
            .quotas
            .binary_search_by_key(&organisation, |owned| owned.organisation);
        let position = match found {
            Ok(position) => position,
            Err(position) => {
                let limit = attachment.handover?.limit;
                let owned = OwnedQuota::new(organisation, limit, now);
                self.quotas.insert(position, owned);
                position
            }
        };
        let gateways = self.roster.gateway_count();
        let owned = &mut self.quotas[position];
        owned.advance(gateways, now);
        if !owned.record_call(identity, attachment, gateways, now) {
            return None;
        }
        if let Some(handover) = attachment.handover {
            owned.update_limit(handover.limit);
        }
        let limit = owned.limit_part(gateways);
        owned.bucket.refill(limit, now);
        for returned in &attachment.returned {
            owned.bucket.give_back(returned.units, returned.age, now);
        }
        if attachment.promised > 0.0 {
            owned
                .bucket
                .extend_promises(limit, attachment.promised, now);
        }
        Some(owned)
    }
}

impl OwnedQuota {
    fn new(organisation: u64, limit: quota::VersionedLimit, now: units::Timestamp) -> Self {
        Self {
            organisation,
            limit,
            bucket: quota_bucket::QuotaBucket::new(now),
            gateways: Vec::new(),
        }
    }

    /// Refills the bucket up to now, and sets the parts of gateways aside from the time at which
    /// each went silent.
    fn advance(&mut self, gateways: u32, now: units::Timestamp) {
        while let Some(position) = self.next_silent(now) {
            let silent_from = self.gateways[position].silent_from();
            self.bucket.refill(self.limit_part(gateways), silent_from);
            let units = self.take_part();
            self.gateways[position].set_aside = Some(units);
        }
        self.bucket.refill(self.limit_part(gateways), now);
        self.gateways
            .retain(|gateway| now.since(gateway.heard_at) < quota::FORGET_TIME);
    }

    /// Gateway that went silent first, of those whose part has not been set aside.
    fn next_silent(&self, now: units::Timestamp) -> Option<usize> {
        let gateways = self.gateways.iter().enumerate();
        let silent = gateways
            .filter(|(_, gateway)| gateway.set_aside.is_none() && gateway.silent_from() <= now);
        let first = silent.min_by_key(|(_, gateway)| gateway.heard_at)?;
        Some(first.0)
    }

    /// Records a call of a gateway; false if its attachment is not known and it hands nothing over.
    fn record_call(
        &mut self,
        identity: &GatewayIdentity,
        attachment: &QuotaAttachment,
        gateways: u32,
        now: units::Timestamp,
    ) -> bool {
        let found = self.find(identity.gateway);
        let is_known = found.is_ok_and(|position| {
            let known = &self.gateways[position];
            known.incarnation == identity.incarnation && known.number == attachment.number
        });
        if let (Ok(position), true) = (found, is_known) {
            self.resume(position, gateways, now);
            return true;
        }
        let Some(handover) = attachment.handover else {
            return false;
        };
        self.detach(identity.gateway);
        let position = self.find(identity.gateway).unwrap_or_else(|free| free);
        let gateway = AttachedGateway {
            gateway: identity.gateway,
            incarnation: identity.incarnation,
            number: attachment.number,
            heard_at: now,
            set_aside: None,
        };
        self.gateways.insert(position, gateway);
        self.bucket.add(handover.units);
        true
    }

    /// Returns the part of a gateway that was silent, with what its part of the rate added.
    fn resume(&mut self, position: usize, gateways: u32, now: units::Timestamp) {
        let limit = self.limit.limit.part(1, gateways);
        let gateway = &mut self.gateways[position];
        if let Some(units) = gateway.set_aside.take() {
            let refilled = limit.rate_per_s * now.since(gateway.silent_from()).as_secs_f64();
            self.bucket.add((units + refilled).min(limit.burst));
        }
        gateway.heard_at = now;
    }

    /// Removes a gateway with its part of the bucket.
    fn detach(&mut self, gateway: u64) {
        let Ok(position) = self.find(gateway) else {
            return;
        };
        if self.gateways[position].set_aside.is_none() {
            self.take_part();
        }
        self.gateways.remove(position);
    }

    /// Takes one gateway's part out of the bucket.
    fn take_part(&mut self) -> f64 {
        let units = self.bucket.level() / f64::from(self.attached_count().max(1));
        self.bucket.add(-units);
        units
    }

    fn charge(
        &mut self,
        requested: RequestedUnits,
        gateways: u32,
        now: units::Timestamp,
    ) -> ChargeDecision {
        let limit = self.limit_part(gateways);
        if !self.bucket.take(requested.cost) {
            let retry_after = self.bucket.promise(limit, requested.cost, now);
            return ChargeDecision::Refused {
                retry_after,
                part: self.part(gateways),
            };
        }
        let lease = requested.lease.min(self.bucket.level() * MAX_LEASE_SHARE);
        let lease = lease.max(0.0);
        self.bucket.add(-lease);
        ChargeDecision::Granted {
            units: requested.cost + lease,
            part: self.part(gateways),
        }
    }

    fn update_limit(&mut self, limit: quota::VersionedLimit) {
        if limit.version > self.limit.version {
            self.limit = limit;
        }
    }

    fn limit_part(&self, gateways: u32) -> quota::QuotaLimit {
        self.limit.limit.part(self.attached_count(), gateways)
    }

    fn attached_count(&self) -> u32 {
        let attached = self.gateways.iter();
        let attached = attached.filter(|gateway| gateway.set_aside.is_none());
        u32::try_from(attached.count()).unwrap_or(u32::MAX)
    }

    fn part(&self, gateways: u32) -> QuotaPart {
        let attached = self.attached_count();
        QuotaPart {
            units: self.bucket.level() / f64::from(attached.max(1)),
            gateways,
            attached,
        }
    }

    fn find(&self, gateway: u64) -> Result<usize, usize> {
        self.gateways
            .binary_search_by_key(&gateway, |attached| attached.gateway)
    }
}

//! Quotas of all organisations in one gateway: which broker owns each of them, and what the next
//! call tells it.
//!
//! Owners may be lost. A gateway uses the first broker in rendezvous order that responds,
//! so that gateways which reach the same brokers agree without talking to each other, and goes back
//! to it when it responds again.

use std::{net, time};

use crate::{quota, quota_account, quota_ledger, quota_owner, quota_roster, units};

#[derive(Debug)]
struct AssignedAccount {
    account: quota_account::QuotaAccount,
    owner: Option<net::SocketAddr>,
    /// First reachable broker in rendezvous order.
    preferred: Option<net::SocketAddr>,
}

/// Call to the owner of a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCall {
    pub owner: net::SocketAddr,
    pub identity: quota_ledger::GatewayIdentity,
    pub attachment: quota_ledger::QuotaAttachment,
    pub requested: quota_ledger::RequestedUnits,
    pub asked_at: units::Timestamp,
}

/// Next step of a charge.
#[derive(Clone, Debug, PartialEq)]
pub enum ChargeStep {
    Charged {
        granted_at: units::Timestamp,
    },
    Exceeded {
        retry_after: time::Duration,
    },
    /// No owner can be reached, and the gateway's part may have been given to others.
    Unconfirmed,
    Ask(OwnerCall),
}

/// State of a quota, for the log of a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    pub limit: quota::QuotaLimit,
    /// Part of the bucket that was last told; the level is that times `attached`.
    pub part: quota_ledger::QuotaPart,
    pub owner: Option<net::SocketAddr>,
}

/// Quotas of all organisations in one gateway.
#[derive(Debug)]
pub struct GatewayQuotas {
    gateway: u64,
    incarnation: u64,
    known_gateways: quota_roster::KnownGateways,
    /// Number of gateways to assume where no broker tells it.
    assumed_gateways: u32,
    brokers: quota_owner::OwnerList,
    /// The deployment has no brokers, now or later.
    is_brokerless: bool,
    /// Sorted by the organisation's hash.
    accounts: Vec<AssignedAccount>,
}

impl GatewayQuotas {
    /// Quotas of an instance by the hash of its name and the random number of its process.
    #[must_use]
    pub fn new(gateway: u64, incarnation: u64, assumed_gateways: u32) -> Self {
        Self {
            gateway,
            incarnation,
            known_gateways: quota_roster::KnownGateways::default(),
            assumed_gateways,
            brokers: quota_owner::OwnerList::default(),
            is_brokerless: false,
            accounts: Vec::new(),
        }
    }

    /// Whether no organisation has a quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Takes over the limits of a configuration, by the hash of each organisation's name.
    pub fn set_limits(&mut self, limits: &[(u64, quota::VersionedLimit)]) {
        self.accounts.retain(|assigned| {
            let organisation = assigned.account.organisation();
            limits.iter().any(|(listed, _)| *listed == organisation)
        });
        for (organisation, limit) in limits {
            match self.find(*organisation) {
                Ok(position) => self.accounts[position].account.update_limit(*limit),
                Err(_) => self.add_limit(*organisation, *limit),
            }
        }
    }

    /// Adds the limit of an organisation, unless it has one.
    pub fn add_limit(&mut self, organisation: u64, limit: quota::VersionedLimit) {
        let Err(position) = self.find(organisation) else {
            return;
        };
        let assigned = AssignedAccount {
            account: quota_account::QuotaAccount::new(organisation, limit),
            owner: None,
            preferred: None,
        };
        self.accounts.insert(position, assigned);
        self.choose_owners();
    }

    /// Takes over the list of brokers, which stays empty in a deployment without engines. A new
    /// broker counts as reachable until a call fails.
    pub fn set_brokers(
        &mut self,
        addresses: &[net::SocketAddr],
        has_engines: bool,
        now: units::Timestamp,
    ) {
        self.is_brokerless = !has_engines;
        let removed = self.brokers.update(addresses);
        for address in removed {
            // It may still serve gateways that have it on their lists.
            self.record_failure(address, quota_account::OwnerLoss::Silent, now);
        }
        self.choose_owners();
    }

    /// Decides on the charge of a request, or names the owner to ask. `None` if the organisation
    /// has no quota.
    pub fn charge(
        &mut self,
        organisation: u64,
        cost: f64,
        now: units::Timestamp,
    ) -> Option<ChargeStep> {
        let position = self.find(organisation).ok()?;
        let decision = self.accounts[position].account.charge(cost, now);
        let step = match decision {
            quota_account::LocalDecision::Charged { granted_at } => {
                ChargeStep::Charged { granted_at }
            }
            quota_account::LocalDecision::Refused { retry_after } => {
                ChargeStep::Exceeded { retry_after }
            }
            quota_account::LocalDecision::Ask(requested) => {
                self.ask_owner(position, requested, now)
            }
        };
        Some(step)
    }

    /// Records the decision of an owner; `None` if the owner must be asked again.
    pub fn record_decision(
        &mut self,
        call: &OwnerCall,
        decision: quota_ledger::ChargeDecision,
        now: units::Timestamp,
    ) -> Option<ChargeStep> {
        let (organisation, number) = (call.attachment.organisation, call.attachment.number);
        let Ok(position) = self.find(organisation) else {
            return Some(ChargeStep::Unconfirmed);
        };
        let assigned = &mut self.accounts[position];
        match decision {
            quota_ledger::ChargeDecision::Granted { units, part } => {
                let account = &mut assigned.account;
                account.record_part(&call.attachment, part, now);
                account.record_grant(call.requested, units, call.asked_at, now);
                Some(ChargeStep::Charged {
                    granted_at: call.asked_at,
                })
            }
            quota_ledger::ChargeDecision::Refused { retry_after, part } => {
                let account = &mut assigned.account;
                account.record_part(&call.attachment, part, now);
                account.record_refusal(call.requested.cost, retry_after, now);
                Some(ChargeStep::Exceeded { retry_after })
            }
            quota_ledger::ChargeDecision::HandoverNeeded => {
                assigned.leave(number, quota_account::OwnerLoss::Ended, now);
                None
            }
        }
    }

    /// Records that a broker did not respond to a call. Its organisations get other owners until a
    /// heartbeat succeeds. Returns their number.
    pub fn record_failure(
        &mut self,
        broker: net::SocketAddr,
        loss: quota_account::OwnerLoss,
        now: units::Timestamp,
    ) -> usize {
        self.set_reachable(broker, false);
        let mut lost_count = 0;
        for assigned in &mut self.accounts {
            if assigned.owner == Some(broker) {
                let number = assigned.account.number();
                assigned.leave(number, loss, now);
                lost_count += 1;
            }
        }
        lost_count
    }

    /// Gives back the charge of a request that did not run.
    pub fn give_back(
        &mut self,
        organisation: u64,
        cost: f64,
        granted_at: units::Timestamp,
        now: units::Timestamp,
    ) {
        if let Ok(position) = self.find(organisation) {
            let account = &mut self.accounts[position].account;
            account.give_back(cost, granted_at, now);
        }
    }

    /// Identity for a call.
    #[must_use]
    pub fn identity(&self) -> quota_ledger::GatewayIdentity {
        quota_ledger::GatewayIdentity {
            gateway: self.gateway,
            incarnation: self.incarnation,
            known_gateways: self.known_gateways.count(),
        }
    }

    /// State for a heartbeat to a broker: the organisations that it owns. One with a better owner is
    /// left out, which detaches it.
    pub fn take_attachments(
        &mut self,
        broker: net::SocketAddr,
        now: units::Timestamp,
    ) -> Vec<quota_ledger::QuotaAttachment> {
        let mut attachments = Vec::new();
        for assigned in &mut self.accounts {
            if assigned.owner.is_none() {
                assigned.owner = assigned.preferred;
            }
            if assigned.owner == Some(broker) && !assigned.has_better_owner() {
                attachments.push(assigned.account.take_attachment(now));
            }
        }
        attachments
    }

    /// Records the response to a heartbeat with `attachments`, whose parts are in the same order.
    pub fn record_heartbeat(
        &mut self,
        broker: net::SocketAddr,
        attachments: &[quota_ledger::QuotaAttachment],
        parts: &[Option<quota_ledger::QuotaPart>],
        heard_gateways: u32,
        now: units::Timestamp,
    ) {
        self.known_gateways.record(heard_gateways, now);
        self.set_reachable(broker, true);
        for (attachment, part) in attachments.iter().zip(parts) {
            let Ok(position) = self.find(attachment.organisation) else {
                continue;
            };
            let assigned = &mut self.accounts[position];
            let number = attachment.number;
            if let Some(part) = part {
                assigned.account.record_part(attachment, *part, now);
            } else {
                assigned.leave(number, quota_account::OwnerLoss::Ended, now);
            }
        }
        self.leave_omitted(broker, attachments, now);
    }

    /// State of a quota, for the log.
    #[must_use]
    pub fn status(&self, organisation: u64) -> Option<QuotaStatus> {
        let assigned = &self.accounts[self.find(organisation).ok()?];
        Some(QuotaStatus {
            limit: assigned.account.limit(),
            part: assigned.account.part(),
            owner: assigned.owner,
        })
    }

    /// Leaves a broker for the organisations that its heartbeat no longer listed.
    fn leave_omitted(
        &mut self,
        broker: net::SocketAddr,
        listed: &[quota_ledger::QuotaAttachment],
        now: units::Timestamp,
    ) {
        for assigned in &mut self.accounts {
            let organisation = assigned.account.organisation();
            let mut listed = listed.iter();
            let is_listed = listed.any(|attachment| attachment.organisation == organisation);
            if assigned.owner == Some(broker) && !is_listed && assigned.has_better_owner() {
                let number = assigned.account.number();
                assigned.leave(number, quota_account::OwnerLoss::Ended, now);
            }
        }
    }

    fn ask_owner(
        &mut self,
        position: usize,
        requested: quota_ledger::RequestedUnits,
        now: units::Timestamp,
    ) -> ChargeStep {
        let identity = self.identity();
        let assigned = &mut self.accounts[position];
        let Some(owner) = assigned.owner.or(assigned.preferred) else {
            return self.charge_own_part(position, requested.cost, now);
        };
        assigned.owner = Some(owner);
        ChargeStep::Ask(OwnerCall {
            owner,
            identity,
            attachment: assigned.account.take_attachment(now),
            requested,
            asked_at: now,
        })
    }

    fn charge_own_part(&mut self, position: usize, cost: f64, now: units::Timestamp) -> ChargeStep {
        let gateways = self.assumed_gateways;
        let account = &mut self.accounts[position].account;
        let decision = if self.is_brokerless {
            account.charge_even_part(cost, gateways, now)
        } else {
            account.charge_detached(cost, now)
        };
        match decision {
            quota_account::DetachedDecision::Charged => ChargeStep::Charged { granted_at: now },
            quota_account::DetachedDecision::Exceeded { retry_after } => {
                ChargeStep::Exceeded { retry_after }
            }
            quota_account::DetachedDecision::Unconfirmed => ChargeStep::Unconfirmed,
        }
    }

    fn set_reachable(&mut self, broker: net::SocketAddr, is_reachable: bool) {
        if self.brokers.set_reachable(broker, is_reachable) {
            self.choose_owners();
        }
    }

    fn choose_owners(&mut self) {
        for assigned in &mut self.accounts {
            assigned.preferred = self.brokers.choose(assigned.account.organisation());
        }
    }

    fn find(&self, organisation: u64) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&organisation, |assigned| assigned.account.organisation())
    }
}

impl AssignedAccount {
    /// Whether a broker before its owner responds.
    fn has_better_owner(&self) -> bool {
        self.preferred.is_some() && self.preferred != self.owner
    }

    /// Leaves the owner of an attachment, unless that is known.
    fn leave(&mut self, number: u64, loss: quota_account::OwnerLoss, now: units::Timestamp) {
        if self.account.number() == number {
            self.owner = None;
        }
        self.account.record_loss(number, loss, now);
    }
}

//! Quotas of organisations that a broker owns for gateways.
//!
//! The state is in memory only. A restarted broker learns it from the handovers of the gateways.

use decisions::{quota_ledger, units};
use opentelemetry::{KeyValue, metrics::Counter};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{message, process_clock};

/// Part of a gateway's heartbeat where organisations have quotas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaReport {
    /// Hash of the instance's name.
    pub gateway: u64,
    /// Largest number of gateways that brokers have told it.
    pub known_gateways: u32,
    /// Organisations for which the gateway uses this broker as the owner.
    pub attachments: Vec<quota_ledger::QuotaAttachment>,
}

/// Response to a [`QuotaReport`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaView {
    /// Gateways that have called this broker.
    pub heard_gateways: u32,
    /// Parts of the attachments in their order; `None` where a handover is needed.
    pub parts: Vec<Option<quota_ledger::QuotaPart>>,
}

/// Response to a heartbeat with a [`QuotaReport`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaHeartbeatReply {
    pub view: message::EngineView,
    pub quotas: QuotaView,
}

/// Charge of a request to its organisation's quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaCall {
    pub identity: quota_ledger::GatewayIdentity,
    pub attachment: quota_ledger::QuotaAttachment,
    pub requested: quota_ledger::RequestedUnits,
}

/// Owner of quotas, as a trait object for the listener.
pub trait QuotaOwner: Send + Sync {
    /// Records the heartbeat of a gateway process.
    fn record_heartbeat(&self, incarnation: u64, report: &QuotaReport) -> QuotaView;
    /// Decides on the charge of a request.
    fn charge(&self, call: &QuotaCall) -> quota_ledger::ChargeDecision;
}

/// Quotas of one broker.
pub struct QuotaBook {
    ledger: Mutex<quota_ledger::QuotaLedger>,
    clock: process_clock::ProcessClock,
    decisions: Counter<u64>,
}

impl QuotaBook {
    /// Empty book with its counter of decisions.
    #[must_use]
    pub fn new(decisions: Counter<u64>) -> Self {
        Self {
            ledger: Mutex::default(),
            clock: process_clock::ProcessClock::start(),
            decisions,
        }
    }

    fn now(&self) -> units::Timestamp {
        self.clock.now()
    }
}

impl QuotaOwner for QuotaBook {
    fn record_heartbeat(&self, incarnation: u64, report: &QuotaReport) -> QuotaView {
        let identity = quota_ledger::GatewayIdentity {
            gateway: report.gateway,
            incarnation,
            known_gateways: report.known_gateways,
        };
        let mut ledger = self.ledger.lock();
        // Taken under the lock, so that the times of calls are in order.
        let now = self.now();
        let parts = ledger.record_heartbeat(&identity, &report.attachments, now);
        QuotaView {
            heard_gateways: ledger.heard_count(),
            parts,
        }
    }

    fn charge(&self, call: &QuotaCall) -> quota_ledger::ChargeDecision {
        let decision = {
            let mut ledger = self.ledger.lock();
            let now = self.now();
            ledger.charge(&call.identity, &call.attachment, call.requested, now)
        };
        let outcome = match decision {
            quota_ledger::ChargeDecision::Granted { .. } => "granted",
            quota_ledger::ChargeDecision::Refused { .. } => "exceeded",
            quota_ledger::ChargeDecision::HandoverNeeded => "handover_needed",
        };
        self.decisions.add(1, &[KeyValue::new("outcome", outcome)]);
        decision
    }
}

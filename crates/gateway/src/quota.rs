//! Charges of requests to the quotas of their organisations.
//!
//! The decisions are in `decisions::gateway_quotas`; this module makes the calls that they ask for,
//! and gives back the charges of requests that did not run.

use std::{fmt, net, sync::Arc, time};

use broker::{client, process_clock, quotas};
use decisions::{gateway_quotas, quota, quota_account, quota_ledger, quota_owner, units};
use parking_lot::Mutex;
use telemetry::events;

use crate::{access_refusal, organisations};

/// Maximum number of calls for one charge. A second owner is asked if the first is lost, and each
/// may need a handover.
const MAX_CALLS: usize = 4;
/// Longest wait for room in a quota that is shorter than the way of a caller that is told to return.
const MAX_SHORT_WAIT: time::Duration = time::Duration::from_millis(10);
/// Timers are not finer than this.
const MIN_SHORT_WAIT: time::Duration = time::Duration::from_millis(1);
/// Time after which a caller is told to return if no owner can be reached; heartbeats find one by
/// then.
const UNCONFIRMED_RETRY_DELAY: time::Duration = time::Duration::from_millis(600);

/// Cost of a request that was charged to its organisation's quota. Dropped without
/// [`QuotaCharge::settle`], it is given back, because the request did not run.
pub struct QuotaCharge {
    cost: u64,
    grant: Option<ChargeGrant>,
}

/// Grant that can be given back.
struct ChargeGrant {
    shared: Arc<SharedQuotas>,
    organisation: u64,
    granted_at: units::Timestamp,
}

impl QuotaCharge {
    /// Keeps the charge, because the request has run or may run.
    pub fn settle(mut self) {
        self.grant = None;
    }

    /// Units that the request costs.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.cost
    }
}

impl fmt::Debug for QuotaCharge {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("QuotaCharge");
        text.field("cost", &self.cost).finish_non_exhaustive()
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        let cost = count_units(self.cost);
        let shared = &grant.shared;
        let mut quotas = shared.quotas.lock();
        quotas.give_back(grant.organisation, cost, grant.granted_at, shared.now());
    }
}

/// Reason why a request is not charged and must not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaRefusal {
    /// The request is beyond the quota, which has room for it after `retry_after`.
    Exceeded { retry_after: time::Duration },
    /// The gateway has been cut off from the other processes, so that it cannot know what is left.
    Unconfirmed { retry_after: time::Duration },
}

impl QuotaRefusal {
    const UNCONFIRMED: Self = Self::Unconfirmed {
        retry_after: UNCONFIRMED_RETRY_DELAY,
    };

    /// Label in logs and counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Exceeded { .. } => "quota_exceeded",
            Self::Unconfirmed { .. } => "quota_unconfirmed",
        }
    }

    /// Time after which the caller should return.
    #[must_use]
    pub fn retry_after(self) -> time::Duration {
        match self {
            Self::Exceeded { retry_after } | Self::Unconfirmed { retry_after } => retry_after,
        }
    }
}

/// What a gateway needs in order to charge requests.
pub struct QuotaOptions<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Random number of the process.
    pub incarnation: u64,
    pub tolerance: quota::QuotaTolerance,
    /// Number of gateways to assume in a deployment without brokers.
    pub assumed_gateways: u32,
    /// Clock that the brokers' clients use.
    pub clock: process_clock::ProcessClock,
    pub logger: slog::Logger,
}

struct SharedQuotas {
    quotas: Mutex<gateway_quotas::GatewayQuotas>,
    /// Sorted by address.
    brokers: Mutex<Vec<Arc<client::BrokerClient>>>,
    tolerance: quota::QuotaTolerance,
    clock: process_clock::ProcessClock,
    logger: slog::Logger,
}

/// Part of a gateway that charges requests.
pub struct QuotaClient {
    shared: Arc<SharedQuotas>,
}

impl QuotaClient {
    /// Client without quotas and brokers.
    #[must_use]
    pub fn new(options: QuotaOptions<'_>) -> Self {
        let gateway = quota_owner::hash_name(options.instance);
        let quotas = gateway_quotas::GatewayQuotas::new(
            gateway,
            options.incarnation,
            options.assumed_gateways,
        );
        let shared = SharedQuotas {
            quotas: Mutex::new(quotas),
            brokers: Mutex::default(),
            tolerance: options.tolerance,
            clock: options.clock,
            logger: options.logger,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Whether no organisation has a quota, so that brokers need not know of any.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.shared.quotas.lock().is_empty()
    }

    /// Takes over the limits of a configuration.
    pub fn set_organisations<'a>(
        &self,
        version: u64,
        organisations: impl Iterator<Item = &'a organisations::Organisation>,
    ) {
        let limits: Vec<_> = organisations
            .filter_map(|organisation| self.bucket_limit(organisation, version))
            .collect();
        self.shared.quotas.lock().set_limits(&limits);
    }

    /// Takes over the brokers of all engines.
    pub fn set_brokers(&self, mut brokers: Vec<Arc<client::BrokerClient>>, has_engines: bool) {
        brokers.sort_unstable_by_key(|broker| broker.address());
        brokers.dedup_by_key(|broker| broker.address());
        let addresses: Vec<_> = brokers.iter().map(|broker| broker.address()).collect();
        *self.shared.brokers.lock() = brokers;
        let mut quotas = self.shared.quotas.lock();
        quotas.set_brokers(&addresses, has_engines, self.shared.now());
    }

    /// Charges a request to the quota of its organisation.
    ///
    /// # Errors
    /// [`QuotaRefusal`] when the request must not run now.
    pub async fn charge(
        &self,
        organisation: &organisations::Organisation,
        cost: u64,
    ) -> Result<QuotaCharge, QuotaRefusal> {
        // The version is that of the configuration before the first one.
        let Some((key, limit)) = self.bucket_limit(organisation, 0) else {
            return Ok(QuotaCharge { cost, grant: None });
        };
        self.shared.quotas.lock().add_limit(key, limit);
        // Outlives a caller that leaves: its charge is then given back when it is dropped.
        let shared = Arc::clone(&self.shared);
        let charging = tokio::spawn(async move { shared.charge(key, cost).await });
        charging.await.unwrap_or(Err(QuotaRefusal::UNCONFIRMED))
    }

    /// Logs the refusal of a request with the state of its quota.
    pub fn log_refusal(
        &self,
        request: &str,
        organisation: &str,
        key_digest: Option<organisations::KeyDigest>,
        denial: access_refusal::QuotaDenial,
    ) {
        let key = quota_owner::hash_name(organisation);
        let Some(status) = self.shared.quotas.lock().status(key) else {
            return;
        };
        let (refusal, part) = (denial.refusal, status.part);
        let owner = status.owner.map(|owner| owner.to_string());
        slog::info!(self.shared.logger, "request beyond its organisation's quota";
            "event" => events::QUOTA_REFUSED.number, "name" => events::QUOTA_REFUSED.name,
            "request" => request, "organisation" => organisation,
            "key_digest" => key_digest.map(|key| key.to_string()),
            "reason" => refusal.label(), "cost" => denial.cost,
            "retry_after_ms" => millis(refusal.retry_after()),
            "level" => (part.units * f64::from(part.attached)).round(),
            "rate_per_s" => status.limit.rate_per_s, "burst" => status.limit.burst,
            "attached" => part.attached, "gateways" => part.gateways, "owner" => owner);
    }

    /// Broker that owns the quota of an organisation, if known.
    #[must_use]
    pub fn owner(&self, organisation: &organisations::Organisation) -> Option<net::SocketAddr> {
        let key = quota_owner::hash_name(&organisation.name);
        self.shared.quotas.lock().status(key)?.owner
    }

    /// State for a heartbeat to a broker; `None` if no organisation has a quota.
    #[must_use]
    pub fn take_report(&self, broker: net::SocketAddr) -> Option<quotas::QuotaReport> {
        let mut quotas = self.shared.quotas.lock();
        if quotas.is_empty() {
            return None;
        }
        let identity = quotas.identity();
        Some(quotas::QuotaReport {
            gateway: identity.gateway,
            known_gateways: identity.known_gateways,
            attachments: quotas.take_attachments(broker, self.shared.now()),
        })
    }

    /// Records the response to a heartbeat with `attachments`.
    pub fn record_heartbeat(
        &self,
        broker: net::SocketAddr,
        attachments: &[quota_ledger::QuotaAttachment],
        view: &quotas::QuotaView,
    ) {
        let mut quotas = self.shared.quotas.lock();
        let now = self.shared.now();
        quotas.record_heartbeat(broker, attachments, &view.parts, view.heard_gateways, now);
    }

    /// Records that a broker did not respond.
    pub fn record_failure(&self, broker: net::SocketAddr, error: &client::CallError) {
        self.shared.record_failure(broker, error);
    }

    /// Hash of an organisation's name and the limit of its bucket, if it has one.
    fn bucket_limit(
        &self,
        organisation: &organisations::Organisation,
        version: u64,
    ) -> Option<(u64, quota::VersionedLimit)> {
        let configured = organisation.quota?.limit;
        let limit = self.shared.tolerance.bucket_limit(configured);
        let key = quota_owner::hash_name(&organisation.name);
        Some((key, quota::VersionedLimit { version, limit }))
    }
}

impl SharedQuotas {
    /// Charges a request, asking another owner if the first one is lost.
    async fn charge(self: Arc<Self>, key: u64, cost: u64) -> Result<QuotaCharge, QuotaRefusal> {
        let mut may_wait = true;
        for _ in 0..MAX_CALLS {
            let Some(step) = self.charge_once(key, count_units(cost)).await else {
                continue;
            };
            let granted_at = match step {
                Err(QuotaRefusal::Exceeded { retry_after })
                    if may_wait && retry_after <= MAX_SHORT_WAIT =>
                {
                    may_wait = false;
                    tokio::time::sleep(retry_after.max(MIN_SHORT_WAIT)).await;
                    continue;
                }
                step => step?,
            };
            let grant = ChargeGrant {
                shared: Arc::clone(&self),
                organisation: key,
                granted_at,
            };
            return Ok(QuotaCharge {
                cost,
                grant: Some(grant),
            });
        }
        Err(QuotaRefusal::UNCONFIRMED)
    }

    /// Charges a request with at most one call; `None` if another owner or a handover is needed.
    async fn charge_once(
        &self,
        organisation: u64,
        cost: f64,
    ) -> Option<Result<units::Timestamp, QuotaRefusal>> {
        let step = self.quotas.lock().charge(organisation, cost, self.now());
        let step = match step {
            // The organisation was removed by a newer configuration.
            None => return Some(Err(QuotaRefusal::UNCONFIRMED)),
            Some(gateway_quotas::ChargeStep::Ask(call)) => self.ask_owner(&call).await?,
            Some(step) => step,
        };
        match step {
            gateway_quotas::ChargeStep::Charged { granted_at } => Some(Ok(granted_at)),
            gateway_quotas::ChargeStep::Exceeded { retry_after } => {
                Some(Err(QuotaRefusal::Exceeded { retry_after }))
            }
            _ => Some(Err(QuotaRefusal::UNCONFIRMED)),
        }
    }

    async fn ask_owner(
        &self,
        call: &gateway_quotas::OwnerCall,
    ) -> Option<gateway_quotas::ChargeStep> {
        let Some(broker) = self.broker(call.owner) else {
            // Its engine was taken off the list; it may still serve other gateways.
            let loss = quota_account::OwnerLoss::Silent;
            self.quotas
                .lock()
                .record_failure(call.owner, loss, self.now());
            return None;
        };
        let message = quotas::QuotaCall {
            identity: call.identity,
            attachment: call.attachment.clone(),
            requested: call.requested,
        };
        match broker.charge_quota(message, call.asked_at).await {
            Ok(decision) => {
                let mut quotas = self.quotas.lock();
                quotas.record_decision(call, decision, self.now())
            }
            Err(error) => {
                self.record_failure(call.owner, &error);
                None
            }
        }
    }

    fn broker(&self, address: net::SocketAddr) -> Option<Arc<client::BrokerClient>> {
        let brokers = self.brokers.lock();
        let found = brokers.binary_search_by_key(&address, |broker| broker.address());
        found.ok().map(|position| Arc::clone(&brokers[position]))
    }

    fn record_failure(&self, broker: net::SocketAddr, error: &client::CallError) {
        let loss = error.owner_loss();
        let lost_count = self.quotas.lock().record_failure(broker, loss, self.now());
        if lost_count == 0 {
            return;
        }
        slog::warn!(self.logger, "owner of quotas lost";
            "event" => events::QUOTA_OWNER_LOST.number,
            "name" => events::QUOTA_OWNER_LOST.name, "broker" => broker.to_string(),
            "organisations" => lost_count, "loss" => loss.label(), "error" => error.to_string());
    }

    fn now(&self) -> units::Timestamp {
        self.clock.now()
    }
}

/// Units as the decisions count them. The nearest number is exact below 2^53.
#[expect(clippy::cast_precision_loss, reason = "costs are far below 2^53")]
fn count_units(cost: u64) -> f64 {
    cost as f64
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

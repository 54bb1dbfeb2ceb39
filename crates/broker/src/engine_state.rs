//! State of one engine in its broker, with the calls that wait for a permit.

use std::{
    hash::{self, Hash, Hasher},
    time,
};

use decisions::{adapter_slots, crash_relay, permits, slot_broker, units};
use tokio::sync::oneshot;

use crate::message;

/// Refusal of a request for an earlier incarnation of the engine.
pub const ENGINE_REPLACED: message::PermitDecision = message::PermitDecision::Refused {
    reason: message::RefusalReason::EngineReplaced,
    retry_after: time::Duration::ZERO,
};

/// Refusal of a request while the engine cannot be reached.
pub const ENGINE_LOST: message::PermitDecision = message::PermitDecision::Refused {
    reason: message::RefusalReason::EngineUnreachable,
    retry_after: adapter_slots::LOAD_BACKOFF,
};

/// Consecutive missed reports after which the engine counts as lost.
pub const MAX_MISSED_REPORTS: u32 = 3;

/// Call that waits for a permit.
pub struct WaitingPermit {
    pub id: permits::PermitId,
    /// Engine that the entry asked for.
    pub engine: message::EngineIdentity,
    pub decision: oneshot::Sender<message::PermitDecision>,
}

/// State of one engine and of the calls for it.
pub struct EngineState {
    pub broker: slot_broker::SlotBroker,
    pub waiting: Vec<WaitingPermit>,
    /// Newest identity that an entry has named.
    pub identity: message::EngineIdentity,
    pub model: String,
    /// Accepted commands, from the newest report.
    pub sequence: u64,
    /// Consecutive reports that the engine has not sent.
    pub missed_reports: u32,
    /// Crashes of replicas without a broker, for all entries.
    pub relay: crash_relay::CrashRelay,
}

impl EngineState {
    /// State of an engine that no entry has named yet.
    #[must_use]
    pub fn new(limits: slot_broker::BrokerLimits) -> Self {
        Self {
            broker: slot_broker::SlotBroker::new(limits),
            waiting: Vec::new(),
            identity: message::EngineIdentity {
                id: String::new(),
                incarnation: 0,
            },
            model: String::new(),
            sequence: 0,
            missed_reports: 0,
            relay: crash_relay::CrashRelay::default(),
        }
    }

    /// Whether the engine cannot be reached. Requests for it would only wait for their refusal.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.missed_reports >= MAX_MISSED_REPORTS
    }

    /// Whether the entries' newest identity of the engine is that of its reports. Another engine
    /// would refuse the commands.
    #[must_use]
    pub fn knows_engine(&self) -> bool {
        !self.identity.is_older_than(self.broker.incarnation())
    }

    /// Refuses the calls that wait for an engine which has restarted since.
    pub fn refuse_replaced(&mut self, now: units::Timestamp) {
        let incarnation = self.broker.incarnation();
        let (replaced, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|permit| permit.engine.is_older_than(incarnation));
        self.waiting = waiting;
        let replaced: Vec<WaitingPermit> = replaced;
        for permit in replaced {
            self.broker.release(permit.id, now);
            // The call may have been cancelled.
            let _ = permit.decision.send(ENGINE_REPLACED);
        }
    }

    /// Sends outcomes to waiting calls; releases the permit of a call that was cancelled.
    pub fn deliver_outcomes(
        &mut self,
        outcomes: Vec<(permits::PermitId, permits::PermitOutcome)>,
        now: units::Timestamp,
    ) {
        for (id, outcome) in outcomes {
            let Some(position) = self.waiting.iter().position(|permit| permit.id == id) else {
                continue;
            };
            let permit = self.waiting.swap_remove(position);
            if permit.decision.send(outcome.into()).is_err() {
                self.broker.release(id, now);
            }
        }
    }

    /// Releases the permits of an entry, and forgets the calls that still waited for them.
    pub fn release(&mut self, entry: u64, numbers: &[u64], now: units::Timestamp) {
        for number in numbers {
            let id = permits::PermitId {
                entry,
                number: *number,
            };
            self.broker.release(id, now);
            self.waiting.retain(|permit| permit.id != id);
        }
    }

    /// State of the engine for an entry that knows the adapters of a hash.
    #[must_use]
    pub fn view(
        &self,
        entry: u64,
        known_adapters: Option<u64>,
        now: units::Timestamp,
    ) -> message::EngineView {
        let count = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        let adapters = self.adapters();
        let adapters_hash = hash_adapters(&adapters);
        message::EngineView {
            incarnation: self.identity.incarnation.max(self.broker.incarnation()),
            has_model: !self.is_lost() && self.broker.expects_model(now),
            adapters_hash,
            adapters: (known_adapters != Some(adapters_hash)).then_some(adapters),
            slot_wait: self.broker.slot_wait(),
            backlog: self.broker.backlog(now),
            token_times: self.broker.token_times(now),
            running: count(self.broker.running()),
            entries: count(self.broker.entries(now)),
            evidence: message::CrashEvidence {
                crashes: self.crashes(now),
                blocked_parts: self.broker.parts_blocked_by_others(entry, now),
                observed_crashes: self.observed_crashes(entry, now),
            },
        }
    }

    fn observed_crashes(&self, entry: u64, now: units::Timestamp) -> Vec<message::ObservedCrash> {
        let is_new = self.broker.is_new_entry(entry, now);
        let crashes = self.relay.crashes_for(is_new, now);
        crashes
            .map(|crash| message::ObservedCrash::new(crash, now))
            .collect()
    }

    fn crashes(&self, now: units::Timestamp) -> Vec<message::CrashReport> {
        let crashes = self.broker.crashes().iter();
        let crashes = crashes.map(|crash| message::CrashReport {
            incarnation: crash.incarnation,
            age: now.since(crash.at),
            suspects: crash.suspects.clone(),
        });
        crashes.collect()
    }

    fn adapters(&self) -> message::EngineAdapters {
        let loaded = self.broker.loaded();
        message::EngineAdapters {
            loaded: loaded
                .map(|content| (content.name.clone(), content.version))
                .collect(),
            loading: self.broker.loading(),
            recent: self.broker.recent().map(str::to_owned).collect(),
        }
    }
}

fn hash_adapters(adapters: &message::EngineAdapters) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    adapters.hash(&mut hasher);
    hasher.finish()
}

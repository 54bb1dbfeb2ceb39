//! Refusal of requests that crash replicas, or whose prompt has a part that does.

use std::net;

use broker::message;
use decisions::{crash_log, prompt_quarantine};
use telemetry::events;

use crate::{attempts, dispatch, local_reply, plan};

impl dispatch::Dispatcher {
    /// Checks that neither a request nor a part of its prompt is blocked.
    ///
    /// # Errors
    /// The local reply when it is.
    pub fn admit_request(
        &self,
        plan: &plan::RequestPlan,
        history: &mut attempts::AttemptHistory,
    ) -> Result<(), local_reply::LocalReply> {
        if history.is_proven || history.may_make_trial() {
            return Ok(());
        }
        if self.quarantine.lock().is_idle() {
            return Ok(());
        }
        let now = self.now();
        let entries = self.replicas.lock().entry_count(now).unwrap_or(1);
        let admission = self.quarantine.lock().admit(&plan.suspects, entries, now);
        match admission {
            prompt_quarantine::PromptAdmission::Allowed => Ok(()),
            prompt_quarantine::PromptAdmission::Trial => {
                history.is_trial = true;
                Ok(())
            }
            prompt_quarantine::PromptAdmission::Blocked { retry_after } => {
                self.request_logger.log_blocked(plan);
                let reason = "crashes_replicas";
                Err(local_reply::LocalReply::not_run(reason, retry_after))
            }
        }
    }

    /// Records that a request has run at a replica without a crash, so that it is sound.
    pub fn record_start(&self, plan: &plan::RequestPlan) {
        let now = self.now();
        let changes = self.quarantine.lock().record_start(&plan.suspects, now);
        self.log_quarantine(&changes);
    }

    /// Records the crashes and verdicts that the broker of a replica reports.
    pub fn record_quarantine(&self, replica: &str, evidence: message::CrashEvidence) {
        let Some(broker) = self.replicas.lock().broker_address(replica) else {
            return;
        };
        let now = self.now();
        let crashes = evidence
            .crashes
            .into_iter()
            .map(|report| crash_log::EngineCrash {
                incarnation: report.incarnation,
                at: now.saturating_sub(report.age),
                suspects: report.suspects,
            });
        let crashes = crashes.collect();
        let observed = evidence.observed_crashes.into_iter();
        let observed = observed.map(|crash| crash.into_crash(now));
        let changes = {
            let mut quarantine = self.quarantine.lock();
            let mut changes = quarantine.record_crashes(broker, crashes, now);
            changes.extend(quarantine.record_observed_crashes(observed, now));
            changes.extend(quarantine.record_peer_verdicts(&evidence.blocked_parts, now));
            changes
        };
        self.log_quarantine(&changes);
    }

    /// What a broker is told about crashes. One of the `relays` learns those of replicas without a
    /// broker as well.
    #[must_use]
    pub fn quarantine_report(
        &self,
        broker: net::SocketAddr,
        relays: &[net::SocketAddr],
    ) -> message::QuarantineReport {
        let now = self.now();
        let quarantine = self.quarantine.lock();
        let cleared = quarantine.cleared_suspects(broker);
        let observed = if relays.contains(&broker) {
            quarantine.observed_crashes(now)
        } else {
            Vec::new()
        };
        let observed = observed.iter();
        message::QuarantineReport {
            cleared: cleared.into_iter().map(Into::into).collect(),
            blocked_parts: quarantine.proven_parts(),
            observed_crashes: observed
                .map(|crash| message::ObservedCrash::new(crash, now))
                .collect(),
        }
    }

    /// Brokers that relay crashes of replicas without a broker; none while there are no crashes.
    #[must_use]
    pub fn crash_relays(&self) -> Vec<net::SocketAddr> {
        let now = self.now();
        if self.quarantine.lock().observed_crashes(now).is_empty() {
            return Vec::new();
        }
        self.replicas.lock().relays()
    }

    pub(crate) fn log_quarantine(&self, changes: &[prompt_quarantine::QuarantineChange]) {
        let logger = self.request_logger.logger();
        for change in changes {
            match change {
                prompt_quarantine::QuarantineChange::Blocked { part, crashes } => {
                    self.metrics.record_blocked_part();
                    slog::warn!(logger, "request or prompt part blocked";
                        "event" => events::PROMPT_PART_BLOCKED.number,
                        "name" => events::PROMPT_PART_BLOCKED.name,
                        "part" => format!("{part:x}"), "crashes" => crashes);
                }
                prompt_quarantine::QuarantineChange::Lifted { part } => {
                    slog::info!(logger, "request or prompt part allowed again";
                        "event" => events::PROMPT_PART_ALLOWED.number,
                        "name" => events::PROMPT_PART_ALLOWED.name,
                        "part" => format!("{part:x}"));
                }
            }
        }
    }
}

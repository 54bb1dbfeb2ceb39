//! Refusal of requests whose prompt has a part that crashes engines.

use std::net;

use broker::message;
use decisions::{crash_log, prompt_quarantine};
use telemetry::events;

use crate::{attempts, dispatch, local_reply, plan};

/// Quarantine of a gateway process with a random number.
#[must_use]
pub fn new(incarnation: u64) -> prompt_quarantine::PromptQuarantine {
    let position = u32::try_from(incarnation >> u32::BITS).unwrap_or(0);
    prompt_quarantine::PromptQuarantine::new(f64::from(position) / f64::from(u32::MAX))
}

impl dispatch::Dispatcher {
    /// Checks that no part of a prompt is blocked.
    ///
    /// # Errors
    /// The local reply when a part is blocked.
    pub fn admit_prompt(
        &self,
        plan: &plan::RequestPlan,
        history: &mut attempts::AttemptHistory,
    ) -> Result<(), local_reply::LocalReply> {
        let parts = plan.prompt_parts();
        if parts.is_empty() || history.has_started || history.may_make_trial() {
            return Ok(());
        }
        if self.quarantine.lock().is_idle() {
            return Ok(());
        }
        let now = self.now();
        let entries = self.replicas.lock().entry_count(now).unwrap_or(1);
        let admission = self.quarantine.lock().admit(parts, entries, now);
        match admission {
            prompt_quarantine::PromptAdmission::Allowed => Ok(()),
            prompt_quarantine::PromptAdmission::Trial => {
                history.is_trial = true;
                Ok(())
            }
            prompt_quarantine::PromptAdmission::Blocked { retry_after } => {
                let reason = "prompt_blocked";
                Err(local_reply::LocalReply::not_run(reason, retry_after))
            }
        }
    }

    /// Records that a request has brought events, so that its prompt is sound.
    pub fn record_start(&self, plan: &plan::RequestPlan) {
        let parts = plan.prompt_parts();
        let changes = self.quarantine.lock().record_start(parts, self.now());
        self.log_quarantine(&changes);
    }

    /// Records the crashes and verdicts that the broker of a replica reports.
    pub fn record_quarantine(
        &self,
        replica: &str,
        reports: Vec<message::CrashReport>,
        blocked_parts: &[u64],
    ) {
        let Some(broker) = self.replicas.lock().broker_address(replica) else {
            return;
        };
        let now = self.now();
        let crashes = reports.into_iter().map(|report| crash_log::EngineCrash {
            incarnation: report.incarnation,
            at: now.saturating_sub(report.age),
            suspects: report.suspects,
        });
        let crashes = crashes.collect();
        let changes = {
            let mut quarantine = self.quarantine.lock();
            let mut changes = quarantine.record_crashes(broker, crashes, now);
            changes.extend(quarantine.record_peer_verdicts(blocked_parts, now));
            changes
        };
        self.log_quarantine(&changes);
    }

    /// What is known about the crashes that a broker reports.
    #[must_use]
    pub fn quarantine_report(&self, broker: net::SocketAddr) -> message::QuarantineReport {
        let quarantine = self.quarantine.lock();
        let cleared = quarantine.cleared_suspects(broker);
        message::QuarantineReport {
            cleared: cleared.into_iter().map(Into::into).collect(),
            blocked_parts: quarantine.proven_parts(),
        }
    }

    fn log_quarantine(&self, changes: &[prompt_quarantine::QuarantineChange]) {
        let logger = self.request_logger.logger();
        for change in changes {
            match change {
                prompt_quarantine::QuarantineChange::Blocked { part, crashes } => {
                    self.metrics.record_blocked_part();
                    slog::warn!(logger, "prompt part blocked";
                        "event" => events::PROMPT_PART_BLOCKED.number,
                        "name" => events::PROMPT_PART_BLOCKED.name,
                        "part" => format!("{part:x}"), "crashes" => crashes);
                }
                prompt_quarantine::QuarantineChange::Lifted { part } => {
                    slog::info!(logger, "prompt part allowed again";
                        "event" => events::PROMPT_PART_ALLOWED.number,
                        "name" => events::PROMPT_PART_ALLOWED.name,
                        "part" => format!("{part:x}"));
                }
            }
        }
    }
}

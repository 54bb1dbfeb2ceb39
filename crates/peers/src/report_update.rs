//! Incremental load reports.
//!
//! Most of a full report is adapter ids and names that rarely change. Each poll carries the
//! sequence of the entry's newest report, and the agent sends only the differences from it. After a
//! lost reply the entry has an older report than the agent expects, so the agent sends a full one.

use decisions::ids;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

use crate::message;

/// Load report as it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportUpdate {
    Full(message::LoadReport),
    Changes(ReportChanges),
}

/// Difference between two reports of one incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportChanges {
    /// Sequence of the report to which the changes apply.
    pub base: u64,
    pub sequence: u64,
    pub leaving: bool,
    pub waiting_loads: u32,
    /// Replicas that changed.
    pub replicas: Vec<ReplicaChange>,
}

/// Changed state of one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaChange {
    pub replica: u16,
    pub ready: bool,
    pub running: u16,
    pub queued: u16,
    pub wait_millis: [u32; 3],
    /// All loaded adapters, if they changed.
    pub adapters: Option<Vec<ids::AdapterId>>,
    /// All adapters being loaded, if they changed.
    pub loading: Option<Vec<ids::AdapterId>>,
}

/// Reason why an update cannot be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum UpdateError {
    #[snafu(display(
        "the changes apply to report {base}, not to the current one; request a full report"
    ))]
    BaseMismatch { base: u64 },
    #[snafu(display("replica {replica} is unknown; request a full report"))]
    UnknownReplica { replica: u16 },
}

impl ReportUpdate {
    /// Update from `base` to `next`; full when there is no base or its structure differs.
    #[must_use]
    pub fn diff(base: Option<&message::LoadReport>, next: &message::LoadReport) -> Self {
        match base {
            Some(base) if has_same_structure(base, next) => Self::Changes(diff_reports(base, next)),
            _ => Self::Full(next.clone()),
        }
    }

    /// Applies the update to the current report.
    ///
    /// # Errors
    /// [`UpdateError`] when the changes apply to another report.
    pub fn apply(self, current: &message::LoadReport) -> Result<message::LoadReport, UpdateError> {
        let changes = match self {
            Self::Full(report) => return Ok(report),
            Self::Changes(changes) => changes,
        };
        let base = changes.base;
        ensure!(current.sequence == base, BaseMismatchSnafu { base });
        let mut report = current.clone();
        report.sequence = changes.sequence;
        report.leaving = changes.leaving;
        report.waiting_loads = changes.waiting_loads;
        for change in changes.replicas {
            let replica = change.replica;
            let known = report
                .replicas
                .iter_mut()
                .find(|known| known.replica == replica);
            change.apply(known.context(UnknownReplicaSnafu { replica })?);
        }
        Ok(report)
    }
}

impl ReplicaChange {
    fn apply(self, replica: &mut message::ReplicaReport) {
        replica.ready = self.ready;
        replica.running = self.running;
        replica.queued = self.queued;
        replica.wait_millis = self.wait_millis;
        if let Some(adapters) = self.adapters {
            replica.adapters = adapters;
        }
        if let Some(loading) = self.loading {
            replica.loading = loading;
        }
    }
}

/// Whether only fields that [`ReportChanges`] carries differ.
fn has_same_structure(base: &message::LoadReport, next: &message::LoadReport) -> bool {
    let replicas = base.replicas.iter().zip(&next.replicas);
    base.services == next.services
        && base.replicas.len() == next.replicas.len()
        && replicas.into_iter().all(|(base, next)| {
            base.replica == next.replica
                && base.base_model == next.base_model
                && base.adapter_slots == next.adapter_slots
                && base.batch_limit == next.batch_limit
        })
}

fn diff_reports(base: &message::LoadReport, next: &message::LoadReport) -> ReportChanges {
    let replicas = base.replicas.iter().zip(&next.replicas);
    let changed = replicas.filter(|(base, next)| base != next);
    ReportChanges {
        base: base.sequence,
        sequence: next.sequence,
        leaving: next.leaving,
        waiting_loads: next.waiting_loads,
        replicas: changed
            .map(|(base, next)| diff_replica(base, next))
            .collect(),
    }
}

fn diff_replica(base: &message::ReplicaReport, next: &message::ReplicaReport) -> ReplicaChange {
    let adapters = (base.adapters != next.adapters).then(|| next.adapters.clone());
    let loading = (base.loading != next.loading).then(|| next.loading.clone());
    ReplicaChange {
        replica: next.replica,
        ready: next.ready,
        running: next.running,
        queued: next.queued,
        wait_millis: next.wait_millis,
        adapters,
        loading,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(sequence: u64, running: [u16; 3], adapters: u64) -> message::LoadReport {
        let replicas = (0..)
            .zip(running)
            .map(|(replica, running)| message::ReplicaReport {
                replica,
                base_model: "base".into(),
                ready: true,
                adapter_slots: 8,
                batch_limit: 16,
                running,
                queued: 0,
                wait_millis: [0; 3],
                adapters: (0..adapters).map(ids::AdapterId).collect(),
                loading: Vec::new(),
            });
        message::LoadReport {
            sequence,
            leaving: false,
            replicas: replicas.collect(),
            services: vec!["bookings".into()],
            waiting_loads: 0,
        }
    }

    // Guards against an entry that routes by a report that the agent never sent.
    #[test]
    fn changes_result_in_the_same_report_as_a_full_update() {
        let base = report(4, [1, 2, 3], 8);
        for next in [
            report(5, [1, 2, 3], 8),
            report(6, [1, 9, 3], 8),
            report(7, [0, 0, 0], 3),
        ] {
            let update = ReportUpdate::diff(Some(&base), &next);
            assert!(matches!(update, ReportUpdate::Changes(_)));
            assert_eq!(update.apply(&base), Ok(next));
        }
    }

    // Guards against changes that are applied to another base after a lost reply.
    #[test]
    fn changes_to_another_base_are_rejected() {
        let update = ReportUpdate::diff(Some(&report(4, [1, 2, 3], 8)), &report(5, [2, 2, 3], 8));
        let current = report(3, [7, 7, 7], 8);
        assert_eq!(
            update.apply(&current),
            Err(UpdateError::BaseMismatch { base: 4 })
        );
    }

    // Guards against an added or removed replica or service that an incremental update drops.
    #[test]
    fn changed_structure_is_sent_in_full() {
        let base = report(4, [1, 2, 3], 8);
        let mut next = report(5, [1, 2, 3], 8);
        next.replicas.pop();
        let update = ReportUpdate::diff(Some(&base), &next);
        assert!(matches!(update, ReportUpdate::Full(_)));
    }
}

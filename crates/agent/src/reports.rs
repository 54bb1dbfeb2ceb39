//! Load report of an agent, built at most every 50 ms.

use std::{sync::Arc, time};

use decisions::units;
use parking_lot::Mutex;
use peers::message;

use crate::{clock, replica};

/// Shortest time between two reports. Every started or ended request changes the load, and each
/// change would otherwise send a report in every session.
const REPORT_STEP: time::Duration = time::Duration::from_millis(50);

/// Newest report.
pub struct ReportCache {
    clock: clock::AgentClock,
    services: Vec<String>,
    newest: Mutex<NewestReport>,
}

struct NewestReport {
    report: Arc<message::LoadReport>,
    built: Option<units::Timestamp>,
}

impl ReportCache {
    /// Cache without a report, for an agent that offers these services.
    #[must_use]
    pub fn new(clock: clock::AgentClock, services: Vec<String>) -> Self {
        Self {
            clock,
            services,
            newest: Mutex::new(NewestReport {
                report: Arc::default(),
                built: None,
            }),
        }
    }

    /// Newest report; `sequence` increases when the content has changed.
    pub fn read(
        &self,
        replicas: &[Arc<replica::ReplicaDriver>],
        leaving: bool,
    ) -> Arc<message::LoadReport> {
        let now = self.clock.now();
        let mut newest = self.newest.lock();
        let is_fresh = newest
            .built
            .is_some_and(|built| now.since(built) < REPORT_STEP);
        if is_fresh && newest.report.leaving == leaving {
            return Arc::clone(&newest.report);
        }
        let loads: usize = replicas.iter().map(|replica| replica.waiting_loads()).sum();
        let report = message::LoadReport {
            sequence: newest.report.sequence,
            leaving,
            replicas: replicas.iter().map(|replica| replica.report()).collect(),
            services: self.services.clone(),
            waiting_loads: u32::try_from(loads).unwrap_or(u32::MAX),
        };
        newest.built = Some(now);
        if report != *newest.report || report.sequence == 0 {
            newest.report = Arc::new(message::LoadReport {
                sequence: report.sequence + 1,
                ..report
            });
        }
        Arc::clone(&newest.report)
    }
}

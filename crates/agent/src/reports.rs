//! Load report of an agent, rebuilt at most every 50 ms unless draining starts.

use std::{sync::Arc, time};

use decisions::units;
use parking_lot::Mutex;
use peers::message;

use crate::{clock, replica};

/// Minimum interval between two reports. Every request that starts or ends changes the load and
/// would otherwise cause a report in every session.
const MIN_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Cache of the newest load report.
pub struct ReportCache {
    clock: clock::AgentClock,
    services: Vec<String>,
    cached: Mutex<CachedReport>,
}

struct CachedReport {
    report: Arc<message::LoadReport>,
    built: Option<units::Timestamp>,
}

impl ReportCache {
    /// Empty cache of an agent that offers these services.
    #[must_use]
    pub fn new(clock: clock::AgentClock, services: Vec<String>) -> Self {
        Self {
            clock,
            services,
            cached: Mutex::new(CachedReport {
                report: Arc::default(),
                built: None,
            }),
        }
    }

    /// Newest report, rebuilt if it is too old; `sequence` increases when the content changes.
    pub fn current(
        &self,
        replicas: &[Arc<replica::ReplicaDriver>],
        is_draining: bool,
    ) -> Arc<message::LoadReport> {
        let now = self.clock.now();
        let mut cached = self.cached.lock();
        let is_fresh = cached
            .built
            .is_some_and(|built| now.since(built) < MIN_REPORT_INTERVAL);
        if is_fresh && cached.report.leaving == is_draining {
            return Arc::clone(&cached.report);
        }
        let loads: usize = replicas.iter().map(|replica| replica.waiting_loads()).sum();
        let report = message::LoadReport {
            sequence: cached.report.sequence,
            leaving: is_draining,
            replicas: replicas.iter().map(|replica| replica.report()).collect(),
            services: self.services.clone(),
            waiting_loads: u32::try_from(loads).unwrap_or(u32::MAX),
        };
        cached.built = Some(now);
        if report != *cached.report || report.sequence == 0 {
            cached.report = Arc::new(message::LoadReport {
                sequence: report.sequence + 1,
                ..report
            });
        }
        Arc::clone(&cached.report)
    }
}

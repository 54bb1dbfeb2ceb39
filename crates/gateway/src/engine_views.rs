//! Recording of what brokers report of their engines.

use broker::message;

use crate::dispatch;

impl dispatch::Dispatcher {
    /// Records the state of an engine, as its broker reports it.
    pub fn record_view(&self, replica: &str, mut view: message::EngineView) {
        let evidence = std::mem::take(&mut view.evidence);
        if !evidence.is_empty() || !self.quarantine.lock().is_idle() {
            self.record_quarantine(replica, evidence);
        }
        let is_current = self.replicas.lock().record_view(replica, view, self.now());
        if !is_current {
            self.request_replica_read();
        }
    }
}

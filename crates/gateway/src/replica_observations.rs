//! What a gateway observes of replicas: their load, failures, notices and views of their engines.

use std::time;

use broker::message;
use decisions::units;

use crate::{protocol, replica, replica_table};

/// Time for which an unreachable replica is not chosen.
const UNREACHABLE_PERIOD: time::Duration = time::Duration::from_millis(1200);

impl replica_table::ReplicaTable {
    /// Records what a replica has said about itself; true if it leaves and that was not known.
    pub fn record_notice(
        &mut self,
        replica: &replica::ChosenReplica,
        notice: protocol::ReplicaNotice,
        now: units::Timestamp,
    ) -> bool {
        let (id, incarnation) = (replica.id.as_str(), replica.incarnation);
        if let Some(pause) = notice.pause {
            self.notices.record_pause(id, incarnation, pause, now);
        }
        notice.is_leaving && self.notices.record_leaving(id, incarnation, now)
    }

    /// Counts a request sent to a replica.
    pub fn record_send(&mut self, id: &str) {
        if let Ok(position) = self.find(id) {
            let replica = &mut self.replicas[position];
            replica.outstanding += 1;
            self.remote.record_send(&replica.record.data_centre);
        }
    }

    /// Counts the end of a request at a replica.
    pub fn record_end(&mut self, id: &str) {
        if let Some(replica) = self.find_mut(id) {
            replica.outstanding = replica.outstanding.saturating_sub(1);
        }
    }

    /// Records whether a replica failed a request.
    pub fn record_outcome(&mut self, id: &str, has_failed: bool, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.failures.observe(has_failed, now);
        }
    }

    /// Records a failed connection and excludes the replica temporarily.
    pub fn mark_unreachable(&mut self, id: &str, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.failures.observe(true, now);
            replica.unreachable_until = now + UNREACHABLE_PERIOD;
        }
    }

    /// Excludes a replica temporarily, because another one has its address or its instance is
    /// unresponsive.
    pub fn mark_unavailable(&mut self, id: &str, now: units::Timestamp) {
        if let Some(replica) = self.find_mut(id) {
            replica.unreachable_until = now + UNREACHABLE_PERIOD;
        }
    }

    /// Records the load reported by a response, which came `response_time` after its
    /// request if the request succeeded.
    pub fn record_load(
        &mut self,
        id: &str,
        sample: protocol::LoadSample,
        response_time: Option<time::Duration>,
        now: units::Timestamp,
    ) {
        if let Some(replica) = self.find_mut(id) {
            replica.record_load(sample, response_time, now);
        }
    }

    /// Records the engine state reported by a broker; false if the engine has been replaced, so that
    /// its record is out of date.
    pub fn record_view(
        &mut self,
        id: &str,
        view: message::EngineView,
        now: units::Timestamp,
    ) -> bool {
        let Some(replica) = self.find_mut(id) else {
            return true;
        };
        replica.record_view(view, now);
        if !replica.is_replaced() {
            return true;
        }
        replica.unreachable_until = now + UNREACHABLE_PERIOD;
        false
    }

    /// Records the duration of a heartbeat to a replica's broker.
    pub fn record_round_trip(&mut self, id: &str, elapsed: time::Duration, now: units::Timestamp) {
        if let Ok(position) = self.find(id) {
            let data_centre = &self.replicas[position].record.data_centre;
            self.remote.record_round_trip(data_centre, elapsed, now);
        }
    }
}

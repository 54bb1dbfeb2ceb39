//! What replicas have told one entry about themselves: that they leave, or want no requests for a
//! time.
//!
//! A notice holds for one incarnation of a replica. It is kept apart from the replica's record,
//! which may lapse while the store is unavailable and come back unchanged.

use std::time;

use crate::units;

/// Maximum number of notices; the oldest yields.
const MAX_NOTICES: usize = 4096;
/// Maximum pause that a replica may ask for.
const MAX_PAUSE: time::Duration = time::Duration::from_hours(1);

#[derive(Clone, Debug)]
struct ReplicaNotice {
    replica: String,
    incarnation: u64,
    is_leaving: bool,
    paused_until: units::Timestamp,
    changed_at: units::Timestamp,
}

/// Notices of all replicas, sorted by replica and incarnation.
#[derive(Clone, Debug, Default)]
pub struct ReplicaNotices {
    notices: Vec<ReplicaNotice>,
}

impl ReplicaNotices {
    /// Records that a replica leaves; false if that is known.
    pub fn record_leaving(
        &mut self,
        replica: &str,
        incarnation: u64,
        now: units::Timestamp,
    ) -> bool {
        let notice = self.notice(replica, incarnation, now);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that a replica wants no requests for a time. A shorter pause does not end a longer
    /// one.
    pub fn record_pause(
        &mut self,
        replica: &str,
        incarnation: u64,
        pause: time::Duration,
        now: units::Timestamp,
    ) {
        let until = now + pause.min(MAX_PAUSE);
        let notice = self.notice(replica, incarnation, now);
        notice.paused_until = notice.paused_until.max(until);
    }

    /// Whether a replica has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, replica: &str, incarnation: u64) -> bool {
        self.find(replica, incarnation)
            .is_ok_and(|position| self.notices[position].is_leaving)
    }

    /// Time for which a replica still wants no requests.
    #[must_use]
    pub fn pause_left(
        &self,
        replica: &str,
        incarnation: u64,
        now: units::Timestamp,
    ) -> time::Duration {
        match self.find(replica, incarnation) {
            Ok(position) => self.notices[position].paused_until.since(now),
            Err(_) => time::Duration::ZERO,
        }
    }

    fn notice(
        &mut self,
        replica: &str,
        incarnation: u64,
        now: units::Timestamp,
    ) -> &mut ReplicaNotice {
        if self.notices.len() >= MAX_NOTICES {
            self.drop_oldest();
        }
        let position = match self.find(replica, incarnation) {
            Ok(position) => position,
            Err(position) => {
                let notice = ReplicaNotice {
                    replica: replica.to_owned(),
                    incarnation,
                    is_leaving: false,
                    paused_until: now,
                    changed_at: now,
                };
                self.notices.insert(position, notice);
                position
            }
        };
        self.notices[position].changed_at = now;
        &mut self.notices[position]
    }

    fn drop_oldest(&mut self) {
        let positions = 0..self.notices.len();
        if let Some(oldest) = positions.min_by_key(|position| self.notices[*position].changed_at) {
            self.notices.remove(oldest);
        }
    }

    fn find(&self, replica: &str, incarnation: u64) -> Result<usize, usize> {
        self.notices.binary_search_by(|notice| {
            let key = (notice.replica.as_str(), notice.incarnation);
            key.cmp(&(replica, incarnation))
        })
    }
}

//! Requests whose connection to a replica of a plain service ended without a response.
//!
//! The requests that were open at a replica are the suspects if it crashed. A connection also ends
//! when it is reset or after a garbled response, so the entry has to find out whether the replica
//! still listens before it counts a crash.

use std::{net, time};

use crate::{crash_log, units};

/// Time within which requests at one replica are lost by the same failure.
const FAILURE_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Maximum number of replicas; the oldest yields.
const MAX_REPLICAS: usize = 64;
/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 64;

/// Start of a replica at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaStart {
    pub address: net::SocketAddr,
    /// Number that differs between the starts at an address.
    pub incarnation: u64,
}

/// What to do after a request was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossAction {
    /// Find out whether the replica still listens.
    Check,
    /// A check is under way.
    Wait,
    /// The replica has crashed; the request is another suspect.
    ReportCrash,
}

/// Requests lost at one replica.
#[derive(Clone, Debug)]
struct ReplicaLoss {
    replica: ReplicaStart,
    first_at: units::Timestamp,
    suspects: Vec<u64>,
    has_crashed: bool,
}

/// Lost requests of one entry.
#[derive(Clone, Debug, Default)]
pub struct LostRequests {
    /// In order of time.
    losses: Vec<ReplicaLoss>,
}

impl LostRequests {
    /// Records a lost request.
    pub fn record(
        &mut self,
        replica: ReplicaStart,
        suspect: u64,
        now: units::Timestamp,
    ) -> LossAction {
        self.losses
            .retain(|loss| now.since(loss.first_at) < FAILURE_WINDOW);
        if let Some(loss) = self.find(replica) {
            if loss.suspects.len() < MAX_SUSPECTS {
                loss.suspects.push(suspect);
            }
            return if loss.has_crashed {
                LossAction::ReportCrash
            } else {
                LossAction::Wait
            };
        }
        if self.losses.len() >= MAX_REPLICAS {
            self.losses.remove(0);
        }
        self.losses.push(ReplicaLoss {
            replica,
            first_at: now,
            suspects: vec![suspect],
            has_crashed: false,
        });
        LossAction::Check
    }

    /// Records that the replica no longer listens; returns its crash with what was lost so far.
    pub fn confirm_crash(&mut self, replica: ReplicaStart) -> Option<crash_log::EngineCrash> {
        let loss = self.find(replica)?;
        loss.has_crashed = true;
        let suspects = loss.suspects.iter().copied();
        Some(crash_log::EngineCrash::new(
            replica.incarnation,
            suspects,
            loss.first_at,
        ))
    }

    /// Drops what was lost at a replica that still listens.
    pub fn dismiss(&mut self, replica: ReplicaStart) {
        self.losses.retain(|loss| loss.replica != replica);
    }

    fn find(&mut self, replica: ReplicaStart) -> Option<&mut ReplicaLoss> {
        self.losses.iter_mut().find(|loss| loss.replica == replica)
    }
}

//! Interface to the platform's store, from which the gateway reads.

use std::{net, time};

use decisions::{software_version, store_history};
use futures::future::BoxFuture;
use snafu::Snafu;

use crate::catalog;

/// Record that a replica publishes of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaRecord {
    pub id: String,
    /// Start of this incarnation, in Unix milliseconds.
    pub incarnation: u64,
    pub service: String,
    pub address: net::SocketAddr,
    pub data_centre: String,
    pub software: software_version::SoftwareVersion,
    pub slots: u32,
    pub is_draining: bool,
    pub models: Vec<LoadedModel>,
}

/// Base model that a replica has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    pub name: String,
    pub adapters: Vec<LoadedAdapter>,
}

/// Adapter that a replica has loaded.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadedAdapter {
    pub name: String,
    pub version: u32,
}

/// Change of a replica's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicaChange {
    Updated(ReplicaRecord),
    Removed {
        id: String,
    },
    /// The record cannot be decoded; its replica is not used.
    Unreadable {
        id: String,
    },
}

/// Change of a record published by operators.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishedChange {
    Configuration(catalog::ConfigurationVersion),
    Adapter(catalog::AdapterVersion),
    Unreadable {
        key: String,
        /// The record is a configuration.
        is_configuration: bool,
    },
}

/// Place in a topic of the store. Offsets of different histories do not compare.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StorePosition {
    /// Number of the store's history.
    pub history: u64,
    pub offset: u64,
}

/// Changes in the order of their offsets.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeBatch<T> {
    /// Offset and change, in the history of `next`.
    pub changes: Vec<(u64, T)>,
    /// Position from which to read next.
    pub next: StorePosition,
    /// All keys are included; a missing one does not exist.
    pub is_complete: bool,
    /// All changes that were acknowledged before the read was sent are included, here or in earlier
    /// batches.
    pub reaches_end: bool,
}

impl ChangeBatch<PublishedChange> {
    /// Whether the newest configuration of the batch could be decoded; `None` if it has none.
    #[must_use]
    pub fn is_readable(&self) -> Option<bool> {
        let changes = self.changes.iter().rev();
        let mut configurations = changes.filter_map(|(_, change)| match change {
            PublishedChange::Configuration(_) => Some(true),
            PublishedChange::Unreadable {
                is_configuration: true,
                ..
            } => Some(false),
            _ => None,
        });
        configurations.next()
    }
}

/// Reason why a read from the store failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    #[snafu(display("the store refused with status {status}; retrying"))]
    Refused { status: u16 },
    #[snafu(display("the store did not respond: {message}; retrying"))]
    NoResponse { message: String },
    #[snafu(display("the requested records were deleted; reading from the newest ones"))]
    Deleted,
    /// Positions from before do not hold any more, for any topic.
    #[snafu(display(
        "the store's history was replaced ({}); reading all records",
        change.map_or_else(|| "no cause known".to_owned(), |change| change.to_string())
    ))]
    HistoryReplaced {
        change: Option<store_history::HistoryChange>,
    },
}

/// Client of the store.
pub trait StateStore: Send + Sync {
    /// Published configuration: all keys without `from`, otherwise the changes from that position. If
    /// there are none, the read waits for a change, but no longer than `wait`.
    fn published(
        &self,
        from: Option<StorePosition>,
        wait: time::Duration,
    ) -> BoxFuture<'_, Result<ChangeBatch<PublishedChange>, StoreError>>;

    /// Records of replicas: all keys without `from`, otherwise the changes from that position.
    fn replicas(
        &self,
        from: Option<StorePosition>,
    ) -> BoxFuture<'_, Result<ChangeBatch<ReplicaChange>, StoreError>>;
}

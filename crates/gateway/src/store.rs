//! What the gateway reads from the platform's store.

use std::net;

use futures::future::BoxFuture;
use snafu::Snafu;

use crate::catalog;

/// Replica as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaRecord {
    pub id: String,
    /// Start of this incarnation, in Unix milliseconds.
    pub incarnation: u64,
    pub service: String,
    pub address: net::SocketAddr,
    pub data_centre: String,
    pub slots: u32,
    pub is_draining: bool,
    pub models: Vec<LoadedModel>,
}

/// Model that a replica holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    pub name: String,
    pub adapters: Vec<LoadedAdapter>,
}

/// Adapter that a replica holds.
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
    /// The record cannot be read; its writer is no replica to use.
    Unreadable {
        id: String,
    },
}

/// Change of what operators have published.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishedChange {
    Configuration(catalog::ConfigurationVersion),
    Adapter(catalog::AdapterVersion),
    Unreadable { key: String },
}

/// Changes in the order of their offsets.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeBatch<T> {
    /// Offset and change.
    pub changes: Vec<(u64, T)>,
    /// Offset from which to read next.
    pub next: u64,
    /// All keys are listed: what is missing does not exist.
    pub is_complete: bool,
}

/// Reason why the store did not answer.
#[derive(Debug, Snafu)]
pub enum StoreError {
    #[snafu(display("the store refused with status {status}; the call is repeated"))]
    Refused { status: u16 },
    #[snafu(display("the store did not answer: {message}; the call is repeated"))]
    NoResponse { message: String },
    #[snafu(display("the records asked for were deleted; the newest ones are read"))]
    Deleted,
}

/// Store as the gateway sees it.
pub trait StateStore: Send + Sync {
    /// Published configuration: all keys without `from`, else the changes since then.
    fn published(
        &self,
        from: Option<u64>,
    ) -> BoxFuture<'_, Result<ChangeBatch<PublishedChange>, StoreError>>;

    /// Records of replicas: all keys without `from`, else the changes since then.
    fn replicas(
        &self,
        from: Option<u64>,
    ) -> BoxFuture<'_, Result<ChangeBatch<ReplicaChange>, StoreError>>;
}

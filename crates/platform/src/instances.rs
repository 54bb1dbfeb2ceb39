//! Eventually consistent list of live and leaving instances.

use std::net;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use snafu::Snafu;

/// Role of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    Agent,
    Entry,
}

/// State of an instance according to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    Leaving,
    Live,
}

/// One instance.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Instance {
    #[serde_as(as = "DisplayFromStr")]
    pub address: net::SocketAddr,
    pub role: InstanceRole,
    pub data_centre: String,
    pub state: InstanceState,
}

/// Instances of one read of the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InstanceListing {
    /// Sorted by address.
    pub instances: Vec<Instance>,
    /// Entries that name no instance, for example because another writer left them.
    pub unreadable: usize,
}

/// Reason why the list cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum InstanceListError {
    #[snafu(display("the instance list is unavailable ({message}); keep the previous list"))]
    Unavailable { message: String },
}

/// Instance list of the platform.
pub trait InstanceList: Send + Sync {
    /// Reads all instances.
    fn list(&self) -> BoxFuture<'_, Result<InstanceListing, InstanceListError>>;
}

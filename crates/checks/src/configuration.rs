//! Configuration with what only its document states.
//!
//! Gateways keep no keys, only hashes of them. A check compares the keys themselves, so it has
//! them in a type that never prints them.

use decisions::caller_key;
use gateway::{catalog, organisations};

/// Decoded configuration with its organisations and their keys.
#[derive(Clone, Debug)]
pub struct CheckedConfiguration {
    pub version: catalog::ConfigurationVersion,
    pub organisations: Vec<CheckedOrganisation>,
}

impl CheckedConfiguration {
    /// Whether callers need a key on a route.
    #[must_use]
    pub fn needs_key(&self, route: &catalog::RouteEntry) -> bool {
        self.version.organisations.is_required() && !route.is_public
    }
}

/// Organisation with its keys, in the order of the document.
#[derive(Clone, Debug)]
pub struct CheckedOrganisation {
    pub organisation: organisations::Organisation,
    pub keys: Vec<caller_key::CallerKey>,
}

//! Route and service of a request in one version of the configuration.

use xxhash_rust::xxh3;

use crate::{catalog, local_reply, protocol};

/// Route that takes a request, with the service behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch {
    pub route: catalog::RouteEntry,
    pub service: String,
    pub engine: Option<catalog::EngineLimits>,
    /// Version of the configuration.
    pub configuration: u64,
}

impl RouteMatch {
    /// Finds the route of a request's host and path.
    ///
    /// # Errors
    /// The local reply to a request that the configuration does not allow.
    pub fn find(
        request: &protocol::CallerRequest,
        path: &str,
        current: &catalog::ConfigurationVersion,
    ) -> Result<Self, local_reply::LocalReply> {
        let route = current
            .route(&request.host, path)
            .ok_or(local_reply::LocalReply::NO_ROUTE)?;
        // A stream that is taken up stays with the service that began it.
        let begun_by = request.origin.as_ref().unwrap_or(&request.id);
        let hash = xxh3::xxh3_64(begun_by.as_bytes());
        let service = route
            .service(hash)
            .ok_or(local_reply::LocalReply::NO_ROUTE)?;
        let engine = current
            .service(service)
            .and_then(|service| service.engine.clone());
        Ok(Self {
            service: service.to_owned(),
            route: route.clone(),
            engine,
            configuration: current.version,
        })
    }
}

//! Weight store from which the engines load adapters.
//!
//! The system itself never calls the store. The trait serves stand-ins of engines.

use std::time;

use futures::future::BoxFuture;
use snafu::Snafu;

/// Reason why a load failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum WeightError {
    #[snafu(display("too many load starts; start again in {} ms", retry_after.as_millis()))]
    RateLimited { retry_after: time::Duration },
    #[snafu(display("the weight store is not available ({message}); try again later"))]
    Unavailable { message: String },
}

/// Weight store of the platform.
pub trait WeightStore: Send + Sync {
    /// Loads the weights of one adapter version and returns when they have arrived.
    fn load<'a>(&'a self, adapter: &'a str) -> BoxFuture<'a, Result<(), WeightError>>;
}

//! Weight store from which engines load adapters.
//!
//! The system itself never calls the store; the trait is for stand-in engines.

use std::time;

use futures::future::BoxFuture;
use snafu::Snafu;

/// Reason why a load failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum WeightError {
    #[snafu(display("load rate limit exceeded; retry in {} ms", retry_after.as_millis()))]
    RateLimited { retry_after: time::Duration },
    #[snafu(display("the weight store is unavailable ({message}); retry later"))]
    Unavailable { message: String },
}

/// Weight store of the platform.
pub trait WeightStore: Send + Sync {
    /// Loads the weights of one adapter version; returns once they are transferred.
    fn load<'a>(&'a self, adapter: &'a str) -> BoxFuture<'a, Result<(), WeightError>>;
}

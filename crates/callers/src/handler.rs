//! Interface between the HTTP routes and the entry.

use std::time;

use decisions::{caller_key, units};
use futures::{future, stream};

use crate::{completion, error};

/// Parts of a response in order; the last one is `Finished` or `Failed`.
pub type ResponseStream = stream::BoxStream<'static, ResponsePart>;

/// Part of a response.
#[derive(Debug)]
pub enum ResponsePart {
    /// Status and content type of a service's response.
    Head {
        status: u16,
        content_type: Option<String>,
    },
    /// Generated text.
    Text(String),
    /// Bytes of a service's response.
    Bytes(Vec<u8>),
    /// End of the response.
    Finished {
        finish_reason: Option<String>,
        prompt_tokens: u32,
        completion_tokens: u32,
    },
    /// The response ended early.
    Failed(error::CallerError),
}

/// Headers that apply to every kind of request.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// Time until the first token or a service's response is due.
    pub deadline: Option<time::Duration>,
    pub priority: Option<units::Priority>,
    pub idempotency_key: Option<String>,
    /// Organisation of the caller; `None` if callers need no key.
    pub organisation: Option<String>,
}

impl RequestOptions {
    /// Idempotency key within the caller's organisation, so that no organisation gets the response to
    /// a request of another.
    #[must_use]
    pub fn scoped_idempotency_key(&self) -> Option<String> {
        let key = self.idempotency_key.as_ref()?;
        // No header contains a line break, so that no key equals one of an organisation.
        let scope = self.organisation.as_ref();
        Some(scope.map_or_else(|| key.clone(), |name| format!("{name}\n{key}")))
    }
}

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    pub service: String,
    pub method: String,
    pub path: String,
    pub content_type: Option<String>,
    pub options: RequestOptions,
    pub body: Vec<u8>,
}

/// Adapter that callers may name as a model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ModelName {
    pub name: String,
    /// Operator that owns the adapter.
    pub operator: String,
}

/// Request handler that the routes call; implemented by the entry.
pub trait RequestHandler: Send + Sync {
    /// Organisation of the caller with a key; `None` if callers need no key.
    ///
    /// # Errors
    /// [`error::CallerError`] when the key is needed and no organisation holds it.
    fn authorize(
        &self,
        key: Option<&caller_key::CallerKey>,
    ) -> Result<Option<String>, error::CallerError>;

    /// Admits a completion and returns its response.
    fn complete(
        &self,
        request: completion::CompletionRequest,
    ) -> future::BoxFuture<'_, Result<ResponseStream, error::CallerError>>;

    /// Admits a call of a plain service and returns its response.
    fn call_service(
        &self,
        call: ServiceCall,
    ) -> future::BoxFuture<'_, Result<ResponseStream, error::CallerError>>;

    /// Whether the entry has a configuration and an endpoint, and is not draining.
    fn is_ready(&self) -> bool;

    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Adapters that callers may name as a model, sorted by name.
    fn models(&self) -> Vec<ModelName>;

    /// State shown by `cowslipdeal status`.
    fn status(&self) -> serde_json::Value;
}

//! HTTP client of a model engine.
//!
//! Generations use the `OpenAI` routes with server-sent events. Adapter commands are `POST
//! /v1/load_lora_adapter` and `POST /v1/unload_lora_adapter` with the field `lora_name` in a JSON
//! object and the fencing number in the header `x-fencing-number`. An outdated number is refused
//! with status 412 and the current number in the same header. `GET /v1/status` reports the state.
//!
//! `GET /v1/requests/{id}/events?from=N` resumes an interrupted stream at text event N; the `id`
//! field of each event holds its number. `POST /v1/requests/{id}/cancel` cancels a generation, or
//! preempts it if the field `keep` of the JSON body is true. Comment lines are heartbeats.

use std::{net, time};

use bytes::Bytes;
use decisions::{ids, units};
use futures::future;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect},
    rt,
};

use crate::{
    client::{self, EndpointError, ModelEngine},
    event_reader,
};

/// Header with the fencing number of an adapter command.
pub const FENCING_HEADER: &str = "x-fencing-number";
/// Header with the request id of a generation.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Maximum length of a reported state, with the names of all loaded adapters.
const MAX_STATUS_BYTES: usize = 1 << 20;
/// Maximum length of the message of a refusal.
const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Timeout for the response head of a generation, which includes the wait in the engine's own
/// short queue.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// HTTP client of one model engine.
pub struct HttpEngine {
    address: net::SocketAddr,
    client: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl HttpEngine {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(STATUS_TIMEOUT));
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Self { address, client }
    }

    fn request_builder(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
    }

    async fn send(
        &self,
        builder: http::request::Builder,
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, EndpointError> {
        let request = builder
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| self.malformed(&error))?;
        let response = self.client.request(request).await.map_err(|error| {
            let endpoint = self.address.to_string();
            let message = error.to_string();
            if error.is_connect() {
                EndpointError::Unreachable { endpoint, message }
            } else {
                EndpointError::Interrupted { endpoint, message }
            }
        })?;
        self.check_status(response).await
    }

    async fn check_status(
        &self,
        response: Response<Incoming>,
    ) -> Result<Response<Incoming>, EndpointError> {
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let endpoint = self.address.to_string();
        if status == StatusCode::PRECONDITION_FAILED {
            let current = response
                .headers()
                .get(FENCING_HEADER)
                .and_then(|value| value.to_str().ok()?.parse().ok())
                .unwrap_or(u64::MAX);
            return Err(EndpointError::Fenced { endpoint, current });
        }
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect();
        let message = match body.await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(error) => format!("the message cannot be read: {error}"),
        };
        Err(EndpointError::Refused {
            endpoint,
            status: status.as_u16(),
            message,
        })
    }

    async fn send_command(
        &self,
        path: &str,
        adapter: &ids::AdapterRef,
        fencing: u64,
    ) -> Result<(), EndpointError> {
        let builder = self
            .request_builder(Method::POST, path)
            .header(FENCING_HEADER, fencing);
        let body = serde_json::json!({ "lora_name": adapter.to_string() });
        let sending = self.send(builder, body.to_string().into_bytes());
        self.with_timeout(COMMAND_TIMEOUT, sending).await.map(drop)
    }

    async fn with_timeout<T>(
        &self,
        limit: time::Duration,
        call: impl Future<Output = Result<T, EndpointError>>,
    ) -> Result<T, EndpointError> {
        let outcome = tokio::time::timeout(limit, call).await;
        outcome.unwrap_or_else(|_| {
            Err(EndpointError::Timeout {
                endpoint: self.address.to_string(),
                limit,
            })
        })
    }

    async fn fetch_status(&self) -> Result<client::EngineStatus, EndpointError> {
        let response = self
            .send(self.request_builder(Method::GET, "/v1/status"), Vec::new())
            .await?;
        let body = Limited::new(response.into_body(), MAX_STATUS_BYTES)
            .collect()
            .await
            .map_err(|error| self.unreadable(error.as_ref()))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| self.malformed(&error))
    }

    async fn start_generation(
        &self,
        generation: client::GenerationCall,
    ) -> Result<client::TokenStream, EndpointError> {
        let mut body: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(&generation.body).map_err(|error| self.malformed(&error))?;
        let model = generation.adapter.to_string();
        body.insert("model".into(), model.clone().into());
        body.insert("stream".into(), true.into());
        body.insert(
            "priority".into(),
            engine_priority(generation.priority).into(),
        );
        let body = serde_json::to_vec(&body).map_err(|error| self.malformed(&error))?;
        let builder = self
            .request_builder(Method::POST, generation.path)
            .header(REQUEST_ID_HEADER, generation.request.to_string());
        let response = self
            .with_timeout(START_TIMEOUT, self.send(builder, body))
            .await?;
        Ok(self.read_events(model, response.into_body(), 0))
    }

    async fn resume_events(
        &self,
        generation: &client::GenerationCall,
        from: u64,
    ) -> Result<client::TokenStream, EndpointError> {
        let path = format!("/v1/requests/{}/events?from={from}", generation.request);
        let sending = self.send(self.request_builder(Method::GET, &path), Vec::new());
        let response = self
            .with_timeout(event_reader::STREAM_IDLE_TIMEOUT, sending)
            .await?;
        let model = generation.adapter.to_string();
        Ok(self.read_events(model, response.into_body(), from))
    }

    async fn send_cancel(
        &self,
        request: ids::RequestId,
        keeps_state: bool,
    ) -> Result<(), EndpointError> {
        let path = format!("/v1/requests/{request}/cancel");
        let body = serde_json::json!({ "keep": keeps_state });
        let body = body.to_string().into_bytes();
        let sending = self.send(self.request_builder(Method::POST, &path), body);
        self.with_timeout(STATUS_TIMEOUT, sending).await.map(drop)
    }

    fn read_events(&self, model: String, body: Incoming, from: u64) -> client::TokenStream {
        event_reader::read_events(self.address.to_string(), model, body, from)
    }

    /// Error of a body that is too long or ended early.
    fn unreadable(&self, error: &(dyn std::error::Error + 'static)) -> EndpointError {
        if error.is::<LengthLimitError>() {
            return self.malformed(error);
        }
        EndpointError::Interrupted {
            endpoint: self.address.to_string(),
            message: error.to_string(),
        }
    }

    fn malformed(&self, error: &dyn std::error::Error) -> EndpointError {
        EndpointError::Malformed {
            endpoint: self.address.to_string(),
            message: error.to_string(),
        }
    }
}

impl ModelEngine for HttpEngine {
    fn status(&self) -> future::BoxFuture<'_, Result<client::EngineStatus, EndpointError>> {
        Box::pin(self.with_timeout(STATUS_TIMEOUT, self.fetch_status()))
    }

    fn load_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>> {
        Box::pin(self.send_command("/v1/load_lora_adapter", adapter, fencing))
    }

    fn unload_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> future::BoxFuture<'a, Result<(), EndpointError>> {
        Box::pin(self.send_command("/v1/unload_lora_adapter", adapter, fencing))
    }

    fn generate(
        &self,
        generation: client::GenerationCall,
    ) -> future::BoxFuture<'_, Result<client::TokenStream, EndpointError>> {
        Box::pin(self.start_generation(generation))
    }

    fn resume<'a>(
        &'a self,
        generation: &'a client::GenerationCall,
        from: u64,
    ) -> future::BoxFuture<'a, Result<client::TokenStream, EndpointError>> {
        Box::pin(self.resume_events(generation, from))
    }

    fn cancel(&self, request: ids::RequestId) -> future::BoxFuture<'_, Result<(), EndpointError>> {
        Box::pin(self.send_cancel(request, false))
    }

    fn preempt(&self, request: ids::RequestId) -> future::BoxFuture<'_, Result<(), EndpointError>> {
        Box::pin(self.send_cancel(request, true))
    }
}

/// Number of a priority in the engine's API; the lowest number is served first.
fn engine_priority(priority: units::Priority) -> i8 {
    match priority {
        units::Priority::High => -1,
        units::Priority::Normal => 0,
        units::Priority::Low => 1,
    }
}

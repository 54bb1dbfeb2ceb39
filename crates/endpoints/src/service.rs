//! Interface and HTTP client of plain services.

use std::{net, ops, time};

use bytes::Bytes;
use decisions::ids;
use futures::{StreamExt, future, stream};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect},
    rt,
};

use crate::{client::EndpointError, http_engine};

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Maximum body size of one event, which bounds the size of a poll reply.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Statuses of final responses.
const FINAL_STATUSES: ops::Range<u16> = 200..600;

/// Response of a service.
pub type ServiceStream = stream::BoxStream<'static, Result<ServiceEvent, EndpointError>>;

/// HTTP request to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    pub request: ids::RequestId,
    pub method: String,
    pub path: String,
    pub content_type: Option<String>,
    pub body: Vec<u8>,
}

/// Part of a service's response, which is complete when the stream ends without an error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceEvent {
    Head {
        status: u16,
        content_type: Option<String>,
    },
    Bytes(Vec<u8>),
}

/// One plain service.
pub trait PlainService: Send + Sync {
    /// Calls the service once.
    fn call(
        &self,
        call: ServiceCall,
    ) -> future::BoxFuture<'_, Result<ServiceStream, EndpointError>>;
}

/// HTTP client of one plain service.
pub struct HttpService {
    address: net::SocketAddr,
    timeout: time::Duration,
    client: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl HttpService {
    /// Creates a client that waits up to `timeout` for the response head and for each body frame.
    ///
    /// Connections are not reused: if a service closes an idle connection while a call is sent, it
    /// is unknown whether the call was executed.
    #[must_use]
    pub fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            address,
            timeout,
            client,
        }
    }

    async fn send_call(&self, call: ServiceCall) -> Result<ServiceStream, EndpointError> {
        let endpoint = self.address.to_string();
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", self.address, call.path))
            .header(http_engine::REQUEST_ID_HEADER, call.request.to_string());
        if let Some(content_type) = &call.content_type {
            builder = builder.header(header::CONTENT_TYPE, content_type);
        }
        let request = builder
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|error| EndpointError::Refused {
                endpoint: endpoint.clone(),
                status: 400,
                message: error.to_string(),
            })?;
        let sending = tokio::time::timeout(self.timeout, self.client.request(request));
        let Ok(response) = sending.await else {
            let limit = self.timeout;
            return Err(EndpointError::Timeout { endpoint, limit });
        };
        let response = response.map_err(|error| {
            let endpoint = endpoint.clone();
            let message = error.to_string();
            if error.is_connect() {
                EndpointError::Unreachable { endpoint, message }
            } else {
                EndpointError::Interrupted { endpoint, message }
            }
        })?;
        check_status(&endpoint, response.status())?;
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let head = ServiceEvent::Head {
            status: response.status().as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
        };
        let body = stream_body(endpoint, self.timeout, response.into_body());
        Ok(stream::once(async { Ok(head) }).chain(body).boxed())
    }
}

impl PlainService for HttpService {
    fn call(
        &self,
        call: ServiceCall,
    ) -> future::BoxFuture<'_, Result<ServiceStream, EndpointError>> {
        Box::pin(self.send_call(call))
    }
}

/// Checks that a status is final and defined; the call may have been executed otherwise.
fn check_status(endpoint: &str, status: StatusCode) -> Result<(), EndpointError> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(EndpointError::Malformed {
        endpoint: endpoint.to_owned(),
        message: format!("{status} is no final status"),
    })
}

/// Streams a body in chunks; fails if a frame takes longer than `timeout`.
fn stream_body(endpoint: String, timeout: time::Duration, body: Incoming) -> ServiceStream {
    let state = Some((endpoint, body));
    let chunks = stream::unfold(state, move |state| async move {
        let (endpoint, mut body) = state?;
        let Ok(frame) = tokio::time::timeout(timeout, body.frame()).await else {
            let limit = timeout;
            return Some((vec![Err(EndpointError::Timeout { endpoint, limit })], None));
        };
        match frame? {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                let chunks = data.chunks(MAX_CHUNK_BYTES);
                let events = chunks.map(|chunk| Ok(ServiceEvent::Bytes(chunk.to_vec())));
                Some((events.collect(), Some((endpoint, body))))
            }
            Err(error) => {
                let message = error.to_string();
                Some((
                    vec![Err(EndpointError::Interrupted { endpoint, message })],
                    None,
                ))
            }
        }
    });
    chunks.flat_map(stream::iter).boxed()
}

//! HTTP client of the platform's services.
//!
//! All bodies are JSON; record payloads are base64.
//!
//! | request | body | response |
//! |---|---|---|
//! | `POST /log/{stream}` | `{"records": [payload]}` | 200 `{"first_offset": n}` |
//! | `GET /log/{stream}?from=n&max=m` | – | 200 `{"first_retained", "end", "records": [{"offset", "payload"}]}`; 410 `{"first_retained"}` when `from` has expired |
//! | `GET /instances` | – | 200 `{"instances": [{"address", "role", "data_centre", "state"}]}` |
//! | `POST /weights/{adapter}` | – | 200 `{}` when loaded; 429 `{"retry_after_millis"}` |
//!
//! 400 and 413 mean that the request will never be accepted, 503 that it had no effect. After any
//! other status, a broken connection or a timeout, an append may have taken effect. A failure to
//! connect has no effect.

use std::{net, time};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize, de};
use serde_json::value::RawValue;
use serde_with::{base64::Base64, serde_as};

use crate::{instances, log, weights};

/// Maximum size of a response in bytes; base64 adds a third to the records.
const MAX_RESPONSE_BYTES: usize = 2 * log::MAX_READ_BYTES;

/// Request to append records.
#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    #[serde_as(as = "Vec<Base64>")]
    pub records: Vec<Vec<u8>>,
}

/// Response to an append.
#[derive(Debug, Deserialize, Serialize)]
pub struct AppendResponse {
    pub first_offset: u64,
}

/// Record in a response.
#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
pub struct RecordBody {
    pub offset: u64,
    #[serde_as(as = "Base64")]
    pub payload: Vec<u8>,
}

/// Response to a read.
#[derive(Debug, Deserialize, Serialize)]
pub struct ReadResponse {
    pub first_retained: u64,
    pub end: u64,
    pub records: Vec<RecordBody>,
}

/// Response to a read of an expired offset.
#[derive(Debug, Deserialize, Serialize)]
pub struct OffsetExpiredResponse {
    pub first_retained: u64,
}

/// Response with the instance list.
#[derive(Debug, Serialize)]
pub struct InstancesResponse {
    pub instances: Vec<instances::Instance>,
}

/// Response with the instance list, whose entries are decoded one by one: one that cannot be read
/// must not hide the others.
#[derive(Deserialize)]
struct RawInstancesResponse<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

impl From<RawInstancesResponse<'_>> for instances::InstanceListing {
    fn from(response: RawInstancesResponse<'_>) -> Self {
        let mut listing = Self::default();
        for entry in response.instances {
            match serde_json::from_str(entry.get()) {
                Ok(instance) => listing.instances.push(instance),
                Err(_) => listing.unreadable += 1,
            }
        }
        listing.instances.sort_unstable();
        listing
    }
}

/// Response to a load above the rate limit.
#[derive(Debug, Deserialize, Serialize)]
pub struct RateLimitResponse {
    pub retry_after_millis: u64,
}

/// Timeouts of a client.
#[derive(Clone, Copy, Debug)]
pub struct HttpTimeouts {
    /// Timeout for opening a connection.
    pub connect: time::Duration,
    /// Timeout for a whole call.
    pub call: time::Duration,
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self {
            connect: time::Duration::from_millis(500),
            call: time::Duration::from_secs(2),
        }
    }
}

/// Client of all platform services at one address.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: net::SocketAddr,
    timeouts: HttpTimeouts,
}

struct HttpResponse {
    status: http::StatusCode,
    body: Bytes,
}

struct HttpFailure {
    /// Whether the request certainly did not reach the server.
    is_unsent: bool,
    message: String,
}

impl PlatformClient {
    /// Client that connects on its first call.
    #[must_use]
    pub fn new(address: net::SocketAddr, timeouts: HttpTimeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeouts.connect));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            address,
            timeouts,
        }
    }

    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<HttpResponse, HttpFailure> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| HttpFailure {
                is_unsent: true,
                message: error.to_string(),
            })?;
        match tokio::time::timeout(self.timeouts.call, self.exchange(request)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(HttpFailure {
                is_unsent: false,
                message: format!("no response within {} ms", self.timeouts.call.as_millis()),
            }),
        }
    }

    async fn exchange(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<HttpResponse, HttpFailure> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| HttpFailure {
                is_unsent: error.is_connect(),
                message: error.to_string(),
            })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| HttpFailure {
                is_unsent: false,
                message: error.to_string(),
            })?
            .to_bytes();
        Ok(HttpResponse { status, body })
    }

    async fn call_log<T: de::DeserializeOwned>(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, log::LogError> {
        let response = match self.call(method, path, body).await {
            Ok(response) => response,
            Err(HttpFailure {
                is_unsent: true,
                message,
            }) => {
                return Err(log::LogError::NotApplied { message });
            }
            Err(HttpFailure { message, .. }) => {
                return Err(log::LogError::MaybeApplied { message });
            }
        };
        let message = format!("status {}", response.status);
        match response.status {
            http::StatusCode::OK => parse_body(&response.body),
            http::StatusCode::GONE => {
                let expired: OffsetExpiredResponse = parse_body(&response.body)?;
                let first_retained = expired.first_retained;
                Err(log::LogError::OffsetExpired { first_retained })
            }
            http::StatusCode::SERVICE_UNAVAILABLE => Err(log::LogError::NotApplied { message }),
            http::StatusCode::BAD_REQUEST | http::StatusCode::PAYLOAD_TOO_LARGE => {
                Err(log::LogError::Refused { message })
            }
            _ => Err(log::LogError::MaybeApplied { message }),
        }
    }
}

impl log::LogService for PlatformClient {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<u64, log::LogError>> {
        Box::pin(async move {
            let records = records.iter().map(|record| record.to_vec()).collect();
            let body = serde_json::to_vec(&AppendRequest { records }).unwrap_or_default();
            let path = format!("/log/{stream}");
            let response: AppendResponse = self.call_log(http::Method::POST, &path, body).await?;
            Ok(response.first_offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max: usize,
    ) -> BoxFuture<'a, Result<log::LogBatch, log::LogError>> {
        Box::pin(async move {
            let path = format!("/log/{stream}?from={from}&max={max}");
            let response: ReadResponse =
                self.call_log(http::Method::GET, &path, Vec::new()).await?;
            let records = response
                .records
                .into_iter()
                .map(|record| log::LogRecord {
                    offset: record.offset,
                    payload: Bytes::from(record.payload),
                })
                .collect();
            Ok(log::LogBatch {
                records,
                first_retained: response.first_retained,
                end: response.end,
            })
        })
    }
}

impl instances::InstanceList for PlatformClient {
    fn list(
        &self,
    ) -> BoxFuture<'_, Result<instances::InstanceListing, instances::InstanceListError>> {
        let unavailable = |message| instances::InstanceListError::Unavailable { message };
        Box::pin(async move {
            let response = self
                .call(http::Method::GET, "/instances", Vec::new())
                .await
                .map_err(|failure| unavailable(failure.message))?;
            if response.status != http::StatusCode::OK {
                return Err(unavailable(format!("status {}", response.status)));
            }
            let response: RawInstancesResponse<'_> = serde_json::from_slice(&response.body)
                .map_err(|error| unavailable(error.to_string()))?;
            Ok(response.into())
        })
    }
}

impl weights::WeightStore for PlatformClient {
    fn load<'a>(&'a self, adapter: &'a str) -> BoxFuture<'a, Result<(), weights::WeightError>> {
        let unavailable = |message| weights::WeightError::Unavailable { message };
        Box::pin(async move {
            let path = format!("/weights/{adapter}");
            let response = self
                .call(http::Method::POST, &path, Vec::new())
                .await
                .map_err(|failure| unavailable(failure.message))?;
            match response.status {
                http::StatusCode::OK => Ok(()),
                http::StatusCode::TOO_MANY_REQUESTS => {
                    let response: RateLimitResponse = serde_json::from_slice(&response.body)
                        .map_err(|error| unavailable(error.to_string()))?;
                    let retry_after = time::Duration::from_millis(response.retry_after_millis);
                    Err(weights::WeightError::RateLimited { retry_after })
                }
                status => Err(unavailable(format!("status {status}"))),
            }
        })
    }
}

fn parse_body<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, log::LogError> {
    serde_json::from_slice(body).map_err(|error| log::LogError::MaybeApplied {
        message: error.to_string(),
    })
}

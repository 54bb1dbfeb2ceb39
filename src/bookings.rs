//! Calls of a service that must not be repeated, each sent to all entries at once with the same
//! idempotency key.

use std::{net, sync::Arc};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use tokio::task;

use crate::{client, report};

/// Responses of all entries to one booking.
#[derive(Debug)]
struct BookingResponses {
    key: String,
    responses: Vec<Result<(u16, Bytes), String>>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    code: String,
    outcome: String,
}

/// Sends `count` bookings, each to all entries at once, and reports what the callers received.
pub async fn run(
    entries: &[net::SocketAddr],
    service: &str,
    count: u32,
) -> report::ServiceCallReport {
    let client = Arc::new(client::LoadClient::new());
    let mut tasks = task::JoinSet::new();
    for number in 0..count {
        let client = Arc::clone(&client);
        let entries = entries.to_vec();
        let service = service.to_owned();
        tasks.spawn(async move { send_booking(&client, &entries, &service, number).await });
    }
    let mut report = report::ServiceCallReport::default();
    while let Some(outcome) = tasks.join_next().await {
        match outcome {
            Ok(booking) => record_booking(&mut report, &booking),
            Err(_) => report.lost += 1,
        }
    }
    report
}

async fn send_booking(
    client: &client::LoadClient,
    entries: &[net::SocketAddr],
    service: &str,
    number: u32,
) -> BookingResponses {
    let key = format!("booking-{number}");
    let calls = entries
        .iter()
        .map(|entry| send_to_entry(client, *entry, service, &key));
    let responses = futures::future::join_all(calls).await;
    BookingResponses { key, responses }
}

async fn send_to_entry(
    client: &client::LoadClient,
    entry: net::SocketAddr,
    service: &str,
    key: &str,
) -> Result<(u16, Bytes), String> {
    let request = Request::post(format!("http://{entry}/services/{service}/confirm"))
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from(key.to_owned())));
    let request = request.map_err(|error| error.to_string())?;
    client.send(request).await
}

fn record_booking(report: &mut report::ServiceCallReport, booking: &BookingResponses) {
    report.calls += 1;
    let mut is_answered = false;
    for response in &booking.responses {
        match response {
            Ok((200, body)) if body == &booking.key => is_answered = true,
            Ok((200, _)) => report.wrong += 1,
            Ok((_, body)) => match serde_json::from_slice::<ErrorBody>(body) {
                Ok(body) if body.error.outcome == "not_run" => {
                    *report.refused.entry(body.error.code).or_default() += 1;
                }
                _ => report.lost += 1,
            },
            Err(_) => report.lost += 1,
        }
    }
    report.answered += u64::from(is_answered);
}

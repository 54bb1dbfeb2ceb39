//! Calls of a service that must not be repeated, each sent to two entries at once under one key.

use std::{net, sync::Arc};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use tokio::task;

use crate::{client, report};

/// Answers to one booking.
#[derive(Debug)]
struct BookingAnswers {
    key: String,
    answers: Vec<Result<(u16, Bytes), String>>,
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

/// Sends `count` bookings, each to all entries at once, and reports what the callers saw.
pub async fn run(entries: &[net::SocketAddr], service: &str, count: u32) -> report::CallReport {
    let client = Arc::new(client::LoadClient::new());
    let mut tasks = task::JoinSet::new();
    for number in 0..count {
        let client = Arc::clone(&client);
        let entries = entries.to_vec();
        let service = service.to_owned();
        tasks.spawn(async move { book(&client, &entries, &service, number).await });
    }
    let mut report = report::CallReport::default();
    while let Some(outcome) = tasks.join_next().await {
        match outcome {
            Ok(booking) => record(&mut report, &booking),
            Err(_) => report.lost += 1,
        }
    }
    report
}

async fn book(
    client: &client::LoadClient,
    entries: &[net::SocketAddr],
    service: &str,
    number: u32,
) -> BookingAnswers {
    let key = format!("booking-{number}");
    let calls = entries
        .iter()
        .map(|entry| call(client, *entry, service, &key));
    let answers = futures::future::join_all(calls).await;
    BookingAnswers { key, answers }
}

async fn call(
    client: &client::LoadClient,
    entry: net::SocketAddr,
    service: &str,
    key: &str,
) -> Result<(u16, Bytes), String> {
    let request = Request::post(format!("http://{entry}/services/{service}/confirm"))
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from(key.to_owned())));
    let request = request.map_err(|error| error.to_string())?;
    client.call(request).await
}

fn record(report: &mut report::CallReport, booking: &BookingAnswers) {
    report.calls += 1;
    let mut is_answered = false;
    for answer in &booking.answers {
        match answer {
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

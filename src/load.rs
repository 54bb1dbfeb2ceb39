//! Load generator: sends the requests of a load plan to entries and checks every response.
//!
//! The arrival times, adapters and lengths are derived from a seed. Responses are checked against
//! the text that the stand-in engine generates, so that the report can tell wrong, lost and doubled
//! responses.

use std::{net, sync::Arc, time};

use endpoints::stand_in;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use snafu::Snafu;
use tokio::task;

use crate::{client, report};

/// Tokens of a short response.
const SHORT_TOKENS: u32 = 16;

/// Description of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// HTTP addresses of the entries, used in round-robin order.
    pub entries: Vec<net::SocketAddr>,
    /// Models to request, the most popular first.
    pub models: Vec<String>,
    pub requests: u32,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Exponent of the Zipf distribution of popularity.
    pub skew: f64,
    /// Share of long requests, from 0 to 1.
    pub long_share: f64,
    /// Length of a long request relative to a short one.
    pub long_factor: u32,
    /// Deadline for the first token.
    pub deadline: time::Duration,
    pub seed: u64,
}

/// Reason why a load cannot run.
#[derive(Debug, Snafu)]
pub enum LoadError {
    #[snafu(display("the load plan has no entry; give at least one address"))]
    NoEntry,
    #[snafu(display("the load plan has no model; give at least one"))]
    NoModel,
    #[snafu(display("{value} is not a valid {field}; {remedy}"))]
    InvalidValue {
        field: &'static str,
        value: f64,
        remedy: &'static str,
    },
}

/// One request of a load.
#[derive(Clone, Debug)]
struct PlannedRequest {
    start: time::Duration,
    entry: net::SocketAddr,
    model: String,
    tokens: u32,
    prompt_id: u64,
}

/// Runs a load; `progress` is called with the number of finished requests.
///
/// # Errors
/// [`LoadError`] when the plan is not valid.
pub async fn run(
    plan: &LoadPlan,
    progress: impl Fn(usize),
) -> Result<report::LoadReport, LoadError> {
    let requests = plan_requests(plan)?;
    let client = Arc::new(client::LoadClient::new());
    let started = tokio::time::Instant::now();
    let mut tasks = task::JoinSet::new();
    for request in requests {
        let client = Arc::clone(&client);
        let deadline = plan.deadline;
        tasks.spawn(async move {
            tokio::time::sleep_until(started + request.start).await;
            send_request(&client, &request, deadline).await
        });
    }
    let mut report = report::LoadReport::default();
    let mut finished = 0;
    while let Some(outcome) = tasks.join_next().await {
        finished += 1;
        match outcome {
            Ok(response) => report.record(&response),
            Err(_) => report.lost += 1,
        }
        progress(finished);
    }
    report.finish(started.elapsed());
    Ok(report)
}

/// Model name of the adapter with this popularity rank, from 0.
#[must_use]
pub fn adapter_name(rank: u32) -> String {
    format!("{}@1", adapter_base_name(rank))
}

/// Name without version of the adapter with this popularity rank, from 0.
#[must_use]
pub fn adapter_base_name(rank: u32) -> String {
    format!("adapter-{rank:03}")
}

fn plan_requests(plan: &LoadPlan) -> Result<Vec<PlannedRequest>, LoadError> {
    if plan.entries.is_empty() {
        return Err(LoadError::NoEntry);
    }
    if plan.models.is_empty() {
        return Err(LoadError::NoModel);
    }
    let arrivals = Exp::new(plan.rate).map_err(|_| LoadError::InvalidValue {
        field: "rate",
        value: plan.rate,
        remedy: "give requests per second above 0",
    })?;
    #[expect(clippy::cast_precision_loss, reason = "fewer than 2^52 models")]
    let count = plan.models.len() as f64;
    let popularity = Zipf::new(count, plan.skew).map_err(|_| LoadError::InvalidValue {
        field: "skew",
        value: plan.skew,
        remedy: "give an exponent of 0 or more",
    })?;
    if !(0.0..=1.0).contains(&plan.long_share) {
        return Err(LoadError::InvalidValue {
            field: "long share",
            value: plan.long_share,
            remedy: "give a share from 0 to 1",
        });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut start = 0.0;
    let mut requests = Vec::new();
    for index in 0..plan.requests {
        start += arrivals.sample(&mut rng);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rank from 1 to the number of models"
        )]
        let rank = popularity.sample(&mut rng) as usize;
        let model = plan.models[rank.clamp(1, plan.models.len()) - 1].clone();
        let is_long = rng.random_bool(plan.long_share);
        let factor = if is_long { plan.long_factor } else { 1 };
        requests.push(PlannedRequest {
            start: time::Duration::from_secs_f64(start),
            entry: plan.entries[index as usize % plan.entries.len()],
            model,
            tokens: SHORT_TOKENS.saturating_mul(factor),
            prompt_id: rng.random(),
        });
    }
    Ok(requests)
}

async fn send_request(
    client: &client::LoadClient,
    request: &PlannedRequest,
    deadline: time::Duration,
) -> report::ResponseRecord {
    let prompt = format!("request {:016x}", request.prompt_id);
    let body = serde_json::json!({
        "model": request.model,
        "prompt": prompt,
        "max_tokens": request.tokens,
        "stream": true,
    });
    let response = client
        .stream_completion(request.entry, &body, deadline)
        .await;
    let outcome = classify_response(&response, request, &prompt);
    report::ResponseRecord {
        outcome,
        first_token: response.first_token,
        token_gaps: response.token_gaps,
        tokens: response.texts.len(),
        is_long: request.tokens > SHORT_TOKENS,
    }
}

/// Compares a response with the expected text.
fn classify_response(
    response: &client::StreamedResponse,
    request: &PlannedRequest,
    prompt: &str,
) -> report::ResponseOutcome {
    if let Some(error) = &response.error {
        return match error.outcome.as_str() {
            "not_run" => report::ResponseOutcome::Refused(error.code.clone()),
            "failed" => report::ResponseOutcome::Failed(error.code.clone()),
            _ => report::ResponseOutcome::Lost(error.code.clone()),
        };
    }
    let expected = (0..request.tokens)
        .map(|index| stand_in::token_text(&request.model, prompt, index))
        .collect::<Vec<_>>();
    if response.texts.len() > expected.len() {
        return report::ResponseOutcome::Doubled;
    }
    let is_prefix = response
        .texts
        .iter()
        .zip(&expected)
        .all(|(one, other)| one == other);
    if !is_prefix {
        return report::ResponseOutcome::Wrong;
    }
    if !response.is_done || response.texts.len() < expected.len() {
        return report::ResponseOutcome::Lost("incomplete".into());
    }
    report::ResponseOutcome::Answered
}

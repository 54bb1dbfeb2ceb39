//! Publication of a patch from the command line.

use std::{fs, io, net, sync::Arc, time};

use operators::patch;
use platform::{http, publisher};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::{ResultExt, Snafu};

/// Log retention that the publisher assumes. It only reads, so the value does not affect other
/// processes.
const RETENTION: time::Duration = time::Duration::from_hours(24);

/// Reason why a patch was not published.
#[derive(Debug, Snafu)]
pub enum PublishError {
    #[snafu(display("cannot read {path}: {source}; check the path"))]
    Read { path: String, source: io::Error },
    #[snafu(display("{source}"))]
    Patch { source: patch::PatchError },
    #[snafu(display("patch {id}: {source}"))]
    Publish {
        id: uuid::Uuid,
        source: publisher::PublishError,
    },
}

/// Patch file to publish, and the log to publish it to.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    pub path: String,
    pub base: Option<u64>,
    pub id: Option<uuid::Uuid>,
    pub log: net::SocketAddr,
    pub timeout: time::Duration,
}

/// Outcome with the id under which the patch was published.
#[derive(Clone, Debug)]
pub struct PublishResult {
    pub id: uuid::Uuid,
    pub outcome: publisher::PublishOutcome,
}

/// Reads a patch, publishes it and waits for the outcome.
///
/// # Errors
/// [`PublishError`]; its message says whether the patch may have taken effect.
pub async fn publish(request: &PublishRequest) -> Result<PublishResult, PublishError> {
    let text = fs::read_to_string(&request.path).context(ReadSnafu {
        path: &request.path,
    })?;
    let defaults = patch::PatchDefaults {
        id: Some(request.id.unwrap_or_else(uuid::Uuid::new_v4)),
        base: request.base,
    };
    let patch = patch::Patch::from_yaml_with(&text, &defaults).context(PatchSnafu)?;
    let id = patch.id.0;
    let log = http::PlatformClient::new(request.log, http::HttpTimeouts::default());
    let rng = ChaCha8Rng::from_os_rng();
    let mut publisher = publisher::PatchPublisher::new(Arc::new(log), RETENTION, rng);
    let outcome = publisher
        .publish(&patch, request.timeout)
        .await
        .context(PublishSnafu { id })?;
    Ok(PublishResult { id, outcome })
}

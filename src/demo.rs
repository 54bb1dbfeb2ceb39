//! Self-contained demonstration on loopback.
//!
//! One process starts the stand-ins, four agents with two engines each and two entries, publishes
//! a configuration, sends a bounded load over 200 adapters and service calls that must not be
//! repeated, each with an idempotency key, and reports what the callers received.

use std::time;

use snafu::{ResultExt, Snafu};

use crate::{bookings, demo_cluster, load, report};

const ADAPTER_COUNT: u32 = 200;
const REQUEST_COUNT: u32 = 750;
/// Requests per second. The weight store allows about 4.5 loads per second, which bounds the rate
/// at which adapters that are not loaded can be requested.
const REQUEST_RATE: f64 = 25.0;
const BOOKING_COUNT: u32 = 40;

/// Reason why the demonstration cannot run.
#[derive(Debug, Snafu)]
pub enum DemoError {
    #[snafu(display("{source}"))]
    Cluster { source: demo_cluster::ClusterError },
    #[snafu(display("{source}"))]
    Load { source: load::LoadError },
}

/// Runs the demonstration; `progress` gets the number of finished and of all requests.
///
/// # Errors
/// [`DemoError`] when a part cannot start or stop.
pub async fn run(progress: impl Fn(usize, usize)) -> Result<report::LoadReport, DemoError> {
    let cluster = demo_cluster::DemoCluster::start(ADAPTER_COUNT)
        .await
        .context(ClusterSnafu)?;
    let entries = cluster.entries();
    let plan = plan(&entries);
    let total = plan.requests as usize;
    let load = load::run(&plan, |finished| progress(finished, total));
    let calls = bookings::run(&entries, demo_cluster::SERVICE, BOOKING_COUNT);
    let (report, mut calls) = tokio::join!(load, calls);
    let mut report = report.context(LoadSnafu)?;
    calls.check_runs(cluster.service_calls());
    report.load_stalls = cluster.load_stalls();
    report.adapter_loads = cluster.adapter_loads();
    report.service = Some(calls);
    report.cut_off = cluster.close().await.context(ClusterSnafu)? as u64;
    Ok(report)
}

fn plan(entries: &[std::net::SocketAddr]) -> load::LoadPlan {
    load::LoadPlan {
        entries: entries.to_vec(),
        models: (0..ADAPTER_COUNT).map(load::adapter_name).collect(),
        requests: REQUEST_COUNT,
        rate: REQUEST_RATE,
        skew: 1.3,
        long_share: 0.02,
        long_factor: 30,
        deadline: time::Duration::from_secs(10),
        seed: 7,
    }
}

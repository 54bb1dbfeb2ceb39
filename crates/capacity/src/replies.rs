//! Bytes of polls and their replies on a connection.

use std::{io, sync::Arc, time};

use decisions::ids;
use peers::message;
use tokio::runtime;

use crate::{
    measure::{self, float},
    relay,
    series::{Point, Series},
    sessions, sizes, stand_in,
};

/// Replicas in a report whose size is measured.
const REPORT_SIZES: [u16; 4] = [0, 2, 4, 8];
/// Slots per replica in such a report.
const SLOT_SIZES: [u16; 3] = [0, 8, 16];
/// Bytes of the base model's name in such a report.
const NAME_SIZES: [usize; 3] = [1, 8, 15];
/// Polls of the shorter and the longer session whose difference gives the bytes of a poll.
const FEW_POLLS: u16 = 4;
const MANY_POLLS: u16 = 20;

/// Measures polls and replies with reports of several sizes.
///
/// # Errors
/// The error of a socket, or of a session that ended early.
pub fn measure(runtime: &runtime::Runtime) -> io::Result<Vec<Series>> {
    let mut sent = Vec::new();
    let mut received = Vec::new();
    let mut by_slots = Vec::new();
    for replicas in REPORT_SIZES {
        let poll = runtime.block_on(poll_bytes(&stand_in::report(
            replicas,
            sizes::ADAPTER_SLOTS,
        )))?;
        let size = f64::from(replicas);
        sent.push(Point {
            size,
            value: poll.sent,
        });
        received.push(Point {
            size,
            value: poll.received,
        });
    }
    for slots in SLOT_SIZES {
        let poll = runtime.block_on(poll_bytes(&stand_in::report(sessions::REPLICAS, slots)))?;
        let size = f64::from(slots);
        by_slots.push(Point {
            size,
            value: poll.received,
        });
    }
    let mut by_name = Vec::new();
    for length in NAME_SIZES {
        let mut report = stand_in::report(sessions::REPLICAS, 0);
        for replica in &mut report.replicas {
            replica.base_model.truncate(length);
        }
        let poll = runtime.block_on(poll_bytes(&report))?;
        let size = float(length);
        by_name.push(Point {
            size,
            value: poll.received,
        });
    }
    Ok(vec![
        Series::new("poll", "B", "replica of the agent", sent),
        Series::new("poll reply", "B", "replica of the agent", received),
        Series::new(
            "poll reply of 8 replicas without adapters",
            "B",
            "byte of the base model's name",
            by_name,
        ),
        Series::new(
            "poll reply of 8 replicas",
            "B",
            "adapter per replica",
            by_slots,
        ),
    ])
}

/// Bytes of one poll and its reply on the connection.
struct PollBytes {
    sent: f64,
    received: f64,
}

async fn poll_bytes(report: &message::LoadReport) -> io::Result<PollBytes> {
    let few = session_bytes(report, FEW_POLLS).await?;
    let many = session_bytes(report, MANY_POLLS).await?;
    let polls = f64::from(MANY_POLLS - FEW_POLLS);
    Ok(PollBytes {
        sent: measure::float64(many.sent - few.sent) / polls,
        received: measure::float64(many.received - few.received) / polls,
    })
}

async fn session_bytes(
    report: &message::LoadReport,
    polls: u16,
) -> io::Result<relay::RelayedBytes> {
    let handler = || stand_in::ReportingAgent::new(report.clone(), 0, Arc::default());
    let addresses = sessions::serve(1, handler).await?;
    let relay = relay::CountingRelay::start(addresses[0]).await?;
    let session = sessions::Session::open(relay.address(), ids::Incarnation(1)).await;
    let session = session.ok_or_else(|| io::Error::other("no session through the relay"))?;
    for _ in 0..polls {
        let reply = session
            .poll(Vec::new(), time::Duration::from_millis(1))
            .await;
        reply.ok_or_else(|| io::Error::other("the session ended early"))?;
    }
    drop(session);
    relay.finish().await
}

//! Calls of the platform over HTTP on loopback: reads of the log and of the instance list.

use std::{io, net, sync::Arc, time};

use bytes::Bytes;
use platform::{
    http,
    instances::{Instance, InstanceList, InstanceRole, InstanceState},
    log::LogService,
    reader,
    stand_in::{instances, log, server, weights},
};
use tokio::runtime;

use crate::{
    measure, relay,
    series::{Point, Series},
    sizes,
};

/// Records in one read of the log.
const RECORDS: [u32; 4] = [0, 1, 8, 64];
/// Usual size of a patch record in bytes, see `patch record`.
const RECORD_BYTES: usize = 300;
/// Instances in the list.
const INSTANCES: [u32; 3] = [20, 100, sizes::DAEMONS];
const CALLER_THREADS: &str = "caller-side";
const SERVER_THREADS: &str = "server-side";
/// Calls in a timed period and in the shorter and longer connection for the bytes of one call.
const TIMED_CALLS: u32 = 200;
const FEW_CALLS: u32 = 2;
const MANY_CALLS: u32 = 10;
/// Pause between timed calls, so that each wakes its process as the tailing does.
const PAUSE: time::Duration = time::Duration::from_millis(10);
const STREAM_BYTES: usize = 1 << 20;

/// Measures the calls.
///
/// # Errors
/// The error of a socket, runtime or call.
pub fn measure() -> io::Result<Vec<Series>> {
    let mut all = series("read of the log", "record", &RECORDS, Call::Log)?;
    all.extend(series(
        "read of the instance list",
        "instance",
        &INSTANCES,
        Call::List,
    )?);
    Ok(all)
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Log,
    List,
}

fn series(name: &str, per: &str, sizes: &[u32], call: Call) -> io::Result<Vec<Series>> {
    let servers = runtime(SERVER_THREADS)?;
    let callers = runtime(CALLER_THREADS)?;
    let mut sent = Vec::new();
    let mut received = Vec::new();
    let mut times = Vec::new();
    for size in sizes {
        let server = servers.block_on(server::PlatformServer::start(services(*size)))?;
        let target = server.address();
        let few = callers.block_on(relayed(target, call, FEW_CALLS))?;
        let many = callers.block_on(relayed(target, call, MANY_CALLS))?;
        let calls = f64::from(MANY_CALLS - FEW_CALLS);
        let point = |value| Point {
            size: f64::from(*size),
            value,
        };
        sent.push(point(measure::float64(many.sent - few.sent) / calls));
        received.push(point(
            measure::float64(many.received - few.received) / calls,
        ));
        let before = measure::thread_seconds(CALLER_THREADS);
        let client = http::PlatformClient::new(target, http::HttpTimeouts::default());
        // On a worker thread: only their processor time is counted.
        let calling = callers.spawn(async move { repeat(&client, call, TIMED_CALLS, PAUSE).await });
        callers.block_on(calling)??;
        let used = measure::thread_seconds(CALLER_THREADS) - before;
        times.push(point(used * 1e6 / f64::from(TIMED_CALLS)));
        servers.block_on(server.close());
    }
    Ok(vec![
        Series::new(&format!("{name}: sent"), "B", per, sent),
        Series::new(&format!("{name}: received"), "B", per, received),
        Series::new(&format!("{name}: processor time"), "µs", per, times),
    ])
}

fn runtime(name: &str) -> io::Result<runtime::Runtime> {
    runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build()
}

fn services(size: u32) -> server::PlatformServices {
    let log = log::MemoryLog::new(STREAM_BYTES);
    let record = Bytes::from(vec![b'x'; RECORD_BYTES]);
    let records = vec![record; size as usize];
    if size > 0 {
        let appended = log.append(reader::CONFIGURATION_STREAM, records);
        futures::executor::block_on(appended).expect("the log in memory takes the records");
    }
    let list = instances::MemoryInstances::default();
    list.set((0..size).map(instance).collect());
    server::PlatformServices {
        log: Arc::new(log),
        instances: Arc::new(list),
        weights: Arc::new(weights::MemoryWeights::default()),
    }
}

fn instance(number: u32) -> Instance {
    let address = net::Ipv4Addr::from_bits(0x0a00_0000 + number * 7);
    Instance {
        address: net::SocketAddr::from((address, 7_100)),
        role: InstanceRole::Agent,
        data_centre: format!("region-{}-dc-{}", number % 2, number % 4),
        state: InstanceState::Live,
    }
}

async fn relayed(
    target: net::SocketAddr,
    call: Call,
    calls: u32,
) -> io::Result<relay::RelayedBytes> {
    let relay = relay::CountingRelay::start(target).await?;
    let client = http::PlatformClient::new(relay.address(), http::HttpTimeouts::default());
    repeat(&client, call, calls, time::Duration::ZERO).await?;
    drop(client);
    relay.finish().await
}

async fn repeat(
    client: &http::PlatformClient,
    call: Call,
    calls: u32,
    pause: time::Duration,
) -> io::Result<()> {
    for _ in 0..calls {
        match call {
            Call::Log => {
                let read = client.read(reader::CONFIGURATION_STREAM, 0, 256).await;
                read.map_err(io::Error::other)?;
            }
            Call::List => {
                client.list().await.map_err(io::Error::other)?;
            }
        }
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

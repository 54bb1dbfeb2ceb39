//! Control traffic of real sessions over loopback TCP.
//!
//! The two sides run on runtimes of their own, whose threads are told apart by name, so that the
//! processor time of each side is known.

use std::{
    io, net,
    sync::{Arc, atomic},
    time,
};

use decisions::ids;
use peers::{message, service};
use tokio::{runtime, task};

use crate::{
    measure::{self, float},
    replies,
    series::{Point, Series},
    sizes, stand_in,
};

const ENTRY_THREADS: &str = "entry-side";
const AGENT_THREADS: &str = "agent-side";
const THREADS: usize = 2;
/// Sessions of one entry or one agent.
const SESSIONS: [usize; 4] = [1, 8, 32, 128];
/// Streams with output in one session.
const STREAMS: [usize; 4] = [1, 4, 16, 32];
const BUSY_SESSIONS: usize = 8;
/// Time for connections to be made before a measurement.
const SETTLE: time::Duration = time::Duration::from_millis(1_500);
const IDLE_TIME: time::Duration = time::Duration::from_secs(8);
const BUSY_TIME: time::Duration = time::Duration::from_secs(3);
/// Replicas of a full instance.
pub(crate) const REPLICAS: u16 = 8;
const CALL_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Measures idle sessions, reports and sessions with streams.
///
/// # Errors
/// The error of a socket or runtime.
pub fn measure() -> io::Result<Vec<Series>> {
    let mut all = idle(Shape::one_entry)?;
    all.extend(idle(Shape::one_agent)?);
    all.extend(replies::measure(&runtime(AGENT_THREADS)?)?);
    all.extend(busy()?);
    Ok(all)
}

/// Number of processes on each side; every entry has a session to every agent.
#[derive(Clone, Copy, Debug)]
struct Shape {
    entries: usize,
    agents: usize,
    /// Streams with output per session.
    streams: usize,
}

impl Shape {
    fn one_entry(agents: usize) -> Self {
        Self {
            entries: 1,
            agents,
            streams: 0,
        }
    }

    fn one_agent(entries: usize) -> Self {
        Self {
            entries,
            agents: 1,
            streams: 0,
        }
    }

    fn sessions(self) -> usize {
        self.entries * self.agents
    }
}

/// Processor time of both sides and polls in one period.
struct Usage {
    /// Share of a core.
    entry: f64,
    agent: f64,
    polls_per_second: f64,
    /// Bytes allocated by both sides for all sessions.
    allocated: f64,
    /// Resident bytes of both sides for all sessions.
    resident: f64,
}

fn idle(shape: fn(usize) -> Shape) -> io::Result<Vec<Series>> {
    let single = shape(SESSIONS[1]);
    let name = if single.entries == 1 {
        "one entry"
    } else {
        "one agent"
    };
    let mut columns: [Vec<Point>; 5] = Default::default();
    for count in SESSIONS {
        let usage = run(shape(count), IDLE_TIME)?;
        let values = [
            usage.entry * 1e6,
            usage.agent * 1e6,
            usage.polls_per_second,
            usage.allocated,
            usage.resident,
        ];
        for (column, value) in columns.iter_mut().zip(values) {
            let size = float(count);
            column.push(Point { size, value });
        }
    }
    let [entry, agent, polls, allocated, resident] = columns;
    let series = |item: &str, unit, points| {
        Series::new(&format!("{name}: {item}"), unit, "idle session", points)
    };
    Ok(vec![
        series("processor time of the entry side", "µs/s", entry),
        series("processor time of the agent side", "µs/s", agent),
        series("polls", "1/s", polls),
        series("allocated by both sides", "B", allocated),
        series("resident on both sides", "B", resident),
    ])
}

fn busy() -> io::Result<Vec<Series>> {
    let mut columns: [Vec<Point>; 3] = Default::default();
    for streams in STREAMS {
        let shape = Shape {
            entries: 1,
            agents: BUSY_SESSIONS,
            streams,
        };
        let usage = run(shape, BUSY_TIME)?;
        let sessions = float(shape.sessions());
        let values = [
            usage.polls_per_second / sessions,
            usage.entry * 1e6 / sessions,
            usage.agent * 1e6 / sessions,
        ];
        for (column, value) in columns.iter_mut().zip(values) {
            let size = float(streams);
            column.push(Point { size, value });
        }
    }
    let [polls, entry, agent] = columns;
    let series = |item: &str, unit, points| {
        Series::new(
            &format!("session with streams: {item}"),
            unit,
            "stream",
            points,
        )
    };
    Ok(vec![
        series("polls", "1/s", polls),
        series("processor time of the entry side", "µs/s", entry),
        series("processor time of the agent side", "µs/s", agent),
    ])
}

fn run(shape: Shape, period: time::Duration) -> io::Result<Usage> {
    let agents = runtime(AGENT_THREADS)?;
    let entries = runtime(ENTRY_THREADS)?;
    let resident = measure::resident_bytes();
    let polls = Arc::new(atomic::AtomicU64::new(0));
    let report = stand_in::report(REPLICAS, sizes::ADAPTER_SLOTS);
    let handler =
        || stand_in::ReportingAgent::new(report.clone(), shape.streams, Arc::clone(&polls));
    let opened = measure::held(|| {
        let addresses = agents.block_on(serve(shape.agents, handler))?;
        let connections = connect(&entries, shape.entries, &addresses);
        std::thread::sleep(SETTLE);
        io::Result::Ok(connections)
    });
    let connections = opened.value?;
    let resident = measure::resident_bytes() - resident;
    let before = [
        measure::thread_seconds(ENTRY_THREADS),
        measure::thread_seconds(AGENT_THREADS),
        polled(&polls),
    ];
    let start = time::Instant::now();
    std::thread::sleep(period);
    let seconds = start.elapsed().as_secs_f64();
    let after = [
        measure::thread_seconds(ENTRY_THREADS),
        measure::thread_seconds(AGENT_THREADS),
        polled(&polls),
    ];
    let ended = connections.iter().filter(|task| task.is_finished()).count();
    if ended > 0 {
        return Err(io::Error::other(format!("{ended} sessions ended early")));
    }
    entries.shutdown_timeout(CALL_LIMIT);
    agents.shutdown_timeout(CALL_LIMIT);
    Ok(Usage {
        entry: (after[0] - before[0]) / seconds,
        agent: (after[1] - before[1]) / seconds,
        polls_per_second: (after[2] - before[2]) / seconds,
        allocated: opened.bytes,
        resident,
    })
}

fn runtime(name: &str) -> io::Result<runtime::Runtime> {
    runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

fn polled(polls: &atomic::AtomicU64) -> f64 {
    measure::float64(polls.load(atomic::Ordering::Relaxed))
}

pub(crate) async fn serve(
    agents: usize,
    handler: impl Fn() -> stand_in::ReportingAgent,
) -> io::Result<Vec<net::SocketAddr>> {
    let local = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let mut addresses = Vec::new();
    for _ in 0..agents {
        let listener = service::AgentListener::bind(local).await;
        let listener = listener.map_err(io::Error::other)?;
        addresses.push(listener.address());
        tokio::spawn(listener.serve(Arc::new(handler())));
    }
    Ok(addresses)
}

fn connect(
    runtime: &runtime::Runtime,
    entries: usize,
    addresses: &[net::SocketAddr],
) -> Vec<task::JoinHandle<()>> {
    let incarnations = (0..entries as u64).map(ids::Incarnation);
    let pairs =
        incarnations.flat_map(|entry| addresses.iter().map(move |address| (*address, entry)));
    pairs
        .map(|(address, entry)| runtime.spawn(poll_loop(address, entry)))
        .collect()
}

async fn poll_loop(address: net::SocketAddr, entry: ids::Incarnation) {
    let Some(session) = Session::open(address, entry).await else {
        return;
    };
    let mut acks = Vec::new();
    while let Some(received) = session.poll(acks, message::MAX_POLL_WAIT).await {
        acks = received;
    }
}

pub(crate) struct Session {
    client: service::AgentRpcClient,
    session: ids::SessionId,
}

impl Session {
    pub(crate) async fn open(address: net::SocketAddr, entry: ids::Incarnation) -> Option<Self> {
        let client = service::connect(address).await.ok()?;
        let hello = message::Hello {
            protocol: message::PROTOCOL_VERSION,
            entry,
            data_centre: "dc-1".to_owned(),
        };
        let reply = client
            .hello(service::context_with_timeout(CALL_LIMIT), hello)
            .await;
        let Ok(message::HelloReply::Welcome(welcome)) = reply else {
            return None;
        };
        let session = welcome.session;
        Some(Self { client, session })
    }

    /// Polls once; returns the acknowledgements for the output, none when the session has ended.
    pub(crate) async fn poll(
        &self,
        acks: Vec<message::StreamAck>,
        wait: time::Duration,
    ) -> Option<Vec<message::StreamAck>> {
        let poll = message::Poll {
            session: self.session,
            acks,
            wait,
            base_report: 0,
            report_interval: time::Duration::ZERO,
            configuration_version: 1,
            demand: message::PeerDemand::default(),
        };
        let reply = self
            .client
            .poll(service::context_with_timeout(CALL_LIMIT), poll)
            .await;
        let Ok(message::PollReply::Events { events, .. }) = reply else {
            return None;
        };
        let acks = events.iter().map(|event| message::StreamAck {
            request: event.request,
            received: event.index + 1,
            consumed: event.index + 1,
            is_closed: false,
        });
        Some(acks.collect())
    }
}

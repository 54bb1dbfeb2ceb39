//! State, messages, processor time, memory and traffic of each role.

use super::{
    Carrier::{Built, Designed, Part},
    Figure, Group, MissingSeries, Slopes,
};
use crate::sizes;

pub(super) const BYTES: &str = "B";
pub(super) const RATE: &str = "B/s";
const CORE: &str = "core";
const MICRO: f64 = 1e-6;
pub(super) const SUM: super::Carrier = super::Carrier::Sum;
const POLL: super::Carrier = Built("one poll per session (`peers::message::Poll`)");
pub(super) const TAIL: super::Carrier = Built("`platform::follower`, every 500 ms");
pub(super) const LIST: super::Carrier =
    Part("`platform::http` client; no process reads the list yet");
/// Headers of Ethernet, IPv4 and TCP with timestamps of one segment.
const HEADERS: f64 = 66.0;
/// Bytes of the base model's name in the measured reports.
const NAME_BYTES: f64 = 15.0;
/// Snapshots appended a day: one for each quarter of a retention of 24 h.
pub(super) const SNAPSHOTS_PER_DAY: f64 = 4.0;
/// Base64 of the records in answers of the HTTP log.
pub(super) const BASE64: f64 = 4.0 / 3.0;

fn full() -> f64 {
    f64::from(sizes::REPLICAS_PER_AGENT)
}

#[expect(clippy::cast_precision_loss, reason = "21,000 adapters")]
pub(super) fn adapters() -> f64 {
    sizes::ADAPTERS as f64
}

/// Traffic of tailing the configuration and of the instance list, the same for every daemon.
struct CommonTraffic {
    tail: f64,
    patches: f64,
    snapshots: f64,
    list: f64,
}

impl CommonTraffic {
    fn new(slopes: Slopes<'_>) -> Result<Self, MissingSeries> {
        let sent = slopes.at("read of the log: sent", 0)?;
        let empty = slopes.at("read of the log: received", 0)?;
        let record = slopes.at("patch record", adapters())?;
        let per_second = sizes::PATCHES_PER_DAY / sizes::SECONDS_PER_DAY;
        let snapshot = slopes.at("snapshot records", adapters())? * BASE64;
        let instances = sizes::DAEMONS;
        let list = slopes.at("read of the instance list: received", instances)?
            + slopes.at("read of the instance list: sent", instances)?;
        Ok(Self {
            tail: sizes::POLLS_PER_SECOND * (sent + empty),
            patches: per_second * record * BASE64,
            snapshots: SNAPSHOTS_PER_DAY * snapshot / sizes::SECONDS_PER_DAY,
            list: sizes::LIST_READS_PER_SECOND * list,
        })
    }

    fn total(&self) -> f64 {
        self.tail + self.patches + self.snapshots + self.list
    }

    fn add(&self, group: &mut Group) {
        group.add(
            "tailing the configuration, empty reads",
            self.tail,
            RATE,
            TAIL,
        );
        group.add("patches, 5,000 a day", self.patches, RATE, TAIL);
        group.add("snapshots, 4 a day, mean", self.snapshots, RATE, TAIL);
        group.add("instance list every 5 s", self.list, RATE, LIST);
    }
}

/// Processor time of tailing, patches and the instance list as a share of a core.
fn common_core(slopes: Slopes<'_>) -> Result<f64, MissingSeries> {
    let reads = sizes::POLLS_PER_SECOND * slopes.at("read of the log: processor time", 0)?;
    let list = slopes.at("read of the instance list: processor time", sizes::DAEMONS)?;
    let lists = sizes::LIST_READS_PER_SECOND * list;
    let patch = slopes.measured("one patch", adapters())?;
    let patches = sizes::PATCHES_PER_DAY / sizes::SECONDS_PER_DAY * patch;
    Ok((reads + lists + patches) * MICRO)
}

/// Idle sessions of an entry to all agents of its data centre.
pub(super) fn entry(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Entry, idle sessions to the 32 agents of its data centre");
    let agents = f64::from(sizes::LOCAL_AGENTS);
    let polls = agents * sizes::POLLS_PER_SECOND;
    let replicas = agents * full();
    group.add("sessions", agents, "sessions", POLL);
    group.add("polls", polls, "1/s", POLL);

    let session = slopes.at("one entry: processor time of the entry side", agents)? * MICRO;
    let report = slopes.measured("report without changes", 200)?;
    let reports = polls * full() * report * MICRO;
    let common = common_core(slopes)?;
    group.add("polls of the sessions", session, CORE, POLL);
    let routing = Part("`decisions::wait_routing`");
    group.add(
        "load reports into the routing state",
        reports,
        CORE,
        routing,
    );
    group.add("tailing, patches, instance list", common, CORE, TAIL);
    let core = session + reports + common;
    group.limited("processor time", core, CORE, sizes::CORE_LIMIT, SUM);

    let state = slopes.at("configuration state", adapters())?;
    let routes = slopes.at("routing state", replicas)?;
    let channels = agents * slopes.slope("one entry: allocated by both sides")?;
    let claims = home_claims(slopes)?;
    group.add("configuration, 21,000 adapters", state, BYTES, TAIL);
    group.add("routing state, 256 replicas", routes, BYTES, routing);
    group.add("sessions, both sides", channels, BYTES, POLL);
    let home = Designed("a home entry per claim stream");
    group.add("claim window, home of one stream", claims, BYTES, home);
    let memory = state + routes + channels + claims;
    group.limited("state", memory, BYTES, sizes::MEMORY_LIMIT, SUM);
    let peak = slopes.at("peak while reading a snapshot", adapters())?;
    let peak_carrier = Built("`operators::replay` with an answer of the log held whole");
    group.add(
        "beyond that while a snapshot is read at the start",
        peak,
        BYTES,
        peak_carrier,
    );
    let with_peak = memory - state + peak;
    group.limited(
        "state at that moment",
        with_peak,
        BYTES,
        sizes::MEMORY_LIMIT,
        SUM,
    );

    let replies = polls * slopes.at("poll reply", full())?;
    let sent = polls * slopes.at("poll", full())?;
    let common = CommonTraffic::new(slopes)?;
    group.add("poll replies with full load reports", replies, RATE, POLL);
    group.add("polls sent", sent, RATE, POLL);
    common.add(&mut group);
    let total = replies + sent + common.total();
    group.limited("traffic, payload", total, RATE, sizes::TRAFFIC_LIMIT, SUM);
    let headers = polls * 2.0 * HEADERS;
    group.add("headers of the polls, 66 B each way", headers, RATE, POLL);
    let changed = polls * slopes.at("poll reply", 0)? + sent + common.total();
    let delta = Designed("load report only when it changed");
    group.limited(
        "traffic, reports only on change",
        changed,
        RATE,
        sizes::TRAFFIC_LIMIT,
        delta,
    );
    let reply = slopes.at("poll reply of 8 replicas", 0)?;
    let counts = polls * reply + sent + common.total();
    let delta = Designed("adapters only when they changed, counts always");
    let item = "traffic, counts in every reply";
    group.limited(item, counts, RATE, sizes::TRAFFIC_LIMIT, delta);
    let name = slopes.slope("poll reply of 8 replicas without adapters")? * NAME_BYTES;
    let short = polls * (reply - name) + sent + common.total();
    let delta = Designed("the same without the base model's name");
    let item = "traffic, counts without the name of the base model";
    group.limited(item, short, RATE, sizes::TRAFFIC_LIMIT, delta);
    let item = "the same with the headers of the polls";
    group.limited(item, short + headers, RATE, sizes::TRAFFIC_LIMIT, delta);
    Ok(group.figures)
}

/// Claims that a home entry keeps: two windows of its stream.
fn home_claims(slopes: Slopes<'_>) -> Result<f64, MissingSeries> {
    let claims = sizes::REQUESTS_PER_SECOND * sizes::KEYED_SHARE * 2.0 * sizes::RETENTION;
    let stream = claims / f64::from(sizes::CLAIM_STREAMS);
    Ok(stream * slopes.slope("claim window state")?)
}

/// Sessions whose streams have output: every reply carries a full report.
pub(super) fn entry_under_load(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Entry, sessions at peak load");
    let agents = f64::from(sizes::LOCAL_AGENTS);
    let tokens = sizes::TOKENS_PER_SECOND / f64::from(sizes::ENTRIES);
    let streams = tokens * sizes::TOKEN_GAP;
    let per_session = streams / agents;
    let data = Built("streams multiplexed over the polls");
    group.add("tokens relayed", tokens, "1/s", data);
    group.add("streams at 54 ms", streams, "streams", data);
    group.add("streams per session", per_session, "streams", data);
    let polls = slopes.measured("session with streams: polls", 16)?;
    group.add(
        "polls per session, measured at 16 streams",
        polls,
        "1/s",
        POLL,
    );
    let report = slopes.at("poll reply", full())? - slopes.at("poll reply", 0)?;
    let reports = agents * polls * report;
    let full = Built("a full load report in every reply");
    group.limited(
        "load reports, payload",
        reports,
        RATE,
        sizes::TRAFFIC_LIMIT,
        full,
    );
    let limited = agents * sizes::POLLS_PER_SECOND * report;
    let carrier = Designed("a report at most every 500 ms per session");
    group.limited(
        "load reports, limited",
        limited,
        RATE,
        sizes::TRAFFIC_LIMIT,
        carrier,
    );
    let view = slopes.measured("report without changes", 200)? * MICRO;
    let taken = agents * polls * f64::from(sizes::REPLICAS_PER_AGENT) * view;
    let item = "load reports into the routing state";
    group.limited(item, taken, CORE, sizes::CORE_LIMIT, full);
    let rare = agents * sizes::POLLS_PER_SECOND * f64::from(sizes::REPLICAS_PER_AGENT) * view;
    group.limited("the same, limited", rare, CORE, sizes::CORE_LIMIT, carrier);
    let entry = slopes.measured("session with streams: processor time of the entry side", 16)?;
    let core = entry * agents * MICRO;
    group.add(
        "sessions, processor time on the data path",
        core,
        CORE,
        data,
    );
    Ok(group.figures)
}

/// Idle sessions of an agent to all entries of its data centre.
pub(super) fn agent(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Agent, idle sessions to the 9 entries of its data centre");
    let entries = f64::from(sizes::LOCAL_ENTRIES);
    let polls = entries * sizes::POLLS_PER_SECOND;
    group.add("sessions", entries, "sessions", POLL);
    group.add("polls", polls, "1/s", POLL);
    let session = slopes.at("one agent: processor time of the agent side", entries)? * MICRO;
    let common = common_core(slopes)?;
    group.add("polls of the sessions", session, CORE, POLL);
    group.add("tailing, patches, instance list", common, CORE, TAIL);
    let core = session + common;
    group.limited("processor time", core, CORE, sizes::CORE_LIMIT, SUM);

    let state = slopes.at("configuration state", adapters())?;
    let rate = sizes::REQUESTS_PER_SECOND / f64::from(sizes::AGENTS);
    let requests = rate * sizes::RETENTION;
    let table = requests * slopes.slope("request table state")?;
    let channels = entries * slopes.slope("one agent: allocated by both sides")?;
    let queue = full() * slopes.at("queue state", 64)?;
    let slots = full() * slopes.at("slots state", sizes::ADAPTER_SLOTS)?;
    let demand = full() * slopes.at("adapter demand state", adapters())?;
    group.add("configuration, 21,000 adapters", state, BYTES, TAIL);
    let carrier = Built("`decisions::request_table`, 16 shards");
    group.add("requests kept for 10 min", requests, "requests", carrier);
    group.add("request table", table, BYTES, carrier);
    group.add("sessions, both sides", channels, BYTES, POLL);
    group.add(
        "8 queues of 64 requests",
        queue,
        BYTES,
        Part("`decisions::queueing`"),
    );
    let carrier = Part("`decisions::slots`");
    group.add("8 times 8 slots", slots, BYTES, carrier);
    let carrier = Part("`decisions::eviction`, forgets idle adapters");
    group.add(
        "demand if every adapter were asked for at every replica",
        demand,
        BYTES,
        carrier,
    );
    let memory = state + table + channels + queue + slots + demand;
    group.limited("state", memory, BYTES, sizes::MEMORY_LIMIT, SUM);
    let peak = slopes.at("peak while reading a snapshot", adapters())?;
    let carrier = Built("`operators::replay`; the other state is empty at the start");
    group.limited(
        "peak while a snapshot is read",
        peak,
        BYTES,
        sizes::MEMORY_LIMIT,
        carrier,
    );

    let replies = polls * slopes.at("poll reply", full())?;
    let received = polls * slopes.at("poll", full())?;
    let common = CommonTraffic::new(slopes)?;
    group.add("poll replies with full load reports", replies, RATE, POLL);
    group.add("polls received", received, RATE, POLL);
    common.add(&mut group);
    let total = replies + received + common.total();
    group.limited("traffic, payload", total, RATE, sizes::TRAFFIC_LIMIT, SUM);
    let with_headers = total + polls * 2.0 * HEADERS;
    let item = "traffic, with headers of the polls";
    group.limited(item, with_headers, RATE, sizes::TRAFFIC_LIMIT, SUM);
    Ok(group.figures)
}

//! Loads of adapters, links beyond a data centre and failures.

use super::{
    Carrier::{Built, Designed, Part},
    Figure, Group, MissingSeries, Slopes,
    roles::adapters,
};
use crate::sizes;

/// Loads per second that the store serves.
const STORE_RATE: f64 = decisions::load_budget::STORE_RATE;
const HOUR: f64 = 3_600.0;
/// Free slots, backlog, waiting loads, sequence and data centre in a digest.
const DIGEST_HEADER: f64 = 32.0;
/// Position of a changed adapter in a difference of digests.
const CHANGE_BYTES: f64 = 2.0;
const BASE64: f64 = 4.0 / 3.0;

fn slots_per_agent() -> f64 {
    f64::from(sizes::REPLICAS_PER_AGENT) * f64::from(sizes::ADAPTER_SLOTS)
}

/// Loads that the target size asks of the weight store.
pub(super) fn weight_store(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Weight store");
    let budget = Part("`decisions::load_budget`, demand in polls and reports");
    let equal = slopes.measured("sum of load rates, equal demand", sizes::AGENTS)?;
    let blind = slopes.measured("sum of load rates, no reports", sizes::AGENTS)?;
    let alone = slopes.measured("load rate of one agent alone with demand", sizes::AGENTS)?;
    let item = "sum of the rates of 250 agents, equal demand";
    group.limited(item, equal, "loads/s", STORE_RATE, budget);
    let item = "sum of the rates of 250 agents without reports";
    group.limited(item, blind, "loads/s", STORE_RATE, budget);
    group.add(
        "rate of one agent when it alone has demand",
        alone,
        "loads/s",
        budget,
    );
    let turnover = adapters() * sizes::TURNOVER;
    group.add(
        "adapters that become active or idle in an hour",
        turnover,
        "adapters",
        budget,
    );
    let half = turnover / 2.0 / HOUR;
    let whole = turnover / HOUR;
    let item = "first loads if half of them become active";
    group.limited(item, half, "loads/s", STORE_RATE, budget);
    let item = "first loads if all of them become active";
    group.limited(item, whole, "loads/s", STORE_RATE, budget);
    let item = "the same with a copy in each region";
    group.limited(
        item,
        whole * f64::from(sizes::REGIONS),
        "loads/s",
        STORE_RATE,
        budget,
    );
    let item = "the same with a copy in each data centre";
    group.limited(
        item,
        whole * f64::from(sizes::DATA_CENTRES),
        "loads/s",
        STORE_RATE,
        budget,
    );
    let agents = f64::from(sizes::AGENTS) / f64::from(sizes::DAEMONS);
    let restarts = sizes::RESTARTS_PER_DAY * agents;
    let refill = restarts * slots_per_agent() / sizes::SECONDS_PER_DAY;
    let item = "refill of all slots after 700 restarts a day";
    group.add(
        item,
        refill,
        "loads/s",
        Part("`decisions::slots` by demand"),
    );
    let sum = whole * f64::from(sizes::REGIONS) + refill;
    let item = "store rate needed: a copy in each region and refills";
    group.limited(item, sum, "loads/s", STORE_RATE, budget);
    let slots = f64::from(sizes::REPLICAS) * f64::from(sizes::ADAPTER_SLOTS);
    group.add(
        "slots of all engines",
        slots,
        "slots",
        Part("`decisions::slots`"),
    );
    let active = adapters() * sizes::TURNOVER;
    group.add(
        "slots per active adapter",
        slots / active,
        "copies",
        Part("`decisions::slots`"),
    );
    Ok(group.figures)
}

/// Links between data centres.
pub(super) fn beyond_data_centre(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Beyond a data centre");
    let full = f64::from(sizes::REPLICAS_PER_AGENT);
    let agents = f64::from(sizes::AGENTS);
    let entries = f64::from(sizes::ENTRIES);
    let mesh = Built("a session to every agent, as the settings list them");
    let poll = slopes.at("poll reply", full)? + slopes.at("poll", full)?;
    let bytes = agents * sizes::POLLS_PER_SECOND * poll;
    let item = "entry with sessions to all 250 agents";
    group.limited(item, bytes, "B/s", sizes::TRAFFIC_LIMIT, mesh);
    let core = slopes.at("one entry: processor time of the entry side", agents)? * 1e-6;
    group.limited(
        "the same, processor time",
        core,
        "core",
        sizes::CORE_LIMIT,
        mesh,
    );
    let bytes = entries * sizes::POLLS_PER_SECOND * poll;
    let item = "agent with sessions from all 70 entries";
    group.limited(item, bytes, "B/s", sizes::TRAFFIC_LIMIT, mesh);
    let core = slopes.at("one agent: processor time of the agent side", entries)? * 1e-6;
    group.limited(
        "the same, processor time",
        core,
        "core",
        sizes::CORE_LIMIT,
        mesh,
    );

    let digest = Designed("a digest per data centre: bit per adapter, counts");
    let size = adapters() / 8.0 + DIGEST_HEADER;
    let others = f64::from(sizes::DATA_CENTRES - 1);
    let rate = others * sizes::DIGESTS_PER_SECOND;
    group.add("digest of one data centre", size, "B", digest);
    group.add(
        "digests of the other data centres, state",
        others * size,
        "B",
        digest,
    );
    group.add("digests, whole, every 2 s", rate * size, "B/s", digest);
    let loads = STORE_RATE * 2.0 * CHANGE_BYTES;
    let changes = others * loads + rate * DIGEST_HEADER;
    let item = "digests as differences, every 2 s, at 4.5 loads/s in each";
    group.add(
        item,
        changes,
        "B/s",
        Designed("the same with differences and a sequence"),
    );
    Ok(group.figures)
}

/// Failures, replacements and a region that is cut off.
pub(super) fn failures(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Failures");
    let session = Built("`hello` after a lost connection");
    let loads = Part("`decisions::slots`, load budget");
    let agents = f64::from(sizes::LOCAL_AGENTS);
    let entries = f64::from(sizes::LOCAL_ENTRIES);
    let share = f64::from(sizes::AGENTS) / f64::from(sizes::DAEMONS);
    let mean = share * entries + (1.0 - share) * agents;
    let replacements = sizes::RESTARTS_PER_DAY + sizes::FAILURES_PER_DAY;
    group.add(
        "sessions opened after one replacement, mean",
        mean,
        "sessions",
        session,
    );
    group.add(
        "sessions opened a day",
        replacements * mean,
        "sessions",
        session,
    );
    let failed = sizes::FAILURES_PER_DAY * mean;
    group.add(
        "sessions opened after 16 failures a day",
        failed,
        "sessions",
        session,
    );
    let streams = sizes::TOKENS_PER_SECOND * sizes::TOKEN_GAP;
    let per_agent = streams / f64::from(sizes::AGENTS);
    let retried = Part("`decisions::retries`; others are `unknown`");
    group.add(
        "streams interrupted by one failed agent",
        per_agent,
        "streams",
        retried,
    );
    let per_entry = streams / f64::from(sizes::ENTRIES);
    let closed = Designed("closing of a session after 10 s");
    group.add(
        "streams cancelled by one failed entry",
        per_entry,
        "streams",
        closed,
    );
    let start = slopes.at("snapshot records", adapters())? * BASE64;
    let reader = Built("`platform::follower`, from the snapshot");
    group.add("read from the log by one replacement", start, "B", reader);
    let mean = replacements * start / sizes::SECONDS_PER_DAY;
    group.add("the same for all of a day, at the log", mean, "B/s", reader);

    let rack = f64::from(sizes::RACK_AGENTS);
    group.add(
        "rack of 8 instances: sessions opened",
        rack * entries,
        "sessions",
        session,
    );
    let refill = rack * slots_per_agent();
    group.add("rack: adapters to load again", refill, "loads", loads);
    group.add("rack: time at 4.5 loads/s", refill / STORE_RATE, "s", loads);
    group.add(
        "data centre: sessions opened on its return",
        agents * entries,
        "sessions",
        session,
    );
    let refill = agents * slots_per_agent();
    group.add(
        "data centre: adapters to load again",
        refill,
        "loads",
        loads,
    );
    group.add(
        "data centre: time at 4.5 loads/s",
        refill / STORE_RATE,
        "s",
        loads,
    );
    let daemons = f64::from(sizes::DAEMONS) / f64::from(sizes::DATA_CENTRES);
    group.add(
        "data centre: read from the log on its return",
        daemons * start,
        "B",
        reader,
    );
    Ok(group.figures)
}

/// Region that is cut off for an hour and returns.
pub(super) fn cut_off_region(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Region cut off for an hour");
    let reader = Built("`platform::follower`, from the snapshot");
    let patches = sizes::PATCHES_PER_DAY / 24.0;
    group.add("patches missed", patches, "patches", reader);
    let record = slopes.at("patch record", adapters())? * BASE64;
    group.add(
        "patch bytes per daemon on its return",
        patches * record,
        "B",
        reader,
    );
    let apply = patches * slopes.measured("one patch", adapters())? / 1e6;
    group.add("time to apply them", apply, "s", reader);
    let claims = sizes::REQUESTS_PER_SECOND * sizes::KEYED_SHARE / f64::from(sizes::REGIONS);
    let missed = claims * HOUR / f64::from(sizes::CLAIM_STREAMS);
    let claim = slopes.slope("claim record in JSON")? * BASE64;
    let window = Part("`decisions::claims`, read by `platform::http`");
    group.add("claims missed in one stream", missed, "claims", window);
    group.add("bytes of them per home", missed * claim, "B", window);
    let time = missed * slopes.measured("claim window time", 10_000)? / 1e6;
    group.add("time to apply them per home", time, "s", window);
    Ok(group.figures)
}

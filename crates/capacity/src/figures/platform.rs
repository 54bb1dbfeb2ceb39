//! State and calls of the log and the instance list.

use super::{
    Carrier::{Built, Designed, Part},
    Figure, Group, MissingSeries, Slopes,
    roles::{BASE64, BYTES, LIST, RATE, SNAPSHOTS_PER_DAY, SUM, TAIL, adapters},
};
use crate::sizes;

/// Appends and reads of the log.
pub(super) fn log(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Log");
    let home = "appends of claims, 16 streams with a home in each region";
    #[expect(clippy::cast_precision_loss, reason = "a gap of milliseconds")]
    let gap = sizes::CLAIM_GAP as f64;
    let claims = slopes.measured(home, gap)?;
    let every = "appends of claims, 16 streams written by every entry";
    let spread = slopes.measured(every, gap)?;
    let patches = sizes::PATCHES_PER_DAY / sizes::SECONDS_PER_DAY;
    let part = 256.0 * 1024.0;
    let parts = (slopes.at("snapshot records", adapters())? / part).ceil();
    let snapshots = parts * SNAPSHOTS_PER_DAY / sizes::SECONDS_PER_DAY;
    let batcher = Part("`decisions::claim_batch`; the home entry is only designed");
    group.add(
        "appends of claims, a home per stream",
        claims,
        "1/s",
        batcher,
    );
    let carrier = Part("`decisions::claim_batch` in every entry");
    group.add(
        "appends of claims, every entry appends",
        spread,
        "1/s",
        carrier,
    );
    group.add(
        "appends of patches",
        patches,
        "1/s",
        Built("`platform::publisher`"),
    );
    group.add("appends of snapshot parts", snapshots, "1/s", TAIL);
    let appends = claims + patches + snapshots;
    group.limited("appends", appends, "1/s", sizes::APPEND_LIMIT, SUM);
    let streams = f64::from(sizes::CLAIM_STREAMS);
    let bound = streams * f64::from(sizes::REGIONS) * 1_000.0 / gap;
    let item = "appends if claims never ran out: 16 streams, 2 homes, 50 ms";
    group.limited(item, bound, "1/s", sizes::APPEND_LIMIT, batcher);
    let reads = f64::from(sizes::DAEMONS) * sizes::POLLS_PER_SECOND;
    group.add(
        "reads of the configuration by every daemon",
        reads,
        "1/s",
        TAIL,
    );
    let shared = f64::from(sizes::DATA_CENTRES) * 2.0 * sizes::POLLS_PER_SECOND;
    let carrier = Designed("shared tailing: two readers per data centre, others by image and poll");
    group.add("reads with shared tailing", shared, "1/s", carrier);
    let claim_reads = streams * sizes::POLLS_PER_SECOND;
    group.add(
        "reads of the claim streams by their homes",
        claim_reads,
        "1/s",
        batcher,
    );
    let all = f64::from(sizes::ENTRIES) * claim_reads;
    group.add(
        "reads of the claim streams by every entry",
        all,
        "1/s",
        carrier_none(),
    );
    let rate = sizes::REQUESTS_PER_SECOND * sizes::KEYED_SHARE;
    let record = slopes.slope("claim record in JSON")?;
    let bytes = rate * record * BASE64;
    let item = "claims read by an entry of all streams";
    group.limited(item, bytes, RATE, sizes::TRAFFIC_LIMIT, carrier_none());
    let item = "claims read by the home of one stream";
    group.limited(item, bytes / streams, RATE, sizes::TRAFFIC_LIMIT, batcher);
    let compact = rate * slopes.slope("claim record in bincode")? * BASE64 / streams;
    let carrier = Designed("claims in bincode");
    group.add("claims read by a home, in bincode", compact, RATE, carrier);
    let window = rate * 2.0 * sizes::RETENTION * slopes.slope("claim window state")?;
    let item = "claim windows of all streams in one entry";
    group.limited(item, window, BYTES, sizes::MEMORY_LIMIT, carrier_none());
    let day = sizes::PATCHES_PER_DAY * slopes.at("patch record", adapters())?;
    let stored = day + SNAPSHOTS_PER_DAY * slopes.at("snapshot records", adapters())?;
    group.add("configuration stream in a day", stored, BYTES, TAIL);
    Ok(group.figures)
}

/// Alternative without homes, which section 6 of the design replaces at the target size.
fn carrier_none() -> super::Carrier {
    Part("`decisions::claims` window without homes")
}

/// Reads of the instance list.
pub(super) fn instance_list(slopes: Slopes<'_>) -> Result<Vec<Figure>, MissingSeries> {
    let mut group = Group::new("Instance list");
    let instances = sizes::DAEMONS;
    let reads = f64::from(instances) * sizes::LIST_READS_PER_SECOND;
    let answer = slopes.at("read of the instance list: received", instances)?;
    group.add("answer with 320 instances", answer, BYTES, LIST);
    group.add("reads by all daemons every 5 s", reads, "1/s", LIST);
    group.add(
        "sent by the list to all daemons",
        reads * answer,
        RATE,
        LIST,
    );
    let changes = sizes::RESTARTS_PER_DAY + sizes::FAILURES_PER_DAY;
    let carrier = Built("`decisions::membership`");
    group.add("changes", changes / 24.0, "1/h", carrier);
    Ok(group.figures)
}

//! Target size of section 1.2 of the design and how its 320 daemons are divided.

/// Daemons in front of the replicas.
pub const DAEMONS: u32 = 320;
pub const REPLICAS: u32 = 2_000;
/// Replicas of one instance: accelerators are mounted eight to an instance, and one agent stands
/// beside all of them.
pub const REPLICAS_PER_AGENT: u32 = 8;
pub const AGENTS: u32 = REPLICAS / REPLICAS_PER_AGENT;
/// The remaining daemons.
pub const ENTRIES: u32 = DAEMONS - AGENTS;
pub const DATA_CENTRES: u32 = 8;
pub const REGIONS: u32 = 2;
/// Agents in the largest data centre; 250 do not divide by 8.
pub const LOCAL_AGENTS: u32 = AGENTS.div_ceil(DATA_CENTRES);
/// Entries in the largest data centre.
pub const LOCAL_ENTRIES: u32 = ENTRIES.div_ceil(DATA_CENTRES);
/// Adapter slots of one engine.
pub const ADAPTER_SLOTS: u16 = 8;
pub const ADAPTERS: u64 = 21_000;
/// Share of the adapters that becomes active or idle within an hour.
pub const TURNOVER: f64 = 0.45;
pub const REQUESTS_PER_SECOND: f64 = 1_800.0;
pub const TOKENS_PER_SECOND: f64 = 710_000.0;
/// Time between tokens in seconds.
pub const TOKEN_GAP: f64 = 0.054;
/// Share of the requests that carry an idempotency key and must not be repeated (section 6).
pub const KEYED_SHARE: f64 = 0.1;
pub const CLAIM_STREAMS: u32 = 16;
/// Wait between two appends of one claim stream in milliseconds (section 6).
pub const CLAIM_GAP: u64 = 50;
/// Retention of ended requests and of claims in seconds.
pub const RETENTION: f64 = 600.0;
pub const PATCHES_PER_DAY: f64 = 5_000.0;
pub const FAILURES_PER_DAY: f64 = 16.0;
pub const RESTARTS_PER_DAY: f64 = 700.0;
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Heartbeats of one session and reads of the log per second at intervals of 500 ms.
pub const POLLS_PER_SECOND: f64 = 2.0;
/// Reads of the instance list per second: once within the 5 s after which a change may be missed
/// by the 10 s lag that `membership` assumes.
pub const LIST_READS_PER_SECOND: f64 = 0.2;
/// Digests per second from each other data centre.
pub const DIGESTS_PER_SECOND: f64 = 0.5;
/// Instances behind one rack switch.
pub const RACK_AGENTS: u32 = 8;
/// Appends a second over all streams: the low end of "several hundred".
pub const APPEND_LIMIT: f64 = 300.0;
/// Limits of one daemon: share of a core, bytes of memory, bytes a second.
pub const CORE_LIMIT: f64 = 0.012;
pub const MEMORY_LIMIT: f64 = 32e6;
pub const TRAFFIC_LIMIT: f64 = 29e3;

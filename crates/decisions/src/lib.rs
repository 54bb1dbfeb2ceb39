//! Decision logic without I/O: routing, queueing, admission, retries and idempotency.
//!
//! Functions take the current time as an argument and draw random numbers from a generator that the
//! caller seeds, so their results are reproducible.

pub mod active_entries;
pub mod adapter_cache;
pub mod adapter_slots;
pub mod admission;
pub mod backlog;
pub mod batch_reserve;
pub mod caller_key;
pub mod candidates;
pub mod claim_attempt;
pub mod claim_batch;
pub mod claims;
pub mod copy_age;
pub mod crash_evidence;
pub mod crash_log;
pub mod crash_relay;
pub mod endpoint_latency;
pub mod endpoint_state;
pub mod endpoint_table;
pub mod engine_latency;
pub mod engine_status;
pub mod eviction;
pub mod failure_rate;
pub mod fifo_queue;
pub mod hash_ring;
pub mod ids;
pub mod latency_window;
pub mod load_budget;
pub mod load_queue;
pub mod load_times;
pub mod lost_requests;
pub mod membership;
pub mod model_load;
pub mod part_starts;
pub mod permit_table;
pub mod permits;
pub mod prompt_quarantine;
pub mod queueing;
pub mod quota;
pub mod relisting;
pub mod replica_choice;
pub mod replica_notices;
pub mod request_table;
pub mod response_length;
pub mod retries;
pub mod retry_budget;
pub mod routing;
mod service_time;
pub mod slot_broker;
pub mod stragglers;
pub mod suspects;
pub mod units;
pub mod wait_routing;

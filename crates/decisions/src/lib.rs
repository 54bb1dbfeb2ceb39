//! Decision logic without I/O.
//!
//! Every function takes the current time as an argument and every random choice comes from a
//! generator that the caller seeds, so the same inputs always give the same choices.

pub mod claim_attempt;
pub mod claim_batch;
pub mod claims;
pub mod eviction;
pub mod fifo_queue;
pub mod ids;
pub mod load_budget;
pub mod load_queue;
pub mod queueing;
pub mod request_table;
pub mod slots;
pub mod units;

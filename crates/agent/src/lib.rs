//! Agent role: the process beside the endpoints of one instance.
//!
//! The agent alone gives orders to its engines. It admits each request id at most once, holds the
//! queue and the adapter slots, and keeps the output of streams until the entry has it.

pub mod adapters;
pub mod executor;
pub mod server;
pub mod settings;
pub mod streams;

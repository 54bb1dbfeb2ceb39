//! Agent role: the process beside the endpoints of one instance.
//!
//! The agent alone issues commands to its engines. It admits each request id at most once, holds
//! the queue and the adapter slots, and keeps the output of streams until the entry has it.

pub mod clock;
pub mod exporter;
pub mod failures;
pub mod generation;
pub mod handler;
pub mod lifecycle;
pub mod loading;
pub mod metrics;
pub mod replica;
mod replica_state;
pub mod reports;
pub mod requests;
pub mod server;
pub mod services;
pub mod sessions;
pub mod settings;
mod status;
pub mod store_budget;
pub mod streams;

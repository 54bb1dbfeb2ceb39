//! Agent role: process in front of the engines and plain services of one instance.
//!
//! Only the agent sends commands to its engines. It admits each request id at most once, manages
//! the request queue and the adapter slots, and buffers stream output until the entry has received
//! it.

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

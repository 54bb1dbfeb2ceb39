//! Gateway role: takes callers' requests and sends each to a replica over HTTP.
//!
//! The gateway holds the queue of nobody: it chooses a replica from what it knows, asks the broker
//! beside an engine for a place, relays the answer and repeats a request only where that is safe.
//! How requests, answers and records look on the wire is decided by the traits of [`protocol`] and
//! [`store`].

pub mod attempts;
pub mod catalog;
pub mod connections;
pub mod dispatch;
pub mod follower;
pub mod heartbeats;
pub mod local_reply;
pub mod metrics;
pub mod placement;
pub mod plan;
pub mod protocol;
pub mod relay;
pub mod replica;
pub mod replica_table;
pub mod request_logger;
pub mod server;
pub mod settings;
pub mod sse;
pub mod store;

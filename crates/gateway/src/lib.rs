//! Gateway role: accepts callers' requests and sends each to a replica over HTTP.
//!
//! The gateway has no queue: it chooses a replica from its own view, requests a permit from the
//! engine's broker, relays the response and retries a request only where that is safe. The traits
//! of [`protocol`] and [`store`] define how requests, responses and records are encoded.

pub mod access_refusal;
pub mod admission;
pub mod attempts;
pub mod authentication;
pub mod boot_clock;
pub mod broker_permit;
pub mod buffers;
pub mod caller_responses;
pub mod catalog;
pub mod charging;
pub mod connections;
pub mod crash_watch;
pub mod dispatch;
pub mod drain;
pub mod engine_views;
pub mod execution;
pub mod follower;
pub mod heartbeats;
mod held_records;
pub mod local_reply;
pub mod metrics;
pub mod monitoring;
pub mod numbers;
pub mod open_attempt;
pub mod organisations;
pub mod placement;
pub mod plan;
pub mod protocol;
pub mod quarantine;
pub mod quota;
pub mod relay;
pub mod remote_traffic;
pub mod replica;
mod replica_observations;
pub mod replica_ranking;
pub mod replica_selection;
pub mod replica_table;
mod replica_updates;
pub mod request_charge;
pub mod request_logger;
pub mod responses;
pub mod retries;
pub mod route_match;
pub mod sending;
pub mod server;
mod service_loads;
pub mod settings;
pub mod sse;
pub mod store;
mod stream_keepers;
pub mod stream_origins;
pub mod uploads;

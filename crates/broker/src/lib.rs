//! Broker role: runs next to one engine, grants permits for requests and controls its adapters.
//!
//! Entries ask the broker for a permit before they send a request directly to the engine. If the
//! broker is lost, entries still send requests for adapters that the engine has loaded.

pub mod client;
pub mod engine;
pub mod engine_state;
pub mod message;
pub mod metrics;
pub mod process_clock;
pub mod quotas;
pub mod server;
pub mod service;
pub mod settings;
pub mod stream_book;

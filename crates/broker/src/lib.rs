//! Broker role: stands beside one engine and gives its orders.
//!
//! Entries ask the broker for a place before they send a request straight to the engine. A broker
//! that is lost stops no request: entries go on with the adapters that the engine holds.

pub mod client;
pub mod engine;
pub mod message;
pub mod metrics;
pub mod server;
pub mod service;
pub mod settings;

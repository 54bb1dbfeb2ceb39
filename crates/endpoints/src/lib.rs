//! Clients of model engines and plain services, and stand-ins of both for tests.
//!
//! [`client::ModelEngine`] is the interface to an engine. Its HTTP implementation uses the `OpenAI`
//! routes and the usual commands to load and unload adapters.

pub mod client;
pub mod event_reader;
pub mod http_engine;
pub mod service;
pub mod stand_in;
mod stand_in_adapters;
mod stand_in_requests;
pub mod stand_in_service;

//! Endpoints: model engines and plain services.
//!
//! [`client::ModelEngine`] is the border towards an engine. The HTTP implementation speaks the
//! `OpenAI` routes and the usual orders to load and unload adapters.

pub mod client;
pub mod event_reader;
pub mod http_engine;
pub mod service;
pub mod stand_in;
mod stand_in_adapters;
mod stand_in_requests;
pub mod stand_in_service;

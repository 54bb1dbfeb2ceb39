//! Entry role: admits requests, routes them to an endpoint and streams the response back.

pub mod admissions;
pub mod attempts;
pub mod caller_errors;
pub mod channels;
pub mod claim_log;
pub mod clock;
pub mod configuration;
pub mod directory;
pub mod discovery;
pub mod dispatcher;
pub mod drain;
mod hedges;
pub mod idempotency;
pub mod metrics;
pub mod organisations;
pub mod plans;
pub mod request_logger;
pub mod response_parts;
pub mod server;
pub mod settings;
pub mod shared_responses;
pub mod streams;

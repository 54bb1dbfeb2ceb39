//! Entry role: admission, choice of an endpoint and relay of the answer.

pub mod admissions;
pub mod attempts;
pub mod claims;
pub mod clock;
pub mod configuration;
pub mod directory;
pub mod dispatcher;
pub mod drain;
pub mod failures;
mod hedges;
pub mod journal;
pub mod keyed;
pub mod metrics;
pub mod plans;
pub mod relay;
pub mod roster;
pub mod server;
pub mod sessions;
pub mod settings;
pub mod shared;

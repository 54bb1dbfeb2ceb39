//! Entry role: admission, choice of an endpoint and relay of the answer.

pub mod dispatcher;
pub mod relay;
pub mod server;
pub mod sessions;
pub mod settings;

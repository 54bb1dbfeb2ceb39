//! HTTP interface for callers.
//!
//! The entry implements [`handler::RequestHandler`]; [`routes`] serves it with `xitca-web`.

pub mod completion;
pub mod error;
pub mod handler;
pub mod headers;
pub mod render;
pub mod routes;

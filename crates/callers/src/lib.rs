//! HTTP interface towards callers.
//!
//! [`handler::RequestHandler`] is the border towards the entry; [`routes`] serves it with
//! `xitca-web`.

pub mod completion;
pub mod error;
pub mod handler;
pub mod headers;
pub mod render;
pub mod routes;

//! The platform: log service, instance list and weight store.
//!
//! The traits have an HTTP implementation and stand-ins for demonstrations and tests. The follower
//! and the publisher connect the log to the replay of `operators`.

pub mod follower;
pub mod http;
pub mod instances;
pub mod log;
pub mod publisher;
pub mod reader;
pub mod stand_in;
pub mod weights;

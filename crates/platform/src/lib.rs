//! Services of the platform: log service, instance list and weight store.
//!
//! Each service is a trait with an HTTP implementation and a stand-in for demonstrations and
//! tests. The follower and the publisher connect the log to the replay of `operators`.

pub mod follower;
pub mod http;
pub mod instances;
pub mod log;
pub mod publisher;
pub mod reader;
pub mod stand_in;
pub mod weights;

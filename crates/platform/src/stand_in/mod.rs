//! Stand-ins of the platform for tests and demonstrations.
//!
//! Each service has an implementation in memory that works under a paused clock. [`server`] puts
//! them behind HTTP on a loopback address.

pub mod instances;
pub mod log;
pub mod server;
pub mod weights;

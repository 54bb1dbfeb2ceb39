//! Stand-ins for the platform's services in tests and demonstrations.
//!
//! Each service has an in-memory implementation that works under a paused clock. [`server`] serves
//! them over HTTP on a loopback address.

pub mod instances;
pub mod log;
pub mod server;
pub mod weights;

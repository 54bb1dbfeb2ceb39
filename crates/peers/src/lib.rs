//! Protocol between the processes of the system.
//!
//! An entry opens one session to each agent that it uses. One outstanding poll per session carries
//! the output of all its streams and serves as the heartbeat.

pub mod message;
pub mod report_update;
pub mod service;

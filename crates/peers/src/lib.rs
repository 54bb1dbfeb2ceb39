//! RPC protocol between entries and agents.
//!
//! An entry opens one session to each agent that it uses. One outstanding poll per session returns
//! the output of all its streams and serves as the heartbeat.

pub mod message;
pub mod report_update;
pub mod service;

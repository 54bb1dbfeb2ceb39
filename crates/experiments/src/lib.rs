//! Measurements of the decision modules against small fakes in virtual time.
//!
//! The entries run the real routing policies and the agents the real queues, slots and load
//! budgets. Engines, weight store and network are fakes of a page each. Every run is determined by
//! its seed.

pub mod baselines;
pub mod command;
pub mod fakes;
pub mod measures;
pub mod oracle;
pub mod plot;
pub mod policies;
pub mod replica;
pub mod report;
pub mod scenarios;
pub mod simulation;
pub mod workload;

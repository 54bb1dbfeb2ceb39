//! Serving layer for very many `LoRA` adapters.

pub mod bookings;
pub mod check;
pub mod cli;
pub mod client;
pub mod comparison;
pub mod demo;
pub mod demo_cluster;
pub mod load;
pub mod publish;
pub mod report;
pub mod roles;
pub mod run;
pub mod settings;
pub mod stand_ins;

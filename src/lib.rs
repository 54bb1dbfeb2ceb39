//! Serving layer for very many `LoRA` adapters.

pub mod cli;
pub mod client;
pub mod demo;
pub mod load;
pub mod report;
pub mod run;
pub mod settings;

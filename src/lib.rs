//! Serving layer for very many `LoRA` adapters.

pub mod check;
pub mod cli;
pub mod client;
pub mod demo;
pub mod load;
pub mod publish;
pub mod report;
pub mod run;
pub mod settings;

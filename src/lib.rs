//! Serving layer for very many `LoRA` adapters.

pub mod cli;
pub mod run;
pub mod settings;

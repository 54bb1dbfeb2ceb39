//! Configuration that operators publish as patches against a numbered version.
//!
//! Nothing here performs I/O. `platform` feeds the records of the log to [`replay`] and appends
//! what [`patch`] and [`snapshot`] encode.

pub mod check;
pub mod configuration;
pub mod organisation;
pub mod patch;
mod patch_parser;
pub mod replay;
pub mod snapshot;

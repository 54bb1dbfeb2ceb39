//! Measured slopes of state, processor time and traffic, and the figures at the target size.
//!
//! Each measuring module runs the code of the product at three sizes or more and returns
//! [`series::Series`]. [`figures`] works out `docs/CAPACITY.md` from them.

pub mod cli;
pub mod configuration;
pub mod control;
pub mod figures;
pub mod measure;
pub mod platform_calls;
pub mod relay;
pub mod replies;
pub mod reporting;
pub mod routing;
pub mod series;
pub mod sessions;
pub mod sizes;
pub mod stand_in;
pub mod tables;

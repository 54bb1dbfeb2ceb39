//! Units of time and priority.

use std::{ops, time};

use serde::{Deserialize, Serialize};

/// Microseconds since an arbitrary epoch that is fixed within one process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Timestamp(pub u64);

/// Priority of a request; a higher one is served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    Low,
    #[default]
    Normal,
    High,
}

impl Priority {
    /// All priorities, from low to high.
    pub const ALL: [Self; 3] = [Self::Low, Self::Normal, Self::High];
}

impl Timestamp {
    /// Time elapsed since `earlier`, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time earlier by `duration`, but not before the epoch.
    #[must_use]
    pub fn saturating_sub(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl ops::Add<time::Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

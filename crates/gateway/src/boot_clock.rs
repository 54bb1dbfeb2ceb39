//! Clock that also counts the time for which the instance was suspended.

use decisions::units;
use rustix::time;

/// Time since the instance started.
#[must_use]
pub fn now() -> units::Timestamp {
    let now = time::clock_gettime(time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    units::Timestamp(seconds * 1_000_000 + nanos / 1_000)
}

//! Numbers of settings, which may be integers or fractions.
//!
//! A platform writes any number with or without a fraction. Times keep their fraction. Counts are
//! limits and are rounded down. In settings, an empty value stands for the default.

use std::time;

use serde::{Deserialize, Deserializer, de::Error};
use serde_with::DeserializeAs;

/// Longest time that is accepted; a longer one is shortened to it, because sums of times would
/// overflow.
const MAX_TIME: time::Duration = time::Duration::from_hours(24);

/// Time in milliseconds; `DEFAULT` if empty.
pub struct Milliseconds<const DEFAULT: u64>;

/// Time in milliseconds of a setting that may be omitted; `DEFAULT` if it is there and empty.
pub struct OptionalMilliseconds<const DEFAULT: u64>;

/// Time in seconds; `DEFAULT` if empty.
pub struct Seconds<const DEFAULT: u64>;

/// Count that is rounded down and saturates; `DEFAULT` if empty.
pub struct CountOrDefault<const DEFAULT: u32>;

/// Ratio of at least 0; `PERCENT` hundredths if empty.
pub struct RatioOrDefault<const PERCENT: u32>;

impl<'de, const DEFAULT: u64> DeserializeAs<'de, time::Duration> for Milliseconds<DEFAULT> {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<time::Duration, D::Error> {
        match Option::<f64>::deserialize(deserializer)? {
            Some(value) => time_from_seconds(value / 1_000.0),
            None => Ok(time::Duration::from_millis(DEFAULT)),
        }
    }
}

impl<'de, const DEFAULT: u64> DeserializeAs<'de, Option<time::Duration>>
    for OptionalMilliseconds<DEFAULT>
{
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<time::Duration>, D::Error> {
        Milliseconds::<DEFAULT>::deserialize_as(deserializer).map(Some)
    }
}

impl<'de, const DEFAULT: u64> DeserializeAs<'de, time::Duration> for Seconds<DEFAULT> {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<time::Duration, D::Error> {
        match Option::<f64>::deserialize(deserializer)? {
            Some(value) => time_from_seconds(value),
            None => Ok(time::Duration::from_secs(DEFAULT)),
        }
    }
}

impl<'de, const DEFAULT: u32> DeserializeAs<'de, u32> for CountOrDefault<DEFAULT> {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        match Option::<f64>::deserialize(deserializer)? {
            Some(value) => round_down(value),
            None => Ok(DEFAULT),
        }
    }
}

impl<'de, const PERCENT: u32> DeserializeAs<'de, f64> for RatioOrDefault<PERCENT> {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        match Option::<f64>::deserialize(deserializer)? {
            Some(value) => check_sign(value),
            None => Ok(f64::from(PERCENT) / 100.0),
        }
    }
}

fn time_from_seconds<E: Error>(seconds: f64) -> Result<time::Duration, E> {
    let seconds = check_sign(seconds)?;
    Ok(time::Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, |time| time.min(MAX_TIME)))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and the value is not negative"
)]
fn round_down<E: Error>(value: f64) -> Result<u32, E> {
    check_sign(value).map(|value| value as u32)
}

fn check_sign<E: Error>(value: f64) -> Result<f64, E> {
    if value >= 0.0 {
        Ok(value)
    } else {
        Err(E::custom(format!("{value} is not a number of 0 or more")))
    }
}

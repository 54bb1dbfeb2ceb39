//! Identifiers shared by all processes.

use std::{fmt, str};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};
use xxhash_rust::xxh3;

/// Random number chosen at each start of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(pub u64);

/// Identifier of one session between an entry and an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SessionId(pub u64);

/// Request identifier: incarnation of the entry and its request counter.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    pub entry: Incarnation,
    pub sequence: u64,
}

/// Hash of an adapter's name and version, used as index key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterId(pub u64);

/// Identifier of one endpoint, a replica behind one agent incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointId {
    pub agent: Incarnation,
    pub replica: u16,
}

/// Adapter name with an explicit version, written `name@version`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterRef {
    pub name: String,
    pub version: u32,
}

/// Error in a model name.
#[derive(Debug, Snafu)]
pub enum ModelNameError {
    #[snafu(display("the model name is empty; use `adapter` or `adapter@version`"))]
    EmptyName,
    #[snafu(display(
        "version `{version}` is not a whole number; use `adapter@version`, for example `match-notes@3`"
    ))]
    InvalidVersion {
        version: String,
        source: std::num::ParseIntError,
    },
    #[snafu(display("the name lacks a version; use `adapter@version`"))]
    MissingVersion,
}

impl AdapterRef {
    /// Index key of this adapter version.
    #[must_use]
    pub fn id(&self) -> AdapterId {
        AdapterId(xxh3::xxh3_64_with_seed(
            self.name.as_bytes(),
            u64::from(self.version),
        ))
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.version)
    }
}

impl str::FromStr for AdapterRef {
    type Err = ModelNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, version) = split_model_name(text)?;
        let version = version.context(MissingVersionSnafu)?;
        Ok(Self {
            name: name.to_owned(),
            version,
        })
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{:x}", self.entry.0, self.sequence)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Splits a model name into the adapter name and the version, if one is given.
///
/// # Errors
/// [`ModelNameError`] when the name is empty or the version is not a number.
pub fn split_model_name(text: &str) -> Result<(&str, Option<u32>), ModelNameError> {
    let (name, version) = match text.rsplit_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (text, None),
    };
    if name.is_empty() {
        return EmptyNameSnafu.fail();
    }
    let version = version
        .map(|version| version.parse().context(InvalidVersionSnafu { version }))
        .transpose()?;
    Ok((name, version))
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    use super::*;

    // Guards against a dropped or misread version, which would run another adapter version.
    #[test_case("notes", Some(("notes", None)))]
    #[test_case("notes@3", Some(("notes", Some(3))))]
    #[test_case("a@b@7", Some(("a@b", Some(7))); "the last at sign separates the version")]
    #[test_case("@3", None; "empty name")]
    #[test_case("notes@latest", None; "version not a number")]
    fn model_names_split_into_name_and_version(text: &str, expected: Option<(&str, Option<u32>)>) {
        assert_eq!(split_model_name(text).ok(), expected);
    }
}

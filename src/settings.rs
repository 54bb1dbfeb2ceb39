//! Settings files.

use std::{fs, io};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Reason why a settings file cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    #[snafu(display("cannot read {path}: {source}; check the path"))]
    Read { path: String, source: io::Error },
    #[snafu(display("{path} is not valid: {message}"))]
    Invalid { path: String, message: String },
}

/// Reads a settings file.
///
/// # Errors
/// [`SettingsError`] with the path and the reason.
pub fn read<T: DeserializeOwned>(path: &str) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_saphyr::from_str(&text).map_err(|error| SettingsError::Invalid {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

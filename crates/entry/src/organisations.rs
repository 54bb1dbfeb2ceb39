//! Organisations of callers at an entry, by the keys in the configuration.

use std::sync::Arc;

use callers::error::{CallerError, ErrorCode};
use decisions::caller_key;
use gateway::organisations;
use operators::configuration;
use parking_lot::Mutex;

/// Directory of keys for the configuration in effect.
#[derive(Default)]
pub struct CallerDirectory {
    current: Mutex<Arc<VersionDirectory>>,
}

/// Directory of one configuration version.
#[derive(Default)]
struct VersionDirectory {
    version: u64,
    keys: organisations::OrganisationDirectory,
}

impl CallerDirectory {
    /// Organisation that holds a key; `None` if the configuration has never had organisations, so that
    /// everyone may call.
    ///
    /// # Errors
    /// [`CallerError`] when no organisation holds the key.
    pub fn find(
        &self,
        configuration: &configuration::Configuration,
        key: Option<&caller_key::CallerKey>,
    ) -> Result<Option<String>, CallerError> {
        if !configuration.requires_keys() {
            return Ok(None);
        }
        let directory = self.directory(configuration);
        let digest = key.map(|key| organisations::KeyDigest::of(key.expose().as_bytes()));
        let caller = digest.and_then(|digest| directory.keys.find(digest));
        let caller = caller.ok_or_else(unknown_caller)?;
        Ok(Some(caller.organisation.name.clone()))
    }

    fn directory(&self, configuration: &configuration::Configuration) -> Arc<VersionDirectory> {
        let mut current = self.current.lock();
        if current.version != configuration.version() {
            *current = Arc::new(VersionDirectory::new(configuration));
        }
        Arc::clone(&current)
    }
}

impl VersionDirectory {
    fn new(configuration: &configuration::Configuration) -> Self {
        let entries = configuration.organisations().iter();
        let organisations = entries.map(|entry| {
            let organisation = organisations::Organisation {
                name: entry.name.to_string(),
                priority: None,
                quota: None,
            };
            let keys = entry.keys.iter().map(|key| key.expose().to_owned());
            (organisation, keys.collect())
        });
        Self {
            version: configuration.version(),
            keys: organisations::OrganisationDirectory::new(organisations.collect()),
        }
    }
}

/// Error for a caller without a key of an organisation.
fn unknown_caller() -> CallerError {
    let message = "no organisation has this key; send `authorization: Bearer KEY` with a valid key";
    CallerError::not_run(ErrorCode::Unauthorized, message)
}

//! Decision whether a request's key allows it on its route.
//!
//! Answers callers whose key was removed while this gateway was cut off from the store: it relies on
//! its copy of the configuration only within the copy's bound of age.

use decisions::units;

use crate::{
    access_refusal, attempts, catalog, dispatch, local_reply, organisations, plan, protocol,
    route_match,
};

impl dispatch::Dispatcher {
    /// Finds the caller of a request that was received by `received_at`, by the clock that counts
    /// suspension; `None` if its route needs no key.
    ///
    /// # Errors
    /// [`access_refusal::AuthenticationRefusal`] when the request must not run.
    pub fn authenticate(
        &self,
        request: &protocol::CallerRequest,
        matched: &route_match::RouteMatch,
        current: &catalog::ConfigurationVersion,
        received_at: units::Timestamp,
    ) -> Result<Option<organisations::KnownCaller>, access_refusal::AuthenticationRefusal> {
        if matched.route.is_public || !current.organisations.is_required() {
            return Ok(None);
        }
        self.check_copy(received_at)?;
        let key = match request.credential {
            protocol::CallerCredential::Missing => {
                return Err(access_refusal::AuthenticationRefusal::MissingKey);
            }
            protocol::CallerCredential::Malformed => {
                return Err(access_refusal::AuthenticationRefusal::MalformedKey);
            }
            protocol::CallerCredential::Key(key) => key,
        };
        let caller = current.organisations.find(key);
        caller
            .map(Some)
            .ok_or(access_refusal::AuthenticationRefusal::UnknownKey { key })
    }

    /// Checks the age of the copy of the configuration.
    fn check_copy(
        &self,
        received_at: units::Timestamp,
    ) -> Result<(), access_refusal::AuthenticationRefusal> {
        let copy = *self.copy_age.lock();
        if copy.is_reliable(received_at) {
            return Ok(());
        }
        self.request_published_read();
        let age = copy.age(received_at);
        Err(access_refusal::AuthenticationRefusal::CopyOutdated { age })
    }

    /// Checks before a request is sent that its key still belongs to its organisation. A request that
    /// may have run already is not stopped.
    ///
    /// # Errors
    /// The local reply when the key was removed or moved while the request waited.
    pub fn confirm_caller(
        &self,
        plan: &plan::RequestPlan,
        history: &attempts::AttemptHistory,
    ) -> Result<(), local_reply::LocalReply> {
        let (Some(key), Some(organisation)) = (plan.key, &plan.organisation) else {
            return Ok(());
        };
        if history.may_have_run {
            return Ok(());
        }
        let current = self.catalog.lock().current();
        let newer = current.filter(|current| current.version != plan.configuration);
        let Some(current) = newer else {
            return Ok(());
        };
        match current.organisations.find(key) {
            Some(caller) if caller.organisation.name == organisation.name => Ok(()),
            Some(_) => Err(local_reply::LocalReply::CONFIGURATION_CHANGED),
            None => Err(local_reply::LocalReply::KEY_REMOVED),
        }
    }

    /// Whether all requests will soon be refused because the copy of the configuration is old.
    #[must_use]
    pub fn is_copy_expiring(
        &self,
        current: &catalog::ConfigurationVersion,
        now: units::Timestamp,
    ) -> bool {
        let needs_keys = current.organisations.is_required();
        let has_public_route = current.routes.iter().any(|route| route.is_public);
        needs_keys && !has_public_route && !self.copy_age.lock().is_lasting(now)
    }
}

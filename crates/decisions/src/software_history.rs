//! Software versions that the replicas of each service have had, as one gateway knows them.
//!
//! A stream whose origin nobody knows can have begun at one version only if no other one has served
//! since.

use std::{collections::BTreeMap, time};

use crate::{software_version::SoftwareVersion, units};

/// Age of the newest listing beyond which another version may have come meanwhile; above the longest
/// interval between two listings.
pub const MAX_LISTING_AGE: time::Duration = time::Duration::from_secs(6);
/// Maximum number of versions of one service; the one that was listed last the longest ago yields.
const MAX_VERSIONS: usize = 64;
/// Maximum number of services. Those beyond count as services with several versions.
const MAX_SERVICES: usize = 1024;

/// Versions of one service, with the time of the newest listing of each.
type ServiceVersions = Vec<(SoftwareVersion, units::Timestamp)>;

/// Versions by service.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<String, ServiceVersions>,
    /// Time of the first listing after the last gap.
    listed_since: Option<units::Timestamp>,
    /// Time of the newest listing.
    listed_at: units::Timestamp,
}

impl SoftwareHistory {
    /// Records the services and versions of all replicas that are listed at `now`.
    pub fn record<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, &'a SoftwareVersion)>,
        now: units::Timestamp,
    ) {
        if self.listed_since.is_none() || now.since(self.listed_at) >= MAX_LISTING_AGE {
            // Another version may have come and left since.
            self.listed_since = Some(now);
        }
        self.listed_at = now;
        for (service, software) in listed {
            self.record_version(service, software, now);
        }
    }

    /// Ends the known span, because the listings may leave out versions that have served.
    pub fn end_span(&mut self) {
        self.listed_since = None;
    }

    fn record_version(&mut self, service: &str, software: &SoftwareVersion, now: units::Timestamp) {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return;
            }
            self.services.insert(service.to_owned(), Vec::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        if let Some((_, listed_at)) = versions.iter_mut().find(|(known, _)| known == software) {
            *listed_at = now;
            return;
        }
        if versions.len() >= MAX_VERSIONS {
            let oldest = (0..versions.len()).min_by_key(|position| versions[*position].1);
            versions.swap_remove(oldest.unwrap_or_default());
        }
        versions.push((software.clone(), now));
    }

    /// The one version that a service has had for a span of time until now; `None` if there were
    /// several, or if the span is not known in full.
    #[must_use]
    pub fn sole_version(
        &self,
        service: &str,
        span: time::Duration,
        now: units::Timestamp,
    ) -> Option<SoftwareVersion> {
        let is_known = self.listed_since.is_some_and(|at| now.since(at) >= span)
            && now.since(self.listed_at) < MAX_LISTING_AGE;
        let versions = self.services.get(service).filter(|_| is_known)?;
        let mut recent = versions.iter().filter(|(_, at)| now.since(*at) <= span);
        let (sole, _) = recent.next()?;
        recent.next().is_none().then(|| sole.clone())
    }
}

//! Checks of a configuration before operators publish it.
//!
//! The checks work on decoded configurations and do no I/O. A finding names an entry and a field of
//! these types; the decoder of the document translates it into a path and a position in the text.

pub mod adapters;
pub mod configuration;
pub mod difference;
pub mod finding;
pub mod limits;
pub mod organisations;
pub mod place;
pub mod report;
pub mod routes;
pub mod services;

/// Findings on one configuration, in the order of its sections.
#[must_use]
pub fn check_configuration(checked: &configuration::CheckedConfiguration) -> Vec<finding::Finding> {
    let mut findings = routes::check_routes(&checked.version);
    findings.extend(services::check_services(&checked.version));
    findings.extend(organisations::check_organisations(checked));
    findings
}

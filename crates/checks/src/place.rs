//! Entries and fields of a configuration to which findings refer.

use serde::Serialize;

/// Document in which an entry stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentRole {
    /// The document that is checked.
    Checked,
    /// The version in force, with which it is compared.
    InForce,
}

/// Entry of a configuration, by its position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryPosition {
    Configuration,
    Limits,
    Route(usize),
    /// Service of a route, with its weight.
    RouteShare {
        route: usize,
        share: usize,
    },
    Service(usize),
    Engine {
        service: usize,
    },
    Model {
        service: usize,
        model: usize,
    },
    Organisation(usize),
    Key {
        organisation: usize,
        key: usize,
    },
}

/// Field of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryField {
    /// The entry itself.
    Whole,
    Access,
    AdapterSize,
    AdapterSlots,
    Attempts,
    BodyBytes,
    Burst,
    Connections,
    HeaderBytes,
    HeaderTimeout,
    Host,
    IdleTimeout,
    Keys,
    Kind,
    Name,
    Objective,
    Prefix,
    Priority,
    Rate,
    Service,
    Services,
    Size,
    Slots,
    Timeout,
    Unit,
    Version,
}

/// Place of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FindingPlace {
    pub document: DocumentRole,
    pub entry: EntryPosition,
    pub field: EntryField,
}

impl FindingPlace {
    /// Field of an entry of the checked document.
    #[must_use]
    pub fn checked(entry: EntryPosition, field: EntryField) -> Self {
        Self {
            document: DocumentRole::Checked,
            entry,
            field,
        }
    }

    /// Field of an entry of the version in force.
    #[must_use]
    pub fn in_force(entry: EntryPosition, field: EntryField) -> Self {
        Self {
            document: DocumentRole::InForce,
            entry,
            field,
        }
    }
}

//! Engines with adapters, and requests for them.

use decisions::{engine_status::*, permits::*, slot_broker::*};

use crate::support::{self, LIMITS, at};

/// Loaded adapter.
pub fn loaded(name: &str, version: u32) -> EngineAdapter {
    EngineAdapter {
        name: name.to_owned(),
        version,
    }
}

/// Report of an engine with the base model and adapters of version 1.
pub fn report(names: &[&str]) -> EngineStatus {
    EngineStatus {
        incarnation: 7,
        model: ModelState::Loaded,
        loaded: names.iter().map(|name| loaded(name, 1)).collect(),
        ..EngineStatus::default()
    }
}

/// Request for an adapter.
pub fn request(number: u64, adapter: &str, version: u32) -> PermitRequest {
    PermitRequest {
        adapter: Some(AdapterRequirement {
            name: adapter.to_owned(),
            version,
        }),
        ..support::request(number)
    }
}

/// Broker of an engine with adapters of version 1.
pub fn broker(names: &[&str]) -> SlotBroker {
    let mut broker = SlotBroker::new(LIMITS);
    broker.observe(&report(names), at(0));
    broker
}

/// Command to load an adapter.
pub fn load(name: &str) -> EngineCommand {
    EngineCommand::Load {
        name: name.to_owned(),
        version: 0,
    }
}

/// Command to unload an adapter.
pub fn unload(name: &str) -> EngineCommand {
    EngineCommand::Unload {
        name: name.to_owned(),
    }
}

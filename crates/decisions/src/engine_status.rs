//! What an engine reports of itself, and the orders that it takes.

/// Adapter in a slot.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EngineAdapter {
    pub name: String,
    pub version: u32,
}

/// Order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCommand {
    /// Load the base model into an engine that holds none.
    LoadModel,
    Load {
        name: String,
        version: u32,
    },
    Unload {
        name: String,
    },
}

/// Request that has made an event.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StartedRequest {
    pub request: String,
    /// Tokens of the prompt and the answer in the engine's memory.
    pub tokens: u64,
}

/// Whether an engine holds its base model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ModelState {
    Loaded,
    /// It holds another model.
    #[default]
    Other,
    /// It holds no model at all.
    Empty,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineStatus {
    /// Start of the engine; a new one means that all slots are empty.
    pub incarnation: u64,
    pub model: ModelState,
    /// An order is being carried out.
    pub is_busy: bool,
    pub loaded: Vec<EngineAdapter>,
    pub loading: Vec<EngineAdapter>,
    /// Requests that have made no event yet, those whose prompt is being read among them.
    pub unstarted: u32,
    /// Requests that have made an event and not ended.
    pub started: Vec<StartedRequest>,
    /// Memory is so short that started requests may be put back.
    pub is_memory_short: bool,
}

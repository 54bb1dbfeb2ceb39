//! Status that an engine reports, and the commands that it accepts.

/// Adapter version at an engine.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EngineAdapter {
    pub name: String,
    pub version: u32,
}

/// Command to the engine.
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

/// Request that has emitted an event.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StartedRequest {
    pub request: String,
    /// Prompt and generated tokens in the engine's KV cache.
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

/// Status of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineStatus {
    /// Incarnation of the engine; it changes with a restart, which empties all slots.
    pub incarnation: u64,
    pub model: ModelState,
    /// A command is being executed.
    pub is_busy: bool,
    pub loaded: Vec<EngineAdapter>,
    pub loading: Vec<EngineAdapter>,
    /// Requests without an event, including those in prefill.
    pub unstarted: u32,
    /// Requests that have emitted an event and not ended.
    pub started: Vec<StartedRequest>,
    /// Memory is so short that started requests may be requeued.
    pub is_memory_short: bool,
}

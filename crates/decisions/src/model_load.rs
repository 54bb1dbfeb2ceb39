//! Base model of one engine: whether it is loaded, when to command its load, and when it is expected.
//!
//! An engine restarts without a model. While the load takes less time than a request may wait, the
//! request waits for it instead of being refused: after an outage all engines load at once, and a
//! refused caller would only return to other engines in the same state.

use std::time;

use crate::{engine_status, units};

/// Time after which the command to load an unreported model is repeated.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Backoff before a refused command is repeated.
const COMMAND_BACKOFF: time::Duration = time::Duration::from_millis(300);
/// Time by which a load may exceed its usual time before it counts as failed.
const OVERDUE_TIME: time::Duration = time::Duration::from_millis(500);
/// Time after a load in which requests that waited for it may get a slot although they are late.
const CATCH_UP_TIME: time::Duration = time::Duration::from_secs(1);

/// Progress of the load of a missing model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LoadProgress {
    /// Nothing is known to stand in its way.
    #[default]
    Due,
    Commanded {
        expected_at: units::Timestamp,
    },
    /// The command was refused, or the engine holds another model.
    Blocked,
}

/// Base model of one engine.
#[derive(Debug, Default)]
pub struct ModelLoad {
    is_loaded: bool,
    /// The engine has no model and executes no command, so that the model may be loaded.
    can_load: bool,
    /// Earliest time of the next command.
    retry_at: units::Timestamp,
    /// Usual time of a load, if known.
    load_time: Option<time::Duration>,
    progress: LoadProgress,
    /// A report of this incarnation showed the engine without the model.
    was_missing: bool,
    /// End of the latest load; not set if the model was there from the first report on.
    loaded_at: Option<units::Timestamp>,
}

impl ModelLoad {
    /// Sets the usual time of a load.
    pub fn set_load_time(&mut self, load_time: Option<time::Duration>) {
        self.load_time = load_time;
    }

    /// Forgets the model of an engine that has restarted.
    pub fn restart(&mut self) {
        let load_time = self.load_time;
        *self = Self {
            load_time,
            ..Self::default()
        };
    }

    /// Applies the engine's report.
    pub fn observe(&mut self, report: &engine_status::EngineStatus, now: units::Timestamp) {
        self.is_loaded = report.model == engine_status::ModelState::Loaded;
        self.can_load = report.model == engine_status::ModelState::Empty && !report.is_busy;
        if self.is_loaded && self.was_missing {
            self.loaded_at = Some(now);
        }
        self.was_missing = !self.is_loaded;
        match report.model {
            engine_status::ModelState::Loaded => self.progress = LoadProgress::Due,
            engine_status::ModelState::Other => self.progress = LoadProgress::Blocked,
            engine_status::ModelState::Empty => {}
        }
    }

    /// Whether the model is loaded.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Whether requests that waited for the model may still get a slot, although they are late.
    #[must_use]
    pub fn is_catching_up(&self, now: units::Timestamp) -> bool {
        let waited_until = self.loaded_at.map(|at| at + CATCH_UP_TIME);
        !self.is_loaded || waited_until.is_some_and(|until| now < until)
    }

    /// Time until the model is expected to be loaded; `None` if that is not known.
    #[must_use]
    pub fn wait(&self, now: units::Timestamp) -> Option<time::Duration> {
        if self.is_loaded {
            return Some(time::Duration::ZERO);
        }
        match self.progress {
            LoadProgress::Due => self.load_time,
            LoadProgress::Commanded { expected_at } if now < expected_at + OVERDUE_TIME => {
                Some(expected_at.since(now))
            }
            LoadProgress::Commanded { .. } | LoadProgress::Blocked => None,
        }
    }

    /// Whether the load is to be commanded now; the caller then sends the command.
    pub fn take_due_command(&mut self, now: units::Timestamp) -> bool {
        if self.is_loaded || now < self.retry_at || !self.can_load {
            return false;
        }
        self.retry_at = now + COMMAND_TIMEOUT;
        self.progress = match self.load_time {
            Some(load_time) => LoadProgress::Commanded {
                expected_at: now + load_time,
            },
            None => LoadProgress::Due,
        };
        true
    }

    /// Records that the engine refused the command, or that its response was lost.
    pub fn command_failed(&mut self, now: units::Timestamp) {
        self.retry_at = now + COMMAND_BACKOFF;
        self.progress = LoadProgress::Blocked;
    }
}

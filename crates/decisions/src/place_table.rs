//! Places that are taken at one engine, compared with what the engine reports.
//!
//! The engine names the requests that have made an event. A place whose request was named and no
//! longer is has ended, long before its entry gives it up with its next call. A request may also
//! start and end between two reports; it is taken for ended once the engine has nothing unstarted.

use std::time;

use crate::{engine_report, places, units};

/// Time from the grant of a place to the request's arrival at the engine.
const ARRIVAL_TIME: time::Duration = time::Duration::from_millis(12);
/// Time after which a request that the engine does not know has ended or will not come.
const UNSEEN_LIMIT: time::Duration = time::Duration::from_millis(250);
/// Mean prompt and mean stay before the first ones.
const FIRST_TOKENS: f64 = 2_000.0;
const FIRST_STAY: time::Duration = time::Duration::from_millis(700);
/// Weight of one more request in the means.
const WEIGHT: f64 = 0.1;

/// Place of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakenPlace {
    pub id: places::PlaceId,
    /// Adapter that the place holds.
    pub adapter: Option<String>,
    request: String,
    prompt_tokens: u32,
    granted_at: units::Timestamp,
    has_started: bool,
}

/// What a report tells of the places.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlaceProgress {
    /// Prompt tokens of the requests that have started.
    pub read_tokens: u64,
    /// Places whose requests have ended.
    pub ended: Vec<TakenPlace>,
}

/// Places of one engine.
#[derive(Debug)]
pub struct PlaceTable {
    /// Sorted by id.
    places: Vec<TakenPlace>,
    /// Unstarted requests in the newest report.
    reported: u32,
    reported_at: units::Timestamp,
    mean_tokens: f64,
    stay: time::Duration,
}

impl Default for PlaceTable {
    fn default() -> Self {
        Self {
            places: Vec::new(),
            reported: 0,
            reported_at: units::Timestamp::default(),
            mean_tokens: FIRST_TOKENS,
            stay: FIRST_STAY,
        }
    }
}

impl PlaceTable {
    /// Adds the place of a request.
    pub fn insert(&mut self, request: &places::PlaceRequest, now: units::Timestamp) {
        let place = TakenPlace {
            id: request.id,
            adapter: request.adapter.as_ref().map(|want| want.name.clone()),
            request: request.request.clone(),
            prompt_tokens: request.prompt_tokens,
            granted_at: now,
            has_started: false,
        };
        if let Err(position) = self.find(request.id) {
            self.places.insert(position, place);
            let tokens = f64::from(request.prompt_tokens);
            self.mean_tokens = self.mean_tokens * (1.0 - WEIGHT) + tokens * WEIGHT;
        }
    }

    /// Removes a place; `None` if there is none.
    pub fn remove(&mut self, id: places::PlaceId, now: units::Timestamp) -> Option<TakenPlace> {
        let position = self.find(id).ok()?;
        let place = self.places.remove(position);
        self.count_stay(&place, now);
        Some(place)
    }

    /// Takes a report, and removes the places whose requests have ended.
    pub fn observe(
        &mut self,
        report: &engine_report::SlotReport,
        now: units::Timestamp,
    ) -> PlaceProgress {
        self.reported = report.unstarted;
        self.reported_at = now;
        let mut started: Vec<&str> = report
            .started
            .iter()
            .map(|run| run.request.as_str())
            .collect();
        started.sort_unstable();
        let mut progress = PlaceProgress::default();
        let mut ended = Vec::new();
        for place in &mut self.places {
            let is_named = started.binary_search(&place.request.as_str()).is_ok();
            if is_named && !place.has_started {
                place.has_started = true;
                progress.read_tokens += u64::from(place.prompt_tokens);
            } else if is_ended(place, is_named, report, now) {
                if !place.has_started {
                    progress.read_tokens += u64::from(place.prompt_tokens);
                }
                ended.push(place.id);
            }
        }
        progress.ended = ended
            .into_iter()
            .filter_map(|id| self.remove(id, now))
            .collect();
        progress
    }

    /// Requests that have not started, as far as known: those that the engine reports, and those on
    /// their way to it.
    #[must_use]
    pub fn unstarted(&self) -> u32 {
        let coming = self.places.iter().filter(|place| self.is_coming(place));
        let coming = u32::try_from(coming.count()).unwrap_or(u32::MAX);
        self.reported.saturating_add(coming)
    }

    /// Prompt tokens of the requests that have not started.
    #[must_use]
    pub fn unstarted_tokens(&self) -> u64 {
        let mut places: Vec<&TakenPlace> = self
            .places
            .iter()
            .filter(|place| !place.has_started)
            .collect();
        places.sort_unstable_by_key(|place| std::cmp::Reverse(place.granted_at));
        let unstarted = self.unstarted();
        let count = usize::try_from(unstarted).unwrap_or(usize::MAX);
        places.truncate(count);
        let known: u64 = places
            .iter()
            .map(|place| u64::from(place.prompt_tokens))
            .sum();
        // Requests of an earlier broker, and those that entries sent without a place.
        let unknown = u64::try_from(count - places.len()).unwrap_or(u64::MAX);
        known.saturating_add(self.mean_tokens().saturating_mul(unknown))
    }

    /// Mean length of the prompts.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of u32 values"
    )]
    pub fn mean_tokens(&self) -> u64 {
        self.mean_tokens as u64
    }

    /// Mean time for which a place is taken.
    #[must_use]
    pub fn stay(&self) -> time::Duration {
        self.stay
    }

    /// Places that hold an adapter.
    #[must_use]
    pub fn holders(&self, adapter: &str) -> u32 {
        let places = self
            .places
            .iter()
            .filter(|place| place.adapter.as_deref() == Some(adapter));
        u32::try_from(places.count()).unwrap_or(u32::MAX)
    }

    /// Ids of the places.
    pub fn ids(&self) -> impl Iterator<Item = places::PlaceId> {
        self.places.iter().map(|place| place.id)
    }

    /// Places that are taken.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no place is taken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a request may be on its way to the engine since before the newest report.
    fn is_coming(&self, place: &TakenPlace) -> bool {
        !place.has_started && place.granted_at + ARRIVAL_TIME > self.reported_at
    }

    fn count_stay(&mut self, place: &TakenPlace, now: units::Timestamp) {
        let stay = now.since(place.granted_at);
        self.stay = self.stay.mul_f64(1.0 - WEIGHT) + stay.mul_f64(WEIGHT);
    }

    fn find(&self, id: places::PlaceId) -> Result<usize, usize> {
        self.places.binary_search_by_key(&id, |place| place.id)
    }
}

/// Whether the request of a place has ended by a report.
fn is_ended(
    place: &TakenPlace,
    is_named: bool,
    report: &engine_report::SlotReport,
    now: units::Timestamp,
) -> bool {
    if is_named {
        return false;
    }
    if place.has_started {
        // An engine short of memory puts started requests back and names them again later.
        return !report.is_memory_short;
    }
    report.unstarted == 0 && now.since(place.granted_at) >= UNSEEN_LIMIT
}

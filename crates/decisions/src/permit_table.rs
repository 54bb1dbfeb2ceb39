//! Active permits of one engine, reconciled with the engine's reports.
//!
//! The engine reports the requests that have emitted an event. A request that was reported and no
//! longer is has ended, and its permit is released long before the entry's next call would release
//! it. A request may also start and end between two reports; it is considered ended once the engine
//! has no unstarted requests.

use std::time;

use crate::{engine_status, permits, suspects, units};

/// Time from the grant of a permit to the request's arrival at the engine.
const ARRIVAL_TIME: time::Duration = time::Duration::from_millis(12);
/// Time after which a request that the engine never reported has ended or will not arrive.
const UNREPORTED_LIMIT: time::Duration = time::Duration::from_millis(250);
/// Mean prompt length and mean hold time before the first measurements.
const INITIAL_MEAN_TOKENS: f64 = 2_000.0;
const INITIAL_HOLD_TIME: time::Duration = time::Duration::from_millis(700);
/// Weight of the newest request in the moving averages.
const WEIGHT: f64 = 0.1;

/// Granted permit that has not been released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActivePermit {
    pub id: permits::PermitId,
    /// Adapter that the permit pins.
    pub adapter: Option<String>,
    /// Parts of the prompt that other requests may share, in order.
    pub suspects: Vec<u64>,
    organisation: Option<u64>,
    request: String,
    prompt_tokens: u32,
    granted_at: units::Timestamp,
    /// Time of the first report that the engine runs the request.
    started_at: Option<units::Timestamp>,
}

impl ActivePermit {
    /// Whether the request has not started or has just done so.
    #[must_use]
    pub fn is_starting(&self, now: units::Timestamp) -> bool {
        let started_at = self.started_at;
        started_at.is_none_or(|started_at| now.since(started_at) < suspects::START_PERIOD)
    }
}

/// Changes to the permits that a report shows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PermitProgress {
    /// Prompt tokens of the requests that have started since the previous report.
    pub prefilled_tokens: u64,
    /// Permits whose requests have ended.
    pub ended: Vec<ActivePermit>,
}

/// Active permits of one engine.
#[derive(Debug)]
pub struct PermitTable {
    /// Sorted by id.
    permits: Vec<ActivePermit>,
    /// Unstarted requests in the newest report.
    reported: u32,
    reported_at: units::Timestamp,
    mean_tokens: f64,
    hold_time: time::Duration,
}

impl Default for PermitTable {
    fn default() -> Self {
        Self {
            permits: Vec::new(),
            reported: 0,
            reported_at: units::Timestamp::default(),
            mean_tokens: INITIAL_MEAN_TOKENS,
            hold_time: INITIAL_HOLD_TIME,
        }
    }
}

impl PermitTable {
    /// Adds the permit of a request.
    pub fn insert(&mut self, request: &permits::PermitRequest, now: units::Timestamp) {
        let permit = ActivePermit {
            id: request.id,
            adapter: request
                .adapter
                .as_ref()
                .map(|required| required.name.clone()),
            suspects: request.suspects.clone(),
            organisation: request.organisation,
            request: request.request.clone(),
            prompt_tokens: request.prompt_tokens,
            granted_at: now,
            started_at: None,
        };
        if let Err(position) = self.find(request.id) {
            self.permits.insert(position, permit);
            let tokens = f64::from(request.prompt_tokens);
            self.mean_tokens = self.mean_tokens * (1.0 - WEIGHT) + tokens * WEIGHT;
        }
    }

    /// Removes a permit; `None` if there is none.
    pub fn remove(&mut self, id: permits::PermitId, now: units::Timestamp) -> Option<ActivePermit> {
        let position = self.find(id).ok()?;
        let permit = self.permits.remove(position);
        self.record_hold_time(&permit, now);
        Some(permit)
    }

    /// Applies a report and removes the permits whose requests have ended.
    pub fn observe(
        &mut self,
        report: &engine_status::EngineStatus,
        now: units::Timestamp,
    ) -> PermitProgress {
        self.reported = report.unstarted;
        self.reported_at = now;
        let mut started: Vec<&str> = report
            .started
            .iter()
            .map(|run| run.request.as_str())
            .collect();
        started.sort_unstable();
        let mut progress = PermitProgress::default();
        let mut ended = Vec::new();
        for permit in &mut self.permits {
            let is_reported = started.binary_search(&permit.request.as_str()).is_ok();
            if is_reported && permit.started_at.is_none() {
                permit.started_at = Some(now);
                progress.prefilled_tokens += u64::from(permit.prompt_tokens);
            } else if is_ended(permit, is_reported, report, now) {
                if permit.started_at.is_none() {
                    progress.prefilled_tokens += u64::from(permit.prompt_tokens);
                }
                ended.push(permit.id);
            }
        }
        progress.ended = ended
            .into_iter()
            .filter_map(|id| self.remove(id, now))
            .collect();
        progress
    }

    /// Requests known not to have started: those that the engine reports and those in transit to it.
    #[must_use]
    pub fn unstarted(&self) -> u32 {
        let in_transit = self
            .permits
            .iter()
            .filter(|permit| self.is_in_transit(permit));
        let in_transit = u32::try_from(in_transit.count()).unwrap_or(u32::MAX);
        self.reported.saturating_add(in_transit)
    }

    /// Parts of the prompts of the requests that have not run for long, one item for each request.
    pub fn starting_prompts(&self, now: units::Timestamp) -> impl Iterator<Item = &[u64]> {
        let starting = self
            .permits
            .iter()
            .filter(move |permit| permit.is_starting(now));
        starting.map(|permit| permit.suspects.as_slice())
    }

    /// Prompt tokens of the requests that have not started.
    #[must_use]
    pub fn unstarted_tokens(&self) -> u64 {
        let mut permits: Vec<&ActivePermit> = self
            .permits
            .iter()
            .filter(|permit| permit.started_at.is_none())
            .collect();
        permits.sort_unstable_by_key(|permit| std::cmp::Reverse(permit.granted_at));
        let unstarted = self.unstarted();
        let count = usize::try_from(unstarted).unwrap_or(usize::MAX);
        permits.truncate(count);
        let known: u64 = permits
            .iter()
            .map(|permit| u64::from(permit.prompt_tokens))
            .sum();
        // Requests admitted by an earlier broker, and those that entries sent without a permit.
        let unknown = u64::try_from(count - permits.len()).unwrap_or(u64::MAX);
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

    /// Mean time for which a permit is held.
    #[must_use]
    pub fn mean_hold_time(&self) -> time::Duration {
        self.hold_time
    }

    /// Number of permits that pin an adapter.
    #[must_use]
    pub fn holders(&self, adapter: &str) -> u32 {
        let permits = self
            .permits
            .iter()
            .filter(|permit| permit.adapter.as_deref() == Some(adapter));
        u32::try_from(permits.count()).unwrap_or(u32::MAX)
    }

    /// Number of permits of an organisation.
    #[must_use]
    pub fn held_by(&self, organisation: u64) -> usize {
        let permits = self.permits.iter();
        permits
            .filter(|permit| permit.organisation == Some(organisation))
            .count()
    }

    /// Ids of the permits.
    pub fn ids(&self) -> impl Iterator<Item = permits::PermitId> {
        self.permits.iter().map(|permit| permit.id)
    }

    /// Number of active permits.
    #[must_use]
    pub fn len(&self) -> usize {
        self.permits.len()
    }

    /// Whether there are no active permits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// Whether the newest report may have been made while the request was in transit to the engine.
    fn is_in_transit(&self, permit: &ActivePermit) -> bool {
        permit.started_at.is_none() && permit.granted_at + ARRIVAL_TIME > self.reported_at
    }

    fn record_hold_time(&mut self, permit: &ActivePermit, now: units::Timestamp) {
        let held_for = now.since(permit.granted_at);
        self.hold_time = self.hold_time.mul_f64(1.0 - WEIGHT) + held_for.mul_f64(WEIGHT);
    }

    fn find(&self, id: permits::PermitId) -> Result<usize, usize> {
        self.permits.binary_search_by_key(&id, |permit| permit.id)
    }
}

/// Whether the report shows that the request of a permit has ended.
fn is_ended(
    permit: &ActivePermit,
    is_reported: bool,
    report: &engine_status::EngineStatus,
    now: units::Timestamp,
) -> bool {
    if is_reported {
        return false;
    }
    if permit.started_at.is_some() {
        // An engine short of memory requeues started requests and reports them again later.
        return !report.is_memory_short;
    }
    report.unstarted == 0 && now.since(permit.granted_at) >= UNREPORTED_LIMIT
}

//! One endpoint as an entry sees it: the last report and the entry's own requests since then.

use std::{mem, time};

use crate::{ids, routing, units};

/// Delay after which a report is certain to include a dispatch; covers the path to the agent's queue.
const REPORT_SKEW: time::Duration = time::Duration::from_millis(10);
/// Time after which an adapter that no report shows is no longer expected to be loaded.
const EXPECTED_LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Load state of an adapter at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadState {
    Loaded,
    Loading,
    /// A request that causes a load was sent, and no report shows the load yet.
    Expected,
}

/// Adapter at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAdapter {
    pub adapter: ids::AdapterId,
    pub state: LoadState,
    /// Time at which this entry learned of the adapter at this endpoint.
    pub since: units::Timestamp,
}

/// Request that may be missing from the last report.
#[derive(Clone, Copy, Debug)]
struct RecentDispatch {
    request: ids::RequestId,
    sent: units::Timestamp,
}

/// One endpoint as this entry sees it.
#[derive(Debug)]
pub struct EndpointState {
    pub endpoint: ids::EndpointId,
    pub distance: time::Duration,
    /// Position of the base model in the endpoint table; `None` before the first report.
    pub model: Option<usize>,
    pub ready: bool,
    pub leaving: bool,
    pub adapter_slots: usize,
    /// Requests in the batch and queue according to the last report.
    pub occupied: u32,
    pub batch_limit: u32,
    /// Reported wait by priority, from low to high.
    pub waits: [time::Duration; 3],
    /// Adapters at this endpoint, sorted.
    pub adapters: Vec<EndpointAdapter>,
    /// Time of the last report.
    as_of: units::Timestamp,
    recent: Vec<RecentDispatch>,
}

impl EndpointState {
    /// Endpoint without a report.
    #[must_use]
    pub fn new(location: &routing::EndpointLocation) -> Self {
        Self {
            endpoint: location.endpoint,
            distance: location.distance,
            model: None,
            ready: false,
            leaving: false,
            adapter_slots: 0,
            occupied: 0,
            batch_limit: 1,
            waits: [time::Duration::ZERO; 3],
            adapters: Vec::new(),
            as_of: units::Timestamp::default(),
            recent: Vec::new(),
        }
    }

    /// Adapter at this endpoint, if it is loaded, loading or expected.
    #[must_use]
    pub fn find_adapter(&self, adapter: ids::AdapterId) -> Option<&EndpointAdapter> {
        let position = position_of(&self.adapters, adapter).ok()?;
        Some(&self.adapters[position])
    }

    /// Requests in the batch and queue, with those sent since the report.
    #[must_use]
    pub fn outstanding(&self) -> u32 {
        self.occupied.saturating_add(self.unreported())
    }

    /// Requests sent since the report.
    #[must_use]
    pub fn unreported(&self) -> u32 {
        u32::try_from(self.recent.len()).unwrap_or(u32::MAX)
    }

    /// Whether the endpoint accepts new requests.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.ready && !self.leaving
    }

    /// Counts a request that the last report does not include.
    pub fn sent(&mut self, request: ids::RequestId, now: units::Timestamp) {
        self.recent.push(RecentDispatch { request, sent: now });
    }

    /// Stops counting a request that has ended.
    pub fn ended(&mut self, request: ids::RequestId) {
        self.recent.retain(|dispatch| dispatch.request != request);
    }

    /// Expects a load; false when the adapter is known here already.
    pub fn expect_load(&mut self, adapter: ids::AdapterId, now: units::Timestamp) -> bool {
        let Err(position) = position_of(&self.adapters, adapter) else {
            return false;
        };
        let expected = EndpointAdapter {
            adapter,
            state: LoadState::Expected,
            since: now,
        };
        self.adapters.insert(position, expected);
        true
    }

    /// Stops expecting a load; false when none was expected.
    pub fn cancel_load(&mut self, adapter: ids::AdapterId) -> bool {
        let Ok(position) = position_of(&self.adapters, adapter) else {
            return false;
        };
        if self.adapters[position].state != LoadState::Expected {
            return false;
        }
        self.adapters.remove(position);
        true
    }

    /// Applies a report and returns the adapters known before; `None` when the report is older than
    /// the last.
    pub fn apply_report(
        &mut self,
        report: &routing::EndpointReport,
        model: usize,
        now: units::Timestamp,
    ) -> Option<Vec<EndpointAdapter>> {
        if report.as_of < self.as_of {
            return None;
        }
        self.model = Some(model);
        self.as_of = report.as_of;
        self.ready = report.ready;
        // A leaving endpoint never comes back under the same incarnation.
        self.leaving |= report.leaving;
        self.adapter_slots = usize::from(report.adapter_slots);
        self.occupied = u32::from(report.running) + u32::from(report.queued);
        self.batch_limit = u32::from(report.batch_limit.max(1));
        self.waits = report.waits;
        let report_delay = REPORT_SKEW + self.distance;
        self.recent
            .retain(|dispatch| dispatch.sent + report_delay > report.as_of);
        let after = self.reported_adapters(report, now);
        Some(mem::replace(&mut self.adapters, after))
    }

    fn reported_adapters(
        &self,
        report: &routing::EndpointReport,
        now: units::Timestamp,
    ) -> Vec<EndpointAdapter> {
        let loaded = report.loaded.iter().map(|id| (*id, LoadState::Loaded));
        let loading = report.loading.iter().map(|id| (*id, LoadState::Loading));
        let reported = loaded
            .chain(loading)
            .map(|(adapter, state)| EndpointAdapter {
                adapter,
                state,
                since: self.find_adapter(adapter).map_or(now, |other| other.since),
            });
        let expected = self.adapters.iter().filter(|known| {
            known.state == LoadState::Expected
                && report.as_of.since(known.since) < EXPECTED_LOAD_TIMEOUT
        });
        let mut adapters: Vec<EndpointAdapter> = reported.chain(expected.copied()).collect();
        // The sort is stable, so of two entries for an adapter the reported one stays.
        adapters.sort_by_key(|other| other.adapter);
        adapters.dedup_by_key(|other| other.adapter);
        adapters
    }
}

/// Position of an adapter in a sorted list.
///
/// # Errors
/// The position at which the adapter would be inserted.
pub fn position_of(adapters: &[EndpointAdapter], adapter: ids::AdapterId) -> Result<usize, usize> {
    adapters.binary_search_by_key(&adapter, |other| other.adapter)
}

/// Loads in flight or expected.
#[must_use]
pub fn count_loading(adapters: &[EndpointAdapter]) -> u32 {
    let loading = adapters
        .iter()
        .filter(|other| other.state != LoadState::Loaded);
    u32::try_from(loading.count()).unwrap_or(u32::MAX)
}

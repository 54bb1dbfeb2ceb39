//! Interface of the entry's endpoint selection.
//!
//! [`RoutingPolicy`] is implemented by the production policy (`wait_routing`) and the baselines. A
//! policy learns of endpoints, load reports and the entry's own requests, and chooses an endpoint
//! for each attempt.

use std::time;

use snafu::Snafu;

use crate::{ids, units};

/// Endpoint and its network distance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLocation {
    pub endpoint: ids::EndpointId,
    /// One-way network delay from this entry.
    pub distance: time::Duration,
}

/// Load report of one endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointReport {
    /// Time at which the agent made the report, on this process's clock.
    pub as_of: units::Timestamp,
    pub base_model: String,
    pub ready: bool,
    pub leaving: bool,
    pub adapter_slots: u16,
    /// Largest batch of the engine, in requests.
    pub batch_limit: u16,
    pub running: u16,
    pub queued: u16,
    /// Predicted wait of a new request by priority, from low to high.
    pub waits: [time::Duration; 3],
    /// Adapters that are loaded, sorted.
    pub loaded: Vec<ids::AdapterId>,
    /// Adapters that are being loaded, sorted.
    pub loading: Vec<ids::AdapterId>,
}

/// Request for which an endpoint is chosen.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    pub base_model: &'a str,
    pub adapter: ids::AdapterId,
    pub priority: units::Priority,
    /// Whether the request may run more than once; only such requests probe stragglers.
    pub repeatable: bool,
    /// Endpoints of earlier attempts, which a retry or hedge must avoid.
    pub exclude: &'a [ids::EndpointId],
}

/// State of the adapter at a chosen endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdapterState {
    Loaded,
    /// A load is in progress or was caused by an earlier dispatch.
    Loading,
    /// This request causes a load.
    Absent,
}

/// Chosen endpoint with the prediction that led to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    pub endpoint: ids::EndpointId,
    pub adapter_state: AdapterState,
    /// Predicted time in the queue and for loading the adapter.
    pub wait: time::Duration,
    /// Predicted time to the first token.
    pub first_token: time::Duration,
    /// Whether the request measures a straggler again.
    pub probe: bool,
}

/// Reason for which no endpoint can be chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Snafu)]
pub enum Refusal {
    #[snafu(display("no endpoint serves the base model; check the request's model name"))]
    UnknownBaseModel,
    #[snafu(display("no endpoint of the base model is ready; retry later"))]
    NoneReady,
    #[snafu(display("every ready endpoint was tried already; retry later"))]
    AllExcluded,
}

/// One dispatch of a request to an endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Attempt {
    pub request: ids::RequestId,
    pub endpoint: ids::EndpointId,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    Finished,
    Failed,
    /// Refused or cancelled before the start.
    NotRun,
}

/// Endpoint selection of one entry.
pub trait RoutingPolicy: Send {
    /// Adds an endpoint; it gets requests after its first report.
    fn endpoint_added(&mut self, location: &EndpointLocation, now: units::Timestamp);

    /// Stops new requests to an endpoint; requests in flight continue.
    fn endpoint_leaving(&mut self, endpoint: ids::EndpointId, now: units::Timestamp);

    /// Forgets an endpoint and its requests.
    fn endpoint_removed(&mut self, endpoint: ids::EndpointId, now: units::Timestamp);

    /// Applies a load report; one older than the last is ignored.
    fn report(&mut self, endpoint: ids::EndpointId, report: &EndpointReport, now: units::Timestamp);

    /// Records that the request was sent to the chosen endpoint.
    fn dispatched(
        &mut self,
        request: ids::RequestId,
        adapter: ids::AdapterId,
        choice: &Choice,
        now: units::Timestamp,
    );

    /// Records the first token of an attempt.
    fn first_token(&mut self, attempt: Attempt, now: units::Timestamp);

    /// Records a later token of an attempt.
    fn between_token(&mut self, attempt: Attempt, now: units::Timestamp);

    /// Records the end of an attempt.
    fn ended(&mut self, attempt: Attempt, end: AttemptEnd, now: units::Timestamp);

    /// Chooses an endpoint.
    ///
    /// # Errors
    /// [`Refusal`] when no endpoint may take the request.
    fn choose(
        &mut self,
        request: &RoutingRequest<'_>,
        now: units::Timestamp,
    ) -> Result<Choice, Refusal>;
}

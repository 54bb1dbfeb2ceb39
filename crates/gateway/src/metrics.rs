//! Counters and histograms of a gateway.

use std::time;

use decisions::data_centre_choice;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use telemetry::{labels, metrics};

use crate::{remote_traffic, stream_origins};

/// Label of callers without a valid key.
const UNKNOWN_ORGANISATION: &str = "unknown";

/// Instruments of one gateway.
pub struct GatewayMetrics {
    registry: metrics::MetricsRegistry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    over_limit: Counter<u64>,
    blocked_parts: Counter<u64>,
    replaced_histories: Counter<u64>,
    stream_origins: Counter<u64>,
    lost_stream_starts: Counter<u64>,
    organisation_refusals: Counter<u64>,
    charged_requests: Counter<u64>,
    charged_units: Counter<u64>,
    organisations: labels::BoundedLabels,
    sends: Counter<u64>,
    remote_choices: Counter<u64>,
    remote_shares: Gauge<f64>,
    pooled_shares: Gauge<f64>,
    response_times: Histogram<f64>,
    first_event_times: Histogram<f64>,
    permit_waits: Histogram<f64>,
}

impl GatewayMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// [`metrics::MetricsError`] when the exporter cannot be built.
    pub fn new() -> Result<Self, metrics::MetricsError> {
        let registry = metrics::MetricsRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            requests: meter.u64_counter("gateway_requests").build(),
            refusals: meter.u64_counter("gateway_refusals").build(),
            retries: meter.u64_counter("gateway_retries").build(),
            over_limit: meter.u64_counter("gateway_responses_over_limit").build(),
            sends: meter.u64_counter("gateway_sends").build(),
            remote_choices: meter.u64_counter("gateway_remote_choices").build(),
            remote_shares: meter.f64_gauge("gateway_remote_share").build(),
            pooled_shares: meter.f64_gauge("gateway_pooled_adapter_share").build(),
            blocked_parts: meter.u64_counter("gateway_prompt_parts_blocked").build(),
            replaced_histories: meter
                .u64_counter("gateway_store_histories_replaced")
                .build(),
            stream_origins: meter.u64_counter("gateway_streams_taken_up").build(),
            lost_stream_starts: meter.u64_counter("gateway_stream_starts_lost").build(),
            organisation_refusals: meter.u64_counter("gateway_organisation_refusals").build(),
            charged_requests: meter.u64_counter("gateway_organisation_requests").build(),
            charged_units: meter.u64_counter("gateway_organisation_units").build(),
            organisations: labels::BoundedLabels::default(),
            response_times: metrics::seconds_histogram(&meter, "gateway_answer_seconds"),
            first_event_times: metrics::seconds_histogram(&meter, "gateway_first_event_seconds"),
            permit_waits: metrics::seconds_histogram(&meter, "gateway_place_wait_seconds"),
            registry,
        })
    }

    /// Counts a request.
    pub fn record_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a local reply.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a response that exceeded a limit.
    pub fn record_over_limit(&self, reason: &'static str) {
        self.over_limit.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a prompt part that is kept from engines.
    pub fn record_blocked_part(&self) {
        self.blocked_parts.add(1, &[]);
    }

    /// Counts a stream that a caller takes up, by how the version that began it was found.
    pub fn record_stream_origin(&self, source: stream_origins::OriginSource) {
        self.stream_origins
            .add(1, &[KeyValue::new("source", source.label())]);
    }

    /// Counts starts of streams that one broker could not be told.
    pub fn record_lost_stream_starts(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.lost_stream_starts.add(count, &[]);
    }

    /// Counts a topic that is read anew because the store's history was replaced.
    pub fn record_replaced_history(&self, topic: &'static str) {
        self.replaced_histories
            .add(1, &[KeyValue::new("topic", topic)]);
    }

    /// Counts a caller that is refused for its key, its quota or the age of the configuration. Its
    /// organisation is not known without a valid key.
    pub fn record_access_refusal(&self, organisation: Option<&str>, reason: &'static str) {
        let organisation = organisation.unwrap_or(UNKNOWN_ORGANISATION);
        let labels = [
            KeyValue::new("organisation", self.organisations.label(organisation)),
            KeyValue::new("reason", reason),
        ];
        self.organisation_refusals.add(1, &labels);
    }

    /// Counts a request that was charged to the quota of an organisation.
    pub fn record_charge(&self, organisation: &str, units: u64) {
        let labels = [KeyValue::new(
            "organisation",
            self.organisations.label(organisation),
        )];
        self.charged_requests.add(1, &labels);
        self.charged_units.add(units, &labels);
    }

    /// Counts requests sent to the replicas of each data centre.
    pub fn record_sends(&self, sent: &[(String, u64)]) {
        for (name, count) in sent {
            let label = KeyValue::new("data_centre", name.clone());
            self.sends.add(*count, &[label]);
        }
    }

    /// Counts requests for which a replica in another data centre was chosen.
    pub fn record_remote_choices(&self, choices: &[(data_centre_choice::RemoteReason, u64)]) {
        for (reason, count) in choices {
            let label = KeyValue::new("reason", reason.label());
            self.remote_choices.add(*count, &[label]);
        }
    }

    /// Records the shares of a service's requests that may leave because of a wait, and that of its
    /// pooled adapters.
    pub fn record_remote_shares(&self, report: &remote_traffic::ShareReport) {
        let label = KeyValue::new("service", report.service.clone());
        self.pooled_shares.record(report.pooled_share, &[label]);
        for (name, share) in &report.shares {
            let labels = [
                KeyValue::new("service", report.service.clone()),
                KeyValue::new("data_centre", name.clone()),
            ];
            self.remote_shares.record(*share, &labels);
        }
    }

    /// Records the time from a request to the end of its response.
    pub fn record_response(&self, elapsed: time::Duration) {
        self.response_times.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the time from a request to the first event of its stream.
    pub fn record_first_event(&self, elapsed: time::Duration) {
        self.first_event_times.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the wait for a permit.
    pub fn record_permit_wait(&self, elapsed: time::Duration) {
        self.permit_waits.record(elapsed.as_secs_f64(), &[]);
    }

    /// Metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

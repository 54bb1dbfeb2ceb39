//! Route, service and limits of a request, determined before its first attempt.

use std::{sync::Arc, time};

use bytes::Bytes;
use decisions::{crash_log, relative_speed, software_version, suspects, units};
use http::request;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::{catalog, organisations, protocol, request_charge, route_match};

/// Time below which no further attempt is worthwhile.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(5);

/// Request with its route and its limits.
pub struct RequestPlan {
    pub request: protocol::CallerRequest,
    pub route: catalog::RouteEntry,
    pub service: String,
    pub engine: Option<catalog::EngineLimits>,
    /// Organisation of the caller, if the configuration has organisations and the route is not public.
    pub organisation: Option<Arc<organisations::Organisation>>,
    /// Key by which the caller is known.
    pub key: Option<organisations::KeyDigest>,
    /// Charge to the organisation's quota.
    pub charge: request_charge::RequestCharge,
    pub head: request::Parts,
    pub body: Bytes,
    pub received_at: Instant,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// Software version that a stream must go on at; `None` while it has had no event.
    pub software: Option<software_version::SoftwareVersion>,
    /// Declared version of the adapter at the newest attempt; 0 if none is declared.
    pub adapter_version: u32,
    /// The response may become longer than most.
    pub is_long: bool,
    /// Version of the configuration used for the request.
    pub configuration: u64,
    /// Ids of the prompt parts that other requests may share, in order, then that of all requests
    /// with the same content.
    pub suspects: Vec<u64>,
    /// Id of this generation and its repeats ([`suspects::generation`]).
    generation_id: Option<u64>,
}

impl RequestPlan {
    /// Plan of a request on the route that takes it.
    #[must_use]
    pub fn new(
        request: protocol::CallerRequest,
        head: request::Parts,
        body: Bytes,
        received_at: Instant,
        matched: route_match::RouteMatch,
        catalog: &catalog::ServingCatalog,
    ) -> Self {
        let route = matched.route;
        let wait = request
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let mut suspects = request
            .generation
            .as_ref()
            .map_or_else(Vec::new, |generation| generation.prompt_parts.clone());
        let content = hash_content(&route.name, &head, &request.host, &body);
        suspects.push(suspects::whole_request(content));
        let generation = request.generation.as_ref();
        let generation_id = generation.and_then(|generation| generation.prompt_hash);
        let generation_id = generation_id.map(|prompt| {
            suspects::generation(xxh3::xxh3_64_with_seed(&prompt.to_le_bytes(), content))
        });
        let mut plan = Self {
            deadline: received_at + wait,
            request,
            route,
            service: matched.service,
            engine: matched.engine,
            organisation: None,
            key: None,
            charge: request_charge::RequestCharge::default(),
            head,
            body,
            received_at,
            software: None,
            adapter_version: 0,
            is_long: false,
            configuration: matched.configuration,
            suspects,
            generation_id,
        };
        plan.refresh_adapter_version(catalog);
        plan
    }

    /// Takes over the caller's organisation, whose priority goes before that of the route, and the
    /// charge to its quota.
    pub fn identify_caller(
        &mut self,
        caller: Option<organisations::KnownCaller>,
        charge: request_charge::RequestCharge,
    ) {
        self.charge = charge;
        let Some(caller) = caller else {
            return;
        };
        self.route.priority = caller.organisation.priority.unwrap_or(self.route.priority);
        self.key = Some(caller.key);
        self.organisation = Some(caller.organisation);
    }

    /// Takes over the declared version of the adapter, which may be newer than that of the last
    /// attempt.
    pub fn refresh_adapter_version(&mut self, catalog: &catalog::ServingCatalog) {
        let declared = self
            .adapter()
            .and_then(|(model, adapter)| catalog.adapter(model, adapter));
        if let Some(version) = declared {
            self.adapter_version = self.adapter_version.max(version);
        }
    }

    /// Time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> time::Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until the latency objective.
    #[must_use]
    pub fn objective_left(&self) -> time::Duration {
        let objective = self.received_at + self.route.objective;
        objective.saturating_duration_since(Instant::now())
    }

    /// Time until the caller disconnects if the stream has had no event.
    #[must_use]
    pub fn first_event_time_left(&self) -> time::Duration {
        let limit = self.received_at + self.route.stream_event_timeout;
        limit.saturating_duration_since(Instant::now())
    }

    /// Whether there is time for another attempt.
    #[must_use]
    pub fn has_time_left(&self) -> bool {
        self.time_left() > MIN_TIME_LEFT
    }

    /// Model and adapter, if the request names an adapter.
    #[must_use]
    pub fn adapter(&self) -> Option<(&str, &str)> {
        let generation = self.request.generation.as_ref()?;
        Some((&generation.model, generation.adapter.as_deref()?))
    }

    /// Size of the generation; zero tokens if it is none.
    #[must_use]
    pub fn generation_size(&self) -> relative_speed::GenerationSize {
        let generation = self.request.generation.as_ref();
        relative_speed::GenerationSize {
            prompt_tokens: generation.map_or(0, |generation| generation.prompt_tokens),
            output_tokens: generation
                .map_or(0, protocol::GenerationRequest::expected_output_tokens),
            objective: self.route.objective,
        }
    }

    /// Ids of what may crash a replica, for the log, in hexadecimal.
    #[must_use]
    pub fn suspects_text(&self) -> String {
        let ids = self.suspects.iter().map(|id| format!("{id:x}"));
        ids.collect::<Vec<_>>().join(" ")
    }

    /// Id of all requests with the same content.
    #[must_use]
    pub fn content_id(&self) -> u64 {
        self.suspects.last().copied().unwrap_or_default()
    }

    /// Crash of an engine under the request.
    #[must_use]
    pub fn engine_crash(&self, incarnation: u64, at: units::Timestamp) -> crash_log::EngineCrash {
        let suspects = self.suspects.iter().chain(&self.generation_id);
        crash_log::EngineCrash::of_prompt(incarnation, suspects.copied(), at)
    }

    /// Whether the response is an event stream.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.route.kind, catalog::RouteKind::Stream { .. })
    }
}

/// Hash of what a caller asks for, without its id and its deadline. The name of the route is not known
/// to callers, so that they cannot aim at the hash of another request.
fn hash_content(route: &str, head: &request::Parts, host: &str, body: &[u8]) -> u64 {
    let mut hasher = xxh3::Xxh3::with_seed(xxh3::xxh3_64(route.as_bytes()));
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    for field in [head.method.as_str(), host, path] {
        hasher.update(field.as_bytes());
        // Keeps the end of one field from counting as the start of the next.
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.digest()
}

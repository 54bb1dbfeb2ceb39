//! Software version that a stream must go on at.
//!
//! The gateway that passes on the first event of a stream tells some brokers which version wrote it.
//! A caller may take the stream up at any gateway, also after all of them were killed; that gateway
//! asks the brokers and sends the request to replicas of this version only.

use std::{sync::Arc, time};

use broker::stream_book;
use decisions::{software_history, software_version, stream_origins, stream_starts};
use futures::{StreamExt, stream::FuturesUnordered};

use crate::{catalog, dispatch, local_reply, plan};

/// Number of brokers that are asked for a stream. Some that came later may rank before its keepers.
const ASKED_COUNT: usize = 5;
/// Maximum number of streams in one call, well below the maximum length of a message.
const MAX_STARTS: usize = 1000;

/// How the version that began a stream was found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OriginSource {
    #[default]
    Unknown,
    /// This gateway passed its first event on.
    OwnRecord,
    Broker,
    /// The service has had no other version for as long as the stream can have lasted.
    SoleVersion,
}

/// Search for the version that began a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OriginSearch {
    pub software: Option<software_version::SoftwareVersion>,
    pub source: OriginSource,
    /// Number of brokers that were asked.
    pub asked: usize,
    /// Number of brokers that had answered when the search ended.
    pub answered: usize,
}

impl OriginSource {
    /// Label in logs and counters.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::OwnRecord => "own_record",
            Self::Broker => "broker",
            Self::SoleVersion => "sole_version",
        }
    }
}

impl OriginSearch {
    fn set_found(&mut self, software: software_version::SoftwareVersion, source: OriginSource) {
        self.software = Some(software);
        self.source = source;
    }
}

impl dispatch::Dispatcher {
    /// Records the version that wrote the first event of a stream, here and at brokers. The calls go on
    /// in the background, because the caller waits for the event.
    pub fn record_stream_start(
        self: &Arc<Self>,
        plan: &plan::RequestPlan,
        software: &software_version::SoftwareVersion,
    ) {
        let is_resumable = plan.route.kind == catalog::RouteKind::Stream { resumable: true };
        if !is_resumable || plan.request.resume_after.is_some() {
            return;
        }
        let stream = stream_origins::stream_id(&plan.service, &plan.request.id);
        // A gateway that has just started may not have reviewed its brokers yet.
        self.review_stream_keepers();
        let keep = stream_span(plan);
        let now = self.now();
        let mut starts = self.stream_starts.lock();
        let notices = starts.record(stream, software.clone(), keep, now);
        drop(starts);
        self.send_notices(notices);
    }

    /// Tells other brokers of the streams of this gateway, if those that were told are not available
    /// any more.
    pub fn review_stream_keepers(self: &Arc<Self>) {
        let services = self.engine_services();
        let now = self.now();
        let available = self.replicas.lock().available_brokers(&services, now);
        let notices = self.stream_starts.lock().review(available, now);
        self.send_notices(notices);
    }

    fn send_notices(self: &Arc<Self>, mut notices: Vec<stream_starts::StreamNotice>) {
        notices.sort_unstable_by_key(|notice| notice.broker);
        for group in notices.chunk_by(|one, other| one.broker == other.broker) {
            let Some(broker) = self.replicas.lock().broker(group[0].broker) else {
                continue;
            };
            let starts: Vec<_> = group.iter().map(stream_start).collect();
            let dispatcher = Arc::clone(self);
            tokio::spawn(async move {
                for starts in starts.chunks(MAX_STARTS) {
                    let now = dispatcher.now();
                    if broker.record_streams(starts.to_vec(), now).await.is_err() {
                        dispatcher.metrics.record_lost_stream_starts(starts.len());
                    }
                }
            });
        }
    }

    /// Sets the version that a stream must go on at, if the request takes one up.
    ///
    /// # Errors
    /// The local reply to a request whose stream began at an unknown version.
    pub async fn find_stream_origin(
        &self,
        plan: &mut plan::RequestPlan,
    ) -> Result<(), local_reply::LocalReply> {
        if !plan.is_stream() || plan.request.resume_after.is_none() {
            return Ok(());
        }
        let search = self.search_origin(plan).await;
        self.metrics.record_stream_origin(search.source);
        self.request_logger.log_stream_origin(plan, &search);
        plan.software = search.software;
        if plan.software.is_some() {
            return Ok(());
        }
        // A gateway that has just started knows no broker to ask.
        let has_replicas = self.replicas.lock().available_count(self.now()) > 0;
        Err(if has_replicas {
            local_reply::LocalReply::STREAM_ORIGIN_UNKNOWN
        } else {
            local_reply::LocalReply::NO_REPLICA
        })
    }

    async fn search_origin(&self, plan: &plan::RequestPlan) -> OriginSearch {
        let mut search = OriginSearch::default();
        if let Some(attempt) = plan.request.origin.as_deref() {
            let stream = stream_origins::stream_id(&plan.service, attempt);
            self.search_records(stream, &mut search).await;
        }
        // A gateway that is cut off from all brokers may not know of another version either.
        let is_cut_off = search.asked > 0 && search.answered == 0;
        if search.software.is_none() && !is_cut_off {
            let span = stream_span(plan) + software_history::MAX_LISTING_AGE;
            let replicas = self.replicas.lock();
            if let Some(software) = replicas.sole_software(&plan.service, span) {
                search.set_found(software, OriginSource::SoleVersion);
            }
        }
        search
    }

    async fn search_records(&self, stream: u64, search: &mut OriginSearch) {
        let now = self.now();
        if let Some(software) = self.stream_starts.lock().find(stream, now) {
            search.set_found(software.clone(), OriginSource::OwnRecord);
            return;
        }
        let services = self.engine_services();
        let keepers = self
            .replicas
            .lock()
            .stream_keepers(&services, stream, ASKED_COUNT);
        search.asked = keepers.len();
        let calls = keepers.iter().map(|keeper| keeper.find_stream(stream, now));
        let mut replies: FuturesUnordered<_> = calls.collect();
        while let Some(reply) = replies.next().await {
            let Ok(known) = reply else { continue };
            search.answered += 1;
            if let Some(software) = known {
                search.set_found(software, OriginSource::Broker);
                return;
            }
        }
    }

    /// Services whose replicas have brokers.
    fn engine_services(&self) -> Vec<String> {
        let Some(current) = self.catalog.lock().current() else {
            return Vec::new();
        };
        let services = current.services.iter();
        let engines = services.filter(|service| service.engine.is_some());
        engines.map(|service| service.name.clone()).collect()
    }
}

fn stream_start(notice: &stream_starts::StreamNotice) -> stream_book::StreamStart {
    stream_book::StreamStart {
        stream: notice.stream,
        software: notice.software.clone(),
        keep: notice.keep,
    }
}

/// Time within which the caller of a stream may take it up.
fn stream_span(plan: &plan::RequestPlan) -> time::Duration {
    let wait = plan.request.deadline.unwrap_or(plan.route.timeout);
    stream_origins::keep_time(wait.max(plan.route.timeout))
}

//! Agent side of the measured sessions.
//!
//! The handler answers polls as an agent does: at once when there is output, otherwise after
//! [`message::MAX_POLL_WAIT`], with a full load report each time.

use std::{
    sync::{Arc, atomic},
    time,
};

use decisions::ids;
use futures::{FutureExt, future::BoxFuture};
use peers::{message, report_update, service};
use rand::Rng;
use tokio::{sync::Mutex, time::Instant};
use xxhash_rust::xxh3;

use crate::sizes;

const RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Load report of an instance whose engines are full.
#[must_use]
pub fn report(replicas: u16, slots: u16) -> message::LoadReport {
    let replica = |number: u16| message::ReplicaReport {
        replica: number,
        base_model: "base-model-0-8b".to_owned(),
        ready: true,
        adapter_slots: slots,
        batch_limit: 32,
        running: 19,
        queued: 2,
        wait_millis: [40, 20, 10],
        adapters: (0..slots).map(|slot| adapter(number, slot)).collect(),
        loading: Vec::new(),
    };
    message::LoadReport {
        sequence: 1,
        leaving: false,
        replicas: (0..replicas).map(replica).collect(),
        services: Vec::new(),
        waiting_loads: 1,
    }
}

fn adapter(replica: u16, slot: u16) -> ids::AdapterId {
    let number = u32::from(replica) << 16 | u32::from(slot);
    ids::AdapterId(xxh3::xxh3_64(&number.to_le_bytes()))
}

/// Handler that answers polls and refuses all else.
pub struct ReportingAgent {
    polls: Arc<atomic::AtomicU64>,
    report: message::LoadReport,
    streams: usize,
    sessions: Mutex<Vec<StreamClock>>,
}

/// Due times of the output of one session's streams.
struct StreamClock {
    session: ids::SessionId,
    due: Vec<Instant>,
    index: u64,
}

impl StreamClock {
    fn next(&self) -> Option<Instant> {
        self.due.iter().min().copied()
    }

    fn take(&mut self, now: Instant) -> Vec<message::StreamEvent> {
        let gap = time::Duration::from_secs_f64(sizes::TOKEN_GAP);
        let mut events = Vec::new();
        for (sequence, due) in (0..).zip(&mut self.due) {
            if *due > now {
                continue;
            }
            *due += gap;
            self.index += 1;
            events.push(message::StreamEvent {
                request: ids::RequestId {
                    entry: ids::Incarnation(1),
                    sequence,
                },
                index: self.index,
                part: message::StreamPart::Text {
                    text: " token".to_owned(),
                    tokens: 1,
                },
            });
        }
        events
    }
}

impl ReportingAgent {
    /// Handler whose sessions have this many streams; it counts the polls that it answers.
    #[must_use]
    pub fn new(report: message::LoadReport, streams: usize, polls: Arc<atomic::AtomicU64>) -> Self {
        Self {
            polls,
            report,
            streams,
            sessions: Mutex::default(),
        }
    }

    async fn open(&self) -> message::HelloReply {
        let gap = sizes::TOKEN_GAP;
        let phase = |_| time::Duration::from_secs_f64(rand::rng().random_range(0.0..gap));
        let now = Instant::now();
        let clock = StreamClock {
            session: ids::SessionId(rand::random()),
            due: (0..self.streams).map(|index| now + phase(index)).collect(),
            index: 0,
        };
        let session = clock.session;
        self.sessions.lock().await.push(clock);
        message::HelloReply::Welcome(message::Welcome {
            agent: ids::Incarnation(1),
            session,
            data_centre: "dc-1".to_owned(),
            report: self.report.clone(),
        })
    }

    async fn answer(&self, poll: message::Poll) -> message::PollReply {
        let end = Instant::now() + poll.wait.min(message::MAX_POLL_WAIT);
        let next = self
            .with(poll.session, |clock| clock.next())
            .await
            .flatten();
        tokio::time::sleep_until(next.unwrap_or(end).min(end)).await;
        let events = self
            .with(poll.session, |clock| clock.take(Instant::now()))
            .await;
        self.polls.fetch_add(1, atomic::Ordering::Relaxed);
        let Some(events) = events else {
            return message::PollReply::SessionClosed;
        };
        message::PollReply::Events {
            events,
            report: Some(report_update::ReportUpdate::Full(self.report.clone())),
            configuration_version: 1,
        }
    }

    async fn with<T>(
        &self,
        session: ids::SessionId,
        act: impl FnOnce(&mut StreamClock) -> T,
    ) -> Option<T> {
        let mut sessions = self.sessions.lock().await;
        sessions
            .iter_mut()
            .find(|clock| clock.session == session)
            .map(act)
    }
}

impl service::AgentHandler for ReportingAgent {
    fn hello(&self, _: message::Hello) -> BoxFuture<'_, message::HelloReply> {
        self.open().boxed()
    }

    fn dispatch(&self, _: message::Dispatch) -> BoxFuture<'_, message::DispatchReply> {
        let refused = message::DispatchReply::Refused {
            reason: message::RefusalReason::Draining,
            retry_after: RETRY_AFTER,
        };
        async { refused }.boxed()
    }

    fn poll(&self, poll: message::Poll) -> BoxFuture<'_, message::PollReply> {
        self.answer(poll).boxed()
    }

    fn attach(
        &self,
        _: ids::SessionId,
        _: ids::Incarnation,
        _: ids::RequestId,
    ) -> BoxFuture<'_, message::CancelReply> {
        async { message::CancelReply::NotRun }.boxed()
    }

    fn cancel(
        &self,
        _: ids::Incarnation,
        _: ids::RequestId,
        _: message::CancelScope,
    ) -> BoxFuture<'_, message::CancelReply> {
        async { message::CancelReply::NotRun }.boxed()
    }

    fn configuration(&self, _: u64) -> BoxFuture<'_, Option<message::ConfigurationImage>> {
        async { None }.boxed()
    }
}

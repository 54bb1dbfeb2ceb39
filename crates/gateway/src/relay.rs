//! Relay of a stream, event by event, with its continuation at another replica.

use std::{io, sync::Arc, time};

use bytes::Bytes;
use futures::{Stream, stream};
use http::response;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::{attempts, catalog, dispatch, events, journal, plan};

/// Time after the deadline in which the end of a stream may still arrive.
const LATE_LIMIT: time::Duration = time::Duration::from_millis(120);

/// What ends a stream that has no more frames.
type RelayFrame = Result<Frame<Bytes>, io::Error>;

/// Stream on its way to a caller.
struct StreamRelay {
    dispatcher: Arc<dispatch::Dispatcher>,
    plan: plan::RequestPlan,
    attempt: Option<dispatch::OpenAttempt>,
    splitter: events::EventSplitter,
    arrivals: u32,
    pace: journal::StreamPace,
    event_at: Option<Instant>,
    is_ended: bool,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_ended {
            self.dispatcher.journal.abandoned(&self.plan);
        }
    }
}

/// What the next read of a replica's stream gave.
enum NextPart {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    Late,
}

/// Frames of a stream that has begun at a replica.
pub fn frames(
    dispatcher: Arc<dispatch::Dispatcher>,
    plan: plan::RequestPlan,
    attempt: dispatch::OpenAttempt,
    arrivals: u32,
) -> impl Stream<Item = RelayFrame> + Send {
    let relay = StreamRelay {
        dispatcher,
        plan,
        attempt: Some(attempt),
        splitter: events::EventSplitter::default(),
        arrivals,
        pace: journal::StreamPace::default(),
        event_at: None,
        is_ended: false,
    };
    stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame, relay))
    })
}

impl StreamRelay {
    /// Next frame; `None` after the end.
    async fn next(&mut self) -> Option<RelayFrame> {
        while !self.is_ended {
            match self.read().await {
                NextPart::Bytes(bytes) => {
                    if let Some(whole) = self.splitter.push(&bytes) {
                        self.note_event();
                        return Some(Ok(Frame::data(whole)));
                    }
                }
                NextPart::End => {
                    self.finish();
                    return self.splitter.finish().map(|rest| Ok(Frame::data(rest)));
                }
                NextPart::Broken(reason) => {
                    if !self.resume(reason).await {
                        return Some(Err(self.break_off(reason)));
                    }
                }
                NextPart::Late => return Some(Err(self.break_off("timeout"))),
            }
        }
        None
    }

    async fn read(&mut self) -> NextPart {
        let Some(attempt) = &mut self.attempt else {
            return NextPart::Broken("no_replica");
        };
        let limit = self.plan.deadline + LATE_LIMIT;
        match tokio::time::timeout_at(limit, attempt.body.frame()).await {
            Err(_) => NextPart::Late,
            Ok(None) => NextPart::End,
            Ok(Some(Err(_))) => NextPart::Broken("stream_broken"),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => NextPart::Bytes(bytes),
                Err(_) => NextPart::Bytes(Bytes::new()),
            },
        }
    }

    fn note_event(&mut self) {
        let now = Instant::now();
        let Some(earlier) = self.event_at.replace(now) else {
            self.pace.first = now.saturating_duration_since(self.plan.received_at);
            self.dispatcher.metrics.first_event(self.pace.first);
            return;
        };
        let gap = now.saturating_duration_since(earlier);
        self.pace.longest_gap = self.pace.longest_gap.max(gap);
    }

    fn finish(&mut self) {
        self.is_ended = true;
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let status = attempt.head.status.as_u16();
        let pace = Some(self.pace);
        let journal = &self.dispatcher.journal;
        journal.answered(&self.plan, &attempt.replica.id, status, pace);
        let elapsed = self.plan.received_at.elapsed();
        self.dispatcher.metrics.answered(elapsed);
        let head: response::Parts = attempt.head;
        self.dispatcher.keep(attempt.connection, &head);
    }

    /// Goes on at another replica after the last whole event; false if that is not allowed.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let is_resumable = self.plan.route.kind == catalog::RouteKind::Stream { resumable: true };
        let Some(broken) = self.attempt.take() else {
            return false;
        };
        let from = broken.replica.id.clone();
        let now = self.dispatcher.now();
        self.dispatcher.members.lock().observe(&from, true, now);
        // The connection closes before the stream goes on elsewhere.
        drop(broken);
        self.splitter.discard_rest();
        let mut history = attempts::AttemptHistory::resumed(&from, self.arrivals);
        while is_resumable
            && history.arrivals < self.plan.route.max_attempts
            && self.plan.deadline > Instant::now()
            && self.dispatcher.take_repeat(&self.plan)
        {
            let after = self.splitter.last_id().or(self.plan.request.resume_after);
            let attempt = self
                .dispatcher
                .attempt(&self.plan, &mut history, after)
                .await;
            self.arrivals = history.arrivals;
            self.dispatcher.metrics.retried(reason);
            match attempt {
                Ok(attempt) => {
                    let to = &attempt.replica.id;
                    self.dispatcher
                        .journal
                        .resumed(&self.plan, &from, to, after);
                    self.attempt = Some(attempt);
                    return true;
                }
                Err(dispatch::AttemptError::Refused(_)) => return false,
                Err(dispatch::AttemptError::Setback(setback)) => {
                    let replica = &setback.replica;
                    self.dispatcher
                        .journal
                        .retried(&self.plan, replica, setback.reason, true);
                    history.exclude(replica);
                }
            }
        }
        false
    }

    /// Ends the stream so that it does not look complete.
    fn break_off(&mut self, reason: &'static str) -> io::Error {
        self.is_ended = true;
        let replica = self.attempt.take().map(|attempt| attempt.replica.id);
        let replica = replica.unwrap_or_default();
        self.dispatcher.journal.broken(&self.plan, &replica, reason);
        self.dispatcher.metrics.refused(reason);
        io::Error::other(reason)
    }
}

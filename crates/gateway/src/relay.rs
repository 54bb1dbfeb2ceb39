//! Relays a stream event by event and resumes it at another replica if it breaks.

use std::{io, sync::Arc};

use bytes::Bytes;
use decisions::suspects;
use futures::{Stream, stream};
use http::response;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::{attempts, catalog, dispatch, open_attempt, plan, request_logger, sse};

/// Frame for the caller, or the error that aborts the stream.
type RelayFrame = Result<Frame<Bytes>, io::Error>;

/// State of a stream that is relayed to a caller.
struct StreamRelay {
    dispatcher: Arc<dispatch::Dispatcher>,
    plan: plan::RequestPlan,
    attempt: Option<open_attempt::OpenAttempt>,
    splitter: sse::EventSplitter,
    sent_count: u32,
    timing: request_logger::StreamTiming,
    last_event_at: Option<Instant>,
    /// First event of the replica that sends the stream now.
    started_at: Option<Instant>,
    /// Most recent event, or the start of the attempt.
    progressed_at: Instant,
    is_ended: bool,
    /// One replica has sent events for longer than it takes to crash on the request, or all of them.
    is_proven: bool,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_ended {
            self.dispatcher.request_logger.log_abandoned(&self.plan);
        }
    }
}

/// Result of a read from a replica's stream.
enum StreamRead {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    TimedOut,
}

/// Frames of a stream that has started at a replica.
pub fn relay_frames(
    dispatcher: Arc<dispatch::Dispatcher>,
    plan: plan::RequestPlan,
    attempt: open_attempt::OpenAttempt,
    sent_count: u32,
) -> impl Stream<Item = RelayFrame> + Send {
    let splitter = sse::EventSplitter::new(dispatcher.buffer_limits.event_bytes);
    let relay = StreamRelay {
        dispatcher,
        plan,
        attempt: Some(attempt),
        splitter,
        sent_count,
        timing: request_logger::StreamTiming::default(),
        last_event_at: None,
        started_at: None,
        progressed_at: Instant::now(),
        is_ended: false,
        is_proven: false,
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
            let failure = match self.read().await {
                StreamRead::Bytes(bytes) => match self.split(&bytes) {
                    Ok(Some(whole)) => return Some(Ok(Frame::data(whole))),
                    Ok(None) => continue,
                    Err(reason) => reason,
                },
                // The framing may look complete: a server can end its body properly after a failure.
                StreamRead::End if self.splitter.has_partial() => "stream_truncated",
                StreamRead::End => {
                    self.finish();
                    return self.splitter.finish().map(|rest| Ok(Frame::data(rest)));
                }
                StreamRead::Broken(reason) => reason,
                StreamRead::TimedOut => return Some(Err(self.abort("timeout").await)),
            };
            if !self.resume(failure).await {
                return Some(Err(self.abort(failure).await));
            }
        }
        None
    }

    /// Events that the bytes complete; fails with the reason why the stream is broken.
    fn split(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, &'static str> {
        let whole = match self.splitter.push(bytes) {
            Ok(whole) => whole,
            Err(overflow) => {
                self.record_overflow(overflow);
                return Err("event_too_long");
            }
        };
        if whole.is_some() {
            self.record_event();
        } else if self.progressed_at.elapsed() > self.plan.route.stream_event_timeout {
            // The replica sends bytes but no event. Its caller has left or will leave.
            return Err("no_progress");
        }
        Ok(whole)
    }

    fn record_overflow(&self, overflow: sse::EventOverflow) {
        let attempt = self.attempt.as_ref();
        let replica = attempt.map_or("", |attempt| attempt.replica.id.as_str());
        let reason = "event_too_long";
        self.dispatcher.metrics.record_over_limit(reason);
        self.dispatcher.request_logger.log_over_limit(
            &self.plan,
            replica,
            reason,
            overflow.bytes,
            overflow.limit,
        );
    }

    async fn read(&mut self) -> StreamRead {
        let Some(attempt) = &mut self.attempt else {
            return StreamRead::Broken("no_replica");
        };
        let limit = self.plan.deadline + dispatch::RESPONSE_GRACE_PERIOD;
        match tokio::time::timeout_at(limit, attempt.body.frame()).await {
            Err(_) => StreamRead::TimedOut,
            Ok(None) => StreamRead::End,
            Ok(Some(Err(_))) => StreamRead::Broken("stream_broken"),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => StreamRead::Bytes(bytes),
                Err(_) => StreamRead::Bytes(Bytes::new()),
            },
        }
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        self.progressed_at = now;
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) >= suspects::START_PERIOD {
            self.prove_prompt();
        }
        let Some(earlier) = self.last_event_at.replace(now) else {
            self.bind_to_software();
            self.timing.first_event = now.saturating_duration_since(self.plan.received_at);
            self.dispatcher
                .metrics
                .record_first_event(self.timing.first_event);
            return;
        };
        let gap = now.saturating_duration_since(earlier);
        self.timing.longest_gap = self.timing.longest_gap.max(gap);
    }

    /// Binds the stream to the software version that wrote its first event, and records it for callers
    /// that take the stream up.
    fn bind_to_software(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let software = &attempt.replica.software;
        self.plan.software.get_or_insert_with(|| software.clone());
        self.dispatcher.record_stream_start(&self.plan, software);
    }

    /// Records once that the request does not crash its replica.
    fn prove_prompt(&mut self) {
        if !self.is_proven {
            self.is_proven = true;
            self.dispatcher.record_start(&self.plan);
        }
    }

    fn finish(&mut self) {
        self.is_ended = true;
        if self.started_at.is_some() {
            self.prove_prompt();
        }
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let status = attempt.head.status.as_u16();
        let timing = Some(self.timing);
        let request_logger = &self.dispatcher.request_logger;
        request_logger.log_response(&self.plan, &attempt.replica.id, status, timing);
        let elapsed = self.plan.received_at.elapsed();
        self.dispatcher.metrics.record_response(elapsed);
        let head: response::Parts = attempt.head;
        self.dispatcher
            .recycle_connection(attempt.connection, &head);
    }

    /// Resumes at another replica after the last complete event; false if not allowed or possible.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let is_resumable = self.plan.route.kind == catalog::RouteKind::Stream { resumable: true };
        let Some(broken) = self.attempt.take() else {
            return false;
        };
        let from = broken.replica.id.clone();
        let now = self.dispatcher.now();
        self.dispatcher
            .replicas
            .lock()
            .record_outcome(&from, true, now);
        // Closes the connection before the stream is resumed elsewhere.
        drop(broken);
        if !self.is_proven {
            self.dispatcher.record_lost_request(&self.plan, &from).await;
        }
        self.splitter.discard_partial();
        // The first events of two replicas that crash do not prove the request.
        self.started_at = None;
        let mut history = attempts::AttemptHistory::resumed(&from, self.sent_count, self.is_proven);
        while is_resumable
            && history.sent_count < self.plan.route.max_attempts
            && self.plan.deadline > Instant::now()
            && self.dispatcher.take_retry(&self.plan)
        {
            let after = self.splitter.last_id().or(self.plan.request.resume_after);
            let attempt = self
                .dispatcher
                .attempt(&mut self.plan, &mut history, after)
                .await;
            self.sent_count = history.sent_count;
            self.dispatcher.metrics.record_retry(reason);
            match attempt {
                Ok(attempt) => {
                    let to = &attempt.replica.id;
                    self.dispatcher
                        .request_logger
                        .log_stream_resume(&self.plan, &from, to, after);
                    self.attempt = Some(attempt);
                    self.progressed_at = Instant::now();
                    return true;
                }
                Err(attempts::AttemptError::Refused(_)) => return false,
                Err(attempts::AttemptError::Failed(failure)) => {
                    let replica = &failure.replica;
                    self.dispatcher.request_logger.log_failed_attempt(
                        &self.plan,
                        replica,
                        failure.reason,
                        true,
                    );
                    history.exclude(replica);
                }
            }
        }
        false
    }

    /// Ends the stream with an error, so that it does not look complete.
    async fn abort(&mut self, reason: &'static str) -> io::Error {
        // `hyper` drops what it has not written when the body fails; it writes while the body waits.
        tokio::task::yield_now().await;
        self.is_ended = true;
        let replica = self.attempt.take().map(|attempt| attempt.replica.id);
        let replica = replica.unwrap_or_default();
        self.dispatcher
            .request_logger
            .log_broken_stream(&self.plan, &replica, reason);
        self.dispatcher.metrics.record_refusal(reason);
        io::Error::other(reason)
    }
}

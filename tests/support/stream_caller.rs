//! Callers that take resumable streams up again after these broke off.

use std::{fmt, iter, net, sync::Arc, time};

use parking_lot::Mutex;
use platform_wire::stand_in::caller::{TestRequest, TestResponse};
use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Events of a stream.
const EVENT_COUNT: u64 = 20;
/// Number of requests that a caller makes for one stream.
const MAX_TRIES: usize = 6;
/// Pause of a caller that was refused without a pause, or whose gateway does not listen.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Period in which no process but a gateway is disturbed.
pub struct CalmPeriod {
    pub since: time::Instant,
    /// Versions with two listed replicas or more.
    pub versions: Vec<String>,
    /// Gateways were killed in the period, and none is disturbed any more.
    pub is_counted: bool,
}

/// The calm period, if there is one now.
pub type SharedCalm = Arc<Mutex<Option<CalmPeriod>>>;

/// Caller of one stream after the other.
pub struct StreamCaller {
    pub name: String,
    pub gateways: Vec<net::SocketAddr>,
    pub adapter_count: usize,
    pub generator: ChaCha8Rng,
    pub calm: SharedCalm,
}

/// Answered request for a stream.
#[derive(Debug)]
pub struct StreamTry {
    request: TestRequest,
    response: TestResponse,
    /// Last event that earlier tries have brought, 0 for a new stream.
    after: u64,
    /// The request was made and answered in a calm period that began before its stream.
    is_counted: bool,
}

/// All tries of one stream.
#[derive(Debug, Default)]
pub struct StreamTries {
    tries: Vec<StreamTry>,
    /// Events received.
    last_event: u64,
    origin: Option<StreamOrigin>,
}

/// First event of a stream.
#[derive(Debug)]
struct StreamOrigin {
    request: String,
    writer: String,
    /// Time at which the request was sent.
    sent_at: time::Instant,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct TryCounts {
    pub made: usize,
    /// Requests that brought an event.
    pub successful: usize,
    /// Requests that were refused.
    pub refused: usize,
}

impl fmt::Display for TryCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            made,
            successful,
            refused,
        } = self;
        write!(
            formatter,
            "{made} made, {successful} with an event, {refused} refused"
        )
    }
}

impl StreamCaller {
    /// Sends requests for one stream until it has ended, or until the tries or the deadline are used up.
    pub async fn play_stream(&mut self, number: usize) -> StreamTries {
        let adapter = format!("a{}", self.generator.random_range(0..self.adapter_count));
        let id = format!("{}-{number}", self.name);
        let first = TestRequest::stream(&id, &adapter, EVENT_COUNT);
        let start = time::Instant::now();
        let mut stream = StreamTries::default();
        let mut sent = 0;
        while stream.is_open() && start.elapsed() < first.deadline {
            let request = stream.next_request(&first, sent);
            sent += 1;
            let pause = self.make_try(&mut stream, request).await;
            tokio::time::sleep(pause).await;
        }
        stream
    }

    /// Sends a request and returns the pause until the next one.
    async fn make_try(&mut self, stream: &mut StreamTries, request: TestRequest) -> time::Duration {
        let sent_at = time::Instant::now();
        let was_calm = self.is_calm(stream, sent_at);
        let gateway = *self.gateways.choose(&mut self.generator).unwrap();
        let Some(mut connection) = request.open(gateway).await else {
            return RETRY_DELAY;
        };
        let response = connection.read_events(usize::MAX).await.clone();
        let pause = response.retry_after.unwrap_or(RETRY_DELAY);
        let is_counted = was_calm && self.is_calm(stream, sent_at);
        stream.receive(request, response, sent_at, is_counted);
        pause
    }

    fn is_calm(&self, stream: &StreamTries, sent_at: time::Instant) -> bool {
        let calm = self.calm.lock();
        let Some(period) = calm.as_ref().filter(|period| period.is_counted) else {
            return false;
        };
        stream
            .origin
            .as_ref()
            .map_or(period.since <= sent_at, |origin| {
                period.since <= origin.sent_at && period.versions.contains(&origin.writer)
            })
    }
}

impl StreamTries {
    fn is_open(&self) -> bool {
        self.tries.len() < MAX_TRIES && self.last_event < EVENT_COUNT
    }

    fn next_request(&self, first: &TestRequest, number: usize) -> TestRequest {
        let id = format!("{}-{number}", first.id);
        match &self.origin {
            Some(origin) => first.take_up(&id, self.last_event, &origin.request),
            None => TestRequest {
                id,
                ..first.clone()
            },
        }
    }

    fn receive(
        &mut self,
        request: TestRequest,
        response: TestResponse,
        sent_at: time::Instant,
        is_counted: bool,
    ) {
        let after = self.last_event;
        let writers = response.event_writers();
        self.last_event += u64::try_from(writers.len()).unwrap();
        if let Some(writer) = writers.into_iter().next()
            && self.origin.is_none()
        {
            self.origin = Some(StreamOrigin {
                request: request.id.clone(),
                writer,
                sent_at,
            });
        }
        self.tries.push(StreamTry {
            request,
            response,
            after,
            is_counted,
        });
    }

    /// Fails the test unless all events come from one software version, in order, none missing or twice.
    pub fn check(&self) {
        let Some(origin) = &self.origin else {
            let is_complete = self.tries.iter().any(|part| part.response.is_success());
            return assert!(!is_complete, "no event: {self:?}");
        };
        for part in &self.tries {
            let mut writers = part.response.event_writers();
            writers.retain(|writer| *writer != origin.writer);
            assert!(writers.is_empty(), "joined with {writers:?}: {self:?}");
            let events = part.response.events();
            // The last event may be incomplete, so that the next try brings it again.
            let is_in_order =
                iter::zip(part.after + 1.., &events).all(|(next, event)| next == *event);
            assert!(is_in_order, "events {events:?}: {self:?}");
            if part.response.is_success() {
                assert_eq!(events.last(), Some(&EVENT_COUNT), "{self:?}");
            }
        }
    }

    /// Ids of all requests that were answered.
    pub fn requests(&self) -> impl Iterator<Item = &str> {
        self.tries.iter().map(|part| part.request.id.as_str())
    }

    /// Adds the requests of new streams, or the take-ups, of all times or of calm periods.
    pub fn count(&self, counts: &mut TryCounts, is_take_up: bool, is_calm: bool) {
        let tries = self.tries.iter();
        for part in tries.filter(|part| (part.after > 0) == is_take_up) {
            if part.is_counted || !is_calm {
                counts.made += 1;
                counts.refused += usize::from(part.response.status != 200);
                counts.successful += usize::from(!part.response.event_writers().is_empty());
            }
        }
    }
}

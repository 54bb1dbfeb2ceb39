//! Follower and publisher under a paused clock.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use operators::{patch, snapshot};
use platform::{
    follower::{ConfigurationFollower, FollowerSettings, ImageSource, PublishedState},
    log::LogService,
    publisher::{PatchPublisher, PublishError, PublishOutcome},
    reader::CONFIGURATION_STREAM,
    stand_in::log::MemoryLog,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{sync::watch, time::Instant};

const RETENTION: Duration = Duration::from_secs(4_000);
const LIMIT: Duration = Duration::from_secs(10);
/// I8: an accepted configuration is in effect everywhere within this time.
const EFFECT_LIMIT: Duration = Duration::from_secs(3);

struct Peers(Option<snapshot::EncodedImage>);

impl ImageSource for Peers {
    fn image(&self, _: u64) -> BoxFuture<'_, Option<snapshot::EncodedImage>> {
        Box::pin(async { self.0.clone() })
    }
}

fn patch(id: u32, base: u64) -> patch::Patch {
    let text = format!(
        "id: 2f8b3a52-5d8e-4c6a-9c1b-{id:012}\nbase: {base}\nchanges:\n  - set_service: {{name: s{id}, repeatable: true}}\n"
    );
    patch::Patch::from_yaml(&text).unwrap()
}

fn follow(log: &Arc<MemoryLog>, peers: Peers) -> ConfigurationFollower {
    let log: Arc<dyn LogService> = Arc::clone(log) as _;
    let settings = FollowerSettings {
        retention: RETENTION,
        ..FollowerSettings::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    ConfigurationFollower::start(log, Arc::new(peers), settings, logger)
}

fn publisher(log: &Arc<MemoryLog>) -> PatchPublisher {
    let log: Arc<dyn LogService> = Arc::clone(log) as _;
    PatchPublisher::new(log, RETENTION, ChaCha8Rng::seed_from_u64(1))
}

fn version(state: &PublishedState) -> u64 {
    state
        .as_ref()
        .map_or(0, |state| state.configuration.version())
}

async fn reach(state: &mut watch::Receiver<PublishedState>, wanted: u64) -> Duration {
    let start = Instant::now();
    let reached = state.wait_for(|state| state.is_some() && version(state) >= wanted);
    tokio::time::timeout(Duration::from_mins(1), reached)
        .await
        .expect("the version is published")
        .unwrap();
    start.elapsed()
}

// Guards against a follower that stays behind after an outage, or goes back to an older version.
#[tokio::test(start_paused = true)]
async fn a_follower_survives_outages_and_lost_replies() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let follower = follow(&log, Peers(None));
    let mut state = follower.state();
    let mut publisher = publisher(&log);
    let mut longest = Duration::ZERO;
    for base in 0..10_u32 {
        match base % 3 {
            0 => log.lose_replies(2),
            1 => log.set_down(Duration::from_secs(5)),
            _ => log.set_delay(Duration::from_millis(300)),
        }
        let before = version(&state.borrow());
        let outcome = publisher.publish(&patch(base, base.into()), LIMIT).await;
        let wanted = u64::from(base) + 1;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted { version: wanted }));
        assert!(version(&state.borrow()) >= before);
        let wait = reach(&mut state, wanted).await;
        assert!(wait <= EFFECT_LIMIT, "version {wanted} took {wait:?}");
        longest = longest.max(wait);
    }
    println!("longest time from the outcome to its effect: {longest:?} of virtual time");
    follower.close().await;
}

// Guards against a process that cannot start, or goes back, while the log is down.
#[tokio::test(start_paused = true)]
async fn a_follower_takes_an_image_while_the_log_is_down_and_then_resumes() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let first = follow(&log, Peers(None));
    publisher(&log).publish(&patch(1, 0), LIMIT).await.unwrap();
    reach(&mut first.state(), 1).await;
    let image = first
        .state()
        .borrow()
        .as_deref()
        .map(snapshot::encode_image);
    log.set_down(Duration::from_secs(30));
    let second = follow(&log, Peers(image));
    let mut state = second.state();
    assert!(reach(&mut state, 1).await < Duration::from_secs(30));
    let racing = publisher(&log)
        .publish(&patch(2, 1), Duration::from_mins(1))
        .await;
    assert_eq!(racing, Ok(PublishOutcome::Accepted { version: 2 }));
    assert!(reach(&mut state, 2).await <= EFFECT_LIMIT);
    first.close().await;
    second.close().await;
}

// Guards against a state that is lost when the patches expire.
#[tokio::test(start_paused = true)]
async fn snapshots_let_a_cold_follower_start_after_the_patches_expired() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let follower = follow(&log, Peers(None));
    for base in 0..5_u32 {
        publisher(&log)
            .publish(&patch(base, base.into()), LIMIT)
            .await
            .unwrap();
    }
    tokio::time::sleep(RETENTION / 3).await;
    let appended = log.appended_records();
    assert!((6..=8).contains(&appended), "{appended} records");
    log.expire_before(CONFIGURATION_STREAM, 5);
    let cold = follow(&log, Peers(None));
    reach(&mut cold.state(), 5).await;
    log.expire_before(CONFIGURATION_STREAM, appended);
    let stuck = publisher(&log).publish(&patch(9, 5), LIMIT).await;
    assert!(matches!(stuck, Err(PublishError::NotPublished { .. })));
    cold.close().await;
    follower.close().await;
}

// Guards against a publisher that reports a guess instead of the outcome in the log.
#[tokio::test(start_paused = true)]
async fn publishing_reports_the_outcome_of_the_log() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let accepted = Ok(PublishOutcome::Accepted { version: 1 });
    let (mut one, mut two) = (publisher(&log), publisher(&log));
    let (first, second) = (patch(1, 0), patch(2, 0));
    let (left, right) = tokio::join!(one.publish(&first, LIMIT), two.publish(&second, LIMIT));
    assert_eq!(left, accepted);
    assert_eq!(right, Ok(PublishOutcome::Refused { current: 1 }));
    assert_eq!(publisher(&log).publish(&first, LIMIT).await, accepted);
    let future = publisher(&log).publish(&patch(3, 9), LIMIT).await;
    assert_eq!(future, Ok(PublishOutcome::Refused { current: 1 }));
    let text = "id: 2f8b3a52-5d8e-4c6a-9c1b-000000000077\nbase: 1\nchanges: [{remove_adapter: {name: x}}]\n";
    let invalid = patch::Patch::from_yaml(text).unwrap();
    let outcome = publisher(&log).publish(&invalid, LIMIT).await;
    assert!(matches!(outcome, Ok(PublishOutcome::Invalid { .. })));
    log.set_down(LIMIT * 2);
    let down = publisher(&log).publish(&patch(4, 1), LIMIT).await;
    assert!(matches!(down, Err(PublishError::NotPublished { .. })));
    tokio::time::sleep(LIMIT * 2).await;
    log.set_lag(10);
    let hidden = publisher(&log).publish(&patch(5, 1), LIMIT).await;
    assert!(matches!(hidden, Err(PublishError::OutcomeUnknown { .. })));
    log.set_lag(0);
    let again = publisher(&log).publish(&patch(5, 1), LIMIT).await;
    assert_eq!(again, Ok(PublishOutcome::Accepted { version: 2 }));
}

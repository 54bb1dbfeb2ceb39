//! Tests of the configuration follower and the publisher under a paused clock.

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
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// I8: an accepted configuration takes effect everywhere within this time.
const EFFECT_LIMIT: Duration = Duration::from_secs(3);

struct StaticImageSource(Option<snapshot::EncodedImage>);

impl ImageSource for StaticImageSource {
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

fn start_follower(log: &Arc<MemoryLog>, peers: StaticImageSource) -> ConfigurationFollower {
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

async fn wait_for_version(state: &mut watch::Receiver<PublishedState>, wanted: u64) -> Duration {
    let start = Instant::now();
    let reached = state.wait_for(|state| state.is_some() && version(state) >= wanted);
    tokio::time::timeout(Duration::from_mins(1), reached)
        .await
        .expect("the version was not published in time")
        .unwrap();
    start.elapsed()
}

// Guards against a follower that lags after a log outage or reverts to an older version.
#[tokio::test(start_paused = true)]
async fn follower_recovers_from_outages_and_lost_replies() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let follower = start_follower(&log, StaticImageSource(None));
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
        let outcome = publisher
            .publish(&patch(base, base.into()), PUBLISH_TIMEOUT)
            .await;
        let wanted = u64::from(base) + 1;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted { version: wanted }));
        assert!(version(&state.borrow()) >= before);
        let wait = wait_for_version(&mut state, wanted).await;
        assert!(wait <= EFFECT_LIMIT, "version {wanted} took {wait:?}");
        longest = longest.max(wait);
    }
    println!("longest time from outcome to effect: {longest:?} of virtual time");
    follower.close().await;
}

// Guards against a process that cannot start during a log outage, or reverts to an older version.
#[tokio::test(start_paused = true)]
async fn follower_starts_from_a_peer_image_during_a_log_outage() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let first = start_follower(&log, StaticImageSource(None));
    publisher(&log)
        .publish(&patch(1, 0), PUBLISH_TIMEOUT)
        .await
        .unwrap();
    wait_for_version(&mut first.state(), 1).await;
    let image = first
        .state()
        .borrow()
        .as_deref()
        .map(snapshot::encode_image);
    log.set_down(Duration::from_secs(30));
    let second = start_follower(&log, StaticImageSource(image));
    let mut state = second.state();
    assert!(wait_for_version(&mut state, 1).await < Duration::from_secs(30));
    let racing = publisher(&log)
        .publish(&patch(2, 1), Duration::from_mins(1))
        .await;
    assert_eq!(racing, Ok(PublishOutcome::Accepted { version: 2 }));
    assert!(wait_for_version(&mut state, 2).await <= EFFECT_LIMIT);
    first.close().await;
    second.close().await;
}

// Guards against losing the configuration when its patches expire from the log.
#[tokio::test(start_paused = true)]
async fn new_follower_starts_from_a_snapshot_after_the_patches_expired() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let follower = start_follower(&log, StaticImageSource(None));
    for base in 0..5_u32 {
        publisher(&log)
            .publish(&patch(base, base.into()), PUBLISH_TIMEOUT)
            .await
            .unwrap();
    }
    tokio::time::sleep(RETENTION / 3).await;
    let appended = log.appended_records();
    assert!((6..=8).contains(&appended), "{appended} records");
    log.expire_before(CONFIGURATION_STREAM, 5);
    let new_follower = start_follower(&log, StaticImageSource(None));
    wait_for_version(&mut new_follower.state(), 5).await;
    log.expire_before(CONFIGURATION_STREAM, appended);
    let stuck = publisher(&log).publish(&patch(9, 5), PUBLISH_TIMEOUT).await;
    assert!(matches!(stuck, Err(PublishError::NotPublished { .. })));
    new_follower.close().await;
    follower.close().await;
}

// Guards against a publisher that reports an outcome other than the one in the log.
#[tokio::test(start_paused = true)]
async fn publisher_reports_the_outcome_in_the_log() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let accepted = Ok(PublishOutcome::Accepted { version: 1 });
    let (mut one, mut two) = (publisher(&log), publisher(&log));
    let (first, second) = (patch(1, 0), patch(2, 0));
    let (left, right) = tokio::join!(
        one.publish(&first, PUBLISH_TIMEOUT),
        two.publish(&second, PUBLISH_TIMEOUT)
    );
    assert_eq!(left, accepted);
    assert_eq!(right, Ok(PublishOutcome::Refused { current: 1 }));
    assert_eq!(
        publisher(&log).publish(&first, PUBLISH_TIMEOUT).await,
        accepted
    );
    let future = publisher(&log).publish(&patch(3, 9), PUBLISH_TIMEOUT).await;
    assert_eq!(future, Ok(PublishOutcome::Refused { current: 1 }));
    let text = "id: 2f8b3a52-5d8e-4c6a-9c1b-000000000077\nbase: 1\nchanges: [{remove_adapter: {name: x}}]\n";
    let invalid = patch::Patch::from_yaml(text).unwrap();
    let outcome = publisher(&log).publish(&invalid, PUBLISH_TIMEOUT).await;
    assert!(matches!(outcome, Ok(PublishOutcome::Invalid { .. })));
    log.set_down(PUBLISH_TIMEOUT * 2);
    let down = publisher(&log).publish(&patch(4, 1), PUBLISH_TIMEOUT).await;
    assert!(matches!(down, Err(PublishError::NotPublished { .. })));
    tokio::time::sleep(PUBLISH_TIMEOUT * 2).await;
    log.set_lag(10);
    let hidden = publisher(&log).publish(&patch(5, 1), PUBLISH_TIMEOUT).await;
    assert!(matches!(hidden, Err(PublishError::OutcomeUnknown { .. })));
    log.set_lag(0);
    let again = publisher(&log).publish(&patch(5, 1), PUBLISH_TIMEOUT).await;
    assert_eq!(again, Ok(PublishOutcome::Accepted { version: 2 }));
}

//! Tests of the stand-ins, in memory and over HTTP.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use platform::{
    http::{HttpTimeouts, PlatformClient},
    instances::{Instance, InstanceList, InstanceRole, InstanceState},
    log::{LogError, LogService, MAX_RECORD_BYTES},
    stand_in::{
        instances::MemoryInstances,
        log::MemoryLog,
        server::{PlatformServer, PlatformServices},
        weights::{MemoryWeights, START_BURST, STARTS_PER_SECOND},
    },
    weights::{WeightError, WeightStore},
};
use tokio::time::Instant;

// Guards against HTTP mapping a log error to one with another effect on the log.
#[tokio::test]
async fn http_preserves_records_and_error_kinds() {
    let log = Arc::new(MemoryLog::new(1 << 20));
    let instances = Arc::new(MemoryInstances::default());
    let services = PlatformServices {
        log: Arc::clone(&log) as _,
        instances: Arc::clone(&instances) as _,
        weights: Arc::new(MemoryWeights::default()),
    };
    let server = PlatformServer::start(services).await.unwrap();
    let client = PlatformClient::new(server.address(), HttpTimeouts::default());
    let record = |text: &'static [u8]| vec![Bytes::from_static(text)];
    assert_eq!(client.append("s", record(b"\x00\xff")).await, Ok(0));
    log.lose_replies(1);
    let lost = client.append("s", record(b"b")).await;
    assert!(
        matches!(lost, Err(LogError::MaybeApplied { .. })),
        "{lost:?}"
    );
    let large = vec![Bytes::from(vec![0; MAX_RECORD_BYTES + 1])];
    let large = client.append("s", large).await;
    assert!(matches!(large, Err(LogError::Refused { .. })), "{large:?}");
    let batch = client.read("s", 0, 10).await.unwrap();
    assert_eq!(
        (batch.first_retained, batch.end, batch.records.len()),
        (0, 2, 2)
    );
    assert_eq!(&batch.records[0].payload[..], b"\x00\xff");
    log.expire_before("s", 1);
    let expired = client.read("s", 0, 10).await;
    assert_eq!(expired, Err(LogError::OffsetExpired { first_retained: 1 }));
    log.set_down(Duration::from_hours(1));
    let down = client.append("s", record(b"c")).await;
    assert!(matches!(down, Err(LogError::NotApplied { .. })), "{down:?}");

    let instance = Instance {
        address: "127.0.0.1:9".parse().unwrap(),
        role: InstanceRole::Agent,
        data_centre: "d1".to_owned(),
        state: InstanceState::Leaving,
    };
    instances.set(vec![instance.clone()]);
    assert_eq!(client.list().await.unwrap().instances, [instance]);
    client.load("notes@1").await.unwrap();

    server.close().await;
    let closed = client.append("s", record(b"d")).await;
    assert!(
        matches!(closed, Err(LogError::NotApplied { .. })),
        "{closed:?}"
    );
}

// Guards against a log that grows without bound or drops records without reporting it.
#[tokio::test(start_paused = true)]
async fn log_expires_records_above_its_size() {
    let log = MemoryLog::new(1_000);
    for _ in 0..100 {
        log.append("s", vec![Bytes::from(vec![0; 100])])
            .await
            .unwrap();
    }
    let batch = log.read("s", 90, 1_000).await.unwrap();
    assert_eq!(
        (batch.first_retained, batch.end, batch.records.len()),
        (90, 100, 10)
    );
    assert!(matches!(
        log.read("s", 89, 1).await,
        Err(LogError::OffsetExpired { .. })
    ));
}

// Guards against a list that shows changes before its lag has passed.
#[tokio::test(start_paused = true)]
async fn instance_list_shows_changes_after_its_lag() {
    let list = MemoryInstances::default();
    list.set_lag(Duration::from_secs(5));
    list.set(vec![Instance {
        address: "127.0.0.1:9".parse().unwrap(),
        role: InstanceRole::Entry,
        data_centre: "d1".to_owned(),
        state: InstanceState::Live,
    }]);
    assert_eq!(list.list().await.unwrap().instances.len(), 0);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(list.list().await.unwrap().instances.len(), 1);
}

// Guards against a stand-in store that is faster than the platform's, which would make every
// measurement too good.
#[tokio::test(start_paused = true)]
async fn weight_store_limits_starts_and_slows_down_above_eight_loads() {
    let store = Arc::new(MemoryWeights::default());
    let start = Instant::now();
    let mut started = 0;
    while start.elapsed() < Duration::from_secs(20) {
        let store = Arc::clone(&store);
        let load = tokio::spawn(async move { store.load("a").await });
        tokio::time::sleep(Duration::from_millis(20)).await;
        // A refused load ends at once; a started one is still running.
        started += u32::from(!load.is_finished());
    }
    let allowed = START_BURST + 20.0 * STARTS_PER_SECOND;
    assert!(
        (f64::from(started) - allowed).abs() <= 1.0,
        "{started} starts"
    );

    store.set_slowdown(40.0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let first = Instant::now();
    let mut loads = tokio::task::JoinSet::new();
    while loads.len() < 16 {
        let store = Arc::clone(&store);
        loads.spawn(async move {
            while let Err(WeightError::RateLimited { retry_after }) = store.load("a").await {
                tokio::time::sleep(retry_after).await;
            }
        });
    }
    loads.join_all().await;
    // 16 loads of 10 s at a capacity of 8 take 20 s; the rate limit spreads their starts over 3 s.
    let seconds = first.elapsed().as_secs_f64();
    assert!((19.0..23.0).contains(&seconds), "{seconds} s");
}

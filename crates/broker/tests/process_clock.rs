//! Times of events that are older than the process that is told of them.

use std::time;

use broker::{message, process_clock::ProcessClock};

fn observed(age: time::Duration) -> message::ObservedCrash {
    message::ObservedCrash {
        address: ([127, 0, 0, 1], 9000).into(),
        incarnation: 7,
        age,
        suspects: Vec::new(),
    }
}

// Guards against crashes that fall on one moment, and count as one, because they are older than the process
// that is told of them.
#[tokio::test(start_paused = true)]
async fn events_before_the_start_keep_their_ages() {
    let clock = ProcessClock::start();
    for age_ms in [0, 200, 5_000, 3_600_000] {
        let told = observed(time::Duration::from_millis(age_ms));
        let crash = told.clone().into_crash(clock.now());
        assert_eq!(message::ObservedCrash::new(&crash, clock.now()), told);
    }
}

// Guards against a clock that stands still, so that nothing gets older.
#[tokio::test(start_paused = true)]
async fn events_get_older() {
    let clock = ProcessClock::start();
    let told = observed(time::Duration::from_millis(300));
    let crash = told.into_crash(clock.now());
    tokio::time::advance(time::Duration::from_millis(500)).await;
    let later = message::ObservedCrash::new(&crash, clock.now());
    assert_eq!(later.age, time::Duration::from_millis(800));
}

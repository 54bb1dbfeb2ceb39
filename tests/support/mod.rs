//! Processes, stand-ins and faults for tests of the whole system.
//!
//! The entries and agents are child processes that run the real binary. Engines, the plain service
//! and the platform are stand-ins inside the test process.

pub mod caller;
pub mod cluster;
pub mod platform_cluster;
pub mod process;
pub mod relay;
pub mod service;
pub mod stream_caller;

use std::{future::Future, time};

/// Time limit of one test; a test that exceeds it fails.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(50);
/// Time limit of the wait for one condition.
const CONDITION_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Runs a test with a limit on its time.
pub async fn bounded<T>(test: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, test)
        .await
        .expect("the test exceeds its limit")
}

/// Waits until a condition holds and fails the test if it never does.
pub async fn until<F: Future<Output = bool>>(
    condition_name: &str,
    mut condition: impl FnMut() -> F,
) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let outcome = tokio::time::timeout(CONDITION_TIMEOUT, wait).await;
    assert!(outcome.is_ok(), "condition not met: {condition_name}");
}

/// Waits for a fixed time that is part of the behaviour under test.
pub async fn pause(seconds: u64) {
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
}

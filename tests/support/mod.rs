//! Processes, stand-ins and faults for tests of the whole system.
//!
//! The entries and agents are child processes that run the real binary. Engines, the plain service
//! and the platform are stand-ins inside the test process.

pub mod caller;
pub mod cluster;
pub mod process;
pub mod relay;
pub mod service;

use std::{future::Future, time};

/// Longest time of one test; a test that exceeds it fails.
const TEST_LIMIT: time::Duration = time::Duration::from_secs(50);
/// Longest wait for one condition.
const CONDITION_LIMIT: time::Duration = time::Duration::from_secs(20);
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Runs a test with a limit on its time.
pub async fn bounded<T>(test: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_LIMIT, test)
        .await
        .expect("the test exceeds its limit")
}

/// Waits until a condition holds and fails the test if it never does.
pub async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    };
    let outcome = tokio::time::timeout(CONDITION_LIMIT, wait).await;
    assert!(outcome.is_ok(), "not reached: {what}");
}

/// Waits for a fixed time that the behaviour under test is defined by.
pub async fn pause(seconds: u64) {
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
}

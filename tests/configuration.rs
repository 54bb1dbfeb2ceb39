//! Delivery of accepted configurations to every process, without reverting one.

#[allow(dead_code)]
mod support;

use std::time;

use rustix::process::Signal;
use support::{
    bounded, caller,
    cluster::{self, TestCluster},
    pause, process, until,
};
use test_case::test_case;
use tokio::task;

const OUTAGE: time::Duration = time::Duration::from_mins(1);
const SETTLE_SECONDS: u64 = 2;

// Guards against two operators whose racing patches are both accepted or both refused, and against a
// refusal that does not name the current version (I8).
#[test_case(0; "log up")]
#[test_case(1; "one append reply lost")]
#[test_case(2; "two append replies lost")]
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_patches_is_accepted(lost_replies: u32) {
    bounded(async {
        let cluster = TestCluster::start().await;
        cluster.configure().await;
        cluster.log.lose_replies(lost_replies);
        let outputs = futures::future::join(
            cluster.publish(1, cluster::SECOND_PATCH),
            cluster.publish(1, cluster::SECOND_PATCH),
        )
        .await;
        let outputs = [outputs.0, outputs.1];
        let mut codes = outputs.each_ref().map(|output| output.code);
        codes.sort_unstable();
        assert_eq!(codes, [Some(0), Some(3)], "{outputs:?}");
        for output in &outputs {
            let expected = match output.code {
                Some(0) => "accepted as configuration version 2",
                _ => "the current version is 2",
            };
            assert!(output.stdout.contains(expected), "{outputs:?}");
        }
    })
    .await;
}

/// Versions in the status of an entry over time.
struct VersionWatch {
    task: task::JoinHandle<Vec<u64>>,
}

impl VersionWatch {
    /// Reads the version of an entry until its process ends.
    fn start(entry: std::net::SocketAddr) -> Self {
        let task = tokio::spawn(async move {
            let mut versions = Vec::new();
            loop {
                let status = caller::status(entry).await;
                match status["configuration_version"].as_u64() {
                    Some(version) => versions.push(version),
                    None if versions.is_empty() => {}
                    None => return versions,
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        });
        Self { task }
    }

    /// Versions read until the entry ended.
    async fn close(self) -> Vec<u64> {
        self.task.await.unwrap()
    }
}

// Guards against a patch that a stopped entry or a restarted process misses when the log goes down
// right after it, and against a process that reports a lower version than before (I8).
#[test_case(false; "log down")]
#[test_case(true; "log down and records expired")]
#[tokio::test(flavor = "multi_thread")]
async fn accepted_patch_reaches_every_process(is_expired: bool) {
    bounded(async {
        let cluster = TestCluster::start().await;
        cluster.configure().await;
        let engine = cluster::start_engine(5).await;
        let addresses = [process::free_address(), process::free_address()];
        let kept = cluster.start_agent(addresses[0], &[engine.address()]);
        let mut restarted = cluster.start_agent(addresses[1], &[]);
        let mut entries = [
            cluster.start_entry(&addresses),
            cluster.start_entry(&addresses),
        ];
        for entry in &entries {
            cluster::wait_ready(entry.address, 2).await;
            cluster::wait_version(entry.address, 1).await;
        }
        let watches = entries
            .each_ref()
            .map(|entry| VersionWatch::start(entry.address));
        entries[1].process.stop().await;
        restarted.process.kill();
        let output = cluster.publish(1, cluster::SECOND_PATCH).await;
        assert_eq!(output.code, Some(0), "{output:?}");
        cluster::wait_version(entries[0].address, 2).await;
        until("the agent has version 2", || async {
            cluster::agent_version(kept.address).await == 2
        })
        .await;
        cluster.log.set_down(OUTAGE);
        if is_expired {
            cluster.log.expire_before("configuration", 2);
        }
        entries[1].process.signal(Signal::CONT);
        let _restarted = cluster.start_agent(addresses[1], &[]);
        let started = cluster.start_entry(&addresses);
        for entry in [&entries[0], &entries[1], &started] {
            cluster::wait_version(entry.address, 2).await;
            until("version 2 is served", || async {
                let response = caller::stream_completion(entry.address, "notes", "hello", 5).await;
                response.is_complete("notes@2", "hello", 5)
            })
            .await;
        }
        cluster.log.set_down(time::Duration::ZERO);
        pause(SETTLE_SECONDS).await;
        for entry in [&entries[0], &entries[1], &started] {
            assert_eq!(caller::configuration_version(entry.address).await, 2);
        }
        for entry in &mut entries {
            entry.process.kill();
        }
        for watch in watches {
            let versions = watch.close().await;
            assert!(versions.is_sorted(), "{versions:?}");
            assert_eq!(versions.last(), Some(&2));
        }
    })
    .await;
}

// Guards against an error for client libraries that request the model list.
#[tokio::test(flavor = "multi_thread")]
async fn configured_adapters_are_listed() {
    bounded(async {
        let cluster = TestCluster::start().await;
        cluster.configure().await;
        let agent = cluster.start_agent(process::free_address(), &[]);
        let entry = cluster.start_entry(&[agent.address]);
        cluster::wait_version(entry.address, 1).await;
        let response = caller::send(entry.address, "GET", "/v1/models", "", "").await;
        let listed: serde_json::Value = serde_json::from_str(&response.body).unwrap();
        let expected = serde_json::json!({"object": "list", "data": [
            {"id": "notes", "object": "model", "created": 0, "owned_by": "northlink"},
        ]});
        assert_eq!((response.status, listed), (200, expected));
    })
    .await;
}

//! Memory of a gateway process while its callers upload long bodies.

#[allow(dead_code)]
mod support;

use std::time;

use futures::future;
use platform_wire::stand_in::{
    caller::{self, TestRequest},
    deployment::{self, StandInDeployment},
    replica::ReplicaFault,
};
use support::{bounded, process, until};
use test_case::test_case;

const MEMORY_MB: usize = 64;
const MB: usize = 1_000_000;
const BODY_BYTES: usize = MB;
const CALL_COUNT: usize = 120;
/// Time within which a configuration is in force.
const APPLY_TIME: time::Duration = time::Duration::from_secs(1);

fn upload(id: &str, path: &str) -> TestRequest {
    TestRequest {
        body: "x".repeat(BODY_BYTES),
        ..TestRequest::plain(id, path)
    }
}

// Guards against a gateway that exceeds its instance's memory because many bodies are open at once,
// and against refusals for bodies that need not be kept, because their requests are sent only once.
#[test_case(deployment::UNSAFE_PATH, CALL_COUNT; "sent once")]
#[test_case(deployment::SAFE_PATH, 1; "kept for a second attempt")]
#[tokio::test(flavor = "multi_thread")]
async fn uploads_stay_within_the_memory(path: &'static str, least_served: usize) {
    bounded(async {
        let platform = StandInDeployment::start().await.unwrap();
        platform.publish_body_limit(2, BODY_BYTES);
        for replica in &platform.plain_replicas {
            replica.set_fault(ReplicaFault::Slow);
        }
        let directory = tempfile::tempdir().unwrap();
        let (callers, readiness) = (process::free_address(), process::free_address());
        let settings = process::gateway_settings(&process::GatewayAddresses {
            callers,
            readiness,
            store: platform.store.address(),
            broker_port: 1,
            memory_mb: MEMORY_MB,
        });
        let gateway =
            process::ChildProcess::start("gateway", "front-0", &settings, directory.path());
        until("the gateway is ready", || caller::is_ready(readiness)).await;
        tokio::time::sleep(APPLY_TIME).await;
        let mut calls = Vec::new();
        for number in 0..CALL_COUNT {
            let id = format!("call-{number}");
            let call = upload(&id, path);
            let open = tokio::spawn(async move { call.send(callers).await });
            until("the call is at a replica or refused", || async {
                open.is_finished() || platform.count_runs(&id) > 0
            })
            .await;
            calls.push(open);
        }
        let mut served = 0;
        for response in future::join_all(calls).await {
            let response = response.unwrap();
            if response.is_success() {
                served += 1;
            } else {
                assert_eq!(response.status, 503, "{response:?}");
                assert!(response.retry_after.is_some(), "{response:?}");
            }
        }
        let peak = gateway.peak_memory();
        assert!(peak < MEMORY_MB * MB, "{peak} bytes resident");
        assert!(served >= least_served, "{served} served");
    })
    .await;
}

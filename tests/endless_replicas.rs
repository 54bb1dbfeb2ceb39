//! Memory of a gateway process whose replicas send without end.

#[allow(dead_code)]
mod support;

use std::time;

use platform_wire::stand_in::{
    caller::{self, TestRequest},
    deployment::{self, StandInDeployment},
    endless::{EndlessPart, EndlessReplica},
};
use support::{bounded, process, until};
use test_case::test_case;

const MEMORY_MB: usize = 64;
const MB: usize = 1_000_000;
const CALL_COUNT: usize = 200;

fn request(id: &str, is_plain: bool) -> TestRequest {
    let mut request = if is_plain {
        TestRequest::plain(id, deployment::UNSAFE_PATH)
    } else {
        TestRequest::stream(id, "a1", 3)
    };
    if !is_plain {
        deployment::SINGLE_STREAM_PATH.clone_into(&mut request.path);
    }
    request.deadline = time::Duration::from_secs(4);
    request
}

// Guards against a gateway that runs out of its instance's memory because many replicas send without
// end at once, and against a response that says of a request that ran that it did not.
#[test_case(EndlessPart::HeaderLines, true)]
#[test_case(EndlessPart::Body, true)]
#[test_case(EndlessPart::Event, false)]
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses_stay_within_the_memory(part: EndlessPart, is_plain: bool) {
    bounded(async {
        let platform = StandInDeployment::start().await.unwrap();
        let ip = platform.engines[0].address().ip();
        let replica = EndlessReplica::start(ip, part, None).await.unwrap();
        platform.list_substitute(replica.address(), is_plain);
        let directory = tempfile::tempdir().unwrap();
        let broker_port = process::free_address().port();
        let broker_settings = serde_json::json!({
            "instance": "side-0", "data_centre": "north",
            "listen": format!("{ip}:{broker_port}"), "engine": platform.engines[0].address(),
            "unstarted": 1_000,
        });
        let _broker =
            process::ChildProcess::start("broker", "broker-0", &broker_settings, directory.path());
        let (callers, readiness) = (process::free_address(), process::free_address());
        let settings = process::gateway_settings(&process::GatewayAddresses {
            callers,
            readiness,
            store: platform.store.address(),
            broker_port,
            memory_mb: MEMORY_MB,
        });
        let gateway =
            process::ChildProcess::start("gateway", "front-0", &settings, directory.path());
        until("the gateway is ready", || caller::is_ready(readiness)).await;
        until("the gateway uses the replica", || async {
            request("probe", is_plain).send(callers).await;
            replica.accepted() > 0
        })
        .await;
        let calls = (0..CALL_COUNT).map(|number| async move {
            request(&format!("call-{number}"), is_plain)
                .send(callers)
                .await
        });
        let responses = futures::future::join_all(calls).await;
        for response in responses {
            let text = String::from_utf8_lossy(&response.body);
            assert!(!text.contains("FOREIGN"), "{response:?}");
            match response.status {
                200 => assert!(!response.is_complete, "{response:?}"),
                503 => assert!(response.retry_after.is_some(), "{response:?}"),
                status => assert!(matches!(status, 502 | 504), "{response:?}"),
            }
        }
        let peak = gateway.peak_memory();
        assert!(peak < MEMORY_MB * MB, "{peak} bytes resident");
        replica.close().await;
    })
    .await;
}

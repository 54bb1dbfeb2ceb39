//! Organisations and their keys at the interface of an entry, with real processes.

#[allow(dead_code)]
mod support;

use std::fs;

use support::{
    bounded, caller,
    cluster::{self, TestCluster},
    process,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const NORTH_KEY: &str = "quiet-harbour-0001";
const SOUTH_KEY: &str = "quiet-harbour-0002";
const ORGANISATIONS: &str = "changes:
  - set_organisation: {name: north, keys: [quiet-harbour-0001]}
  - set_organisation: {name: south, keys: [quiet-harbour-0002]}
";
const REVOCATION: &str = "changes: [{remove_organisation: {name: south}}]";
const LAST_REVOCATION: &str = "changes: [{remove_organisation: {name: north}}]";

/// Posts an order with an idempotency key and header lines.
async fn order(entry: std::net::SocketAddr, headers: &str, body: &str) -> caller::TestResponse {
    let headers = format!("idempotency-key: order-1\r\nx-deadline-ms: 20000\r\n{headers}");
    caller::send(entry, "POST", "/services/orders/new", &headers, body).await
}

fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

/// Status line of the response to a request whose body is never sent.
async fn status_before_body(entry: std::net::SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 3000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = vec![0; 1024];
    let length = stream.read(&mut response).await.unwrap();
    String::from_utf8_lossy(&response[..length]).into_owned()
}

// Guards against a request without a valid key that runs or whose body is awaited, a key that still
// works after its removal, a response given to another organisation, and a key that is shown.
#[tokio::test(flavor = "multi_thread")]
async fn only_organisations_with_keys_are_served() {
    bounded(async {
        let cluster = TestCluster::start().await;
        cluster.configure().await;
        let agent = cluster.start_agent(process::free_address(), &[]);
        let node = cluster.start_entry(&[agent.address]);
        let entry = node.address;
        cluster::wait_ready(entry, 1).await;
        cluster::wait_version(entry, 1).await;
        // Without organisations a key means nothing.
        let response = order(entry, &bearer("any"), "first").await;
        assert_eq!(response.status, 200, "{response:?}");

        let published = cluster.publish(1, ORGANISATIONS).await;
        assert_eq!(published.code, Some(0), "{published:?}");
        cluster::wait_version(entry, 2).await;
        let twice = bearer(NORTH_KEY).repeat(2);
        let basic = format!("authorization: Basic {NORTH_KEY}\r\n");
        let longer = bearer(&format!("{NORTH_KEY}0"));
        for headers in ["", &twice, &basic, &longer] {
            let response = order(entry, headers, "refused").await;
            assert_eq!(response.status, 401, "{headers}: {response:?}");
            assert_eq!(response.outcome().as_deref(), Some("not_run"));
            assert!(response.body.contains("\"unauthorized\""), "{response:?}");
        }
        assert_eq!(cluster.orders.call_count("refused"), 0);
        let models = caller::send(entry, "GET", "/v1/models", "", "").await;
        assert_eq!(models.status, 401, "{models:?}");
        let answer = status_before_body(entry).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");

        // Each organisation has idempotency keys of its own.
        for (key, body) in [(NORTH_KEY, "north"), (SOUTH_KEY, "south")] {
            for _ in 0..2 {
                let response = order(entry, &bearer(key), body).await;
                assert_eq!(response.status, 200, "{response:?}");
            }
            assert_eq!(cluster.orders.call_count(body), 1);
        }

        let published = cluster.publish(2, REVOCATION).await;
        assert_eq!(published.code, Some(0), "{published:?}");
        cluster::wait_version(entry, 3).await;
        assert_eq!(order(entry, &bearer(SOUTH_KEY), "late").await.status, 401);
        assert_eq!(order(entry, &bearer(NORTH_KEY), "north").await.status, 200);

        let published = cluster.publish(3, LAST_REVOCATION).await;
        assert_eq!(published.code, Some(0), "{published:?}");
        cluster::wait_version(entry, 4).await;
        for headers in ["", &bearer(NORTH_KEY), &bearer("any")] {
            let response = order(entry, headers, "closed").await;
            assert_eq!(response.status, 401, "{headers}: {response:?}");
        }
        assert_eq!(cluster.orders.call_count("closed"), 0);

        for path in ["/status", "/metrics"] {
            let shown = caller::send(entry, "GET", path, "", "").await.body;
            assert!(!shown.is_empty() && !shown.contains("harbour"), "{shown}");
        }
        for file in fs::read_dir(cluster.directory.path()).unwrap().flatten() {
            let is_log = file.path().extension().is_some_and(|name| name == "log");
            let text = fs::read_to_string(file.path()).unwrap();
            assert!(!is_log || !text.contains("harbour"), "{text}");
        }
    })
    .await;
}

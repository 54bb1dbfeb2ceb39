//! Idempotency keys and configuration changes, with the stand-in log.

#[allow(dead_code)]
mod support;

use std::{net, sync::Arc, time};

use operators::{configuration, patch, replay, snapshot};
use peers::message;
use platform::{log::LogService, stand_in};
use stand_in::{instances::MemoryInstances, log::MemoryLog, server, weights::MemoryWeights};
use support::{FakeAgent, Faults, LOOPBACK};
use test_case::test_case;

const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Longer than any deadline in these tests; a call that takes longer hangs.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

struct LogServer {
    log: Arc<MemoryLog>,
    server: server::PlatformServer,
    version: u64,
}

impl LogServer {
    /// Log with the non-repeatable service `orders` and one adapter.
    async fn start() -> Self {
        let log = Arc::new(MemoryLog::new(1 << 20));
        let services = server::PlatformServices {
            log: log.clone(),
            instances: Arc::new(MemoryInstances::default()),
            weights: Arc::new(MemoryWeights::default()),
        };
        let server = server::PlatformServer::start(services).await.unwrap();
        let mut this = Self {
            log,
            server,
            version: 0,
        };
        let orders = configuration::ServiceEntry {
            name: "orders".into(),
            repeatable: false,
        };
        this.publish(vec![
            patch::ConfigurationChange::SetService(orders),
            adapter(&[1], 1),
        ])
        .await;
        this
    }

    async fn publish(&mut self, changes: Vec<patch::ConfigurationChange>) {
        let id = patch::PatchId(uuid::Uuid::from_u128(self.version.into()));
        let record = snapshot::encode_patch(&patch::Patch {
            id,
            base: self.version,
            changes,
        });
        self.log
            .append("configuration", vec![record.into()])
            .await
            .unwrap();
        self.version += 1;
    }
}

impl LogServer {
    /// Image of the configuration as an agent offers it.
    async fn image(&self) -> message::ConfigurationImage {
        let batch = self.log.read("configuration", 0, 100).await.unwrap();
        let records = batch.records.iter().map(|record| replay::RecordView {
            offset: record.offset,
            payload: &record.payload,
        });
        let records: Vec<_> = records.collect();
        let view = replay::BatchView {
            first_retained: batch.first_retained,
            end: batch.end,
            records: &records,
        };
        let mut reader = replay::ConfigurationReplay::new(time::Duration::from_hours(24));
        reader.apply_batch(&view, decisions::units::Timestamp(0), &mut rand::rng());
        let image = snapshot::encode_image(&reader.snapshot().unwrap());
        message::ConfigurationImage {
            version: image.version,
            as_of: image.as_of,
            state: image.state,
        }
    }
}

fn adapter(versions: &[u32], default_version: u32) -> patch::ConfigurationChange {
    let entry = configuration::AdapterEntry {
        name: "notes".into(),
        base_model: "base".into(),
        operator: "school".into(),
        versions: versions.into(),
        default_version,
        priority: decisions::units::Priority::Normal,
    };
    if versions == [1] {
        patch::ConfigurationChange::AddAdapter(entry)
    } else {
        patch::ConfigurationChange::ReplaceAdapter(entry)
    }
}

async fn ready_entry(agent: &support::RunningAgent, log: &LogServer) -> entry::server::EntryServer {
    let entry =
        support::start_entry_with_log(&[agent], DRAIN_TIMEOUT, Some(log.server.address())).await;
    support::eventually(|| async {
        support::send(entry.address(), "GET", "/readyz", "")
            .await
            .contains("200 OK")
    })
    .await;
    entry
}

async fn order(address: net::SocketAddr, body: &str, headers: &str) -> String {
    let headers = format!("idempotency-key: k1\r\n{headers}");
    let call = support::send_with(address, "POST", "/services/orders/new", &headers, body);
    let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
    answer.expect("the entry never responded")
}

// Guards against a key that runs twice when two entries receive it (I5), also when the log's reply
// is lost after the append, and against a caller that gets no response because another entry reads
// the same stream (I3).
#[test_case(0, Faults::default(); "no fault")]
#[test_case(1, Faults::default(); "log reply lost after the append")]
#[test_case(0, Faults { lose_reply: true, ..Faults::default() }; "dispatch reply lost")]
#[test_case(1, Faults { lose_reply: true, ..Faults::default() }; "log reply and dispatch reply lost")]
#[test_case(1, Faults { lose_poll: true, ..Faults::default() }; "log reply and poll lost")]
#[tokio::test(flavor = "multi_thread")]
async fn key_at_two_entries_runs_once(lost_replies: u32, faults: Faults) {
    let log = LogServer::start().await;
    let agent = FakeAgent::new(1, support::service_parts(), faults)
        .start(LOOPBACK)
        .await;
    let one = ready_entry(&agent, &log).await;
    let other = ready_entry(&agent, &log).await;
    log.log.lose_replies(lost_replies);
    let calls = [one.address(), other.address(), one.address()];
    let answers =
        futures::future::join_all(calls.map(|address| order(address, "coffee", ""))).await;
    for answer in answers {
        assert!(answer.contains("order 7 stored"), "{answer}");
    }
    let again = order(one.address(), "coffee", "").await;
    assert!(again.contains("order 7 stored"), "{again}");
    assert_eq!(agent.agent.runs(), 1);
}

// Guards against `not_run` for a caller whose request was cancelled by another entry that then runs
// the same key (I4), and against one run for each of the two callers (I5).
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_claim_shares_the_response() {
    let log = LogServer::start().await;
    let late = Faults {
        start_after_tombstone: true,
        // The other entry claims only after this one has read the stream again.
        delay_cancel: true,
        ..Faults::default()
    };
    let agent = FakeAgent::new(1, support::service_parts(), late)
        .start(LOOPBACK)
        .await;
    let one = ready_entry(&agent, &log).await;
    let other = ready_entry(&agent, &log).await;
    let address = one.address();
    let first = tokio::spawn(async move { order(address, "coffee", "").await });
    support::eventually(|| async { agent.agent.dispatches() == 1 }).await;
    let second = order(other.address(), "coffee", "");
    let both = futures::future::join(first, second);
    let (first, second) = tokio::time::timeout(CALL_TIMEOUT, both).await.unwrap();
    let first = first.unwrap();
    assert!(first.contains("order 7 stored"), "{first}");
    assert!(second.contains("order 7 stored"), "{second}");
    assert!(agent.agent.cancels() > 0);
    assert_eq!(agent.agent.runs(), 1);
}

// Guards against `unknown` for a caller that waits for another caller of its key at the same entry
// until its deadline, and against a response that ends when the first caller disconnects.
#[test_case(false; "the first caller stays")]
#[test_case(true; "the first caller leaves")]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_one_entry_share_the_response(is_leaving: bool) {
    let log = LogServer::start().await;
    let agent = support::start_held_agent(support::service_parts(), 1).await;
    let entry = ready_entry(&agent, &log).await;
    let address = entry.address();
    let first = tokio::spawn(async move { order(address, "coffee", "").await });
    support::eventually(|| async { agent.agent.runs() == 1 }).await;
    let deadline = "x-deadline-ms: 500\r\n";
    let second = tokio::spawn(async move { order(address, "coffee", deadline).await });
    // Past the deadline of the second caller, which applies only until the response begins.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    if is_leaving {
        first.abort();
    }
    let reused = tokio::time::timeout(CALL_TIMEOUT, order(address, "tea", ""));
    let reused = reused.await.unwrap();
    assert!(reused.contains("key_reused"), "{reused}");
    agent.agent.set_faults(Faults::default());
    let second = tokio::time::timeout(CALL_TIMEOUT, second)
        .await
        .unwrap()
        .unwrap();
    assert!(second.contains("order 7 stored"), "{second}");
    if !is_leaving {
        let first = tokio::time::timeout(CALL_TIMEOUT, first)
            .await
            .unwrap()
            .unwrap();
        assert!(first.contains("order 7 stored"), "{first}");
    }
    assert_eq!(agent.agent.runs(), 1);
}

// Guards against a caller that gets the response to a different request with the same key.
#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_body_is_rejected() {
    let log = LogServer::start().await;
    let agent = support::start_agent(1, support::service_parts()).await;
    let entry = ready_entry(&agent, &log).await;
    order(entry.address(), "coffee", "").await;
    let answer = order(entry.address(), "tea", "").await;
    assert!(
        answer.starts_with("HTTP/1.1 422") && answer.contains("key_reused"),
        "{answer}"
    );
    assert_eq!(agent.agent.runs(), 1);
}

// Guards against a call that runs or is reported as `unknown` while its key cannot be claimed (I4).
#[tokio::test(flavor = "multi_thread")]
async fn log_outage_is_not_run() {
    let log = LogServer::start().await;
    let agent = support::start_agent(1, support::service_parts()).await;
    let entry = ready_entry(&agent, &log).await;
    log.log.set_down(time::Duration::from_mins(1));
    let answer = order(entry.address(), "coffee", "x-deadline-ms: 300\r\n").await;
    assert!(
        answer.contains("log_unavailable") && answer.contains("not_run"),
        "{answer}"
    );
    assert_eq!(agent.agent.dispatches(), 0);
}

// Guards against a request that runs on an unpublished version (I1), and against a published
// default version that never takes effect (I8).
#[tokio::test(flavor = "multi_thread")]
async fn only_published_versions_are_served() {
    let mut log = LogServer::start().await;
    let agent = support::start_agent(1, support::text_parts()).await;
    let entry = ready_entry(&agent, &log).await;
    let address = entry.address();
    let post = |model: &str| {
        let body = format!(r#"{{"model": "{model}", "prompt": "count"}}"#);
        async move { support::send(address, "POST", "/v1/completions", &body).await }
    };
    assert!(post("notes").await.contains("one two three"));
    for model in ["notes@2", "other"] {
        let answer = post(model).await;
        assert!(
            answer.starts_with("HTTP/1.1 404") && answer.contains("not_run"),
            "{answer}"
        );
    }
    log.publish(vec![adapter(&[1, 2], 2)]).await;
    support::eventually(|| async { post("notes@2").await.contains("one two three") }).await;
    post("notes").await;
    assert_eq!(agent.agent.last_adapter().as_deref(), Some("notes@2"));
}

// Guards against a second run (I5) or a wrong response when the log is down while two entries
// receive the same key.
#[tokio::test(flavor = "multi_thread")]
async fn key_at_two_entries_survives_a_log_outage() {
    let log = LogServer::start().await;
    let agent = support::start_agent(1, support::service_parts()).await;
    let one = ready_entry(&agent, &log).await;
    let other = ready_entry(&agent, &log).await;
    log.log.set_down(time::Duration::from_millis(400));
    let calls = [one.address(), other.address()].map(|address| order(address, "coffee", ""));
    let answers = tokio::time::timeout(CALL_TIMEOUT, futures::future::join_all(calls)).await;
    for answer in answers.unwrap() {
        assert!(answer.contains("order 7 stored"), "{answer}");
    }
    assert_eq!(agent.agent.runs(), 1);
}

// Guards against a patch that interrupts a running request on a version that it removes (I1), and
// against new requests on that version (I8).
#[tokio::test(flavor = "multi_thread")]
async fn removed_version_finishes_and_accepts_no_more() {
    let mut log = LogServer::start().await;
    let agent = support::start_held_agent(support::text_parts(), 1).await;
    let entry = ready_entry(&agent, &log).await;
    let address = entry.address();
    let post = || async move {
        let body = r#"{"model": "notes@1", "prompt": "count"}"#;
        support::send(address, "POST", "/v1/completions", body).await
    };
    let running = tokio::spawn(post());
    support::eventually(|| async { agent.agent.runs() == 1 }).await;
    log.publish(vec![adapter(&[2], 2)]).await;
    support::eventually(|| async {
        let status = support::send(address, "GET", "/status", "").await;
        status.contains("\"configuration_version\":2")
    })
    .await;
    let refused = tokio::time::timeout(CALL_TIMEOUT, post()).await.unwrap();
    assert!(refused.starts_with("HTTP/1.1 404"), "{refused}");
    assert!(refused.contains("not_run"), "{refused}");
    agent.agent.set_faults(Faults::default());
    let answer = tokio::time::timeout(CALL_TIMEOUT, running)
        .await
        .unwrap()
        .unwrap();
    assert!(answer.contains("one two three"), "{answer}");
    assert_eq!(agent.agent.last_adapter().as_deref(), Some("notes@1"));
    assert_eq!(agent.agent.dispatches(), 1);
}

// Guards against an entry that cannot start while the log is down, and against one that reverts to
// an older configuration from another agent (I8).
#[tokio::test(flavor = "multi_thread")]
async fn start_without_log_uses_the_newest_image() {
    let mut log = LogServer::start().await;
    let older = log.image().await;
    log.publish(vec![adapter(&[2], 2)]).await;
    let newer = log.image().await;
    log.log.set_down(time::Duration::from_mins(1));
    let [one, other] =
        [1, 2].map(|id| FakeAgent::new(id, support::text_parts(), Faults::default()));
    one.set_image(older.clone());
    other.set_image(newer);
    let one = one.start(LOOPBACK).await;
    let other = other.start(LOOPBACK).await;
    let agents = [&one, &other];
    let entry =
        support::start_entry_with_log(&agents, DRAIN_TIMEOUT, Some(log.server.address())).await;
    let has_newer = || async {
        let status = support::send(entry.address(), "GET", "/status", "").await;
        status.contains("\"configuration_version\":2")
    };
    support::eventually(has_newer).await;
    // From now on only the older image is offered.
    other.agent.set_image(older);
    for version in [1, 2].repeat(20) {
        let body = format!(r#"{{"model": "notes@{version}", "prompt": "count"}}"#);
        let answer = support::send(entry.address(), "POST", "/v1/completions", &body);
        let answer = tokio::time::timeout(CALL_TIMEOUT, answer).await.unwrap();
        assert_eq!(answer.contains("one two three"), version == 2, "{answer}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    assert!(has_newer().await);
}

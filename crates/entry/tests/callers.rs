//! Invalid requests and callers that disconnect.

#[allow(dead_code)]
mod support;

use std::time;

use support::{FakeAgent, Faults, LOOPBACK};
use test_case::test_case;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);

// Guards against invalid input that reaches an agent, and an error without code or outcome.
#[test_case("POST", "/v1/completions", "", "{", "400", "invalid_request"; "malformed body")]
#[test_case("POST", "/v1/completions", "x-deadline-ms: -1\r\n", "{}", "400", "invalid_request"; "bad deadline")]
#[test_case("POST", "/v1/chat/completions", "", r#"{"model": "a", "prompt": "b"}"#, "400", "invalid_request"; "chat without messages")]
#[test_case("POST", "/v1/completions", "", r#"{"model": "a@b", "prompt": "b"}"#, "404", "unknown_model"; "bad version")]
#[test_case("GET", "/v2/none", "", "", "404", "unknown_route"; "unknown route")]
#[test_case("GET", "/services/none/x", "", "", "404", "unknown_service"; "unknown service")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_rejected_as_not_run(
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    status: &str,
    code: &str,
) {
    let agent = support::start_agent(1, support::text_parts()).await;
    let entry = support::start_entry(&[&agent], DRAIN_TIMEOUT).await;
    let answer = support::send_with(entry.address(), method, path, headers, body).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert_eq!(agent.agent.dispatches(), 0);
}

// Guards against a body that exhausts the memory of the entry.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_is_rejected() {
    let agent = support::start_agent(1, support::text_parts()).await;
    let entry = support::start_entry(&[&agent], DRAIN_TIMEOUT).await;
    let body = format!(r#"{{"model": "a", "prompt": "{}"}}"#, "x".repeat(5 << 20));
    let answer = support::try_send(entry.address(), "/v1/completions", &body).await;
    assert!(answer.contains("\"code\":\"body_too_large\""), "{answer}");
    assert_eq!(agent.agent.dispatches(), 0);
}

// Guards against an agent that keeps running a request whose caller has disconnected.
#[test_case(false, false; "before the first token")]
#[test_case(true, false; "after the first token")]
#[test_case(false, true; "with a lost dispatch reply")]
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_its_request(is_started: bool, lose_reply: bool) {
    let held = Faults {
        hold_after: Some(usize::from(is_started)),
        lose_reply,
        ..Faults::default()
    };
    let agent = FakeAgent::new(1, support::text_parts(), held)
        .start(LOOPBACK)
        .await;
    let entry = support::start_entry(&[&agent], DRAIN_TIMEOUT).await;
    let mut stream = TcpStream::connect(entry.address()).await.unwrap();
    let body = r#"{"model": "notes@3", "prompt": "count", "stream": true}"#;
    let start = "POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length";
    let request = format!("{start}: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).await.unwrap();
    support::eventually(|| async { agent.agent.runs() == 1 }).await;
    drop(stream);
    support::eventually(|| async { agent.agent.cancels() == 1 }).await;
}

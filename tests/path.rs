//! End-to-end test on loopback: caller, entry, agent, stand-in engine.

use std::net;

use agent::{server::AgentServer, settings::AgentSettings, settings::ReplicaSettings};
use endpoints::stand_in;
use entry::{server::EntryServer, settings::EntrySettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

async fn send_post(address: net::SocketAddr, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

// Guards against a path that loses tokens or serves another adapter or version.
#[tokio::test(flavor = "multi_thread")]
async fn completion_streams_from_the_requested_adapter_version() {
    let engine = stand_in::StandInEngine::start(stand_in::EngineOptions::default())
        .await
        .unwrap();
    let replicas = vec![ReplicaSettings {
        address: engine.address(),
        base_model: "base".into(),
        adapter_slots: 8,
        batch_limit: 16,
        checks_fencing: true,
    }];
    let mut settings = AgentSettings::new(LOOPBACK, "a", replicas);
    settings.drain = std::time::Duration::from_secs(1);
    let agent = AgentServer::start(settings).await.unwrap();
    let entry = EntryServer::start(EntrySettings {
        listen: LOOPBACK,
        data_centre: "a".into(),
        threads: 1,
        log: None,
        claim_streams: 16,
        claim_window: std::time::Duration::from_mins(10),
        instance_list: None,
        agents: vec![agent.address()],
        base_model: "base".into(),
        default_deadline: std::time::Duration::from_secs(10),
        drain: std::time::Duration::from_secs(1),
    })
    .unwrap();
    let body = r#"{"model": "notes@3", "prompt": "hello", "max_tokens": 5, "stream": true}"#;
    let mut response = String::new();
    for _ in 0..100 {
        response = send_post(entry.address(), "/v1/completions", body).await;
        if !response.contains("no_endpoint") {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    for index in 0..5 {
        let token = stand_in::token_text("notes@3", "hello", index);
        assert!(response.contains(&token), "{response}");
    }
    assert!(response.contains("[DONE]"), "{response}");
    assert_eq!(engine.counts().generations, 1);
    entry.close().await.unwrap();
    agent.close().await;
    engine.close();
}

//! Endpoints that answer with a status that is none.

use std::{net, time};

use decisions::{ids, units};
use endpoints::{
    client::{EndpointError, GenerationCall, ModelEngine},
    http_engine::HttpEngine,
    service::{HttpService, PlainService, ServiceCall},
};
use futures::StreamExt;
use test_case::test_matrix;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task,
};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const REQUEST: ids::RequestId = ids::RequestId {
    entry: ids::Incarnation(1),
    sequence: 1,
};

/// Starts an endpoint that answers one request with a status and a whole body.
async fn start_endpoint(status: &str) -> (net::SocketAddr, task::JoinHandle<()>) {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let response = format!("HTTP/1.1 {status} OK\r\ncontent-length: 4\r\n\r\ndone");
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let read = stream.read(&mut request).await.unwrap();
        assert!(read > 0);
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    (address, task)
}

async fn call_service(address: net::SocketAddr) -> Result<(), EndpointError> {
    let call = ServiceCall {
        request: REQUEST,
        method: "POST".to_owned(),
        path: "/confirm".to_owned(),
        content_type: None,
        body: b"bed 17".to_vec(),
    };
    let service = HttpService::new(address, TIMEOUT);
    let mut events = service.call(call).await?;
    while let Some(event) = events.next().await {
        event?;
    }
    Ok(())
}

async fn generate(address: net::SocketAddr) -> Result<(), EndpointError> {
    let generation = GenerationCall {
        request: REQUEST,
        path: "/v1/completions",
        adapter: "notes@3".parse().unwrap(),
        priority: units::Priority::Normal,
        body: b"{}".to_vec(),
    };
    let engine = HttpEngine::new(address);
    let mut events = engine.generate(generation).await?;
    while let Some(event) = events.next().await {
        event?;
    }
    Ok(())
}

// Guards against an answer whose status is 000, or another number that is no final status, which counts
// as the response of the endpoint, or as proof that it did not run the request.
#[test_matrix(["000", "001", "099", "101", "600", "999"])]
#[tokio::test]
async fn answer_without_a_final_status_is_an_error(status: &str) {
    let (address, task) = start_endpoint(status).await;
    let error = call_service(address).await.expect_err("a service");
    assert!(!error.is_not_run(), "a service: {error}");
    task.await.unwrap();
    let (address, task) = start_endpoint(status).await;
    let error = generate(address).await.expect_err("an engine");
    assert!(!error.is_not_run(), "an engine: {error}");
    task.await.unwrap();
}

//! Connections to replicas and their pool.

use std::{io, net, time};

use bytes::Bytes;
use gateway::connections::{ConnectionPool, ReplicaConnection, SendError, idle_timeout};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const LIMIT: time::Duration = time::Duration::from_secs(5);

async fn listener() -> (TcpListener, net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/a/")
        .header("host", "a.example")
        .body(Full::from("body"))
        .unwrap()
}

/// Reads until the whole request has arrived.
async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"body") {
        assert!(stream.read_buf(&mut bytes).await.unwrap() > 0);
    }
}

async fn respond(listener: &TcpListener, text: &str) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_request(&mut stream).await;
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

// Guards against a request that a frozen replica executes after its caller has left: bytes in
// flight are lost only if the connection is reset.
#[tokio::test]
async fn dropped_connection_is_reset() {
    let (listener, address) = listener().await;
    let mut connection = ReplicaConnection::open(address, "r", LIMIT).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    tokio::select! {
        _ = connection.send(request()) => panic!("unexpected response"),
        () = read_request(&mut stream) => {}
    }
    drop(connection);
    let error = stream.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

// Guards against opening a new connection for each request.
#[tokio::test]
async fn connection_is_reused_after_complete_response() {
    let (listener, address) = listener().await;
    let pool = ConnectionPool::default();
    let mut connection = ReplicaConnection::open(address, "r", LIMIT).await.unwrap();
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (response, _stream) = tokio::join!(connection.send(request()), respond(&listener, text));
    let body = response.unwrap().into_body().collect().await.unwrap();
    assert_eq!(body.to_bytes(), "ok");
    pool.put(connection, None);
    tokio::task::yield_now().await;
    assert!(pool.take(address, "other").is_none());
    assert!(
        pool.take(address, "r")
            .is_some_and(|found| found.is_reused())
    );
    assert!(pool.take(address, "r").is_none());
}

// Guards against surplus bytes that are read as the response to the next request.
#[tokio::test]
async fn surplus_bytes_close_connection() {
    let (listener, address) = listener().await;
    let pool = ConnectionPool::default();
    let mut connection = ReplicaConnection::open(address, "r", LIMIT).await.unwrap();
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (response, mut stream) = tokio::join!(connection.send(request()), respond(&listener, text));
    response.unwrap().into_body().collect().await.unwrap();
    pool.put(connection, None);
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold";
    stream.write_all(extra.as_bytes()).await.unwrap();
    // The client closes the connection when it reads the extra bytes.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(pool.take(address, "r").is_none());
}

// Guards against a retry of a request that may have run.
#[tokio::test]
async fn lost_response_is_not_unsent() {
    let (listener, address) = listener().await;
    let mut connection = ReplicaConnection::open(address, "r", LIMIT).await.unwrap();
    let (response, ()) = tokio::join!(connection.send(request()), async {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
    });
    let error = response.unwrap_err();
    assert!(matches!(error, SendError::Lost { .. }), "{error}");
    assert!(!error.is_unsent());
}

#[tokio::test]
async fn refused_connection_is_unsent() {
    let (listener, address) = listener().await;
    drop(listener);
    let opened = ReplicaConnection::open(address, "r", LIMIT).await;
    assert!(opened.is_err_and(|error| error.is_unsent()));
}

// Guards against reusing a connection that its replica is about to close.
#[test_case(&[], None)]
#[test_case(&[("connection", "close")], Some(0))]
#[test_case(&[("connection", "Keep-Alive, Close")], Some(0))]
#[test_case(&[("keep-alive", "timeout=4, max=9")], Some(4))]
#[test_case(&[("keep-alive", "soon")], None)]
fn idle_timeout_is_read_from_headers(
    fields: &[(&'static str, &'static str)],
    expected: Option<u64>,
) {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.insert(*name, value.parse().unwrap());
    }
    assert_eq!(
        idle_timeout(&headers),
        expected.map(time::Duration::from_secs)
    );
}

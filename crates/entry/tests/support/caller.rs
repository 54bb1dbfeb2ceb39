//! HTTP caller of an entry.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Longer than any deadline in these tests; a call that takes longer hangs.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Repeats a check until it holds.
pub async fn eventually<F: Future<Output = bool>>(check: impl Fn() -> F) {
    for _ in 0..1000 {
        if check().await {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    panic!("the condition never held");
}

pub async fn send(address: net::SocketAddr, method: &str, path: &str, body: &str) -> String {
    send_with(address, method, path, "", body).await
}

/// Sends a request with additional header lines, each ending with CRLF.
pub async fn send_with(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    let read = tokio::time::timeout(CALL_TIMEOUT, reading).await;
    read.expect("the entry does not respond").unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

pub async fn complete(address: net::SocketAddr) -> String {
    let body = r#"{"model": "notes@3", "prompt": "count"}"#;
    send(address, "POST", "/v1/completions", body).await
}

pub async fn order(address: net::SocketAddr) -> String {
    send(address, "POST", "/services/orders/new", "one coffee").await
}

/// Sends a body that the entry may stop reading before its end.
pub async fn try_send(address: net::SocketAddr, path: &str, body: &str) -> String {
    let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n");
    let request = [head.as_bytes(), body.as_bytes()].concat();
    let sending = tokio::spawn(async move { writer.write_all(&request).await });
    let mut response = vec![0; 4096];
    let reading = reader.read(&mut response);
    let read = tokio::time::timeout(CALL_TIMEOUT, reading).await;
    let length = read.expect("the entry does not respond").unwrap();
    sending.abort();
    String::from_utf8_lossy(&response[..length]).into_owned()
}

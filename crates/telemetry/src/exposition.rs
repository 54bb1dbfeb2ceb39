//! HTTP listener for short texts, such as metrics and readiness.

use std::{convert::Infallible, future, time};

use futures::FutureExt;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Longest time for the head of a request, and between two requests of a connection.
const IDLE_LIMIT: time::Duration = time::Duration::from_mins(1);
/// Pause after a connection that cannot be taken, for example without free descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Serves texts by their path until the task is dropped.
pub async fn serve(
    listener: TcpListener,
    text: impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let text = text.clone();
        let handler = service::service_fn(move |request: Request<Incoming>| {
            let (status, body) = text(request.uri().path());
            let mut response = Response::new(body);
            *response.status_mut() = status;
            future::ready(Ok::<_, Infallible>(response))
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_LIMIT);
        let connection = builder.serve_connection(TokioIo::new(stream), handler);
        tokio::spawn(connection.map(drop));
    }
}

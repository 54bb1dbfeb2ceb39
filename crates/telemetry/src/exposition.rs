//! HTTP server for plain text responses, such as metrics and readiness.

use std::{convert::Infallible, future, time};

use futures::FutureExt;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Longest time to receive the headers of a request, and between two requests of a connection.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Delay after a connection that cannot be accepted, for example without free file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Serves the response that `render` returns for each path until the task is dropped.
pub async fn serve(
    listener: TcpListener,
    render: impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let render = render.clone();
        let handler = service::service_fn(move |request: Request<Incoming>| {
            let (status, body) = render(request.uri().path());
            let mut response = Response::new(body);
            *response.status_mut() = status;
            future::ready(Ok::<_, Infallible>(response))
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT);
        let connection = builder.serve_connection(TokioIo::new(stream), handler);
        tokio::spawn(connection.map(drop));
    }
}

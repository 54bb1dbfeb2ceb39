//! HTTP endpoint with `/metrics` and `/healthz`.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, service};
use hyper_util::{rt, server::conn::auto};
use telemetry::metrics::MetricsRegistry;
use tokio::{net::TcpListener, task};

/// Serves the endpoint until the task is dropped.
pub async fn serve(listener: TcpListener, metrics: Arc<MetricsRegistry>) {
    let mut connections = task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let metrics = Arc::clone(&metrics);
        connections.spawn(async move {
            let handler = service::service_fn(move |request| {
                let response = respond(&request, &metrics);
                async move { Ok::<_, Infallible>(response) }
            });
            let _ = auto::Builder::new(rt::TokioExecutor::new())
                .http1_only()
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

fn respond(request: &Request<Incoming>, metrics: &MetricsRegistry) -> Response<Full<Bytes>> {
    let body = match request.uri().path() {
        "/metrics" => metrics.render(),
        "/healthz" => "ok\n".to_owned(),
        _ => {
            let mut response = Response::new(Full::new(Bytes::from("unknown path\n")));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
    };
    Response::new(Full::new(Bytes::from(body)))
}

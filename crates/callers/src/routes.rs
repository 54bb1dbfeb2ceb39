//! HTTP routes served with `xitca-web`.

use std::{convert::Infallible, io, net, sync::Arc, thread, time};

use bytes::Bytes;
use futures::{StreamExt, future, stream};
use http::{HeaderValue, StatusCode, header};
use xitca_web::{
    App, WebContext,
    body::{BoxBody, ResponseBody, StreamDataBody},
    handler::{body::Limit, handler_service},
    http::WebResponse,
    route,
};

use crate::{completion, error, handler, headers, render};

/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Longest part of an unknown path that an error message quotes, in characters.
const MAX_QUOTED_PATH_CHARS: usize = 200;
/// Idle time of a stream after which a comment is sent. Proxies close idle streams much later, but
/// a disconnected caller is only detected by a write.
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(2);
const SERVICE_PREFIX: &str = "/services/";

/// Longest wait for the handler's result before the response of a stream begins with status 200.
const STREAM_START_TIMEOUT: time::Duration = time::Duration::from_millis(500);

type PendingResponse =
    future::BoxFuture<'static, Result<handler::ResponseStream, error::CallerError>>;
type SharedHandler = Arc<dyn handler::RequestHandler>;

/// Running HTTP server.
pub struct CallerServer {
    address: net::SocketAddr,
    stop: Box<dyn FnOnce() + Send + Sync>,
    thread: thread::JoinHandle<io::Result<()>>,
}

impl CallerServer {
    /// Binds the address and serves requests on `threads` threads.
    ///
    /// # Errors
    /// The error of the operating system when the address cannot be bound.
    pub fn start(
        address: net::SocketAddr,
        threads: usize,
        handler: SharedHandler,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        // Accepted connections inherit TCP_NODELAY. Without it the first token waits about 40 ms
        // for the delayed acknowledgement of the response head.
        socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let app = App::new()
            .with_state(handler)
            .at("/v1/completions", route::post(handler_service(complete)))
            .at("/v1/chat/completions", route::post(handler_service(chat)))
            .at("/v1/models", route::get(handler_service(models)))
            .at("/services/{*path}", handler_service(call_service))
            .at("/{*path}", handler_service(unknown_path))
            .at("/healthz", route::get(handler_service(health)))
            .at("/readyz", route::get(handler_service(ready)))
            .at("/metrics", route::get(handler_service(metrics)))
            .at("/status", route::get(handler_service(status)));
        let mut server = app
            .serve()
            .disable_signal()
            .worker_threads(threads)
            .listen(listener)?
            .run();
        let control = server.handle()?;
        let thread = thread::Builder::new()
            .name("callers".into())
            .spawn(move || server.wait())?;
        Ok(Self {
            address,
            stop: Box::new(move || control.stop(true)),
            thread,
        })
    }

    /// Address on which the server listens.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for the server thread.
    ///
    /// # Errors
    /// The error with which the server ended.
    pub fn close(self) -> io::Result<()> {
        (self.stop)();
        self.thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the HTTP server thread panicked")))
    }
}

async fn complete(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    completion_response(context, completion::CompletionKind::Completion).await
}

async fn chat(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    completion_response(context, completion::CompletionKind::Chat).await
}

async fn completion_response(
    context: &WebContext<'_, SharedHandler>,
    kind: completion::CompletionKind,
) -> WebResponse {
    match run_completion(context, kind).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

async fn run_completion(
    context: &WebContext<'_, SharedHandler>,
    kind: completion::CompletionKind,
) -> Result<WebResponse, error::CallerError> {
    let options = admit(context)?;
    let body = read_body(context).await?;
    let request = completion::parse_completion(kind, options, body)?;
    let renderer = render::CompletionRenderer::new(kind, &request.model);
    let is_stream = request.stream;
    let handler = Arc::clone(context.state());
    let response = Box::pin(async move { handler.complete(request).await });
    if is_stream {
        let parts = start_stream(response).await?;
        return Ok(stream_response(renderer, parts));
    }
    let body = renderer.collect(response.await?).await?;
    Ok(json_response(StatusCode::OK, body))
}

/// Options of a request whose caller may call. The body has not been read.
fn admit(
    context: &WebContext<'_, SharedHandler>,
) -> Result<handler::RequestOptions, error::CallerError> {
    let organisation = authorize(context)?;
    let options = headers::parse_options(context.req().headers())?;
    Ok(handler::RequestOptions {
        organisation,
        ..options
    })
}

fn authorize(
    context: &WebContext<'_, SharedHandler>,
) -> Result<Option<String>, error::CallerError> {
    let key = headers::parse_caller_key(context.req().headers());
    context.state().authorize(key.as_ref())
}

/// Waits up to [`STREAM_START_TIMEOUT`] for the handler's result, so that a refusal gets its own
/// status. After that the response begins, since a disconnected caller is only detected by writing
/// to it.
async fn start_stream(
    mut response: PendingResponse,
) -> Result<handler::ResponseStream, error::CallerError> {
    if let Ok(response) = tokio::time::timeout(STREAM_START_TIMEOUT, &mut response).await {
        return response;
    }
    let parts = stream::once(response).flat_map(|response| match response {
        Ok(parts) => parts,
        Err(error) => stream::once(future::ready(handler::ResponsePart::Failed(error))).boxed(),
    });
    Ok(parts.boxed())
}

async fn call_service(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    match run_service(context).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

async fn run_service(
    context: &WebContext<'_, SharedHandler>,
) -> Result<WebResponse, error::CallerError> {
    let options = admit(context)?;
    let body = read_body(context).await?;
    let uri = context.req().uri();
    let rest = uri.path().strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}"));
    let content_type = context.req().headers().get(header::CONTENT_TYPE);
    let call = handler::ServiceCall {
        service: service.to_owned(),
        method: context.req().method().to_string(),
        path: format!("/{path}{}", query.unwrap_or_default()),
        content_type: content_type.and_then(|value| Some(value.to_str().ok()?.to_owned())),
        options,
        body,
    };
    let parts = context.state().call_service(call).await?;
    render::collect_service_response(parts)
        .await
        .map(service_response)
}

fn service_response(service: render::ServiceResponse) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(Bytes::from(service.body)));
    *response.status_mut() =
        StatusCode::from_u16(service.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = service
        .content_type
        .and_then(|value| HeaderValue::try_from(value).ok());
    if let Some(value) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

async fn unknown_path(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    let path: String = context
        .req()
        .uri()
        .path()
        .chars()
        .take(MAX_QUOTED_PATH_CHARS)
        .collect();
    let message = format!("no route `{path}`; see the README for the routes");
    error_response(&error::CallerError::not_run(
        error::ErrorCode::UnknownRoute,
        message,
    ))
}

async fn health(_: &WebContext<'_, SharedHandler>) -> WebResponse {
    text_response(StatusCode::OK, "alive\n".into())
}

async fn ready(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    if context.state().is_ready() {
        return text_response(StatusCode::OK, "ready\n".into());
    }
    let message = "not ready: no configuration, no endpoint, or draining\n";
    text_response(StatusCode::SERVICE_UNAVAILABLE, message.into())
}

async fn metrics(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    text_response(StatusCode::OK, context.state().metrics())
}

async fn models(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    if let Err(error) = authorize(context) {
        return error_response(&error);
    }
    let models = context.state().models();
    json_response(StatusCode::OK, render::model_list(&models).to_string())
}

async fn status(context: &WebContext<'_, SharedHandler>) -> WebResponse {
    json_response(StatusCode::OK, context.state().status().to_string())
}

async fn read_body(context: &WebContext<'_, SharedHandler>) -> Result<Vec<u8>, error::CallerError> {
    let body = context
        .extract::<(Vec<u8>, Limit<MAX_BODY_BYTES>)>()
        .await
        .map_err(|_| {
            error::CallerError::not_run(
                error::ErrorCode::BodyTooLarge,
                "the body is incomplete or larger than 4 MiB; send a shorter one",
            )
        })?;
    Ok(body.0)
}

fn stream_response(
    renderer: render::CompletionRenderer,
    parts: handler::ResponseStream,
) -> WebResponse {
    let events = render::keep_alive(
        parts.map(move |part| renderer.event(&part)),
        KEEP_ALIVE_INTERVAL,
    );
    let events = events.map(Ok::<_, Infallible>);
    let body = BoxBody::new(StreamDataBody::new(events));
    let mut response = WebResponse::new(ResponseBody::boxed(body));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn error_response(error: &error::CallerError) -> WebResponse {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json_response(status, error.body());
    if error.code == error::ErrorCode::Unauthorized {
        let challenge = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, challenge);
    }
    if let Some(delay) = error.retry_after {
        // The header is in whole seconds, unlike the milliseconds of the body.
        let seconds = delay.as_secs_f64().ceil().max(1.0);
        if let Ok(value) = HeaderValue::try_from(format!("{seconds:.0}")) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn json_response(status: StatusCode, body: String) -> WebResponse {
    let mut response = text_response(status, body);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn text_response(status: StatusCode, body: String) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

//! Start of a gateway, its listener for callers, and the drain at shutdown.
//!
//! `hyper` serves callers instead of `xitca-web`, because it drops a request's future as soon as
//! the caller closes its connection, even before a response; otherwise an engine would continue it.

use std::{
    convert::Infallible,
    io, net,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time,
};

use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use telemetry::{events, logs};
use tokio::{
    net::{TcpListener, TcpStream},
    task,
    time::Instant,
};

use crate::{
    admission, attempts, caller_responses, crash_watch, dispatch, drain, follower, heartbeats,
    monitoring, plan, relay, store,
};

/// Limits until a configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Minimum buffer size that `hyper` accepts.
const MIN_HEADER_BYTES: usize = 8192;
/// Time before the forced end at which requests that are still open get their last response.
const SHUTDOWN_RESERVE: time::Duration = time::Duration::from_millis(500);
/// Time in which the last responses are written.
const LAST_RESPONSE_TIME: time::Duration = time::Duration::from_millis(200);

/// Reason why a gateway cannot start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Listen {
        address: net::SocketAddr,
        source: io::Error,
    },
}

/// Runs a gateway until `stop` resolves and open requests are finished.
///
/// # Errors
/// [`GatewayError`] when an address cannot be bound.
pub async fn serve(
    dispatcher: Arc<dispatch::Dispatcher>,
    store: Arc<dyn store::StateStore>,
    stop: impl Future<Output = ()>,
) -> Result<(), GatewayError> {
    let listen = dispatcher.settings.listen;
    let shutdown = dispatcher.settings.shutdown;
    let callers = bind(listen.callers).await?;
    let readiness = bind(listen.readiness).await?;
    let metrics = bind(listen.metrics).await?;
    let (control, monitor) = drain::channel();
    let mut background = task::JoinSet::new();
    background.spawn(follower::follow_published(
        Arc::clone(&dispatcher),
        Arc::clone(&store),
    ));
    background.spawn(follower::follow_replicas(Arc::clone(&dispatcher), store));
    background.spawn(heartbeats::poll_brokers(Arc::clone(&dispatcher)));
    background.spawn(heartbeats::flush_released_permits(Arc::clone(&dispatcher)));
    background.spawn(crash_watch::share_crashes(Arc::clone(&dispatcher)));
    background.spawn(monitoring::serve_readiness(
        readiness,
        Arc::clone(&dispatcher),
        monitor.clone(),
    ));
    background.spawn(monitoring::serve_metrics(metrics, Arc::clone(&dispatcher)));
    let logger = dispatcher.request_logger.logger().clone();
    let mut accepting = tokio::spawn(accept_connections(
        callers,
        Arc::clone(&dispatcher),
        monitor,
    ));
    logs::info(&logger, events::PROCESS_STARTED, "gateway started");
    stop.await;
    let stopped_at = Instant::now();
    logs::info(&logger, events::PROCESS_DRAINING, "gateway draining");
    let limit = stopped_at + shutdown.grace_s.saturating_sub(SHUTDOWN_RESERVE);
    control.start(limit);
    tokio::time::sleep(shutdown.rotation_time()).await;
    control.enter(drain::ServingPhase::Closing);
    if tokio::time::timeout_at(limit, &mut accepting)
        .await
        .is_err()
    {
        logs::warn(
            &logger,
            events::DRAIN_DEADLINE_PASSED,
            "drain deadline passed; aborting open requests",
        );
        control.enter(drain::ServingPhase::Ending);
        // A timeout is expected while streams are open.
        let _ = tokio::time::timeout(LAST_RESPONSE_TIME, &mut accepting).await;
        accepting.abort();
    }
    logs::info(&logger, events::PROCESS_STOPPED, "gateway stopped");
    Ok(())
}

async fn bind(address: net::SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Accepts connections until the phase is closing, then waits for the open ones.
async fn accept_connections(
    listener: TcpListener,
    dispatcher: Arc<dispatch::Dispatcher>,
    monitor: drain::DrainMonitor,
) {
    let mut connections = task::JoinSet::new();
    let mut closing = monitor.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.wait_for(drain::ServingPhase::Closing) => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_caller(stream, Arc::clone(&dispatcher), monitor.clone());
                connections.spawn(connection);
            }
            // Out of file descriptors: wait instead of spinning.
            Err(_) => tokio::time::sleep(time::Duration::from_millis(20)).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one caller's connection.
async fn serve_caller(
    stream: TcpStream,
    dispatcher: Arc<dispatch::Dispatcher>,
    monitor: drain::DrainMonitor,
) {
    let _ = stream.set_nodelay(true);
    let limits = dispatcher
        .catalog
        .lock()
        .current()
        .map(|current| current.limits);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    // `hyper` counts the idle time before a head as header time, so the longer limit is set.
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.max(limits.header_timeout)
    });
    let mut closing = monitor.clone();
    let has_request = Arc::new(AtomicBool::new(false));
    let marked = Arc::clone(&has_request);
    let handler = service::service_fn(move |request| {
        marked.store(true, Ordering::Relaxed);
        let dispatcher = Arc::clone(&dispatcher);
        let is_draining = !monitor.is_serving();
        let monitor = monitor.clone();
        async move {
            let mut response = handle_request(&dispatcher, request, monitor).await;
            if is_draining {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_HEADER_BYTES));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), handler));
    let is_closing = closing.wait_for(drain::ServingPhase::Closing);
    tokio::select! {
        // A broken connection cancels its request, which closes the connection to the replica.
        _ = connection.as_mut() => return,
        () = is_closing => {}
    }
    // A connection that has had no request would stay open until its idle timeout.
    if !has_request.load(Ordering::Relaxed) {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Handles one request.
async fn handle_request(
    dispatcher: &Arc<dispatch::Dispatcher>,
    request: Request<Incoming>,
    monitor: drain::DrainMonitor,
) -> Response<caller_responses::ResponseBody> {
    dispatcher.metrics.record_request();
    match admission::admit(dispatcher, request, &monitor).await {
        Ok(mut plan) => {
            plan.is_long = dispatcher.is_long(&plan);
            dispatch_request(dispatcher, plan, monitor).await
        }
        Err(refusal) => dispatcher.build_refusal(&refusal),
    }
}

async fn dispatch_request(
    dispatcher: &Arc<dispatch::Dispatcher>,
    mut plan: plan::RequestPlan,
    mut monitor: drain::DrainMonitor,
) -> Response<caller_responses::ResponseBody> {
    let mut history = attempts::AttemptHistory::default();
    let outcome = tokio::select! {
        biased;
        outcome = dispatcher.run(&mut plan, &mut history) => outcome,
        () = monitor.wait_for(drain::ServingPhase::Ending) => {
            attempts::DispatchOutcome::Local(history.abandoned_reply())
        }
    };
    match outcome {
        attempts::DispatchOutcome::Buffered { replica, response } => {
            let status = response.head.status.as_u16();
            dispatcher
                .request_logger
                .log_response(&plan, &replica, status, None);
            dispatcher
                .metrics
                .record_response(plan.received_at.elapsed());
            let body = Full::new(response.body).map_err(|never| match never {});
            dispatcher.build_response(&response.head, body.boxed_unsync())
        }
        attempts::DispatchOutcome::Stream(attempt, sent_count) => {
            let head = attempt.head.clone();
            let frames = relay::relay_frames(Arc::clone(dispatcher), plan, *attempt, sent_count);
            dispatcher.build_response(&head, StreamBody::new(frames).boxed_unsync())
        }
        attempts::DispatchOutcome::Local(reply) => {
            dispatcher.build_local_reply(&plan.request.id, &reply)
        }
    }
}

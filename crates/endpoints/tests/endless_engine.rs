//! Engines that send bytes without end to the agent that calls them.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time,
};

use decisions::{ids, units};
use endpoints::{
    client::{EndpointError, GenerationCall, ModelEngine},
    http_engine::HttpEngine,
};
use futures::StreamExt;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task,
};

/// Bytes that the kernel may hold on both sides of a connection, and a message within its limit.
const MAX_SENT_BYTES: usize = 16 << 20;
/// Shorter than all timeouts of the client, so that a limit on the time does not pass the test.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(1500);
const CHUNK_BYTES: usize = 64 << 10;

/// Call of the client.
#[derive(Clone, Copy)]
enum Call {
    Status,
    Load,
    Generate,
}

/// Engine whose responses have a start and then no end.
struct EndlessEngine {
    address: net::SocketAddr,
    sent: Arc<AtomicUsize>,
    _tasks: task::JoinSet<()>,
}

impl EndlessEngine {
    async fn start(start: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&sent);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            if stream.write_all(start.as_bytes()).await.is_err() {
                return;
            }
            let chunk = repeated.repeat(CHUNK_BYTES / repeated.len());
            while let Ok(written) = stream.write(chunk.as_bytes()).await {
                counter.fetch_add(written, Ordering::Relaxed);
            }
        });
        Self {
            address,
            sent,
            _tasks: tasks,
        }
    }
}

async fn send(engine: &HttpEngine, call: Call) -> EndpointError {
    let adapter: ids::AdapterRef = "notes@3".parse().unwrap();
    match call {
        Call::Status => engine.status().await.unwrap_err(),
        Call::Load => engine.load_adapter(&adapter, 1).await.unwrap_err(),
        Call::Generate => {
            let generation = GenerationCall {
                request: ids::RequestId {
                    entry: ids::Incarnation(1),
                    sequence: 1,
                },
                path: "/v1/completions",
                adapter,
                priority: units::Priority::Normal,
                body: b"{}".to_vec(),
            };
            match engine.generate(generation).await {
                Ok(mut events) => events.next().await.unwrap().unwrap_err(),
                Err(error) => error,
            }
        }
    }
}

// Guards against an agent that keeps all that a faulty engine sends, until it runs out of memory.
#[test_case(Call::Status, "HTTP/1.1 200 OK\r\n\r\n", "x"; "state")]
#[test_case(Call::Status, "HTTP/1.1 500 Failed\r\n\r\n", "x"; "message instead of a state")]
#[test_case(Call::Load, "HTTP/1.1 500 Failed\r\n\r\n", "x"; "message of a command")]
#[test_case(Call::Generate, "HTTP/1.1 500 Failed\r\n\r\n", "x"; "message of a generation")]
#[test_case(Call::Generate, "HTTP/1.1 200 OK\r\n\r\ndata: ", "x"; "event")]
#[test_case(Call::Status, "HTTP/1.1 200 OK\r\n", "x-more: y\r\n"; "head of a state")]
#[test_case(Call::Generate, "HTTP/1.1 200 ", "x"; "status line")]
#[tokio::test(flavor = "multi_thread")]
async fn endless_response_ends_with_an_error(
    call: Call,
    start: &'static str,
    repeated: &'static str,
) {
    let engine = EndlessEngine::start(start, repeated).await;
    let client = HttpEngine::new(engine.address);
    let outcome = tokio::time::timeout(CALL_LIMIT, send(&client, call)).await;
    let error = outcome.expect("the call goes on while bytes arrive");
    let sent = engine.sent.load(Ordering::Relaxed);
    assert!(sent < MAX_SENT_BYTES, "{sent} bytes, {error}");
}

//! Cost of the data path: streams through entry and agent against streams directly to the engine.
//!
//! Entry and agent run as processes of their own, so that their processor time and memory can be
//! read. The stand-in engine and the callers run in this process. All figures are printed; ratios
//! compare both ways in one run.

use std::{fs, io, net, path, process, sync::Arc, time};

use cowslipdeal::client;
use endpoints::stand_in;
use http::Request;
use http_body_util::Full;
use serde_json::json;
use tokio::task;

const MODEL: &str = "bench@1";
const STREAM_COUNTS: [usize; 3] = [1, 64, 512];
/// Requests per stream slot in the first-token measurement.
const REQUESTS_PER_STREAM: usize = 20;
/// Time between tokens in the throughput measurement.
const TOKEN_GAP: time::Duration = time::Duration::from_millis(54);
const THROUGHPUT_TOKENS: u32 = 100;
const FIRST_TOKEN_STEP: time::Duration = time::Duration::from_millis(5);
const DEADLINE: time::Duration = time::Duration::from_secs(30);
/// Clock ticks per second of the process accounting on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

type BenchResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Process of the binary under measurement, killed when dropped.
struct RoleProcess {
    child: process::Child,
    settings: path::PathBuf,
}

impl RoleProcess {
    fn start(role: &str, settings: &serde_json::Value) -> io::Result<Self> {
        let name = format!("cowslipdeal-bench-{}-{role}.yaml", process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings.to_string())?;
        let child = process::Command::new(env!("CARGO_BIN_EXE_cowslipdeal"))
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .stderr(process::Stdio::null())
            .spawn()?;
        Ok(Self {
            child,
            settings: path,
        })
    }

    /// Processor time used so far, in seconds.
    fn processor_seconds(&self) -> io::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: f64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        Ok(ticks / TICKS_PER_SECOND)
    }

    /// Resident memory, in KiB.
    fn resident_kib(&self) -> io::Result<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok(value.unwrap_or(0.0))
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Engine with an agent and an entry in front of it.
struct BenchPath {
    engine: stand_in::StandInEngine,
    agent: RoleProcess,
    entry: RoleProcess,
    entry_address: net::SocketAddr,
}

impl BenchPath {
    async fn start(step: time::Duration) -> BenchResult<Self> {
        let options = stand_in::EngineOptions {
            batch_limit: 1024,
            step_time: step,
            load_time: time::Duration::from_millis(1),
            ..stand_in::EngineOptions::default()
        };
        let engine = stand_in::StandInEngine::start(options).await?;
        let agent_address = free_address()?;
        let entry_address = free_address()?;
        let agent = RoleProcess::start("agent", &agent_settings(agent_address, engine.address()))?;
        let entry = RoleProcess::start("entry", &entry_settings(entry_address, agent_address))?;
        let path = Self {
            engine,
            agent,
            entry,
            entry_address,
        };
        path.warm_up().await?;
        Ok(path)
    }

    /// Waits until the path responds, which also loads the adapter.
    async fn warm_up(&self) -> BenchResult<()> {
        let client = client::LoadClient::new();
        for _ in 0..500 {
            let response = client
                .stream_completion(self.entry_address, &request_body(1), DEADLINE)
                .await;
            if response.is_done {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        Err("the path did not respond within 10 s".into())
    }

    fn close(self) {
        drop(self.entry);
        drop(self.agent);
        self.engine.close();
    }
}

fn agent_settings(listen: net::SocketAddr, engine: net::SocketAddr) -> serde_json::Value {
    json!({
        "listen": listen,
        "data_centre": "bench",
        "replicas": [{
            "address": engine,
            "base_model": "base",
            "adapter_slots": 8,
            "batch_limit": 1024,
            "checks_fencing": true,
        }],
    })
}

fn entry_settings(listen: net::SocketAddr, agent: net::SocketAddr) -> serde_json::Value {
    json!({
        "listen": listen,
        "data_centre": "bench",
        "base_model": "base",
        "agents": [agent],
    })
}

fn free_address() -> io::Result<net::SocketAddr> {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn request_body(tokens: u32) -> serde_json::Value {
    json!({"model": MODEL, "prompt": "bench", "max_tokens": tokens, "stream": true})
}

/// Sends `rounds` requests one after the other on each of `streams` streams.
async fn run_streams(
    address: net::SocketAddr,
    streams: usize,
    rounds: usize,
    tokens: u32,
) -> BenchResult<Vec<client::StreamedResponse>> {
    let client = Arc::new(client::LoadClient::new());
    let mut tasks = task::JoinSet::new();
    for _ in 0..streams {
        let client = Arc::clone(&client);
        tasks.spawn(async move {
            let body = request_body(tokens);
            let mut responses = Vec::new();
            for _ in 0..rounds {
                responses.push(client.stream_completion(address, &body, DEADLINE).await);
            }
            responses
        });
    }
    let mut responses = Vec::new();
    while let Some(outcome) = tasks.join_next().await {
        responses.extend(outcome?);
    }
    let complete = responses.iter().filter(|response| response.is_done).count();
    if complete < responses.len() {
        let error = responses.iter().find_map(|response| response.error.clone());
        return Err(format!(
            "{complete} of {} responses complete; {error:?}",
            responses.len()
        )
        .into());
    }
    Ok(responses)
}

fn first_token_millis(responses: &[client::StreamedResponse], quantile: f64) -> f64 {
    let mut times: Vec<_> = responses
        .iter()
        .filter_map(|response| response.first_token)
        .collect();
    times.sort_unstable();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index into a short list"
    )]
    let index = ((times.len() as f64 * quantile) as usize).min(times.len() - 1);
    times[index].as_secs_f64() * 1000.0
}

async fn measure_first_token() -> BenchResult<()> {
    println!("first token, engine step {FIRST_TOKEN_STEP:?}");
    println!("streams  quantile  direct ms  path ms  added ms  ratio");
    let path = BenchPath::start(FIRST_TOKEN_STEP).await?;
    for streams in STREAM_COUNTS {
        let direct = run_streams(path.engine.address(), streams, REQUESTS_PER_STREAM, 4).await?;
        let through = run_streams(path.entry_address, streams, REQUESTS_PER_STREAM, 4).await?;
        for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let direct = first_token_millis(&direct, quantile);
            let through = first_token_millis(&through, quantile);
            let added = through - direct;
            let ratio = through / direct;
            println!(
                "{streams:>7}  {label:>8}  {direct:>9.2}  {through:>7.2}  {added:>8.2}  {ratio:>5.2}"
            );
        }
    }
    path.close();
    Ok(())
}

async fn measure_throughput() -> BenchResult<()> {
    println!("\n{THROUGHPUT_TOKENS} tokens per stream at {TOKEN_GAP:?} between tokens");
    println!("streams  way     tokens/s  gap p99 ms  entry core/1000 tok/s  agent core/1000 tok/s");
    let path = BenchPath::start(TOKEN_GAP).await?;
    for streams in STREAM_COUNTS {
        let started = time::Instant::now();
        let direct = run_streams(path.engine.address(), streams, 1, THROUGHPUT_TOKENS).await?;
        print_throughput(streams, "direct", &direct, started.elapsed());
        println!();
        let entry_before = path.entry.processor_seconds()?;
        let agent_before = path.agent.processor_seconds()?;
        let started = time::Instant::now();
        let through = run_streams(path.entry_address, streams, 1, THROUGHPUT_TOKENS).await?;
        print_throughput(streams, "path", &through, started.elapsed());
        let tokens = token_count(&through);
        let entry = (path.entry.processor_seconds()? - entry_before) / tokens * 1000.0;
        let agent = (path.agent.processor_seconds()? - agent_before) / tokens * 1000.0;
        println!("  {entry:>21.4}  {agent:>21.4}");
    }
    path.close();
    Ok(())
}

fn token_count(responses: &[client::StreamedResponse]) -> f64 {
    let tokens: usize = responses.iter().map(|response| response.texts.len()).sum();
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    let tokens = tokens as f64;
    tokens
}

fn print_throughput(
    streams: usize,
    way: &str,
    responses: &[client::StreamedResponse],
    elapsed: time::Duration,
) {
    let rate = token_count(responses) / elapsed.as_secs_f64();
    let mut gaps: Vec<_> = responses
        .iter()
        .flat_map(|response| &response.token_gaps)
        .collect();
    gaps.sort_unstable();
    let gap = gaps[gaps.len() * 99 / 100].as_secs_f64() * 1000.0;
    print!("{streams:>7}  {way:<6}  {rate:>8.0}  {gap:>10.2}");
}

async fn measure_memory() -> BenchResult<()> {
    println!("\nresident memory with open streams");
    println!("streams  entry KiB  agent KiB");
    let path = BenchPath::start(TOKEN_GAP).await?;
    let idle = (path.entry.resident_kib()?, path.agent.resident_kib()?);
    println!("      0  {:>9.0}  {:>9.0}", idle.0, idle.1);
    for streams in STREAM_COUNTS {
        let address = path.entry_address;
        let stream_task = tokio::spawn(async move {
            let responses = run_streams(address, streams, 1, THROUGHPUT_TOKENS).await;
            responses
                .map(|responses| responses.len())
                .map_err(|error| error.to_string())
        });
        tokio::time::sleep(TOKEN_GAP * (THROUGHPUT_TOKENS / 2)).await;
        let open = (path.entry.resident_kib()?, path.agent.resident_kib()?);
        println!("{streams:>7}  {:>9.0}  {:>9.0}", open.0, open.1);
        stream_task.await??;
    }
    path.close();
    Ok(())
}

/// Checks the health endpoint of the entry, so that a broken build fails before the measurements.
async fn check_health(address: net::SocketAddr) -> BenchResult<()> {
    let client = client::LoadClient::new();
    let request = Request::get(format!("http://{address}/healthz")).body(Full::default())?;
    let (status, _) = client.send(request).await?;
    if status == 200 {
        return Ok(());
    }
    Err(format!("/healthz returned status {status}").into())
}

#[tokio::main]
async fn main() -> BenchResult<()> {
    let path = BenchPath::start(FIRST_TOKEN_STEP).await?;
    check_health(path.entry_address).await?;
    path.close();
    measure_first_token().await?;
    measure_throughput().await?;
    measure_memory().await
}

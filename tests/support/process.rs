//! Child processes that run the binary, killed when they are dropped.

use std::{
    fs, net,
    path::{Path, PathBuf},
    process::{self, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

use rustix::process::{Pid, Signal, kill_process};

/// Range of listen ports. It lies below the range from which Linux takes the ports of outgoing
/// connections, so that no connection occupies a port before its process binds it.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 18_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Running role of the binary.
pub struct ChildProcess {
    child: process::Child,
    log: PathBuf,
}

/// Result of a command that has ended.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl ChildProcess {
    /// Starts a role with settings, which are written to `directory`.
    pub fn start(role: &str, name: &str, settings: &serde_json::Value, directory: &Path) -> Self {
        let path = write_file(directory, &format!("{name}.yaml"), &settings.to_string());
        let log = directory.join(format!("{name}.log"));
        let mut options = fs::OpenOptions::new();
        let file = options.create(true).append(true).open(&log).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_cowslipdeal"))
            .args([role, "--settings"])
            .arg(path)
            .stdin(Stdio::null())
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        Self { child, log }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stops the process and waits until all its threads have stopped. On a busy machine a thread
    /// may run on for a while after the signal.
    pub async fn stop(&self) {
        self.signal(Signal::STOP);
        super::until("the process has stopped", || {
            let is_stopped = self.has_stopped();
            async move { is_stopped }
        })
        .await;
    }

    /// Whether all threads are in state `T` (stopped).
    fn has_stopped(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        threads.flatten().all(|thread| {
            let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The state follows the command name, which is in parentheses.
            stat.rsplit_once(") ")
                .is_some_and(|(_, fields)| fields.starts_with('T'))
        })
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let mut status = None;
        super::until("the process ends", || {
            status = self.child.try_wait().unwrap();
            let is_ended = status.is_some();
            async move { is_ended }
        })
        .await;
        status.and_then(|status| status.code())
    }

    /// Peak of the resident memory, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes: usize = line
            .and_then(|line| line.trim().strip_suffix(" kB"))
            .and_then(|text| text.parse().ok())
            .unwrap();
        kilobytes * 1024
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("{}:\n{log}", self.log.display());
        }
    }
}

/// Runs a command of the binary to its end.
pub async fn run_command(arguments: &[&str]) -> CommandOutput {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let output = tokio::task::spawn_blocking(move || {
        process::Command::new(env!("CARGO_BIN_EXE_cowslipdeal"))
            .args(arguments)
            .output()
            .unwrap()
    });
    let output = output.await.unwrap();
    CommandOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Writes a file and returns its path.
pub fn write_file(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Loopback address with a free port.
pub fn free_address() -> net::SocketAddr {
    // Test processes that run at the same time start at different ports.
    let first = u16::try_from(process::id() * 97 % u32::from(PORT_COUNT)).unwrap();
    for _ in 0..PORT_COUNT {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let port = FIRST_PORT + (first + next) % PORT_COUNT;
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

/// Addresses and memory of a gateway process.
pub struct GatewayAddresses {
    pub callers: net::SocketAddr,
    pub readiness: net::SocketAddr,
    pub store: net::SocketAddr,
    pub broker_port: u16,
    pub memory_mb: usize,
}

/// Settings of one gateway process.
pub fn gateway_settings(addresses: &GatewayAddresses) -> serde_json::Value {
    serde_json::json!({
        "instance": "front-0", "data_centre": "north",
        "listen": {"callers": addresses.callers, "readiness": addresses.readiness,
            "metrics": free_address()},
        "store": addresses.store, "broker_port": addresses.broker_port,
        "data_centres": ["north"], "leave_ms": 1000, "memory_mb": addresses.memory_mb,
        "retry_budget": {"ratio": 0.2, "slack": 50, "window_s": 10},
        "shutdown": {"grace_s": 4, "rotation_ms": 200},
    })
}

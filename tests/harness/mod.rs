//! Runs the daemons as processes of their own, beside stand-ins for what they talk to.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod batch;
pub mod cluster;
pub mod operator;
pub mod watch;

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervilledge::{boot, clock};
use chervilledge_operator::accept::CURRENT_KEY;
use chervilledge_operator::documents::{Accepted, Documents};
use chervilledge_policy::rollout::Checksum;
use chervilledge_store::client;
use chervilledge_store::error::Outcome;
use chervilledge_store::table::{Expect, Write};
use serde_json::{Value, json};

/// Secret of every link in tests.
pub const LINK_SECRET: &str = "link-secret-for-tests";

/// Secret of every operator in tests.
pub const OPERATOR_SECRET: &str = "operator-secret-for-tests";

/// Longest wait for a condition; far above what any of them takes.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Directory of one test, removed at its end.
pub struct WorkDir(PathBuf);

impl WorkDir {
    /// Makes an empty directory.
    pub fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!("chervilledge-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("work directory");
        Self(path)
    }

    /// Writes a JSON file and gives its path.
    pub fn write(&self, name: &str, value: &Value) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, value.to_string()).expect("write file");
        path
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

/// Running daemon; killed when it is dropped.
pub struct Process {
    child: Option<Child>,
    /// What the daemon printed when it was ready.
    pub ready: Value,
}

impl Process {
    /// Starts a daemon and waits until it is ready.
    pub fn spawn(program: &str, settings: &Path) -> Self {
        let mut child =
            Command::new(program).arg("--settings").arg(settings).stdout(Stdio::piped()).spawn().expect("start daemon");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("stdout")).read_line(&mut line).expect("ready line");
        let ready = serde_json::from_str(&line).unwrap_or_else(|error| panic!("ready line {line:?}: {error}"));
        Self { child: Some(child), ready }
    }

    /// Stands for a process that was taken away.
    pub fn none() -> Self {
        Self { child: None, ready: Value::Null }
    }

    /// Address that the daemon printed.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.ready[name].as_str().expect("address").parse().expect("address")
    }

    /// Identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("process").id()
    }

    /// Sends a signal by its name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let id = self.id();
        let status = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
        assert!(status.expect("kill").success(), "signal {name}");
    }

    /// Waits for the end and gives the exit status.
    pub fn wait(&mut self) -> Option<i32> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.as_mut().expect("process").try_wait().expect("wait") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("daemon didn't end");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of an entry, to be changed before it is started.
pub fn entry_settings(name: &str, platform: SocketAddr) -> Value {
    json!({
        "name": name,
        "site": "hobart",
        "failure_domain": "hobart-1",
        "callers_address": "127.0.0.1:0",
        "links_address": "127.0.0.1:0",
        "operators_address": "127.0.0.1:0",
        "platform_address": platform,
        "link_secrets": [{ "value": LINK_SECRET }],
        "operator_secrets": [{ "value": OPERATOR_SECRET }],
    })
}

/// Settings of an agent, to be changed before it is started.
pub fn agent_settings(worker: &str, entries: &[SocketAddr], backend: SocketAddr) -> Value {
    json!({
        "worker": worker,
        "site": "hobart",
        "service": "portal",
        "failure_domain": "hobart-1",
        "rack": "rack-1",
        "capacity": {
            "slots": 8,
            "connections": 64,
            "resources": { "processor_millicores": 16_000, "memory_bytes": 60_000_000_000_u64, "accelerators": 0 },
        },
        "backend_address": backend,
        "runtime_address": backend,
        "entry_addresses": entries,
        "links_max": 4,
        "operators_address": "127.0.0.1:0",
        "link_secrets": [{ "value": LINK_SECRET }],
        "operator_secrets": [{ "value": OPERATOR_SECRET }],
    })
}

/// Starts an entry.
pub fn spawn_entry(directory: &WorkDir, settings: &Value) -> Process {
    spawn_daemon(env!("CARGO_BIN_EXE_chervilledge-entry"), directory, &settings["name"], settings)
}

/// Starts an agent.
pub fn spawn_agent(directory: &WorkDir, settings: &Value) -> Process {
    spawn_daemon(env!("CARGO_BIN_EXE_chervilledge-agent"), directory, &settings["worker"], settings)
}

fn spawn_daemon(program: &str, directory: &WorkDir, name: &Value, settings: &Value) -> Process {
    let mut settings = settings.clone();
    settings["log_directory"] = json!(directory.path());
    let file = directory.write(&format!("{}.json", name.as_str().expect("name")), &settings);
    Process::spawn(program, &file)
}

/// Configuration with one service `portal` and one team, for one site `hobart`.
pub fn documents() -> Documents {
    let base = json!({
        "services": { "portal": {
            "priority": 9,
            "latency_target_ms": 200,
            "workers": 11,
            "slots": 8,
            "connections": 64,
            "idempotent_methods": ["GET", "HEAD", "PUT", "DELETE"],
            "retry_budget_percent": 20,
            "queue_limit": 16,
            "queue_wait_ms": 250,
            "request_body_limit_bytes": 33_554_432,
        } },
        "teams": {},
        "batch_kinds": {},
        "colocation": {
            "resume_at_percent": 70,
            "throttle_at_percent": 90,
            "evict_at_percent": 120,
            "hold_ms": 500,
            "evictions_per_hour": 12,
        },
        "sites": { "hobart": { "failure_domains": ["hobart-1", "hobart-2"], "worker_shapes": {} } },
    });
    Documents { base, overlays: BTreeMap::new() }
}

/// Writes a configuration as the accepted one, past all checks.
pub async fn accept(platform: SocketAddr, version: u64, documents: Documents) {
    let accepted = Accepted {
        version,
        checksum: documents.checksum(),
        documents,
        accepted_by: "tests".into(),
        accepted_at: "2026-12-03T00:00:00Z".into(),
        plan: Checksum(version),
    };
    let settings = client::Settings { address: platform, ..client::Settings::default() };
    let client = client::open(settings, boot::new_id(), clock::system());
    let write = Write::put(CURRENT_KEY, Expect::Any, json!(accepted));
    let outcome = client.commit(client.next_write_id(), vec![write]).await;
    assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
}

/// Answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header fields by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body; an error when it broke off.
    pub body: Result<Vec<u8>, String>,
}

impl Answer {
    /// Body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(self.body.as_ref().expect("whole body")).expect("JSON body")
    }

    /// What the system says became of the request, for an answer of its own.
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("x-chervilledge-outcome").map(String::as_str)
    }
}

/// Sends a request on a connection of its own.
///
/// # Errors
///
/// Text that tells how the connection failed before a head came.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Answer, String> {
    use http_body_util::{BodyExt, Full};
    let stream = tokio::net::TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(io).await.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let mut request = http::Request::builder().method(method).uri(path).header("host", "chervilledge");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(bytes::Bytes::from(body))).map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let (parts, body) = response.into_parts();
    let headers = parts
        .headers
        .iter()
        .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned()))
        .collect();
    let body = body.collect().await.map(|body| body.to_bytes().to_vec()).map_err(|error| error.to_string());
    Ok(Answer { status: parts.status.as_u16(), headers, body })
}

/// Reads a daemon's state.
pub async fn state(operators: SocketAddr) -> Value {
    let authorization = format!("Bearer {OPERATOR_SECRET}");
    let answer = send(operators, "GET", "/state", &[("authorization", &authorization)], Vec::new()).await;
    answer.expect("state").json()
}

/// Waits until `is_true` gives true.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, is_true: impl Fn() -> F) {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if is_true().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what}: not within {PATIENCE:?}");
}

/// Waits until a process enforces `version`; `role` is its key in the state.
pub async fn wait_for_version(process: &Process, role: &str, version: u64) {
    let operators = process.address("operators_address");
    wait_until("configuration is enforced", || async move {
        state(operators).await[role]["configuration"]["rollout"]["enforced"]["version"] == version
    })
    .await;
}

/// Waits until an entry knows `count` workers that take new work.
pub async fn wait_for_workers(entry: &Process, count: usize) {
    let operators = entry.address("operators_address");
    let until = Instant::now() + PATIENCE;
    loop {
        let state = state(operators).await;
        let workers = state["entry"]["fleet"]["workers"].as_array().cloned().unwrap_or_default();
        let is_linked = |worker: &&Value| {
            worker["standing"] == "Live" && worker["load"]["ready"] == true && !worker["link"].is_null()
        };
        if workers.iter().filter(is_linked).count() == count {
            return;
        }
        assert!(Instant::now() < until, "{count} workers not linked within {PATIENCE:?}: {state}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

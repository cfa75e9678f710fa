//! The project's own programs as processes, beside the stand-ins.

use std::fs::{self, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;
use crate::store::{self, Store};
use crate::worker::{self, HOLD_MAX_MS, SERVICE, Worker};

pub const HOST: &str = "jobs.example";
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;
const ZONES: [&str; 4] = ["ne-east-a", "ne-east-b", "ne-east-c", "ne-east-d"];

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Processes that were started and haven't been waited for.
static PROCESSES: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills every process that is left.
pub fn kill_all() {
    for process in PROCESSES.lock().unwrap().drain(..) {
        // SAFETY: `kill` has no precondition; the process was started here and hasn't been reaped.
        unsafe { kill(process, KILL) };
    }
}

pub struct Node {
    pub name: String,
    role: &'static str,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Address for clients, or for the worker's reports.
    pub front: SocketAddr,
    readiness: SocketAddr,
    pub metrics: SocketAddr,
    child: Mutex<Option<Child>>,
}

pub struct Cluster {
    pub record: Record,
    pub store: Store,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub workers: Vec<Worker>,
    directory: PathBuf,
}

/// A free port at a loopback address.
fn free_at(address: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((address, 0)).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A port of the loopback address at which nothing listens.
pub fn free() -> SocketAddr {
    free_at(Ipv4Addr::LOCALHOST)
}

/// Loopback address for one process only, so that nothing else takes its ports while it isn't up.
fn node_address(number: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + u8::try_from(number).unwrap(), high, low.clamp(1, 254))
}

impl Cluster {
    /// Starts entries, and agents with a worker each, with settings as `deploy/*.json` renders them.
    pub fn start(record: &Record, program: &Path, entries: usize, agents: usize) -> Self {
        let directory = std::env::temp_dir().join(format!("chervilledge-review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let store = store::open(record.clone());
        let gangs = worker::Gangs::default();
        let route = |name: &str, path: &str, priority: u32| {
            json!({"name": name, "host": HOST, "path_prefix": path, "service": SERVICE, "priority": priority,
                   "max_attempts": 3, "stretch": 1.5, "slo_ms": 250, "timeout_ms": 3_000})
        };
        let manifest = json!({
            "version": 3,
            "routes": [route("seat-check", "/q/", 0)],
            "services": [{"name": SERVICE, "enforces_capacity": true}],
            "limits": {},
        });
        store.write("op", "config", &manifest.to_string());
        let mut cluster =
            Self { record: record.clone(), store, entries: Vec::new(), agents: Vec::new(), workers: Vec::new(), directory };
        for number in 0..entries {
            let node = cluster.node(&format!("edge-{number}"), "entry", program);
            cluster.entries.push(node);
        }
        for number in 0..agents {
            let node = cluster.node(&format!("side-{number}"), "agent", program);
            let worker = worker::open(&format!("i-{number:08x}"), ZONES[number % 4], node.front, record, &gangs);
            cluster.agents.push(node);
            cluster.workers.push(worker);
        }
        for node in cluster.entries.iter().chain(&cluster.agents) {
            node.start(record);
        }
        cluster
    }

    fn node(&self, name: &str, role: &'static str, program: &Path) -> Node {
        let address = node_address(self.entries.len() + self.agents.len());
        let (links, front, readiness, metrics) =
            (free_at(address), free_at(address), free_at(address), free_at(address));
        let store = self.store.server.address;
        let settings = match role {
            "entry" => json!({
                "entry": {"name": name, "links_address": links, "processor_share": 0.25,
                    "worker_lease_max_ms": HOLD_MAX_MS, "configuration_apply_ms": 2_000, "cancellation_apply_ms": 3_000,
                    "ended_jobs_kept_s": 120, "stop_timeout_s": 6.0},
                "callers_address": front, "readiness_address": readiness, "operators_address": metrics,
                "store_address": store,
            }),
            _ => json!({
                "agent": {"name": name, "links_address": links, "latency_harm_after_ms": 4_000},
                "registration_address": front, "operators_address": metrics, "store_address": store,
            }),
        };
        let path = self.directory.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("settings are written");
        Node {
            name: name.to_owned(),
            role,
            program: program.to_owned(),
            settings: path,
            log: self.directory.join(format!("{name}.log")),
            front,
            readiness,
            metrics,
            child: Mutex::default(),
        }
    }

    /// Waits until every entry is ready and a job of one task has run; `false` if that takes too long.
    pub fn wait_until_ready(&self) -> bool {
        let due = Instant::now() + Duration::from_secs(25);
        let is_ready = |node: &Node| {
            let answer = http::call(node.readiness, "GET", "/readyz", &[], "", Duration::from_millis(500));
            matches!(answer, Some((200, _)))
        };
        while !self.entries.iter().all(is_ready) {
            if Instant::now() > due {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let id = "00000000000000aa";
        let mut entry = 0;
        while Instant::now() < due {
            entry = (entry + 1) % self.entries.len();
            self.submit(entry, id, &json!({"spec": "{\"ms\":50}", "steps": [{"count": 1, "cpu": 100, "estimate_ms": 50}]}));
            for _ in 0..10 {
                if self.state(entry, id).as_deref() == Some("completed") {
                    return true;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        false
    }

    /// The entry that places, by its dump for operators.
    pub fn placer(&self) -> Option<&Node> {
        self.entries.iter().find(|node| {
            let dump = http::call(node.metrics, "GET", "/dump", &[], "", Duration::from_secs(1));
            dump.is_some_and(|(_, dump)| !dump["placer"].is_null())
        })
    }

    fn call(&self, entry: usize, method: &str, id: &str, body: &str) -> Option<(u16, Value)> {
        let headers = [("Host", HOST), ("Deadline-Ms", "3000")];
        http::call(self.entries[entry].front, method, &format!("/q/{id}"), &headers, body, Duration::from_secs(3))
    }

    /// Submits a job; returns the status, 0 without an answer.
    pub fn submit(&self, entry: usize, id: &str, job: &Value) -> u16 {
        let status = self.call(entry, "POST", id, &job.to_string()).map_or(0, |(status, _)| status);
        self.record.note(format!("POST {id} at {}: {status} {job}", self.entries[entry].name));
        status
    }

    #[allow(dead_code)]
    pub fn cancel(&self, entry: usize, id: &str) -> u16 {
        let status = self.call(entry, "DELETE", id, "").map_or(0, |(status, _)| status);
        self.record.note(format!("DELETE {id} at {}: {status}", self.entries[entry].name));
        status
    }

    /// The state of a job as an entry tells it; the status where that isn't 200.
    pub fn state(&self, entry: usize, id: &str) -> Option<String> {
        let (status, content) = self.call(entry, "GET", id, "")?;
        let state = content["state"].as_str().map_or_else(|| status.to_string(), str::to_owned);
        self.record.note(format!("GET {id} at {}: {state}", self.entries[entry].name));
        Some(state)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in self.entries.iter().chain(&self.agents) {
            node.end(&self.record);
        }
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.directory).ok();
        } else {
            println!("logs: {}", self.directory.display());
        }
    }
}

impl Node {
    pub fn start(&self, record: &Record) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new(&self.program);
        command.arg(self.role).env("CHERVILLEDGE_CONFIG", &self.settings);
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn().expect("the program starts");
        record.note(format!("{} starts as process {}", self.name, child.id()));
        PROCESSES.lock().unwrap().push(i32::try_from(child.id()).unwrap());
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32, record: &Record) {
        if let Some(child) = &*self.child.lock().unwrap() {
            record.say(format!("{} gets signal {signal}", self.name));
            // SAFETY: `kill` has no precondition; the child isn't reaped, so its id isn't another process's.
            unsafe { kill(i32::try_from(child.id()).unwrap(), signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&self, record: &Record) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            PROCESSES.lock().unwrap().retain(|known| u32::try_from(*known) != Ok(child.id()));
            child.kill().ok();
            child.wait().ok();
            record.note(format!("{} has ended", self.name));
        }
    }
}

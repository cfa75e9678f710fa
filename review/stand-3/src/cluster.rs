//! Entries and agents as processes, with the commands of the deploy file, and their clients.

use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chervilledge_client::{Bounds, Client, Patience};
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};

use crate::record::Record;
use crate::store::Store;
use crate::worker::{Gangs, LEASE_MAX_MS, SERVICE, Shape, Worker};

/// Host of all queues.
pub const HOST: &str = "hall.example";
/// Links, callers or registrations, readiness, operators.
const PORTS: [u16; 4] = [7_720, 8_161, 8_167, 7_721];
/// Memory of the machines of the site hlls-booking.
const ENTRY_MEMORY_MB: u64 = 260;
const AGENT_MEMORY_MB: u64 = 128;
const BOUNDS: Bounds = Bounds { connect_timeout: Duration::from_millis(400), answer_bytes_max: 1 << 20 };

/// Where the processes of a script are found and write.
#[derive(Clone, Debug)]
pub struct Places {
    /// Root of the project.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub temporary: PathBuf,
}

/// Process of an entry or an agent.
pub struct Node {
    pub name: String,
    role: &'static str,
    places: Places,
    settings: Value,
    pub callers: SocketAddr,
    child: Mutex<Option<Child>>,
    record: Record,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Node {
    fn new(
        number: u8,
        role: &'static str,
        places: &Places,
        subnet: [u8; 2],
        store: SocketAddr,
        record: Record,
    ) -> Self {
        let name = format!("{role}-{number}");
        let ip = Ipv4Addr::new(127, subnet[0], subnet[1], 10 + number);
        let [links, callers, readiness, operators] = PORTS.map(|port| SocketAddr::from((ip, port)));
        let settings = match role {
            "entry" => json!({
                "entry": {
                    "name": name, "links_address": links, "processor_share": 0.25, "worker_lease_max_ms": LEASE_MAX_MS,
                    "configuration_apply_ms": 2_000, "cancellation_apply_ms": 3_000, "ended_jobs_kept_s": 120,
                    "stop_timeout_s": 6.0,
                },
                "callers_address": callers, "readiness_address": readiness, "operators_address": operators,
                "store_address": store, "memory_mb": ENTRY_MEMORY_MB, "descriptors_max": 4_100,
            }),
            _ => json!({
                "agent": {"name": name, "links_address": links, "worker_lease_max_ms": LEASE_MAX_MS,
                          "latency_harm_after_ms": 4_000, "stop_timeout_s": 6.0},
                "registration_address": callers, "operators_address": operators, "store_address": store,
                "memory_mb": AGENT_MEMORY_MB, "descriptors_max": 4_096,
            }),
        };
        Self { name, role, places: places.clone(), settings, callers, child: Mutex::new(None), record }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let mut child = lock(&self.child);
        if child.is_some() {
            return;
        }
        let file = |extension: &str| self.places.temporary.join(format!("{}.{extension}", self.name));
        let log: File = OpenOptions::new().create(true).append(true).open(file("log")).expect("a log");
        let errors = log.try_clone().expect("a log");
        std::fs::write(file("json"), self.settings.to_string()).expect("settings");
        let mut command = Command::new("target/bench-days/chervilledge-node");
        command.arg(self.role).current_dir(&self.places.root).env_clear().env("CHERVILLEDGE_CONFIG", file("json"));
        let started = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        match started {
            Ok(started) => {
                self.record.add(&self.name, "process", json!({"pid": started.id()}));
                *child = Some(started);
            }
            Err(error) => {
                eprintln!("target/bench-days/chervilledge-node: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let mut running = lock(&self.child);
        if let Some(mut child) = running.take() {
            self.record.add(&self.name, "ended", json!({"pid": child.id()}));
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Store, processes and workers.
pub struct Cluster {
    _store: Store,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub workers: Vec<Worker>,
    pub record: Record,
    client: Client,
}

/// Two bytes of loopback addresses whose ports are free.
fn free_subnet() -> [u8; 2] {
    for _ in 0..200 {
        let subnet = [rand::random_range(64..250), rand::random_range(1..250)];
        let is_free = (10..60).step_by(7).all(|last| {
            let ip = Ipv4Addr::new(127, subnet[0], subnet[1], last);
            PORTS.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return subnet;
        }
    }
    eprintln!("no free addresses");
    std::process::exit(2);
}

impl Cluster {
    /// Starts everything; `shapes` has one entry for each worker.
    pub async fn start(places: &Places, entries: u8, shapes: &[Shape], configuration: Value, record: Record) -> Self {
        let store = Store::bind().await;
        store.write("op", "config", Some(&STANDARD.encode(configuration.to_string())));
        let subnet = free_subnet();
        let node = |number, role| {
            let node = Node::new(number, role, places, subnet, store.address(), record.clone());
            node.start();
            node
        };
        let entry_nodes: Vec<Node> = (0..entries).map(|number| node(number, "entry")).collect();
        let gangs = Gangs::default();
        let (mut agents, mut workers) = (Vec::new(), Vec::new());
        for (number, shape) in (entries..).zip(shapes) {
            let agent = node(number, "agent");
            workers
                .push(Worker::bind(&format!("w-{number}"), shape, agent.callers, gangs.clone(), record.clone()).await);
            agents.push(agent);
        }
        Self { _store: store, entries: entry_nodes, agents, workers, record, client: chervilledge_client::open(BOUNDS) }
    }

    /// Sends a request of a client, and records it with its answer.
    pub async fn call(
        &self,
        to: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        self.call_as("client", to, method, path, body).await
    }

    /// As [`Cluster::call`], for one of several clients.
    pub async fn call_as(
        &self,
        who: &str,
        to: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let mut headers = HeaderMap::new();
        headers.insert("host", HOST.parse().expect("a host"));
        headers.insert("deadline-ms", "3000".parse().expect("a number"));
        let content = body.map_or_else(Bytes::new, |body| Bytes::from(body.to_string()));
        let patience = Patience::at_once(Duration::from_secs(3));
        let answer = self.client.call(self.entries[to].callers, method.clone(), path, headers, content, patience).await;
        let answer =
            answer.ok().map(|answer| (answer.status, serde_json::from_slice(&answer.body).unwrap_or_default()));
        let shown = answer.as_ref().map(|(status, content): &(StatusCode, Value)| json!([status.as_u16(), content]));
        self.record.add(who, method.as_str(), json!({"to": self.entries[to].name, "path": path, "answer": shown}));
        answer
    }

    /// Waits until every entry reports itself ready and an entry knows the waiting work.
    pub async fn wait_ready(&self, path: &str) -> bool {
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let mut are_ready = true;
            for entry in 0..self.entries.len() {
                let answer = self.call_as("readiness", entry, Method::GET, path, None).await;
                are_ready &= answer.is_some_and(|(status, _)| status == StatusCode::OK);
            }
            if are_ready {
                return true;
            }
        }
        false
    }
}

/// Queue of a manifest.
pub fn queue(name: &str, path: &str, priority: u32, attempts: u32) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": path, "service": SERVICE, "priority": priority,
           "max_attempts": attempts, "stretch": 2.2, "slo_ms": 500, "timeout_ms": 3_000})
}

/// Manifest with some queues; the workers guard their capacity or not.
pub fn manifest(version: u64, queues: &[Value], guards: bool) -> Value {
    json!({"version": version, "routes": queues, "services": [{"name": SERVICE, "enforces_capacity": guards}],
           "limits": {"max_body_bytes": 262_144}})
}

/// Removes the temporary folder.
pub fn clean(places: &Places) {
    if std::env::var_os("KEEP").is_none() {
        drop(std::fs::remove_dir_all(&places.temporary));
    }
}

/// Root of the project: the folder with `deploy/system.toml`, from here upwards.
pub fn root() -> PathBuf {
    let here = std::env::current_dir().expect("a folder");
    here.ancestors().find(|folder| folder.join("deploy/system.toml").exists()).map(Path::to_owned).unwrap_or(here)
}

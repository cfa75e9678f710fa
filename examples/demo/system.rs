//! The platform's stand-in, entries and workers with their agents, in this process.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilledge::agent::Agent;
use chervilledge::entry::Entry;
use chervilledge::{agent, boot, clock, entry, settings};
use chervilledge_operator::accept::CURRENT_KEY;
use chervilledge_operator::documents::{Accepted, Documents};
use chervilledge_policy::rollout::Checksum;
use chervilledge_standins::worker::{Event, What};
use chervilledge_standins::{platform, worker};
use chervilledge_store::client;
use chervilledge_store::table::{Expect, Write};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// Secret of links and operators in the demo.
const SECRET: &str = "a-secret-for-the-demo";

/// Longest wait for workers or tasks.
const PATIENCE: Duration = Duration::from_secs(30);

/// Result whose error is shown to the person who runs the demo.
type Shown<T> = Result<T, Box<dyn Error>>;

/// Worker with its agent.
struct Worker {
    machine: worker::Handle,
    settings: settings::Agent,
    agent: Option<Agent>,
}

/// Running system.
pub struct System {
    _platform: platform::Handle,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
}

impl System {
    /// Starts everything and waits until each entry knows each worker.
    pub async fn start() -> Shown<Self> {
        let platform = platform::bind(any_port(), platform::Settings::default()).await?;
        accept_configuration(platform.address()).await;
        let mut entries = Vec::new();
        for name in ["entry-1", "entry-2"] {
            let settings = entry_settings(name, platform.address())?;
            entries.push(entry::spawn(settings, clock::system(), boot::new_id()).await?);
        }
        let links: Vec<SocketAddr> = entries.iter().map(Entry::links_address).collect();
        let mut workers = Vec::new();
        for name in ["worker-1", "worker-2", "worker-3"] {
            workers.push(start_worker(name, &links).await?);
        }
        let system = Self { _platform: platform, entries, workers };
        system.wait_for_workers().await?;
        Ok(system)
    }

    /// Addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::callers_address).collect()
    }

    /// Lets a worker's agent drain and end.
    pub async fn drain(&mut self, worker: usize) {
        if let Some(agent) = self.workers[worker].agent.take() {
            agent.drain().await;
        }
    }

    /// Ends a worker's agent at once and starts it again.
    pub async fn restart_agent(&mut self, worker: usize) {
        let worker = &mut self.workers[worker];
        drop(worker.agent.take());
        match agent::spawn(worker.settings.clone(), clock::system(), boot::new_id()).await {
            Ok(agent) => worker.agent = Some(agent),
            Err(error) => eprintln!("the agent didn't start again: {error}"),
        }
    }

    /// Submits a job and gives its identifier.
    pub async fn submit_job(&self, tasks: u64) -> Shown<String> {
        let submission = json!({
            "key": "mesh-orders",
            "team": "orders",
            "kind": "mesh-order",
            "priority": "normal",
            "task_count": tasks,
        });
        let job = self.operate("POST", "/jobs", &submission).await?;
        let id = job["id"].as_str().ok_or_else(|| job.to_string())?;
        Ok(id.to_owned())
    }

    /// Waits until the tasks of a job are done, and gives how many are.
    pub async fn wait_for_tasks(&self, job: &str, tasks: u64) -> u64 {
        let until = Instant::now() + PATIENCE;
        loop {
            let state = self.operate("GET", &format!("/jobs/{job}"), &Value::Null).await.unwrap_or_default();
            let done = state["counts"]["done"].as_u64().unwrap_or(0);
            if done >= tasks || Instant::now() >= until {
                return done;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Everything that happened on the workers.
    pub fn ledger(&self) -> Vec<Event> {
        self.workers.iter().flat_map(|worker| worker.machine.ledger()).collect()
    }

    async fn wait_for_workers(&self) -> Shown<()> {
        let until = Instant::now() + PATIENCE;
        for entry in &self.entries {
            while count_ready(&get_workers(entry.operators_address()).await?) < self.workers.len() {
                if Instant::now() >= until {
                    return Err("workers weren't linked in time".into());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn operate(&self, method: &str, path: &str, body: &Value) -> Shown<Value> {
        operate(self.entries[0].operators_address(), method, path, body).await
    }
}

/// Counts the tasks that were stopped before their end.
pub fn evictions(ledger: &[Event]) -> usize {
    let stopped = ledger.iter().filter(|event| matches!(event.what, What::TaskStopped { .. })).count();
    let completed = ledger.iter().filter(|event| matches!(event.what, What::TaskCompleted { .. })).count();
    stopped.saturating_sub(completed)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_worker(name: &str, links: &[SocketAddr]) -> Shown<Worker> {
    let machine = worker::Settings { worker: name.into(), ..worker::Settings::default() };
    let machine = worker::bind(any_port(), machine).await?;
    let settings = agent_settings(name, links, machine.address())?;
    let agent = agent::spawn(settings.clone(), clock::system(), boot::new_id()).await?;
    Ok(Worker { machine, settings, agent: Some(agent) })
}

fn entry_settings(name: &str, platform: SocketAddr) -> Shown<settings::Entry> {
    Ok(serde_json::from_value(json!({
        "name": name,
        "site": "hobart",
        "failure_domain": "hobart-1",
        "callers_address": any_port(),
        "links_address": any_port(),
        "operators_address": any_port(),
        "platform_address": platform,
        "link_secrets": [{ "value": SECRET }],
        "operator_secrets": [{ "value": SECRET }],
    }))?)
}

fn agent_settings(worker: &str, links: &[SocketAddr], machine: SocketAddr) -> Shown<settings::Agent> {
    Ok(serde_json::from_value(json!({
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
        "backend_address": machine,
        "runtime_address": machine,
        "entry_addresses": links,
        "links_max": 2,
        "operators_address": any_port(),
        "link_secrets": [{ "value": SECRET }],
        "operator_secrets": [{ "value": SECRET }],
    }))?)
}

/// Writes the first configuration, which operators would review and accept.
async fn accept_configuration(platform: SocketAddr) {
    let documents = Documents { base: configuration(), overlays: BTreeMap::new() };
    let accepted = Accepted {
        version: 1,
        checksum: documents.checksum(),
        documents,
        accepted_by: "demo".into(),
        accepted_at: "2026-01-01T00:00:00Z".into(),
        plan: Checksum(1),
    };
    let settings = client::Settings { address: platform, ..client::Settings::default() };
    let client = client::open(settings, boot::new_id(), clock::system());
    let write = Write::put(CURRENT_KEY, Expect::Absent, json!(accepted));
    let outcome = client.commit(client.next_write_id(), vec![write]).await;
    eprintln!("first configuration: {outcome:?}");
}

fn configuration() -> Value {
    let worker = json!({ "processor_millicores": 16_000, "memory_bytes": 60_000_000_000_u64, "accelerators": 0 });
    json!({
        "services": { "portal": {
            "priority": 9,
            "latency_target_ms": 200,
            "workers": 3,
            "slots": 8,
            "connections": 64,
            "idempotent_methods": ["GET", "HEAD"],
            "retry_budget_percent": 20,
            "queue_limit": 16,
            "queue_wait_ms": 250,
            "request_body_limit_bytes": 1_048_576,
        } },
        "teams": { "orders": { "quota": {
            "processor_millicores": 16_000,
            "memory_bytes": 16_000_000_000_u64,
            "accelerators": 0,
            "running_tasks": 8,
        } } },
        "batch_kinds": { "mesh-order": {
            "resources": { "processor_millicores": 2_000, "memory_bytes": 1_000_000_000, "accelerators": 0 },
            "run_time_ms": 1_500,
            "checkpoint_interval_ms": 500,
            "may_throttle": true,
            "may_evict": true,
            "worker_attempts": 3,
        } },
        "colocation": {
            "resume_at_percent": 70,
            "throttle_at_percent": 90,
            "evict_at_percent": 120,
            "hold_ms": 500,
            "evictions_per_hour": 12,
        },
        "sites": { "hobart": {
            "failure_domains": ["hobart-1"],
            "worker_shapes": { "portal": {
                "workers": 3, "workers_per_rack": 3, "guards": true, "resources": worker,
            } },
        } },
    })
}

async fn get_workers(operators: SocketAddr) -> Shown<Value> {
    operate(operators, "GET", "/workers", &Value::Null).await
}

fn count_ready(workers: &Value) -> usize {
    let is_ready = |worker: &&Value| worker["load"]["ready"] == true && !worker["link"].is_null();
    workers.as_array().map_or(0, |workers| workers.iter().filter(is_ready).count())
}

/// Sends a request to an operators' listener and gives the JSON of the answer.
async fn operate(operators: SocketAddr, method: &str, path: &str, body: &Value) -> Shown<Value> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{operators}{path}"))
        .header("authorization", format!("Bearer {SECRET}"))
        .body(Full::new(body))?;
    let response = client.request(request).await?;
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}

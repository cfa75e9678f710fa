//! Site of several processes for tests of batch work.

use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_operator::documents::Documents;
use chervilledge_policy::id::Name;
use chervilledge_standins::worker::{Event, What};
use chervilledge_standins::{platform, worker};
use serde_json::{Value, json};

use super::{
    Answer, OPERATOR_SECRET, Process, WorkDir, accept, agent_settings, documents, entry_settings, send, spawn_agent,
    spawn_entry, state, wait_until,
};

/// Lease terms in tests: short, so that ends of leases come soon.
pub fn settings() -> Value {
    json!({
        "lease": { "length_ms": 2_000, "margin_ms": 500, "checkpoint_ahead_ms": 700, "renew_every_ms": 400 },
        "shard_count": 4,
        "renew_gather_ms": 50,
        "poll_interval_ms": 100,
        "tick_ms": 25,
        "full_look_ms": 3_000,
        "latency_window_ms": 1_000,
        "latency_requests_min": 5,
    })
}

/// Configuration with one team and kinds of several sizes.
pub fn batch_documents() -> Documents {
    let kind = |run_ms: u64, millicores: u64, accelerators: u32| {
        json!({
            "resources": {
                "processor_millicores": millicores, "memory_bytes": 1_000_000_000_u64, "accelerators": accelerators,
            },
            "run_time_ms": run_ms,
            "checkpoint_interval_ms": 200,
            "may_throttle": true,
            "may_evict": true,
            "worker_attempts": 3,
        })
    };
    let mut documents = documents();
    documents.base["teams"] = json!({
        "orders": { "quota": {
            "processor_millicores": 1_000_000, "memory_bytes": 1_000_000_000_000_u64, "accelerators": 4,
            "running_tasks": 1_000,
        } },
    });
    documents.base["batch_kinds"] = json!({
        "quick": kind(100, 1_000, 0),
        "medium": kind(1_500, 4_000, 0),
        "long": kind(6_000, 4_000, 0),
        "steady": kind(20_000, 4_000, 0),
        "over_quota": kind(100, 1_000, 5),
        "over_worker": kind(100, 1_000, 1),
    });
    documents.base["sites"]["hobart"]["worker_shapes"] = json!({
        "plain": {
            "workers": 100, "workers_per_rack": 3, "guards": true,
            "resources": { "processor_millicores": 16_000, "memory_bytes": 60_000_000_000_u64, "accelerators": 0 },
        },
    });
    documents
}

/// Body of a submission.
pub fn submission(key: &str, kind: &str, task_count: u32) -> Value {
    json!({ "key": key, "team": "orders", "kind": kind, "priority": "normal", "task_count": task_count })
}

/// Entries and agents of one test.
pub struct Site {
    directory: WorkDir,
    platform: SocketAddr,
    /// Settings of batch work of the processes that are started next.
    pub batch: Value,
    /// Entries by number.
    pub entries: Vec<Process>,
    /// Agents by number.
    pub agents: Vec<Process>,
}

impl Site {
    /// Accepts the configuration on the platform; no process runs yet.
    pub async fn open(platform: SocketAddr) -> Self {
        accept(platform, 1, batch_documents()).await;
        Self { directory: WorkDir::new(), platform, batch: settings(), entries: Vec::new(), agents: Vec::new() }
    }

    /// Starts an entry and gives its number.
    pub fn entry(&mut self, name: &str) -> usize {
        let mut settings = entry_settings(name, self.platform);
        settings["batch"] = self.batch.clone();
        self.entries.push(spawn_entry(&self.directory, &settings));
        self.entries.len() - 1
    }

    /// Starts an agent linked to every entry, and gives its number.
    pub fn agent(&mut self, worker: &str, runtime: SocketAddr) -> usize {
        let entries: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.address("links_address")).collect();
        let mut settings = agent_settings(worker, &entries, runtime);
        settings["batch"] = self.batch.clone();
        self.agents.push(spawn_agent(&self.directory, &settings));
        self.agents.len() - 1
    }

    /// Sends an operator's request to an entry.
    pub async fn post(&self, entry: usize, path: &str, body: Value) -> Answer {
        self.send(entry, "POST", path, body.to_string().into_bytes()).await
    }

    /// Asks an entry as an operator.
    pub async fn get(&self, entry: usize, path: &str) -> Answer {
        self.send(entry, "GET", path, Vec::new()).await
    }

    async fn send(&self, entry: usize, method: &str, path: &str, body: Vec<u8>) -> Answer {
        operate(self.entries[entry].address("operators_address"), method, path, body).await
    }

    /// Submits a job and gives its identifier.
    pub async fn submit(&self, entry: usize, key: &str, kind: &str, task_count: u32) -> String {
        let answer = self.post(entry, "/jobs", submission(key, kind, task_count)).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        answer.json()["id"].as_str().expect("id").to_owned()
    }

    /// Waits until every task of a job has ended.
    pub async fn wait_finished(&self, entry: usize, id: &str) -> Value {
        self.wait_job(entry, id, "job has finished", |job| job["finished"] == true).await
    }

    /// Waits until a job is as wanted.
    pub async fn wait_job(&self, entry: usize, id: &str, what: &str, is_wanted: impl Fn(&Value) -> bool) -> Value {
        let is_wanted = &is_wanted;
        let mut last = Value::Null;
        for _ in 0..600 {
            last = self.get(entry, &format!("/jobs/{id}")).await.json();
            if is_wanted(&last) {
                return last;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let state = state(self.entries[entry].address("operators_address")).await;
        panic!("{what}: not within a minute: {last:#}\n{:#}", state["batch"]);
    }

    /// Waits until an entry has given leases to so many workers.
    pub async fn wait_granted(&self, entry: usize, count: usize) {
        wait_granted_at(self.entries[entry].address("operators_address"), count).await;
    }
}

/// Waits until an entry has given leases to so many workers.
pub async fn wait_granted_at(operators: SocketAddr, count: usize) {
    wait_until("workers have leases", || async move {
        let state = state(operators).await;
        let agents = state["batch"]["agents"].as_array().cloned().unwrap_or_default();
        agents.iter().filter(|agent| agent["granted"] == true).count() == count
    })
    .await;
}

/// Sends an operator's request, again while the entry refuses it for a time.
pub async fn operate(operators: SocketAddr, method: &str, path: &str, body: Vec<u8>) -> Answer {
    let authorization = format!("Bearer {OPERATOR_SECRET}");
    let headers = [("authorization", authorization.as_str())];
    // An entry refuses while it has no configuration yet, and while the platform is away.
    for _ in 0..200 {
        if let Ok(answer) = send(operators, method, path, &headers, body.clone()).await
            && answer.status != 503
        {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{method} {path}: no answer");
}

/// Events of several workers together.
pub fn ledgers(workers: &[&worker::Handle]) -> Vec<Event> {
    workers.iter().flat_map(|worker| worker.ledger()).collect()
}

/// Starts a worker's stand-in; its name tells its ledger apart.
pub async fn bind_worker(name: &str) -> worker::Handle {
    let settings = worker::Settings { worker: Name::from(name), ..worker::Settings::default() };
    worker::bind(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await.expect("worker")
}

/// Starts a platform's stand-in with the usual rates.
pub async fn bind_platform() -> platform::Handle {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    platform::bind(address, platform::Settings::default()).await.expect("platform")
}

/// Number of events that are as wanted.
pub fn count(events: &[Event], is_wanted: impl Fn(&What) -> bool) -> usize {
    events.iter().filter(|event| is_wanted(&event.what)).count()
}

/// Number of effects of tasks.
pub fn effects(events: &[Event]) -> usize {
    count(events, |what| matches!(what, What::TaskEffect { .. }))
}

/// Number of starts of tasks.
pub fn starts(events: &[Event]) -> usize {
    count(events, |what| matches!(what, What::TaskStarted { .. }))
}

/// Waits until the workers' ledgers are as wanted.
pub async fn wait_ledger(what: &str, workers: &[&worker::Handle], is_wanted: impl Fn(&[Event]) -> bool) {
    let is_wanted = &is_wanted;
    wait_until(what, || async move { is_wanted(&ledgers(workers)) }).await;
}

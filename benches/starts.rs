//! Task starts per second that entries sustain within the table's rate of writes, and what each start costs.
//!
//! `cargo bench --bench starts [-- SECONDS]` runs entries and agents in one process, beside the stand-ins, and prints
//! one JSON line. Background work is queued throughout; once a second one urgent task is submitted.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilledge::{agent, boot, clock, entry, settings};
use chervilledge_policy::id::Name;
use chervilledge_standins::worker::What;
use chervilledge_standins::{platform, worker};
use harness::batch::batch_documents;
use harness::{accept, agent_settings, entry_settings};
use serde_json::{Value, json};

/// Entries.
const ENTRIES: usize = 3;

/// Workers, each with room for 16 tasks of one core.
const WORKERS: usize = 40;

/// Run time of one task, in milliseconds.
const RUN_MS: u64 = 1_000;

/// Tasks of one background job.
const JOB_TASKS: u32 = 2_000;

/// Background tasks for each second of the measurement; more than can be started.
const BACKGROUND_PER_S: u64 = 600;

/// Time for the first starts, before the measurement.
const WARM_UP: Duration = Duration::from_secs(5);

/// Target of task starts in a second.
const TARGET_STARTS_PER_S: f64 = 320.0;

/// Target of the time from submission to start of an urgent task, in milliseconds.
const TARGET_URGENT_MS: f64 = 3_600.0;

/// Limit of the table, in writes a second.
const LIMIT_WRITES_PER_S: f64 = 300.0;

fn main() {
    let seconds = std::env::args().find_map(|argument| argument.parse().ok()).unwrap_or(60);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("runtime");
    let measured = runtime.block_on(measure(seconds));
    println!("{measured}");
}

struct Cluster {
    platform: platform::Handle,
    workers: Vec<worker::Handle>,
    entries: Vec<entry::Entry>,
    _agents: Vec<agent::Agent>,
}

async fn measure(seconds: u64) -> Value {
    let cluster = open().await;
    let operators = cluster.entries[0].operators_address();
    for number in 0..=(BACKGROUND_PER_S * (seconds + WARM_UP.as_secs()) / u64::from(JOB_TASKS)) {
        submit(operators, &format!("background-{number}"), "background", JOB_TASKS).await;
    }
    tokio::time::sleep(WARM_UP).await;
    let before = Reading::take(&cluster).await;
    let mut urgent = Vec::new();
    for number in 0..seconds {
        let operators = cluster.entries[usize::try_from(number).unwrap_or(0) % ENTRIES].operators_address();
        let submitted = chervilledge_standins::clock::monotonic().now();
        let id = submit(operators, &format!("urgent-{number}"), "urgent", 1).await;
        urgent.push((id, submitted));
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let after = Reading::take(&cluster).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    report(&cluster, &before, &after, &urgent)
}

/// Counts at one moment.
struct Reading {
    at: Instant,
    counts: platform::Counts,
    starts: usize,
    renewals: u64,
}

impl Reading {
    async fn take(cluster: &Cluster) -> Self {
        let mut renewals = 0;
        for entry in &cluster.entries {
            let state = harness::state(entry.operators_address()).await;
            renewals += state["batch"]["renewals"].as_u64().unwrap_or(0);
        }
        let starts = cluster.workers.iter().map(|worker| harness::batch::starts(&worker.ledger())).sum();
        Self { at: Instant::now(), counts: cluster.platform.counts(), starts, renewals }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn report(cluster: &Cluster, before: &Reading, after: &Reading, urgent: &[(String, Duration)]) -> Value {
    let seconds = (after.at - before.at).as_secs_f64();
    let starts = (after.starts - before.starts) as f64;
    let writes = (after.counts.writes - before.counts.writes) as f64;
    let reads = (after.counts.reads - before.counts.reads) as f64;
    let renewals = (after.renewals - before.renewals) as f64;
    let agent_renewals = seconds / 3.0 * (WORKERS * ENTRIES) as f64;
    let mut waits = urgent_waits(cluster, urgent);
    waits.sort_by(f64::total_cmp);
    let max = waits.last().copied();
    json!({
        "seconds": seconds,
        "starts_per_s": starts / seconds,
        "writes_per_s": writes / seconds,
        "reads_per_s": reads / seconds,
        "refused": after.counts.refused - before.counts.refused,
        "writes_per_start": writes / starts,
        "reads_per_start": reads / starts,
        "commit_bytes_per_start": (after.counts.commit_bytes - before.counts.commit_bytes) as f64 / starts,
        "renewal_writes_per_s": renewals / seconds,
        "writes_per_agent_renewal": renewals / agent_renewals,
        "urgent_started": waits.len(),
        "urgent_submitted": urgent.len(),
        "urgent_p50_ms": waits.get(waits.len() / 2),
        "urgent_max_ms": max,
        "meets_starts": starts / seconds >= TARGET_STARTS_PER_S,
        "meets_writes": writes / seconds <= LIMIT_WRITES_PER_S,
        "meets_urgent": waits.len() == urgent.len() && max.is_some_and(|max| max <= TARGET_URGENT_MS),
    })
}

/// Times from submission to start of the urgent tasks that have started, in milliseconds.
fn urgent_waits(cluster: &Cluster, urgent: &[(String, Duration)]) -> Vec<f64> {
    let mut started: BTreeMap<Name, Duration> = BTreeMap::new();
    for event in cluster.workers.iter().flat_map(worker::Handle::ledger) {
        if let What::TaskStarted { task, .. } = event.what {
            started.entry(task).or_insert(event.at);
        }
    }
    let wait = |(id, submitted): &(String, Duration)| {
        let at = started.get(format!("{id}/0").as_str())?;
        Some(at.saturating_sub(*submitted).as_secs_f64() * 1_000.0)
    };
    urgent.iter().filter_map(wait).collect()
}

async fn open() -> Cluster {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::bind(address, platform::Settings::default()).await.expect("platform");
    let mut documents = batch_documents();
    documents.base["batch_kinds"]["quick"]["run_time_ms"] = json!(RUN_MS);
    documents.base["batch_kinds"]["quick"]["checkpoint_interval_ms"] = json!(60_000);
    accept(platform.address(), 1, documents).await;
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        let settings = entry_settings(&format!("entry-{number}"), platform.address());
        let settings: settings::Entry = serde_json::from_value(settings).expect("settings");
        entries.push(entry::spawn(settings, clock::system(), boot::new_id()).await.expect("entry"));
    }
    let links: Vec<SocketAddr> = entries.iter().map(entry::Entry::links_address).collect();
    let (mut workers, mut agents) = (Vec::new(), Vec::new());
    for number in 0..WORKERS {
        let name = Arc::from(format!("worker-{number}"));
        let settings = worker::Settings { worker: name, ..worker::Settings::default() };
        let worker = worker::bind(address, settings).await.expect("worker");
        let settings = agent_settings(&format!("worker-{number}"), &links, worker.address());
        let settings: settings::Agent = serde_json::from_value(settings).expect("settings");
        agents.push(agent::spawn(settings, clock::system(), boot::new_id()).await.expect("agent"));
        workers.push(worker);
    }
    for entry in &entries {
        harness::batch::wait_granted_at(entry.operators_address(), WORKERS).await;
    }
    Cluster { platform, workers, entries, _agents: agents }
}

async fn submit(operators: SocketAddr, key: &str, priority: &str, task_count: u32) -> String {
    let body = json!({ "key": key, "team": "orders", "kind": "quick", "priority": priority, "task_count": task_count });
    let answer = harness::batch::operate(operators, "POST", "/jobs", body.to_string().into_bytes()).await;
    answer.json()["id"].as_str().unwrap_or_else(|| panic!("{answer:?}")).to_owned()
}

//! An ordinary client beside the trouble: submits a small job every half second, and asks for each once traffic has ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cluster::{Cluster, Places, manifest, queue};
use crate::record::Record;
use crate::worker::Shape;

/// Path of the queue.
pub const QUEUE: &str = "/seat-check/";
/// `finish_s` of the site.
pub const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running beside free capacity.
const IDLE_MS: u64 = 3_000;
/// Processor of one worker, in thousandths of a core.
const WORKER_CPU: u64 = 32_000;
/// Workers of the site.
pub const WORKERS: u64 = 11;
/// Processor of an ordinary task.
const TASK_CPU: u64 = 480;
/// Pause between two jobs.
const PAUSE: Duration = Duration::from_millis(500);
/// A client's tries to submit a job.
const TRIES: u32 = 5;

/// Starts four entries and eleven workers of 32 cores, as on the site hlls-booking, and waits until they serve.
pub async fn start(places: &Places, record: &Record) -> Result<Arc<Cluster>, String> {
    let shape = |n: u64| Shape {
        cpu: WORKER_CPU,
        mem_mb: 128_000,
        guards: true,
        zone: format!("zone-{}", n % 4),
        rack: format!("r1-{}", n / 3 + 1),
    };
    let shapes: Vec<Shape> = (0..WORKERS).map(shape).collect();
    let configuration = manifest(1, &[queue("seat-check", QUEUE, 0, 3)], true);
    let cluster = Cluster::start(places, 4, &shapes, configuration, record.clone()).await;
    if !cluster.wait_ready(QUEUE).await {
        return Err("the entries don't become ready".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    Ok(Arc::new(cluster))
}

/// Submits ordinary jobs for some time.
pub fn submit(cluster: &Arc<Cluster>, traffic: Duration) -> JoinHandle<()> {
    let cluster = Arc::clone(cluster);
    tokio::spawn(async move {
        let count = u64::try_from(traffic.as_millis() / PAUSE.as_millis()).unwrap_or(0);
        let mut tries = tokio::task::JoinSet::new();
        for number in 0..count {
            let cluster = Arc::clone(&cluster);
            tries.spawn(async move {
                let spec = json!({"work_ms": 300, "cpu": TASK_CPU, "mem_mb": 256}).to_string();
                let step = json!({"count": 1, "cpu": TASK_CPU, "mem_mb": 256, "estimate_ms": 300});
                let body = json!({"spec": spec, "steps": [step]});
                let path = format!("{QUEUE}{:016x}", 0xa000 + number);
                for attempt in 0..u64::from(TRIES) {
                    let to = usize::try_from((number + attempt) % 4).unwrap_or(0);
                    let answer = cluster.call_as("ordinary", to, Method::POST, &path, Some(&body)).await;
                    if answer.is_some_and(|(status, _)| status == StatusCode::OK) {
                        return;
                    }
                    sleep(Duration::from_millis(700)).await;
                }
            });
            sleep(PAUSE).await;
        }
        while tries.join_next().await.is_some() {}
        cluster.record.add("ordinary", "traffic ends", json!({}));
    })
}

/// LOST, as far as it concerns ordinary jobs: `finish_s` after the traffic, one has nothing running for 3 s although no
/// job runs on half of the capacity, or isn't known.
pub async fn lost(cluster: &Cluster) -> Vec<String> {
    let record = &cluster.record;
    let is_accepted = |answer: &Value| answer[0] == 200;
    let mut open: BTreeSet<String> = BTreeSet::new();
    for line in record.lines() {
        if line.who == "ordinary" && line.what == "POST" && is_accepted(&line.details["answer"]) {
            open.extend(line.details["path"].as_str().and_then(|path| path.strip_prefix(QUEUE)).map(str::to_owned));
        }
    }
    let accepted = open.len();
    sleep(FINISH).await;
    let from_ms = record.now_ms();
    sleep(Duration::from_millis(IDLE_MS)).await;
    let to_ms = record.now_ms();
    // Each job has one task: what ran at any moment of the last 3 s, and how much of the capacity was in use.
    let mut running: BTreeMap<(String, String, u64), u64> = BTreeMap::new();
    let (mut active, mut most_cpu) = (BTreeSet::new(), 0_u64);
    let mut done = BTreeSet::new();
    let job = |task: &str| task.split('.').next().unwrap_or_default().to_owned();
    for line in record.lines().into_iter().filter(|line| line.at_ms <= to_ms) {
        let task = line.details["task"].as_str().unwrap_or_default().to_owned();
        let run = line.details["run"].as_u64().unwrap_or(0);
        match line.what.as_str() {
            "start" => {
                let spec: Value = serde_json::from_str(line.details["spec"].as_str().unwrap_or("")).unwrap_or_default();
                running.insert((line.who.clone(), task.clone(), run), spec["cpu"].as_u64().unwrap_or(0));
            }
            "end" | "killed" => {
                running.remove(&(line.who.clone(), task.clone(), run));
                if line.details["how"] == "done" {
                    done.insert(job(&task));
                }
            }
            _ => continue,
        }
        if line.at_ms >= from_ms {
            active.extend(running.keys().map(|(_, task, _)| job(task)));
            active.insert(job(&task));
            most_cpu = most_cpu.max(running.values().sum());
        }
    }
    active.extend(running.keys().map(|(_, task, _)| job(task)));
    most_cpu = most_cpu.max(running.values().sum());
    let has_room = most_cpu * 2 < WORKERS * WORKER_CPU;
    let mut broken = Vec::new();
    let idle: Vec<String> = open.iter().filter(|id| !done.contains(*id) && !active.contains(*id)).cloned().collect();
    record.add("judge", "capacity", json!({"most_cpu_in_use": most_cpu, "cpu": WORKERS * WORKER_CPU}));
    if has_room && !idle.is_empty() {
        broken.push(format!(
            "LOST: {} of {accepted} accepted ordinary jobs have had nothing running for 3 s, 17 s after the traffic, with {most_cpu} of {} thousandths of a core in use; the first: {}",
            idle.len(),
            WORKERS * WORKER_CPU,
            idle[0]
        ));
    }
    broken
}

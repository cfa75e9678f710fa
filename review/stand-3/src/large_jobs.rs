//! One client submits a few small requests for jobs with many tasks; the platform ends a process that exceeds its memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::cluster::{Cluster, Places};
use crate::ordinary;
use crate::record::Record;

/// Large jobs, and tasks of each.
const JOBS: u64 = 60;
const TASKS: u64 = 10_000;
/// Pause between two of the client's requests.
const PAUSE: Duration = Duration::from_millis(200);
/// Time for which ordinary jobs are submitted.
const TRAFFIC: Duration = Duration::from_secs(45);
/// Interval of the platform's looks at the memory, and its delay before it restarts a process.
const LOOK: Duration = Duration::from_millis(50);
const RESTART: Duration = Duration::from_millis(500);

/// Plays the platform: ends processes over their memory, and starts them again.
async fn guard_memory(cluster: Arc<Cluster>) {
    let mut noted: BTreeMap<String, u64> = BTreeMap::new();
    loop {
        sleep(LOOK).await;
        for node in cluster.entries.iter().chain(&cluster.agents) {
            let memory_mb = node.memory_mb().unwrap_or(0);
            let step = memory_mb / 20;
            if noted.insert(node.name.clone(), step) != Some(step) {
                cluster.record.add(&node.name, "memory", json!({"mb": memory_mb, "limit_mb": node.memory_limit_mb()}));
            }
            if memory_mb > node.memory_limit_mb() {
                cluster.record.add(&node.name, "over memory", json!({"mb": memory_mb}));
                node.kill();
                sleep(RESTART).await;
                node.start();
            }
        }
    }
}

pub async fn run(places: &Places, record: Record, has_trouble: bool) -> Verdict {
    let cluster = ordinary::start(places, &record).await?;
    let guard = tokio::spawn(guard_memory(Arc::clone(&cluster)));
    let traffic = ordinary::submit(&cluster, TRAFFIC);
    sleep(Duration::from_secs(5)).await;
    let mut accepted = 0;
    for number in 0..if has_trouble { JOBS } else { 0 } {
        let spec = json!({"work_ms": 800, "cpu": 480, "mem_mb": 256}).to_string();
        let step = json!({"count": TASKS, "cpu": 480, "mem_mb": 256, "estimate_ms": 800});
        let body = json!({"spec": spec, "steps": [step]});
        let path = format!("{}{:016x}", ordinary::QUEUE, 0x1000 + number);
        let to = usize::try_from(number % 4).unwrap_or(0);
        let answer = cluster.call_as("large", to, Method::POST, &path, Some(&body)).await;
        accepted += u64::from(answer.is_some_and(|(status, _)| status == StatusCode::OK));
        sleep(PAUSE).await;
    }
    traffic.await.map_err(|error| error.to_string())?;
    let mut broken = ordinary::lost(&cluster).await;
    guard.abort();
    let mut ends: BTreeMap<String, u64> = BTreeMap::new();
    for line in record.lines().into_iter().filter(|line| line.what == "over memory") {
        *ends.entry(line.who).or_default() += 1;
    }
    println!("{accepted} large jobs accepted; ends over the memory limit: {ends:?}");
    record.add("judge", "ends", json!(ends));
    // A tenth of the 15 machines, two at least, three times each.
    if ends.values().filter(|ends| **ends >= 3).count() >= 2 {
        broken.push(format!(
            "Fault: processes ended over their memory three times or more on two machines or more: {ends:?}"
        ));
    }
    Ok(broken)
}

//! Two of twenty jobs that last have tasks that crash each worker that starts them, as after a bad release of a program.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::cluster::Places;
use crate::ordinary;
use crate::record::Record;

/// Jobs that last, and how many of them crash their workers.
const JOBS: u64 = 20;
const CRASHING: u64 = 2;
/// Tasks of each job.
const TASKS: u64 = 6;
/// Time from the start of such a task to the crash.
const CRASH_AFTER_MS: u64 = 4_000;
const WATCH: Duration = Duration::from_secs(75);

pub async fn run(places: &Places, record: Record, has_trouble: bool) -> Verdict {
    let cluster = ordinary::start(places, &record).await?;
    for number in 0..JOBS {
        let mut spec = json!({"cpu": 1_000, "mem_mb": 1_024, "lasts": true});
        let is_crashing = number >= JOBS - CRASHING;
        if has_trouble && is_crashing {
            spec["crash_after_ms"] = json!(CRASH_AFTER_MS);
        }
        let image = if is_crashing { "watch-new".to_owned() } else { format!("watch-{}", number % 4) };
        let step = json!({"count": TASKS, "cpu": 1_000, "mem_mb": 1_024, "estimate_ms": 400, "long_running": true,
                          "image": image, "target_ms": 45, "max_unavailable": 1});
        let body = json!({"spec": spec.to_string(), "steps": [step]});
        let path = format!("{}{:016x}", ordinary::QUEUE, 0x2000 + number);
        cluster.call(usize::try_from(number % 4).unwrap_or(0), Method::POST, &path, Some(&body)).await;
        sleep(Duration::from_millis(50)).await;
    }
    sleep(WATCH).await;
    for number in JOBS - CRASHING..JOBS {
        cluster.call(0, Method::GET, &format!("{}{:016x}", ordinary::QUEUE, 0x2000 + number), None).await;
    }
    let (broken, innocent) = started_again(&record);
    println!("{innocent} runs of other jobs were killed by the crashes");
    Ok(broken)
}

/// BUDGET, as the news page has it: a task that crashes its workers is started three times more after three workers have
/// crashed under it. A crash counts for the task that caused it only, and a worker once.
fn started_again(record: &Record) -> (Vec<String>, usize) {
    let mut crashed: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut starts: BTreeMap<String, u64> = BTreeMap::new();
    let mut killed = Vec::new();
    for line in record.lines() {
        let task = line.details["task"].as_str().unwrap_or_default().to_owned();
        match line.what.as_str() {
            "crash" => drop(crashed.entry(task).or_default().insert(line.who)),
            "start" if crashed.get(&task).is_some_and(|workers| workers.len() >= 3) => {
                *starts.entry(task).or_default() += 1;
            }
            "killed" => killed.push(task),
            _ => {}
        }
    }
    let innocent = killed.iter().filter(|task| !crashed.contains_key(*task)).count();
    let again = starts.into_iter().filter(|(_, starts)| *starts >= 3);
    let describe = |(task, starts)| {
        format!("BUDGET: {task} was started {starts} times more after three workers had crashed under it")
    };
    (again.map(describe).collect(), innocent)
}

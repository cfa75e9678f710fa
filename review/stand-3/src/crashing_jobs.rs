//! Two of twenty jobs that last have tasks that crash each worker that starts them, as after a bad release of a program.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::cluster::Places;
use crate::record::Record;
use crate::site;

/// Jobs that last, and how many of them crash their workers.
const JOBS: u64 = 20;
const CRASHING: u64 = 2;
/// Tasks of each job.
const TASKS: u64 = 6;
/// Time from the start of such a task to the crash.
const CRASH_AFTER_MS: u64 = 4_000;
/// Short jobs of one task beside them, one after the other; what becomes of them is told and not judged.
const SHORT_JOBS: u64 = 30;
const SHORT_PAUSE: Duration = Duration::from_millis(1_500);
const SHORT_WORK_MS: u64 = 8_000;
/// Time after the last of these.
const WATCH: Duration = Duration::from_secs(30);

/// First identifiers of the two kinds of jobs.
const LASTING: u64 = 0x2000;
const SHORT: u64 = 0x3000;

fn path_of(id: u64) -> String {
    format!("{}{id:016x}", site::QUEUE)
}

pub async fn run(places: &Places, record: Record, has_trouble: bool) -> Verdict {
    let cluster = site::start(places, &record).await?;
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
        let to = usize::try_from(number % 4).unwrap_or(0);
        cluster.call(to, Method::POST, &path_of(LASTING + number), Some(&body)).await;
        sleep(Duration::from_millis(50)).await;
    }
    for number in 0..SHORT_JOBS {
        let spec = json!({"work_ms": SHORT_WORK_MS, "cpu": 1_000, "mem_mb": 1_024}).to_string();
        let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 1_024, "estimate_ms": SHORT_WORK_MS});
        let body = json!({"spec": spec, "steps": [step]});
        let to = usize::try_from(number % 4).unwrap_or(0);
        cluster.call_as("short", to, Method::POST, &path_of(SHORT + number), Some(&body)).await;
        sleep(SHORT_PAUSE).await;
    }
    sleep(WATCH).await;
    let mut states: BTreeMap<String, u64> = BTreeMap::new();
    for number in 0..SHORT_JOBS {
        let answer = cluster.call_as("short", 0, Method::GET, &path_of(SHORT + number), None).await;
        let state = answer.map_or_else(|| "no answer".to_owned(), |(_, content)| content["state"].to_string());
        *states.entry(state).or_default() += 1;
    }
    for number in JOBS - CRASHING..JOBS {
        cluster.call(0, Method::GET, &path_of(LASTING + number), None).await;
    }
    let (broken, innocent) = started_again(&record);
    println!("{innocent} runs of other jobs were killed by the crashes; states of the short jobs: {states:?}");
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

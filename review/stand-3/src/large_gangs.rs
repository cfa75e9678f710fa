//! One client submits a few small requests for gangs that are wider than the cell.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::cluster::Places;
use crate::ordinary;
use crate::record::Record;

/// Gangs, and members of each.
const JOBS: u64 = 30;
const MEMBERS: u64 = 8_000;
/// Processor of a member; eleven workers have room for 7,326 members.
const MEMBER_CPU: u64 = 48;
/// Members of one gang on one worker, at most.
const SPREAD: u64 = 2_000;
/// Pause between two of the client's requests.
const PAUSE: Duration = Duration::from_millis(200);
/// Time for which ordinary jobs are submitted.
const TRAFFIC: Duration = Duration::from_secs(45);

pub async fn run(places: &Places, record: Record, has_trouble: bool) -> Verdict {
    let cluster = ordinary::start(places, &record).await?;
    let traffic = ordinary::submit(&cluster, TRAFFIC);
    sleep(Duration::from_secs(5)).await;
    let mut accepted = 0;
    for number in 0..if has_trouble { JOBS } else { 0 } {
        let spec = json!({"work_ms": 800, "cpu": MEMBER_CPU, "mem_mb": 16, "gang": MEMBERS}).to_string();
        let step = json!({"count": MEMBERS, "cpu": MEMBER_CPU, "mem_mb": 16, "estimate_ms": 800, "gang": true,
                          "anti_affinity": SPREAD});
        let body = json!({"spec": spec, "steps": [step]});
        let path = format!("{}{:016x}", ordinary::QUEUE, 0x1000 + number);
        let to = usize::try_from(number % 4).unwrap_or(0);
        let answer = cluster.call_as("gangs", to, Method::POST, &path, Some(&body)).await;
        accepted += u64::from(answer.is_some_and(|(status, _)| status == StatusCode::OK));
        sleep(PAUSE).await;
    }
    traffic.await.map_err(|error| error.to_string())?;
    let broken = ordinary::lost(&cluster).await;
    let most_mb = cluster.entries.iter().filter_map(|entry| entry.memory_mb()).max();
    let starts = record.lines().iter().filter(|line| line.what == "start").count();
    println!("{accepted} gangs accepted; {starts} starts; the largest entry holds {most_mb:?} MB");
    Ok(broken)
}

//! Memory, processor time and bytes of an idle agent by the number of its links.
//!
//! `cargo bench -p chervilledge --bench idle_agent` starts four entries and, one after another, agents with 1, 2 and 4
//! links, all as processes of their own. Every link passes through a proxy that counts its bytes.

#[path = "../tests/harness/mod.rs"]
mod harness;
mod support;

use std::process::ExitCode;
use std::time::Duration;

use harness::cluster::{Cluster, start};
use harness::{state, wait_until};
use serde_json::json;
use support::figure::Report;
use support::process::usage;

/// Links of an agent.
const LINKS: [u32; 3] = [1, 2, 4];
/// Entries, as many as the most links of an agent.
const ENTRIES: usize = 4;
/// Time between the last link and the first reading.
const SETTLE: Duration = Duration::from_secs(3);
/// Time between two readings.
const MEASURE: Duration = Duration::from_secs(12);

/// Greatest resident memory of a process.
const MEMORY_TARGET_MIB: f64 = 64.0;
/// Greatest share of a core.
const PROCESSOR_TARGET_PERCENT: f64 = 4.0;
/// Greatest rate of bytes on all links of an agent, in both directions.
const BYTES_TARGET_PER_S: f64 = 3_000.0;

#[tokio::main]
async fn main() -> ExitCode {
    let mut report = Report::open("idle_agent");
    let mut cluster = start(ENTRIES, 0).await;
    for links in LINKS {
        measure(&mut report, &mut cluster, links).await;
    }
    report.finish()
}

async fn measure(report: &mut Report, cluster: &mut Cluster, links: u32) {
    let at: &[(&str, u64)] = &[("links", u64::from(links))];
    cluster.add_worker(&format!("worker-{links}"), |settings| settings["links_max"] = json!(links)).await;
    let agent = &cluster.workers.last().expect("a worker").agent;
    let operators = agent.address("operators_address");
    wait_until("agent holds its links only", || async move {
        state(operators).await["agent"]["links"].as_array().is_some_and(|open| open.len() == links as usize)
    })
    .await;
    tokio::time::sleep(SETTLE).await;

    let (before, carried_before) = (usage(agent), carried(cluster));
    tokio::time::sleep(MEASURE).await;
    let (after, carried_after) = (usage(agent), carried(cluster));
    let seconds = (after.at - before.at).as_secs_f64();
    let to_entries = to_f64(carried_after.0 - carried_before.0) / seconds;
    let to_agent = to_f64(carried_after.1 - carried_before.1) / seconds;
    report.bounded("memory", at, after.resident_mib(), "MiB", MEMORY_TARGET_MIB);
    report.bounded("processor", at, after.core_percent(&before), "% of a core", PROCESSOR_TARGET_PERCENT);
    report.figure("link_bytes_to_entries", at, to_entries, "B/s");
    report.figure("link_bytes_to_agent", at, to_agent, "B/s");
    report.bounded("link_bytes", at, to_entries + to_agent, "B/s", BYTES_TARGET_PER_S);
    cluster.workers.clear();
}

/// Bytes to all entries and back to agents.
fn carried(cluster: &Cluster) -> (u64, u64) {
    let carried = cluster.entries.iter().map(|entry| entry.network.carried());
    carried.fold((0, 0), |sum, part| (sum.0 + part.to_target_bytes, sum.1 + part.to_caller_bytes))
}

#[expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

//! Memory, processor time and bytes of one entry by the number of announced workers.
//!
//! `cargo bench -p chervilledge --bench entry_size` starts one entry process for each size, announces workers by light
//! agents in this process, and reads what the entry uses while every agent sends heartbeats at the default interval.
//! Links of the first hundred workers pass through a proxy that counts their bytes.

#[path = "../tests/harness/mod.rs"]
mod harness;
mod support;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use chervilledge::settings::Bounds;
use chervilledge_standins::{network, platform};
use harness::cluster::any_port;
use harness::{
    OPERATOR_SECRET, Process, WorkDir, accept, documents, entry_settings, send, spawn_entry, wait_for_version,
};
use support::figure::Report;
use support::light::Fleet;
use support::process::usage;

/// Announced workers.
const SIZES: [u32; 3] = [100, 1_000, 3_700];
/// Workers whose bytes are counted.
const COUNTED: u32 = 100;
/// Longest time for all links to be opened.
const OPEN_PATIENCE: Duration = Duration::from_mins(1);
/// Time between the last link and the first reading.
const SETTLE: Duration = Duration::from_secs(2);
/// Time between two readings.
const MEASURE: Duration = Duration::from_secs(8);

/// Greatest resident memory of a process.
const MEMORY_TARGET_MIB: f64 = 64.0;
/// Greatest share of a core.
const PROCESSOR_TARGET_PERCENT: f64 = 4.0;
/// Greatest rate of bytes on all links of a node, in both directions.
const BYTES_TARGET_PER_S: f64 = 3_000.0;

#[tokio::main]
async fn main() -> ExitCode {
    let mut report = Report::open("entry_size");
    for workers in SIZES {
        measure(&mut report, workers).await;
    }
    report.finish()
}

async fn measure(report: &mut Report, workers: u32) {
    let at: &[(&str, u64)] = &[("workers", u64::from(workers))];
    let directory = WorkDir::new();
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    accept(platform.address(), 1, documents()).await;
    let entry = spawn_entry(&directory, &entry_settings("entry-1", platform.address()));
    wait_for_version(&entry, "entry", 1).await;
    let network = network::bind(any_port(), entry.address("links_address")).await.expect("network");
    let empty = usage(&entry);
    let begin = Instant::now();
    let fleet = announce(workers, entry.address("links_address"), network.address()).await;
    let opening = begin.elapsed();
    let opened = usage(&entry);
    report.figure("empty_memory", at, empty.resident_mib(), "MiB");
    report.figure("open_all_links", at, opening.as_secs_f64(), "s");
    report.figure("processor_per_link_opened", at, opened.processor_us(&empty) / f64::from(workers), "us");
    tokio::time::sleep(SETTLE).await;

    let (before, carried_before) = (usage(&entry), network.carried());
    let reads_before = platform.counts();
    tokio::time::sleep(MEASURE).await;
    let (after, carried_after) = (usage(&entry), network.carried());
    let reads_after = platform.counts();
    let seconds = (after.at - before.at).as_secs_f64();
    let per_link = |bytes: u64| to_f64(bytes) / f64::from(workers.min(COUNTED)) / seconds;
    let to_entry = per_link(carried_after.to_target_bytes - carried_before.to_target_bytes);
    let to_agent = per_link(carried_after.to_caller_bytes - carried_before.to_caller_bytes);
    report.bounded("memory", at, after.resident_mib(), "MiB", MEMORY_TARGET_MIB);
    report.bounded("processor", at, after.core_percent(&before), "% of a core", PROCESSOR_TARGET_PERCENT);
    let per_worker = after.processor_us(&before) / seconds / f64::from(workers);
    report.figure("processor_per_worker", at, per_worker, "us/s");
    report.figure("link_bytes_to_entry", at, to_entry, "B/s");
    report.figure("link_bytes_to_agent", at, to_agent, "B/s");
    report.bounded("link_bytes", at, to_entry + to_agent, "B/s", BYTES_TARGET_PER_S);
    report.figure("platform_reads", at, to_f64(reads_after.reads - reads_before.reads) / seconds, "/s");
    report.figure("platform_writes", at, to_f64(reads_after.writes - reads_before.writes) / seconds, "/s");
    report.figure("links_failed", at, to_f64(fleet.counts.failed.load(Ordering::Relaxed)), "links");
    report.figure("state_dump", at, time_dump(&entry).await.as_secs_f64() * 1e3, "ms");
    report.figure("memory_after_dump", at, usage(&entry).resident_mib(), "MiB");
}

/// Opens a link for each worker, the first ones through the proxy.
async fn announce(workers: u32, entry: SocketAddr, proxy: SocketAddr) -> Fleet {
    let mut fleet = Fleet::open();
    let interval = Bounds::default().heartbeat_interval_ms;
    for number in 0..workers {
        let address = if number < COUNTED { proxy } else { entry };
        fleet.add(number, &[address], interval);
    }
    fleet.wait_for_links(u64::from(workers), OPEN_PATIENCE).await;
    fleet
}

/// Time for the operators' dump of the entry's state.
async fn time_dump(entry: &Process) -> Duration {
    let authorization = format!("Bearer {OPERATOR_SECRET}");
    let begin = Instant::now();
    let operators = entry.address("operators_address");
    let answer = send(operators, "GET", "/state", &[("authorization", &authorization)], Vec::new()).await;
    answer.expect("state").body.expect("whole body");
    begin.elapsed()
}

#[expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

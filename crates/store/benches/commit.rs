//! Group commit within the platform's 300 transactions a second.
//!
//! Measures the maximum rate of task starts for several transaction sizes; then, for several intervals between
//! transactions, 320 starts a second at an even rate, and three writes for each of these starts from four clients.
//! Exits with 1 if 320 starts a second can't be committed within the rate.

#![expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::BootId;
use chervilledge_standins::platform::{self, Counts, Handle};
use chervilledge_store::client;
use chervilledge_store::error::Outcome;
use chervilledge_store::group::{self, Group, Settings};
use chervilledge_store::table::{Expect, Write};
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::task::JoinSet;

/// Duration of one run.
const RUN: Duration = Duration::from_secs(5);
/// Upper limit of the latency histogram.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// Task starts per second at peak load.
const STARTS_PER_S: u32 = 320;
/// Writes of a task from its submission to its end: queued, claimed and done.
const WRITES_PER_TASK: u32 = 3;
/// Entries that write at the same time, each with its own client.
const ENTRIES: u32 = 4;
/// Minimum ratio of committed to offered starts.
const COMMITTED_RATIO_MIN: f64 = 0.99;
/// Maximum transactions per second of the platform, with tolerance for the start and end of a run.
const COMMITS_PER_S_MAX: f64 = 303.0;

struct Bench {
    store: Handle,
    groups: Vec<Group>,
    sequence: Arc<AtomicU64>,
}

struct Report {
    starts: u64,
    not_done: u64,
    elapsed: Duration,
    counts: Counts,
    latency_us: Histogram<u64>,
}

impl Report {
    fn per_s(&self, count: u64) -> f64 {
        count as f64 / self.elapsed.as_secs_f64()
    }

    fn print(&self, name: &str) {
        println!(
            "{name:<28} starts/s {:>7.1}  not done {:>5}  commits/s {:>6.1}  writes/start {:>5.3}  reads/start {:>5.3}  \
             bytes/start {:>6.1}  p50 {:>7.1} ms  p99 {:>7.1} ms",
            self.per_s(self.starts),
            self.not_done,
            self.per_s(self.counts.writes),
            self.counts.writes as f64 / self.starts as f64,
            self.counts.reads as f64 / self.starts as f64,
            self.counts.commit_bytes as f64 / self.starts as f64,
            self.latency_us.value_at_quantile(0.5) as f64 / 1e3,
            self.latency_us.value_at_quantile(0.99) as f64 / 1e3,
        );
    }
}

async fn open(entries: u32, settings: Settings) -> Bench {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = platform::bind(address, platform::Settings::default()).await.expect("a free port");
    let origin = Instant::now();
    let spawn = |entry: u32| {
        let client_settings = client::Settings { address: store.address(), ..client::Settings::default() };
        let client = client::open(client_settings, BootId(u64::from(entry)), Clock::new(move || origin.elapsed()));
        group::spawn(client, settings.clone())
    };
    let groups = (0..entries).map(spawn).collect();
    Bench { store, groups, sequence: Arc::default() }
}

impl Bench {
    /// Starts one task as an entry does: one row, conditional, about the size of a claim.
    async fn start_task(group: Group, sequence: Arc<AtomicU64>) -> (Duration, bool) {
        let number = sequence.fetch_add(1, Ordering::Relaxed);
        let value = json!({ "state": "claimed", "epoch": 1, "worker": "hobart-rack-3-worker-117", "checkpoint": null });
        let write = Write::put(format!("task/{number:012}"), Expect::Absent, value);
        let begin = Instant::now();
        let submitted = group.submit(vec![write]).await;
        (begin.elapsed(), matches!(submitted.outcome, Outcome::Done(_)))
    }

    /// Runs a number of submitters, each of which starts its next task as soon as the last one is answered.
    async fn saturate(&self, submitters: usize) -> Report {
        let begin = Instant::now();
        let mut tasks = JoinSet::new();
        for _ in 0..submitters {
            let (group, sequence) = (self.groups[0].clone(), Arc::clone(&self.sequence));
            tasks.spawn(async move {
                let mut results = Vec::new();
                while begin.elapsed() < RUN {
                    results.push(Self::start_task(group.clone(), Arc::clone(&sequence)).await);
                }
                results
            });
        }
        let results = tasks.join_all().await.concat();
        self.report(begin, &results)
    }

    /// Offers starts at an even rate, without waiting for earlier ones (open loop).
    async fn offer(&self, starts_per_s: u32) -> Report {
        let begin = Instant::now();
        let mut tasks = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / starts_per_s);
        for group in self.groups.iter().cycle() {
            if begin.elapsed() >= RUN {
                break;
            }
            ticks.tick().await;
            tasks.spawn(Self::start_task(group.clone(), Arc::clone(&self.sequence)));
        }
        let results = tasks.join_all().await;
        self.report(begin, &results)
    }

    fn report(&self, begin: Instant, results: &[(Duration, bool)]) -> Report {
        let mut latency_us = Histogram::new_with_max(LATENCY_LIMIT_US, 3).expect("bounds are in order");
        for (latency, _) in results {
            latency_us.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
        let starts = results.iter().filter(|(_, done)| *done).count() as u64;
        let not_done = results.len() as u64 - starts;
        Report { starts, not_done, elapsed: begin.elapsed(), counts: self.store.counts(), latency_us }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    for members in [1, 4, 16, 64] {
        let bench = open(1, Settings { members, interval: Duration::ZERO, ..Settings::default() }).await;
        bench.saturate(members * 8).await.print(&format!("saturated, {members} members"));
    }
    let mut bounds_hold = true;
    for interval_ms in [0, 10, 25, 50] {
        let settings = Settings { interval: Duration::from_millis(interval_ms), ..Settings::default() };
        let report = open(1, settings.clone()).await.offer(STARTS_PER_S).await;
        report.print(&format!("320/s, 1 entry, {interval_ms} ms"));
        let is_rate_met = report.per_s(report.starts) >= f64::from(STARTS_PER_S) * COMMITTED_RATIO_MIN;
        bounds_hold &= is_rate_met && report.per_s(report.counts.writes) <= COMMITS_PER_S_MAX;
        let report = open(ENTRIES, settings).await.offer(STARTS_PER_S * WRITES_PER_TASK).await;
        report.print(&format!("960/s, 4 entries, {interval_ms} ms"));
    }
    if bounds_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

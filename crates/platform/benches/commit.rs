//! Group commit within the platform's 300 transactions a second.
//!
//! First as many starts as are carried, by members of a transaction; then 320 starts a second, offered evenly. Exits
//! with 1 when the latter aren't carried within the rate.

#![expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervilledge_platform::client;
use chervilledge_platform::error::Outcome;
use chervilledge_platform::group::{self, Group, Settings};
use chervilledge_platform::table::{Expect, Write};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::BootId;
use chervilledge_standins::platform::{self, Counts, Handle};
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::task::JoinSet;

/// Time of one run.
const RUN: Duration = Duration::from_secs(5);
/// Greatest latency told apart.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// Starts a second at the peak.
const STARTS_PER_S: u32 = 320;
/// Share of the offered starts that has to be carried.
const CARRIED_BOUND: f64 = 0.99;
/// Transactions a second that the platform carries, with its tolerance at the edges of a run.
const COMMITS_PER_S_BOUND: f64 = 303.0;

struct Bench {
    store: Handle,
    group: Group,
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

async fn open(settings: Settings) -> Bench {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = platform::bind(address, platform::Settings::default()).await.expect("a free port");
    let origin = Instant::now();
    let settings_of_client = client::Settings { address: store.address(), ..client::Settings::default() };
    let client = client::open(settings_of_client, BootId(1), Clock::new(move || origin.elapsed()));
    Bench { store, group: group::spawn(client, settings), sequence: Arc::default() }
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

    /// Keeps a number of submitters busy.
    async fn saturate(&self, submitters: usize) -> Report {
        let begin = Instant::now();
        let mut tasks = JoinSet::new();
        for _ in 0..submitters {
            let (group, sequence) = (self.group.clone(), Arc::clone(&self.sequence));
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

    /// Offers starts at an even rate, whatever becomes of the earlier ones.
    async fn offer(&self, starts_per_s: u32) -> Report {
        let begin = Instant::now();
        let mut tasks = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / starts_per_s);
        while begin.elapsed() < RUN {
            ticks.tick().await;
            tasks.spawn(Self::start_task(self.group.clone(), Arc::clone(&self.sequence)));
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
        let bench = open(Settings { members, ..Settings::default() }).await;
        bench.saturate(members * 8).await.print(&format!("saturated, {members} members"));
    }
    let report = open(Settings::default()).await.offer(STARTS_PER_S).await;
    report.print("offered 320 starts/s");
    let carried = report.per_s(report.starts) >= f64::from(STARTS_PER_S) * CARRIED_BOUND;
    let within = report.per_s(report.counts.writes) <= COMMITS_PER_S_BOUND;
    if carried && within {
        ExitCode::SUCCESS
    } else {
        println!("missed: carried {carried}, within the rate {within}");
        ExitCode::FAILURE
    }
}

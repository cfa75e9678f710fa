//! Transactions of group commits by the number of entries that write at the same time.
//!
//! `cargo bench -p chervilledge --bench group_entries` offers three writes for each of 320 task starts a second, spread
//! evenly over entries that each have a group commit of their own, against 300 transactions a second. The second
//! interval shows what the default one costs.

#[path = "support/figure.rs"]
mod figure;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use chervilledge::{boot, clock};
use chervilledge_standins::platform;
use chervilledge_store::client;
use chervilledge_store::error::Outcome;
use chervilledge_store::group::{self, Group, Settings};
use chervilledge_store::table::{Expect, Write};
use figure::Report;
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::task::JoinSet;

/// Entries that write.
const ENTRIES: [u32; 3] = [4, 11, 22];
/// Interval between two transactions of an entry, beside the default one.
const LONG_INTERVAL: Duration = Duration::from_millis(110);
/// Writes offered in a second: three for each of 320 starts.
const WRITES_PER_S: u32 = 960;
/// Time of one run.
const RUN: Duration = Duration::from_secs(5);
/// Most writes that aren't done, refused or with an unknown outcome, in percent.
const NOT_DONE_TARGET_PERCENT: f64 = 1.0;
/// Transactions a second that the platform carries, with its tolerance at the edges of a run.
const COMMITS_TARGET_PER_S: f64 = 303.0;
/// Greatest latency told apart.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let mut report = Report::open("group_entries");
    for entries in ENTRIES {
        measure(&mut report, entries, Settings::default()).await;
        measure(&mut report, entries, Settings { interval: LONG_INTERVAL, ..Settings::default() }).await;
    }
    report.finish()
}

async fn measure(report: &mut Report, entries: u32, settings: Settings) {
    let interval_ms = u64::try_from(settings.interval.as_millis()).expect("short");
    let at: &[(&str, u64)] = &[("entries", u64::from(entries)), ("interval_ms", interval_ms)];
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store = platform::bind(address, platform::Settings::default()).await.expect("a free port");
    let groups: Vec<Group> = (0..entries).map(|_| open(store.address(), settings.clone())).collect();
    let begin = Instant::now();
    let mut latency_us = Histogram::<u64>::new_with_bounds(1, LATENCY_LIMIT_US, LATENCY_DIGITS).expect("valid bounds");
    let mut not_done = 0_u32;
    let outcomes = offer(&groups).await;
    let offered = to_f64(outcomes.len() as u64);
    for latency in outcomes {
        match latency {
            Some(latency) => latency_us.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)),
            None => not_done += 1,
        }
    }
    let commits_per_s = to_f64(store.counts().writes) / begin.elapsed().as_secs_f64();
    report.bounded("transactions", at, commits_per_s, "/s", COMMITS_TARGET_PER_S);
    report.bounded("writes_not_done", at, f64::from(not_done) / offered * 100.0, "%", NOT_DONE_TARGET_PERCENT);
    report.figure("done_p50", at, to_f64(latency_us.value_at_quantile(0.5)) / 1e3, "ms");
    report.figure("done_p99", at, to_f64(latency_us.value_at_quantile(0.99)) / 1e3, "ms");
}

fn open(store: SocketAddr, settings: Settings) -> Group {
    let client = client::Settings { address: store, ..client::Settings::default() };
    group::spawn(client::open(client, boot::new_id(), clock::system()), settings)
}

/// Offers writes at a steady rate to the groups in turn; gives the latency of each that was done.
async fn offer(groups: &[Group]) -> Vec<Option<Duration>> {
    let mut writes = JoinSet::new();
    let begin = tokio::time::Instant::now();
    let interval = Duration::from_secs(1) / WRITES_PER_S;
    for number in 0..WRITES_PER_S * u32::try_from(RUN.as_secs()).expect("short") {
        tokio::time::sleep_until(begin + interval * number).await;
        let group = groups[number as usize % groups.len()].clone();
        writes.spawn(submit(group, number));
    }
    writes.join_all().await
}

async fn submit(group: Group, number: u32) -> Option<Duration> {
    let begin = Instant::now();
    let write = Write::put(format!("tasks/{number}"), Expect::Absent, json!({ "state": "claimed", "epoch": 1 }));
    let submitted = group.submit(vec![write]).await;
    matches!(submitted.outcome, Outcome::Done(_)).then(|| begin.elapsed())
}

#[expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

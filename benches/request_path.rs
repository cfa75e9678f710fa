//! Latency and processor time that the entry and the agent add to a small request.
//!
//! `cargo bench -p chervilledge --bench request_path` starts two entries and the agents of three workers as processes
//! of their own; backend servers and callers are in this process. Requests arrive at random at half of the workers'
//! capacity and take turns: one straight to a backend server, one through an entry and an agent.

#[path = "../tests/harness/mod.rs"]
mod harness;
mod support;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bytes::Bytes;
use harness::cluster::{Cluster, start_with};
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::Rng;
use serde_json::Value;
use support::figure::{At, Report};
use support::process::{Usage, usage};
use tokio::task::JoinSet;

/// Entries.
const ENTRIES: usize = 2;
/// Workers, each with eight slots.
const WORKERS: u32 = 3;
/// Slots of a worker.
const SLOTS: u32 = 8;
/// Time that a request takes at the backend server.
const WORK: Duration = Duration::from_millis(10);
/// Time without measurement at the begin.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time of the measurement.
const MEASURE: Duration = Duration::from_secs(20);
/// Load of the measurement, in percent of the workers' capacity.
const LOAD_PERCENT: u32 = 50;
/// Loads at which only processor time is measured.
const OTHER_LOADS_PERCENT: [u32; 2] = [15, 75];
/// Time of each of these measurements.
const MEASURE_OTHER: Duration = Duration::from_secs(8);

/// Most that the 99th percentile may be above that of requests straight to a backend server.
const P99_ADDED_TARGET_MS: f64 = 1.0;
/// Most processor time for a small request in the entry, and in the agent.
const PROCESSOR_TARGET_US: f64 = 60.0;
/// Greatest latency told apart.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

type Caller = Client<HttpConnector, Empty<Bytes>>;

/// Way that a request takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Direct,
    Through,
}

/// One request that has ended.
struct Done {
    way: Way,
    latency: Duration,
    is_answered: bool,
}

/// Results of one way.
struct Results {
    latency_us: Histogram<u64>,
    failed: u64,
}

fn leave_network_out(entry: &mut Value) {
    entry["links_advertised_address"] = Value::Null;
}

#[tokio::main(worker_threads = 8)]
async fn main() -> ExitCode {
    let mut report = Report::open("request_path");
    // Links go straight to the entries: the faulty network would add its own latency.
    let cluster = start_with(ENTRIES, WORKERS as usize, leave_network_out, |_| {}).await;
    drop(drive(&cluster, WARM_UP, LOAD_PERCENT).await);
    let before = usages(&cluster);
    let (direct, through) = drive(&cluster, MEASURE, LOAD_PERCENT).await;
    let after = usages(&cluster);
    print_latencies(&mut report, "direct", &direct);
    print_latencies(&mut report, "through", &through);
    let p99_added = quantile_ms(&through, 0.99) - quantile_ms(&direct, 0.99);
    report.bounded("p99_added", &[], p99_added, "ms", P99_ADDED_TARGET_MS);
    let requests = through.latency_us.len() + through.failed;
    for (role, (before, after)) in ["entry", "agent"].iter().zip(before.iter().zip(&after)) {
        let name = format!("{role}_processor_per_request");
        report.bounded(&name, &[], processor_us(before, after) / to_f64(requests), "us", PROCESSOR_TARGET_US);
    }
    print_memory(&mut report, &after);
    for percent in OTHER_LOADS_PERCENT {
        print_processor(&mut report, &cluster, percent).await;
    }
    report.bounded("requests_failed", &[], to_f64(through.failed + direct.failed), "requests", 0.0);
    report.finish()
}

fn print_latencies(report: &mut Report, way: &str, results: &Results) {
    let at: At<'_> = &[("requests", results.latency_us.len())];
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99_9", 0.999)] {
        report.figure(&format!("{way}_{name}"), at, quantile_ms(results, quantile), "ms");
    }
}

/// Processor time of a request at another load.
async fn print_processor(report: &mut Report, cluster: &Cluster, load_percent: u32) {
    let before = usages(cluster);
    let (_, through) = drive(cluster, MEASURE_OTHER, load_percent).await;
    let after = usages(cluster);
    let requests = to_f64(through.latency_us.len() + through.failed);
    let at: At<'_> = &[("load_percent", u64::from(load_percent))];
    for (role, (before, after)) in ["entry", "agent"].iter().zip(before.iter().zip(&after)) {
        let name = format!("{role}_processor_per_request");
        report.figure(&name, at, processor_us(before, after) / requests, "us");
    }
}

fn print_memory(report: &mut Report, usages: &[Vec<Usage>; 2]) {
    for (role, usages) in ["entry", "agent"].iter().zip(usages) {
        let greatest = usages.iter().map(Usage::resident_mib).fold(0.0, f64::max);
        report.figure(&format!("{role}_memory"), &[], greatest, "MiB");
    }
}

fn quantile_ms(results: &Results, quantile: f64) -> f64 {
    to_f64(results.latency_us.value_at_quantile(quantile)) / 1e3
}

/// Usage of all entries and of all agents.
fn usages(cluster: &Cluster) -> [Vec<Usage>; 2] {
    let entries = cluster.entries.iter().map(|entry| usage(&entry.process)).collect();
    let agents = cluster.workers.iter().map(|worker| usage(&worker.agent)).collect();
    [entries, agents]
}

/// Processor time of all processes of a role, heartbeats included.
fn processor_us(before: &[Usage], after: &[Usage]) -> f64 {
    before.iter().zip(after).map(|(before, after)| after.processor_us(before)).sum()
}

/// Sends requests at random intervals for a while, both ways in turn.
async fn drive(cluster: &Cluster, time: Duration, load_percent: u32) -> (Results, Results) {
    let caller: Caller = Client::builder(TokioExecutor::new()).build(connector());
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(harness::cluster::Entry::callers).collect();
    let backends: Vec<SocketAddr> = cluster.workers.iter().map(|worker| worker.machine.address()).collect();
    let mean_interval = WORK.mul_f64(100.0 / f64::from(load_percent * WORKERS * SLOTS));
    let mut requests = JoinSet::new();
    let begin = tokio::time::Instant::now();
    let mut due = begin;
    let mut number = 0;
    while due < begin + time {
        due += mean_interval.mul_f64(exponential());
        tokio::time::sleep_until(due).await;
        let (way, address, path) = match number % 2 {
            0 => (Way::Direct, backends[number / 2 % backends.len()], "/quote"),
            _ => (Way::Through, entries[number / 2 % entries.len()], "/portal/quote"),
        };
        number += 1;
        requests.spawn(request(caller.clone(), way, format!("http://{address}{path}")));
    }
    let (mut direct, mut through) = (Results::new(), Results::new());
    for done in requests.join_all().await {
        let results = if done.way == Way::Direct { &mut direct } else { &mut through };
        results.take_in(&done);
    }
    (direct, through)
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}

/// Draws from the exponential distribution with mean 1.
fn exponential() -> f64 {
    -(1.0 - rand::rng().random_range(0.0..1.0_f64)).ln()
}

async fn request(caller: Caller, way: Way, uri: String) -> Done {
    let request = Request::get(uri).header("x-work-ms", WORK.as_millis().to_string()).body(Empty::new());
    let begin = Instant::now();
    let is_answered = is_answered(&caller, request.expect("a request")).await;
    Done { way, latency: begin.elapsed(), is_answered }
}

async fn is_answered(caller: &Caller, request: Request<Empty<Bytes>>) -> bool {
    let Ok(response) = caller.request(request).await else { return false };
    let is_ok = response.status() == StatusCode::OK;
    response.into_body().collect().await.is_ok() && is_ok
}

impl Results {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_LIMIT_US, LATENCY_DIGITS).expect("valid bounds");
        Self { latency_us, failed: 0 }
    }

    fn take_in(&mut self, done: &Done) {
        if done.is_answered {
            let latency_us = u64::try_from(done.latency.as_micros()).unwrap_or(LATENCY_LIMIT_US);
            self.latency_us.saturating_record(latency_us);
        } else {
            self.failed += 1;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

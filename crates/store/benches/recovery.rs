//! Recovery of the platform after an outage, with many callers waiting for it.
//!
//! Compares clients with the circuit breaker to clients that only back off. Exits with 1 if the platform refuses calls
//! after its recovery, or doesn't answer all callers within the bound.

#![expect(clippy::cast_precision_loss, reason = "figures are printed with few digits")]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::BootId;
use chervilledge_standins::platform::{self, Faults};
use chervilledge_store::client::{self, Client, Settings};
use chervilledge_store::error::Outcome;
use chervilledge_store::group::{self, Group};
use chervilledge_store::table::{Expect, Write};
use serde_json::json;
use tokio::task::JoinSet;

/// Duration of the outage.
const OUTAGE: Duration = Duration::from_secs(10);
/// Number of entries that wait for the platform.
const ENTRIES: u64 = 4;
/// Number of readers, and of writers, that wait in each entry.
const CALLERS: u64 = 500;
/// Mean delay of a caller before its next attempt.
const CALLER_WAIT: Duration = Duration::from_millis(200);
/// Maximum time from the recovery until all callers are answered.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

struct Report {
    calls_while_down: u64,
    refused: u64,
    answered_all: Duration,
}

async fn run(failures_until_away: u32) -> Report {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = platform::bind(address, platform::Settings::default()).await.expect("a free port");
    store.control(Faults { down: true, ..Faults::default() });
    let origin = Instant::now();
    let mut callers = JoinSet::new();
    for entry in 1..=ENTRIES {
        let settings = Settings { address: store.address(), failures_until_away, ..Settings::default() };
        let client = client::open(settings, BootId(entry), Clock::new(move || origin.elapsed()));
        let group = group::spawn(client.clone(), group::Settings::default());
        for caller in 0..CALLERS {
            callers.spawn(read(client.clone(), caller));
            callers.spawn(write(group.clone(), entry, caller));
        }
    }
    tokio::time::sleep(OUTAGE).await;
    let calls_while_down = store.counts().hung_up;
    store.control(Faults::default());
    let begin = Instant::now();
    callers.join_all().await;
    Report { calls_while_down, refused: store.counts().refused, answered_all: begin.elapsed() }
}

async fn read(client: Client, caller: u64) {
    while client.read_one(format!("task/{caller:04}")).await.is_err() {
        delay_retry(caller).await;
    }
}

async fn write(group: Group, entry: u64, caller: u64) {
    let write = Write::put(format!("task/{entry}/{caller:04}"), Expect::Any, json!({ "state": "queued" }));
    while !matches!(group.submit(vec![write.clone()]).await.outcome, Outcome::Done(_)) {
        delay_retry(caller).await;
    }
}

/// Waits between 0.5 and 1.5 times the mean delay, spread evenly over the callers.
async fn delay_retry(caller: u64) {
    tokio::time::sleep(CALLER_WAIT.mul_f64(0.5 + caller as f64 / CALLERS as f64)).await;
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut bounds_hold = true;
    for (name, failures_until_away) in
        [("held back", Settings::default().failures_until_away), ("backoff only", u32::MAX)]
    {
        let report = run(failures_until_away).await;
        println!(
            "{name:<14} calls/s while down {:>8.1}  refused after the return {:>5}  all answered after {:>6.2} s",
            report.calls_while_down as f64 / OUTAGE.as_secs_f64(),
            report.refused,
            report.answered_all.as_secs_f64(),
        );
        if failures_until_away != u32::MAX {
            bounds_hold &= report.refused == 0 && report.answered_all <= RECOVERY_LIMIT;
        }
    }
    if bounds_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

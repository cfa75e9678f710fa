//! Batch tasks that slow the requests beside them are throttled, then evicted, and come back.

mod harness;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_policy::id::Name;
use chervilledge_standins::judge;
use chervilledge_standins::worker::{self, Event, What};
use harness::batch::{Site, bind_platform, count, effects, starts, wait_ledger};
use harness::send;
use serde_json::json;
use tokio::task::JoinHandle;

/// Callers that send one request after the other.
const CALLERS: usize = 6;

/// Starts a worker on which each task of a kind slows requests down by a factor.
async fn bind_slowed_worker(factor: f64) -> worker::Handle {
    let slowdowns = BTreeMap::from([(Name::from("steady"), factor)]);
    let settings = worker::Settings { worker: Name::from("worker-1"), slowdowns, ..worker::Settings::default() };
    worker::bind(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await.expect("worker")
}

/// Starts callers whose requests take 60 ms of work each; the target is 200 ms.
fn call(callers: SocketAddr) -> Vec<JoinHandle<()>> {
    let call = move || async move {
        loop {
            drop(send(callers, "GET", "/portal/quotes", &[("x-work-ms", "60")], Vec::new()).await);
        }
    };
    (0..CALLERS).map(|_| tokio::spawn(call())).collect()
}

fn throttles(events: &[Event]) -> usize {
    count(events, |what| matches!(what, What::TaskThrottled { share_percent, .. } if *share_percent < 100))
}

fn restores(events: &[Event]) -> usize {
    count(events, |what| matches!(what, What::TaskThrottled { share_percent: 100, .. }))
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_are_throttled_while_requests_are_slow_and_come_back() {
    let platform = bind_platform().await;
    let worker = bind_slowed_worker(3.0).await;
    let mut site = Site::open(platform.address()).await;
    site.batch["evictions_max_permille"] = json!(0);
    let entry = site.entry("entry-1");
    site.agent("worker-1", worker.address());
    site.wait_granted(entry, 1).await;
    let job = site.submit(entry, "orders-1", "steady", 3).await;
    wait_ledger("tasks run", &[&worker], |events| starts(events) == 3).await;

    let calls = call(site.entries[entry].address("callers_address"));
    wait_ledger("tasks are throttled", &[&worker], |events| throttles(events) >= 3).await;
    for call in calls {
        call.abort();
    }

    wait_ledger("shares come back", &[&worker], |events| restores(events) >= 1).await;
    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 3 }));
    let events = worker.ledger();
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!((starts(&events), effects(&events)), (3, 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn task_is_evicted_when_throttling_is_not_enough() {
    let platform = bind_platform().await;
    let worker = bind_slowed_worker(30.0).await;
    let mut site = Site::open(platform.address()).await;
    site.batch["evictions_max_permille"] = json!(1_000);
    let entry = site.entry("entry-1");
    site.agent("worker-1", worker.address());
    site.wait_granted(entry, 1).await;
    let job = site.submit(entry, "orders-1", "steady", 2).await;
    wait_ledger("tasks run", &[&worker], |events| starts(events) == 2).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    let calls = call(site.entries[entry].address("callers_address"));
    let is_resumed = |what: &What| matches!(what, What::TaskStarted { progress, .. } if !progress.is_zero());
    wait_ledger("an evicted task resumes", &[&worker], |events| count(events, is_resumed) >= 1).await;
    for call in calls {
        call.abort();
    }

    let finished = site.wait_finished(entry, &job).await;
    assert_eq!(finished["counts"], json!({ "done": 2 }));
    let events = worker.ledger();
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!(effects(&events), 2);
    let mut codes = Vec::new();
    for index in 0..2 {
        let explained = site.get(entry, &format!("/explain/{job}/{index}")).await.json();
        let events = explained["events"].as_array().cloned().unwrap_or_default();
        codes.extend(events.iter().filter(|event| event["what"] == "evicted").map(|event| event["code"].clone()));
    }
    assert!(codes.contains(&json!(3_007)), "{codes:?}");
}

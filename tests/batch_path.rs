//! A job goes from an operator through entry and agent to a worker and ends once.

mod harness;

use std::net::SocketAddr;

use chervilledge_standins::worker::What;
use chervilledge_standins::{judge, platform, worker};
use harness::batch::{Site, submission};
use serde_json::json;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test(flavor = "multi_thread")]
async fn job_is_done_once_however_often_it_is_submitted() {
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    let worker = worker::bind(any_port(), worker::Settings::default()).await.expect("worker");
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    site.agent("worker-1", worker.address());

    let first = site.post(entry, "/jobs", submission("orders-1", "quick", 3)).await;
    let second = site.post(entry, "/jobs", submission("orders-1", "quick", 3)).await;

    assert_eq!((first.status, second.status), (200, 200), "{first:?} {second:?}");
    assert_eq!(first.json()["id"], second.json()["id"]);
    let id = first.json()["id"].as_str().expect("id").to_owned();
    let job = site.wait_finished(entry, &id).await;
    assert_eq!(job["counts"], json!({ "done": 3 }));
    let events = worker.ledger();
    let effects = events.iter().filter(|event| matches!(event.what, What::TaskEffect { .. })).count();
    assert_eq!(effects, 3);
    assert_eq!(judge::repeated_effects(&events), Vec::new());
    assert_eq!(judge::repeated_starts(&events), Vec::new());
    let explained = site.get(entry, &format!("/explain/{id}/0")).await.json();
    let whats: Vec<&str> =
        explained["events"].as_array().expect("events").iter().filter_map(|event| event["what"].as_str()).collect();
    assert_eq!(whats, ["queued", "claimed", "start_sent", "started", "completed"], "{explained}");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_another_job_is_refused() {
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");

    let first = site.post(entry, "/jobs", submission("orders-1", "quick", 3)).await;
    let second = site.post(entry, "/jobs", submission("orders-1", "quick", 4)).await;

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!((second.status, second.json()["code"].clone()), (409, json!(3022)));
}

#[tokio::test(flavor = "multi_thread")]
async fn job_that_can_never_run_is_named_at_once() {
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");

    let over_quota = site.post(entry, "/jobs", submission("orders-1", "over_quota", 1)).await;
    let over_worker = site.post(entry, "/jobs", submission("orders-2", "over_worker", 1)).await;

    assert_eq!((over_quota.status, over_quota.json()["code"].clone()), (422, json!(3012)));
    assert_eq!((over_worker.status, over_worker.json()["code"].clone()), (422, json!(3001)));
    assert_eq!(over_worker.json()["detail"]["lacking"], "accelerators");
}

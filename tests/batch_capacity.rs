//! No worker is ever given more work than its processors, memory and accelerators can hold.

mod harness;

use chervilledge_standins::judge;
use harness::batch::{Site, bind_platform, bind_worker, ledgers, starts, wait_ledger};
use serde_json::json;

/// Tasks of four cores each, of which a worker of sixteen cores holds four.
const TASKS: u32 = 16;

#[tokio::test(flavor = "multi_thread")]
async fn several_entries_propose_at_once() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2"), site.entry("entry-3")];
    site.agent("worker-1", first.address());
    site.agent("worker-2", second.address());
    for entry in entries {
        site.wait_granted(entry, 2).await;
    }

    let mut jobs = Vec::new();
    for entry in entries {
        jobs.push(site.submit(entry, &format!("orders-{entry}"), "medium", TASKS).await);
    }

    for job in jobs {
        let job = site.wait_finished(entries[0], &job).await;
        assert_eq!(job["counts"], json!({ "done": TASKS }));
    }
    assert_eq!(judge::violations(&ledgers(&[&first, &second])), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_is_restarted_in_mid_flight() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    let agent = site.agent("worker-1", worker.address());
    let job = site.submit(entries[0], "orders-1", "medium", TASKS).await;
    wait_ledger("worker is full", &[&worker], |events| starts(events) >= 4).await;

    site.agents[agent].kill();
    site.agent("worker-1", worker.address());

    let job = site.wait_finished(entries[1], &job).await;
    assert_eq!(job["counts"], json!({ "done": TASKS }));
    assert_eq!(judge::violations(&ledgers(&[&worker])), Vec::new());
}

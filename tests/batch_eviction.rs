//! A batch that is evicted, or whose lease has ended, resumes exactly once.

mod harness;

use std::time::Duration;

use chervilledge_standins::judge;
use chervilledge_standins::worker::{Event, What};
use harness::batch::{Site, bind_platform, bind_worker, effects, ledgers, starts, wait_ledger};
use serde_json::json;

/// Starts of tasks that went on from a checkpoint.
fn resumes(events: &[Event]) -> usize {
    harness::batch::count(events, |what| matches!(what, What::TaskStarted { progress, .. } if !progress.is_zero()))
}

/// Progress in milliseconds, rounded as it travels, at each event that `progress` picks, in order of size.
fn progress_ms(events: &[Event], progress: impl Fn(&What) -> Option<Duration>) -> Vec<u128> {
    let mut all: Vec<u128> = events
        .iter()
        .filter_map(|event| progress(&event.what))
        .map(|progress| (progress.as_micros() + 500) / 1_000)
        .collect();
    all.sort_unstable();
    all
}

fn at_stop(what: &What) -> Option<Duration> {
    if let What::TaskStopped { progress, .. } = what { Some(*progress) } else { None }
}

fn at_resume(what: &What) -> Option<Duration> {
    if let What::TaskStarted { progress, .. } = what { Some(*progress).filter(|at| !at.is_zero()) } else { None }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_agent_evicts_and_each_task_resumes_once() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    let agent = site.agent("worker-1", first.address());
    for entry in entries {
        site.wait_granted(entry, 1).await;
    }
    let job = site.submit(entries[0], "orders-1", "long", 4).await;
    wait_ledger("tasks run", &[&first], |events| starts(events) == 4).await;
    site.agent("worker-2", second.address());
    tokio::time::sleep(Duration::from_secs(1)).await;

    site.agents[agent].signal("TERM");

    let job = site.wait_finished(entries[1], &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!((starts(&events), resumes(&events), effects(&events)), (8, 4, 4));
    // Each went on from where it was stopped.
    assert_eq!(progress_ms(&events, at_resume), progress_ms(&events, at_stop));
    assert_eq!(site.agents[agent].wait(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_that_is_lost_leaves_its_tasks_to_another() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    let agent = site.agent("worker-1", first.address());
    site.wait_granted(entry, 1).await;
    let job = site.submit(entry, "orders-1", "long", 4).await;
    wait_ledger("tasks run", &[&first], |events| starts(events) == 4).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    site.agents[agent].kill();
    site.agent("worker-2", second.address());

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!((starts(&events), resumes(&events), effects(&events)), (8, 4, 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_dies_and_tasks_go_on_under_another_entry() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    let agent = site.agent("worker-1", worker.address());
    site.wait_granted(entry, 1).await;
    let job = site.submit(entry, "orders-1", "long", 4).await;
    wait_ledger("tasks run", &[&worker], |events| starts(events) == 4).await;
    let other = site.entry("entry-2");
    site.wait_granted(other, 1).await;

    site.entries[entry].kill();

    let job = site.wait_finished(other, &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    let events = worker.ledger();
    assert_eq!(judge::violations(&events), Vec::new());
    // The agent has asked the other entry to cover them: no work was lost.
    assert_eq!((starts(&events), effects(&events)), (4, 4));
    site.agents[agent].kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn eviction_races_with_the_death_of_the_entry() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    let agent = site.agent("worker-1", first.address());
    for entry in entries {
        site.wait_granted(entry, 1).await;
    }
    let job = site.submit(entries[1], "orders-1", "long", 4).await;
    wait_ledger("tasks run", &[&first], |events| starts(events) == 4).await;
    site.agent("worker-2", second.address());

    site.agents[agent].signal("TERM");
    site.entries[entries[0]].kill();

    let job = site.wait_finished(entries[1], &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!(effects(&events), 4);
}

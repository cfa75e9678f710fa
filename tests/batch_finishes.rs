//! Batch work finishes eventually, whatever happened meanwhile.

mod harness;

use std::time::Duration;

use chervilledge_standins::{judge, platform, worker};
use harness::batch::{Site, bind_platform, bind_worker, effects, ledgers, starts, wait_ledger};
use harness::{send, wait_until};
use serde_json::{Value, json};

/// Several leases long.
const LONG_OUTAGE: Duration = Duration::from_secs(12);

#[tokio::test(flavor = "multi_thread")]
async fn store_is_down_for_long() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    site.agent("worker-1", worker.address());
    for entry in entries {
        site.wait_granted(entry, 1).await;
    }
    let job = site.submit(entries[0], "orders-1", "medium", 12).await;
    wait_ledger("tasks run", &[&worker], |events| starts(events) >= 4).await;

    platform.control(platform::Faults { down: true, ..platform::Faults::default() });
    tokio::time::sleep(LONG_OUTAGE).await;
    platform.control(platform::Faults::default());

    let job = site.wait_finished(entries[1], &job).await;
    assert_eq!(job["counts"], json!({ "done": 12 }));
    let events = worker.ledger();
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!(effects(&events), 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_of_cancellations_leaves_the_rest_to_finish() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    site.agent("worker-1", first.address());
    site.agent("worker-2", second.address());
    for entry in entries {
        site.wait_granted(entry, 2).await;
    }
    let kept = site.submit(entries[0], "orders-kept", "medium", 8).await;
    let mut wave = Vec::new();
    for number in 0..20 {
        wave.push(site.submit(entries[number % 2], &format!("orders-{number}"), "long", 10).await);
    }
    wait_ledger("tasks run", &[&first, &second], |events| starts(events) >= 8).await;

    let cancelled = site.post(entries[1], "/jobs/cancel", json!({ "jobs": wave })).await;

    assert_eq!(cancelled.status, 200, "{cancelled:?}");
    let job = site.wait_finished(entries[0], &kept).await;
    assert_eq!(job["counts"], json!({ "done": 8 }));
    for job in wave {
        let job = site.wait_finished(entries[0], &job).await;
        let counts = job["counts"].as_object().expect("counts");
        let ended: u64 = ["cancelled", "done"].iter().filter_map(|state| counts.get(*state)?.as_u64()).sum();
        assert_eq!(ended, 10, "{job}");
    }
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert!(starts(&events) < 60, "{} starts of tasks that were cancelled", starts(&events));
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_that_fails_everything_is_avoided() {
    let platform = bind_platform().await;
    let (bad, good) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    bad.control(worker::Faults { fail_starts: true, ..worker::Faults::default() });
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    site.agent("worker-1", bad.address());
    site.agent("worker-2", good.address());
    site.wait_granted(entry, 2).await;

    let job = site.submit(entry, "orders-1", "quick", 40).await;

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 40 }));
    let events = ledgers(&[&bad, &good]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!(effects(&events), 40);
}

/// Guards against giving up a task after failures on one worker while another could run it later.
#[tokio::test(flavor = "multi_thread")]
async fn task_fails_on_the_same_worker_again_while_another_is_full() {
    let platform = bind_platform().await;
    let (good, bad) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    bad.control(worker::Faults { fail_starts: true, ..worker::Faults::default() });
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    site.agent("worker-1", good.address());
    site.wait_granted(entry, 1).await;
    site.submit(entry, "orders-1", "long", 4).await;
    wait_ledger("worker is full", &[&good], |events| starts(events) == 4).await;
    site.agent("worker-2", bad.address());
    site.wait_granted(entry, 2).await;

    let job = site.submit(entry, "orders-2", "medium", 1).await;

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 1 }), "{job:#}");
    assert_eq!(job["tasks"][0]["attempts"].as_array().map(Vec::len), Some(1), "{job:#}");
}

#[tokio::test(flavor = "multi_thread")]
async fn task_that_fails_everywhere_stops_with_its_reason() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    worker.control(worker::Faults { fail_starts: true, ..worker::Faults::default() });
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    site.agent("worker-1", worker.address());

    let job = site.submit(entry, "orders-1", "quick", 1).await;

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "failed": 1 }));
    assert_eq!(job["tasks"][0]["code"], 3003, "{job}");
    assert_eq!(job["tasks"][0]["attempts"].as_array().map(Vec::len), Some(3), "{job}");
}

/// Guards against executing a task again whose completion was reported only after its claim had expired.
#[tokio::test(flavor = "multi_thread")]
async fn task_is_repeated_that_completed_while_its_agent_was_away() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    site.batch["lease"]["length_ms"] = json!(8_000);
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    let agent = site.agent("worker-1", worker.address());
    for entry in entries {
        site.wait_granted(entry, 1).await;
    }
    let job = site.submit(entries[0], "orders-1", "long", 4).await;
    wait_leases(&worker, 4, 6_000).await;

    site.agents[agent].kill();
    site.wait_job(entries[0], &job, "claims have expired", |job| job["counts"] == json!({ "queued": 4 })).await;
    assert_eq!(effects(&worker.ledger()), 4);
    site.agent("worker-1", worker.address());

    let job = site.wait_finished(entries[1], &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    let events = worker.ledger();
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!(effects(&events), 4);
}

/// Guards against room on a worker that stays reserved for claims which ended before their tasks started.
#[tokio::test(flavor = "multi_thread")]
async fn room_is_lost_to_tasks_cancelled_before_they_start() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    site.batch["lease"]["length_ms"] = json!(8_000);
    let entry = site.entry("entry-1");
    let agent = site.agent("worker-1", worker.address());
    site.wait_granted(entry, 1).await;
    site.agents[agent].signal("STOP");
    let cancelled = site.submit(entry, "orders-1", "medium", 4).await;
    site.wait_job(entry, &cancelled, "tasks are claimed", |job| job["counts"] == json!({ "claimed": 4 })).await;
    let answer = site.post(entry, "/jobs/cancel", json!({ "jobs": [cancelled] })).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    site.wait_finished(entry, &cancelled).await;
    site.agents[agent].signal("CONT");

    let job = site.submit(entry, "orders-2", "medium", 4).await;

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    assert_eq!(judge::violations(&worker.ledger()), Vec::new());
}

/// Guards against giving up a completed task because its worker refuses to start it again.
#[tokio::test(flavor = "multi_thread")]
async fn completed_task_is_given_up_after_refused_starts() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    site.batch["lease"]["length_ms"] = json!(4_000);
    let entry = site.entry("entry-1");
    let agent = site.agent("worker-1", worker.address());
    site.wait_granted(entry, 1).await;
    let job = site.submit(entry, "orders-1", "medium", 4).await;
    wait_leases(&worker, 4, 1_500).await;

    // The entry can't read the rows of the claims that it has expired, so that it claims the tasks again.
    platform.control(platform::Faults { stale_reads: Duration::from_mins(10), ..platform::Faults::default() });
    site.agents[agent].kill();
    wait_until("claims have expired", || async { written(&platform, "queued") >= 4 }).await;
    site.agent("worker-1", worker.address());
    wait_until("tasks are done", || async { written(&platform, "done") == 4 }).await;
    platform.control(platform::Faults::default());

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    let tasks = job["tasks"].as_array().expect("tasks");
    assert!(tasks.iter().all(|task| task["attempts"] == json!([])), "{job:#}");
    assert_eq!(effects(&worker.ledger()), 4);
}

/// Waits until a worker holds `count` tasks whose leases are all longer than a time.
async fn wait_leases(worker: &worker::Handle, count: usize, longer_than_ms: u64) {
    let is_longer = |task: &Value| task["lease_left_ms"].as_u64() > Some(longer_than_ms);
    wait_until("leases are long", || async {
        let tasks = send(worker.address(), "GET", "/tasks", &[], Vec::new()).await.expect("tasks").json();
        tasks.as_array().is_some_and(|tasks| tasks.len() == count && tasks.iter().all(is_longer))
    })
    .await;
}

/// Number of writes of tasks' rows in a state.
fn written(platform: &platform::Handle, state: &str) -> usize {
    let writes = platform.ledger_after(0).into_iter().flat_map(|entry| entry.writes);
    let values = writes.filter(|write| write.key.starts_with("tasks/")).filter_map(|write| write.value);
    values.filter(|value| value["state"] == state).count()
}

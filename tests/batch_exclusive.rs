//! No batch task is ever running on two workers at once.

mod harness;

use std::collections::HashSet;
use std::time::Duration;

use chervilledge_standins::platform::Faults;
use chervilledge_standins::worker::{self, Event, What};
use chervilledge_standins::{judge, platform};
use harness::batch::{Site, bind_platform, bind_worker, effects, ledgers, starts, wait_ledger};
use harness::wait_until;
use serde_json::json;

/// Far beyond the end of a lease and the time after which another entry takes over.
const PAST_LEASE: Duration = Duration::from_secs(5);

/// Length of leases in these tests.
const LEASE: Duration = Duration::from_secs(2);

/// Several times the longest pause of a client that waits for the store.
const LONG_OUTAGE: Duration = Duration::from_secs(8);

/// Tells whether a commit of the platform holds a task in a state.
fn has_state(platform: &platform::Handle, state: &str) -> bool {
    let entries = platform.ledger_after(0);
    let writes = entries.iter().flat_map(|entry| &entry.writes);
    let mut values = writes.filter(|write| write.key.starts_with("tasks/")).filter_map(|write| write.value.as_ref());
    values.any(|value| value["state"].get(state).is_some())
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_is_stopped_past_its_lease() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    let agent = site.agent("worker-1", first.address());
    site.wait_granted(entry, 1).await;
    let job = site.submit(entry, "orders-1", "long", 2).await;
    wait_ledger("tasks run", &[&first], |events| starts(events) == 2).await;
    site.agent("worker-2", second.address());

    site.agents[agent].signal("STOP");
    wait_ledger("tasks run elsewhere", &[&second], |events| starts(events) == 2).await;
    site.agents[agent].signal("CONT");

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 2 }));
    assert_eq!(judge::violations(&ledgers(&[&first, &second])), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn machine_is_frozen_past_its_lease() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    let agent = site.agent("worker-1", first.address());
    site.wait_granted(entry, 1).await;
    let job = site.submit(entry, "orders-1", "long", 2).await;
    wait_ledger("tasks run", &[&first], |events| starts(events) == 2).await;
    site.agent("worker-2", second.address());

    first.control(worker::Faults { freeze: PAST_LEASE, ..worker::Faults::default() });
    site.agents[agent].signal("STOP");
    wait_ledger("tasks run elsewhere", &[&second], |events| starts(events) == 2).await;
    tokio::time::sleep(PAST_LEASE).await;
    site.agents[agent].signal("CONT");

    let job = site.wait_finished(entry, &job).await;
    assert_eq!(job["counts"], json!({ "done": 2 }));
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!(effects(&events), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_is_killed_between_claim_and_start() {
    let platform = bind_platform().await;
    let worker = bind_worker("worker-1").await;
    let mut site = Site::open(platform.address()).await;
    let entry = site.entry("entry-1");
    let agent = site.agent("worker-1", worker.address());
    site.wait_granted(entry, 1).await;

    // The claim takes effect while the entry never hears of it.
    platform.control(Faults { slow: Duration::from_millis(300), lose_reply_next: 1_000, ..Faults::default() });
    let submitted = site.post(entry, "/jobs", harness::batch::submission("orders-1", "quick", 1)).await;
    wait_until("task is claimed", || async { has_state(&platform, "claimed") }).await;
    platform.control(Faults { down: true, ..Faults::default() });
    site.entries[entry].kill();
    platform.control(Faults::default());
    assert_eq!(starts(&worker.ledger()), 0, "killed too late");
    let entry = site.entry("entry-2");
    site.agents[agent].kill();
    site.agent("worker-1", worker.address());

    let job = site.wait_finished(entry, submitted.json()["id"].as_str().expect("id")).await;
    assert_eq!(job["counts"], json!({ "done": 1 }));
    assert_eq!(job["tasks"][0]["epoch"], 3, "{job}");
    assert_eq!(judge::violations(&worker.ledger()), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn replies_to_writes_are_lost() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    site.agent("worker-1", first.address());
    site.agent("worker-2", second.address());
    for entry in entries {
        site.wait_granted(entry, 2).await;
    }

    platform.control(Faults { lose_reply_next: 200, ..Faults::default() });
    let job = site.submit(entries[0], "orders-1", "quick", 40).await;

    let job = site.wait_finished(entries[0], &job).await;
    assert_eq!(job["counts"], json!({ "done": 40 }));
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!((starts(&events), effects(&events)), (40, 40));
}

#[tokio::test(flavor = "multi_thread")]
async fn store_is_down_across_the_lease() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    site.agent("worker-1", first.address());
    site.agent("worker-2", second.address());
    for entry in entries {
        site.wait_granted(entry, 2).await;
    }
    let job = site.submit(entries[0], "orders-1", "long", 4).await;
    wait_ledger("tasks run", &[&first, &second], |events| starts(events) == 4).await;

    platform.control(Faults { down: true, ..Faults::default() });
    let is_suspended =
        |events: &[Event]| harness::batch::count(events, |what| matches!(what, What::TaskSuspended { .. })) == 4;
    wait_ledger("tasks are suspended", &[&first, &second], is_suspended).await;
    tokio::time::sleep(PAST_LEASE).await;
    platform.control(Faults::default());

    let job = site.wait_finished(entries[0], &job).await;
    assert_eq!(job["counts"], json!({ "done": 4 }));
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    // Each went on from memory: the outage has cost waiting, not work.
    assert_eq!((starts(&events), effects(&events)), (4, 4));
}

/// A pause before the next look at the store must not outlast the lease that others would then take.
#[tokio::test(flavor = "multi_thread")]
async fn entries_renew_their_leases_in_time_after_a_long_outage() {
    const ENTRIES: usize = 4;
    let platform = bind_platform().await;
    let mut site = Site::open(platform.address()).await;
    for number in 0..ENTRIES {
        site.entry(&format!("entry-{number}"));
    }
    let leases = |after| {
        let writes = platform.ledger_after(after).into_iter().flat_map(|entry| entry.writes);
        writes.filter(|write| write.key.starts_with("leases/")).map(|write| write.key).collect::<HashSet<_>>()
    };
    wait_until("every entry has a lease", || async { leases(0).len() == ENTRIES }).await;
    platform.control(Faults { down: true, ..Faults::default() });
    // Long enough for pauses between two looks to reach their limit.
    tokio::time::sleep(LONG_OUTAGE).await;
    let before = platform.ledger_after(0).last().map_or(0, |entry| entry.number);
    platform.control(Faults::default());
    tokio::time::sleep(LEASE / 2).await;
    assert_eq!(leases(before).len(), ENTRIES, "renewed within half a lease");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_entries_race_for_shards() {
    let platform = bind_platform().await;
    let (first, second) = (bind_worker("worker-1").await, bind_worker("worker-2").await);
    let mut site = Site::open(platform.address()).await;
    let entries = [site.entry("entry-1"), site.entry("entry-2")];
    site.agent("worker-1", first.address());
    site.agent("worker-2", second.address());
    for entry in entries {
        site.wait_granted(entry, 2).await;
    }
    let job = site.submit(entries[1], "orders-1", "medium", 32).await;
    wait_ledger("tasks run", &[&first, &second], |events| starts(events) >= 8).await;

    // The second entry takes the shards of the first, which then goes on with what it knew.
    site.entries[entries[0]].signal("STOP");
    tokio::time::sleep(PAST_LEASE).await;
    site.entries[entries[0]].signal("CONT");

    let job = site.wait_finished(entries[1], &job).await;
    assert_eq!(job["counts"], json!({ "done": 32 }));
    let events = ledgers(&[&first, &second]);
    assert_eq!(judge::violations(&events), Vec::new());
    assert_eq!(effects(&events), 32);
}

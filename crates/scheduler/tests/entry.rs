//! Replies to callers that retry, and the time until a change by the operator is in force.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use chervilledge_scheduler::entry::{self, Entry, Reply};
use chervilledge_scheduler::rows::{self, ENTRY_PREFIX, Process};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::{metrics, settings};
use rstest::rstest;
use support::ports::free_address;
use support::{Fault, MemoryStore, entry_settings, job, tokio_clock};

/// Timeout of callers.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time after its acknowledgement within which a change must be in force.
const APPLY: Duration = Duration::from_secs(2);

async fn spawn(rows: &MemoryStore) -> Entry {
    spawn_with(rows, APPLY).await
}

async fn spawn_with(rows: &MemoryStore, configuration_apply: Duration) -> Entry {
    spawn_at("entry-1", SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), rows, configuration_apply).await
}

async fn spawn_at(name: &str, links_address: SocketAddr, rows: &MemoryStore, configuration_apply: Duration) -> Entry {
    let settings = settings::Entry { configuration_apply, ..entry_settings(name, links_address) };
    entry::spawn(settings, tokio_clock(), rows.store(), metrics::open()).await.expect("an entry")
}

/// A refusal promises that the job never runs, which would be untrue after an unanswered attempt.
#[tokio::test(start_paused = true)]
async fn a_job_that_may_be_stored_is_not_refused() {
    let rows = MemoryStore::with_fault(Fault::LoseAnswers(u32::MAX));
    let entry = spawn(&rows).await;
    assert_eq!(entry.submit(job(1), TIMEOUT).await, Reply::Undecided);
    rows.set_fault(Fault::Refuse);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(entry.submit(job(1), TIMEOUT).await, Reply::Undecided);
    assert!(matches!(entry.submit(job(2), TIMEOUT).await, Reply::Refused { .. }));
    rows.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(entry.submit(job(1), TIMEOUT).await, Reply::Accepted);
}

/// The same through another entry, which relays the job to the peer that made the unanswered attempt.
#[tokio::test]
async fn a_job_that_may_be_stored_by_a_peer_is_not_refused() {
    let address = free_address();
    let loses = MemoryStore::with_fault(Fault::LoseAnswers(u32::MAX));
    let peer = spawn_at("entry-2", address, &loses, APPLY).await;
    let refuses = MemoryStore::with_fault(Fault::Refuse);
    refuses.write(Table::Cell, &format!("{ENTRY_PREFIX}entry-2"), Some(rows::encode(&Process { address })));
    let entry = spawn(&refuses).await;
    assert_eq!(peer.submit(job(1), TIMEOUT).await, Reply::Undecided);
    loses.set_fault(Fault::Refuse);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(entry.submit(job(1), TIMEOUT).await, Reply::Undecided);
    assert!(matches!(entry.submit(job(2), TIMEOUT).await, Reply::Refused { .. }));
}

fn version(entry: &Entry) -> u64 {
    entry.configuration().map_or(0, |configuration| configuration.version)
}

/// A read lost by a silent store must not delay a change beyond the time within which it has to be in force.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_made_while_the_store_was_silent_is_in_force_in_time(
    #[values(0, 700, 1_400, 2_300, 3_700, 5_200)] begins_after_ms: u64,
    #[values(300, 1_500, 3_500, 4_500, 9_000)] silent_for_ms: u64,
    #[values(1_000, 2_000, 4_000)] apply_ms: u64,
) {
    let apply = Duration::from_millis(apply_ms);
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(2);
    let entry = spawn_with(&rows, apply).await;
    tokio::time::sleep(Duration::from_millis(500 + begins_after_ms)).await;
    assert_eq!(version(&entry), 2);
    rows.set_fault(Fault::Silent);
    tokio::time::sleep(Duration::from_millis(silent_for_ms / 2)).await;
    rows.configure(6);
    tokio::time::sleep(Duration::from_millis(silent_for_ms - silent_for_ms / 2)).await;
    rows.set_fault(Fault::None);
    tokio::time::sleep(apply).await;
    assert_eq!(version(&entry), 6, "not in force {apply:?} after the store is back");
}

/// Repeated requests to a slow store must not displace the response to the first one.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_though_every_answer_is_slow(#[values(200, 700, 1_500, 2_500)] answer_ms: u64) {
    let answer = Duration::from_millis(answer_ms);
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(2);
    let entry = spawn(&rows).await;
    tokio::time::sleep(APPLY).await;
    rows.set_fault(Fault::Slow(answer));
    tokio::time::sleep(Duration::from_millis(5_300)).await;
    rows.configure(6);
    tokio::time::sleep(APPLY + answer * 2).await;
    assert_eq!(version(&entry), 6);
}

//! Replies to callers of many entries while the store breaks connections, and soon after.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilledge_scheduler::entry::{self, Entry, Reply};
use chervilledge_scheduler::metrics;
use rstest::rstest;
use support::{Fault, MemoryStore, entry_settings, job, tokio_clock};
use tokio::time::Instant;

const ENTRIES: usize = 55;
/// Twice the rate of the day on which nearly every caller received status 504.
const SUBMISSIONS_PER_S: u32 = 100;
const OUTAGE: Duration = Duration::from_secs(4);
/// Maximum number of submissions per second, in the whole cell, that may have an unknown outcome.
const UNDECIDED_PER_S: usize = 12;

async fn spawn(number: usize, rows: &MemoryStore) -> Entry {
    let settings = entry_settings(&format!("entry-{number}"), SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    entry::spawn(settings, tokio_clock(), rows.store(), metrics::open()).await.expect("an entry")
}

/// Guards against incident inc-8e73: 55 entries that each sent a caller's request every 250 ms to a store that broke
/// connections left nearly every caller without an outcome.
#[rstest]
#[case::of_waiting_calls_too(Fault::Broken)]
#[case::of_new_calls(Fault::BrokenForNewCalls)]
#[tokio::test(start_paused = true)]
async fn few_callers_are_without_an_outcome_while_the_store_breaks_connections(#[case] fault: Fault) {
    let rows = MemoryStore::with_fault(Fault::None);
    rows.configure(1);
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        entries.push(spawn(number, &rows).await);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    let replies: Arc<Mutex<Vec<(Duration, Reply)>>> = Arc::default();
    let mut callers = Vec::new();
    let submissions = SUBMISSIONS_PER_S * 12;
    for number in 0..submissions {
        let at = Duration::from_secs(1) * number / SUBMISSIONS_PER_S;
        // Consecutive submissions go to entries far apart.
        let entry = &entries[(number * 7) as usize % ENTRIES];
        let (entry, replies) = (entry.clone(), Arc::clone(&replies));
        callers.push(tokio::spawn(async move {
            tokio::time::sleep(at).await;
            let reply = entry.submit(job(u64::from(number) + 1), Duration::from_secs(3)).await;
            replies.lock().expect("replies").push((at, reply));
        }));
    }
    tokio::time::sleep_until(began + Duration::from_secs(1)).await;
    rows.set_fault(fault);
    tokio::time::sleep(OUTAGE).await;
    rows.set_fault(Fault::None);
    for caller in callers {
        caller.await.expect("an answer");
    }
    let replies = replies.lock().expect("replies");
    let count = |from_ms: u64, to_ms: u64, is_meant: fn(&Reply) -> bool| {
        let times = Duration::from_millis(from_ms)..Duration::from_millis(to_ms);
        replies.iter().filter(|(at, reply)| times.contains(at) && is_meant(reply)).count()
    };
    let is_undecided = |reply: &Reply| *reply == Reply::Undecided;
    let undecided: Vec<usize> =
        (0..12).map(|second| count(second * 1_000, (second + 1) * 1_000, is_undecided)).collect();
    let is_refused = |reply: &Reply| matches!(reply, Reply::Refused { .. });
    let refused: Vec<usize> = (0..12).map(|second| count(second * 1_000, (second + 1) * 1_000, is_refused)).collect();
    println!("undecided by second {undecided:?}, refused {refused:?}");
    assert!(undecided.iter().all(|count| *count <= UNDECIDED_PER_S), "without an outcome, by second: {undecided:?}");
    assert!(count(1_500, 5_000, is_refused) > 300, "refused, by second: {refused:?}");
    let is_accepted = |reply: &Reply| *reply == Reply::Accepted;
    assert_eq!(count(6_500, 12_000, is_accepted), 550, "not accepted 1.5 s after the store is back: {refused:?}");
    let is_early = |reply: &Reply| {
        let Reply::Refused { retry_after, .. } = reply else { return false };
        *retry_after < Duration::from_secs(1) || *retry_after > Duration::from_secs(2)
    };
    assert_eq!(count(0, 12_000, is_early), 0);
}

//! Outcome of writes during platform faults, checked against the ledger of the platform stand-in.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilledge_standins::platform::{Entry, Faults, Handle, Settings};
use chervilledge_store::client::{Client, Resolution};
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::table::{Expect, Write, WriteId};
use rstest::rstest;
use serde_json::json;
use support::{open_client, open_client_with, start_store};
use tokio::time::{sleep, timeout};

const KEY: &str = "task/1";
const LONG_TIMEOUT: Duration = Duration::from_mins(1);

fn put(expect: Expect, value: i32) -> Vec<Write> {
    vec![Write::put(KEY, expect, json!(value))]
}

fn committed(store: &Handle, write_id: WriteId) -> Option<Entry> {
    store.ledger_after(0).into_iter().find(|entry| entry.write_id == write_id)
}

async fn resolve(client: &Client, write_id: WriteId) -> Resolution {
    timeout(LONG_TIMEOUT, client.resolve(write_id, &Arc::from(KEY))).await.expect("resolved in time")
}

#[rstest]
#[case::reply_lost(Faults { lose_reply_next: 1, ..Faults::default() }, true)]
#[case::request_lost(Faults { lose_request_next: 1, ..Faults::default() }, false)]
#[tokio::test]
async fn an_unknown_write_is_resolved_as_the_ledger_shows(
    #[case] faults: Faults,
    #[case] took_effect: bool,
    #[values(Expect::Absent, Expect::Any)] expect: Expect,
    #[values(false, true)] overwritten: bool,
) {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(faults);
    let id = client.next_write_id();
    assert_eq!(client.commit(id, put(expect, 1)).await, Outcome::Unknown);
    if overwritten {
        let other = open_client(&store, 2);
        let outcome = other.commit(other.next_write_id(), put(Expect::Any, 2)).await;
        assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
    }
    let expected = committed(&store, id).map_or(Resolution::NotDone, |entry| Resolution::Done(entry.number));
    assert_eq!(resolve(&client, id).await, expected);
    assert_eq!(committed(&store, id).is_some(), took_effect);
}

#[rstest]
#[case::absent(Expect::Absent)]
#[case::any(Expect::Any)]
#[tokio::test]
async fn a_write_that_was_resolved_as_not_done_never_takes_effect_late(#[case] expect: Expect) {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(Faults { delay_effect: Duration::from_secs(2), ..Faults::default() });
    let id = client.next_write_id();
    assert_eq!(client.commit(id, put(expect, 1)).await, Outcome::Unknown);
    store.control(Faults::default());
    let resolution = resolve(&client, id).await;
    // The late write has arrived by then; the ledger must agree with the resolution returned before.
    sleep(Duration::from_secs(3)).await;
    let expected = committed(&store, id).map_or(Resolution::NotDone, |entry| Resolution::Done(entry.number));
    assert_eq!(resolution, expected);
}

#[tokio::test]
async fn stale_reads_dont_prove_that_a_write_was_not_done() {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(Faults { stale_reads: LONG_TIMEOUT, lose_reply_next: 1, ..Faults::default() });
    assert_eq!(client.read_one(KEY).await.unwrap(), None);
    let id = client.next_write_id();
    assert_eq!(client.commit(id, put(Expect::Absent, 1)).await, Outcome::Unknown);
    assert_eq!(client.read_one(KEY).await.unwrap(), None, "the read is stale");
    assert_eq!(resolve(&client, id).await, Resolution::Done(1));
}

#[tokio::test]
async fn lost_replies_of_the_fence_itself_are_survived() {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(Faults { lose_request_next: 1, lose_reply_next: 2, ..Faults::default() });
    let id = client.next_write_id();
    assert_eq!(client.commit(id, put(Expect::Absent, 1)).await, Outcome::Unknown);
    assert_eq!(resolve(&client, id).await, Resolution::NotDone);
    assert_eq!(committed(&store, id), None);
}

#[tokio::test]
async fn several_who_resolve_one_write_learn_the_same() {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(Faults { lose_reply_next: 1, ..Faults::default() });
    let id = client.next_write_id();
    assert_eq!(client.commit(id, put(Expect::Absent, 1)).await, Outcome::Unknown);
    let (first, second) = tokio::join!(resolve(&client, id), resolve(&client, id));
    assert_eq!((first, second), (Resolution::Done(1), Resolution::Done(1)));
    // Later transactions delete the history row; the answer stays the same.
    for value in 2..5 {
        client.commit(client.next_write_id(), put(Expect::Any, value)).await;
    }
    assert_eq!(resolve(&client, id).await, Resolution::Done(1));
}

#[tokio::test]
async fn a_write_whose_caller_left_is_resolved_in_the_background() {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(Faults { slow: Duration::from_millis(200), lose_reply_next: 1, ..Faults::default() });
    let id = client.next_write_id();
    let commit = client.commit(id, put(Expect::Absent, 1));
    assert!(timeout(Duration::from_millis(20), commit).await.is_err(), "the caller leaves before the answer");
    // The row and its history row are stored; a later transaction deletes the latter once the write is resolved.
    let begin = Instant::now();
    while client.scan("history/", None, 10).await.unwrap().iter().any(|row| row.write_id == id)
        || committed(&store, id).is_none()
    {
        assert!(begin.elapsed() < LONG_TIMEOUT);
        client.commit(client.next_write_id(), vec![Write::put("other", Expect::Any, json!(1))]).await;
    }
}

#[tokio::test]
async fn a_write_can_be_resolved_while_it_is_in_progress() {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(Faults { slow: Duration::from_millis(200), ..Faults::default() });
    let id = client.next_write_id();
    assert_eq!(resolve(&client, id).await, Resolution::Forgotten, "not committed yet");
    let (outcome, resolution) = tokio::join!(client.commit(id, put(Expect::Absent, 1)), resolve(&client, id));
    match resolution {
        Resolution::Done(version) => assert_eq!(outcome, Outcome::Done(vec![version])),
        Resolution::NotDone => assert_eq!(outcome, Outcome::NotDone(Reason::Fenced)),
        Resolution::Forgotten => panic!("the write is in progress"),
    }
    assert_eq!(committed(&store, id).is_some(), resolution != Resolution::NotDone);
}

#[tokio::test]
async fn writes_of_another_process_arent_resolved() {
    let store = start_store(Settings::default()).await;
    let (client, other) = (open_client(&store, 1), open_client(&store, 2));
    let id = client.next_write_id();
    client.commit(id, put(Expect::Absent, 1)).await;
    assert_eq!(resolve(&other, id).await, Resolution::Forgotten);
}

#[tokio::test]
async fn history_rows_of_known_writes_are_deleted_along_with_later_ones() {
    let store = start_store(Settings { writes_per_s: 10_000, ..Settings::default() }).await;
    let client = open_client(&store, 1);
    for value in 0..50 {
        client.commit(client.next_write_id(), put(Expect::Any, value)).await;
    }
    let rows = client.scan("history/", None, 100).await.unwrap();
    assert!(rows.len() <= 2, "{} history rows are left", rows.len());
}

#[tokio::test]
async fn a_write_to_a_closed_port_was_never_sent() {
    // Port 1 (tcpmux, an obsolete protocol) has no listener.
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let client = open_client_with(address, 1, LONG_TIMEOUT);
    let outcome = client.commit(client.next_write_id(), put(Expect::Absent, 1)).await;
    assert_eq!(outcome, Outcome::NotDone(Reason::NeverSent));
}

#[tokio::test]
async fn an_outage_ends_with_every_write_known() {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    store.control(Faults { down: true, ..Faults::default() });
    let mut unknown = Vec::new();
    while !client.is_away() {
        let id = client.next_write_id();
        match client.commit(id, put(Expect::Any, 1)).await {
            Outcome::Unknown => unknown.push(id),
            // Background calls may have found the platform unavailable in between.
            outcome => assert_eq!(outcome, Outcome::NotDone(Reason::NeverSent)),
        }
    }
    assert!(!unknown.is_empty());
    let refused = client.commit(client.next_write_id(), put(Expect::Any, 1)).await;
    assert_eq!(refused, Outcome::NotDone(Reason::NeverSent), "nothing is sent while the platform is away");
    store.control(Faults::default());
    for id in unknown {
        assert_eq!(resolve(&client, id).await, Resolution::NotDone);
        assert_eq!(committed(&store, id), None);
    }
    assert!(!client.is_away());
}

#[tokio::test]
async fn a_slow_platform_leaves_the_write_unknown_until_resolved() {
    let store = start_store(Settings::default()).await;
    let client = open_client_with(store.address(), 1, Duration::from_millis(500));
    store.control(Faults { slow: Duration::from_secs(2), ..Faults::default() });
    let id = client.next_write_id();
    assert_eq!(client.commit(id, put(Expect::Absent, 1)).await, Outcome::Unknown);
    store.control(Faults::default());
    let resolution = resolve(&client, id).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(resolution == Resolution::NotDone, committed(&store, id).is_none());
}

#[tokio::test]
async fn writes_beyond_the_rate_are_refused_and_not_done() {
    let store =
        start_store(Settings { writes_per_s: 1, wait_limit: Duration::from_millis(1), ..Settings::default() }).await;
    let client = open_client(&store, 1);
    let mut refused = Vec::new();
    while refused.is_empty() {
        let id = client.next_write_id();
        match client.commit(id, put(Expect::Any, 1)).await {
            Outcome::NotDone(Reason::Refused { retry_after }) => refused.push((id, retry_after)),
            outcome => assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}"),
        }
    }
    let (id, retry_after) = refused[0];
    assert!(retry_after <= Duration::from_secs(2) && !retry_after.is_zero(), "{retry_after:?}");
    assert_eq!(committed(&store, id), None);
}

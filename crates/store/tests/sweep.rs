//! Sweep of the history rows of processes that have ended.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_standins::network::{self, Faults};
use chervilledge_standins::platform::{self, Handle};
use chervilledge_store::client::{Client, Resolution, Settings};
use chervilledge_store::error::Outcome;
use chervilledge_store::sweep;
use chervilledge_store::table::{Expect, Write, WriteId};
use serde_json::json;
use support::{open_client, open_client_from, open_client_with, start_store};
use tokio::time::{sleep, timeout};

const LATE_WRITE_BOUND: Duration = Duration::from_millis(100);
const RESOLVE_TIMEOUT: Duration = Duration::from_mins(1);

fn open_sweeper(store: &Handle) -> Client {
    let settings = Settings { address: store.address(), late_write_bound: LATE_WRITE_BOUND, ..Settings::default() };
    open_client_from(Settings { call_timeout: Duration::from_secs(20), ..settings }, 9)
}

async fn put(client: &Client) -> (WriteId, Outcome) {
    let id = client.next_write_id();
    (id, client.commit(id, vec![Write::put("row", Expect::Any, json!(1))]).await)
}

async fn history_rows(client: &Client) -> usize {
    client.scan("history/", None, 100).await.unwrap().len()
}

#[tokio::test]
async fn rows_of_dead_processes_are_deleted_after_the_bound() {
    let store = start_store(platform::Settings::default()).await;
    let (dead, live) = (open_client(&store, 1), open_client(&store, 2));
    put(&dead).await;
    put(&live).await;
    let sweeper = open_sweeper(&store);
    let mut sweep = sweep::open(sweeper.clone());
    let is_live = |boot| boot == live.boot();
    assert_eq!(sweep.pass(is_live).await, Ok(0), "seen for the first time");
    sleep(LATE_WRITE_BOUND).await;
    assert_eq!(sweep.pass(is_live).await, Ok(1));
    assert_eq!(sweep.pass(is_live).await, Ok(0));
    assert_eq!(history_rows(&sweeper).await, 2, "those of the live process and of the sweeper");
}

#[tokio::test]
async fn a_failed_pass_starts_the_bound_again() {
    let store = start_store(platform::Settings::default()).await;
    put(&open_client(&store, 1)).await;
    let mut sweep = sweep::open(open_sweeper(&store));
    assert_eq!(sweep.pass(|_| false).await, Ok(0));
    store.control(platform::Faults { down: true, ..platform::Faults::default() });
    sweep.pass(|_| false).await.unwrap_err();
    store.control(platform::Faults::default());
    sleep(LATE_WRITE_BOUND).await;
    let mut first = sweep.pass(|_| false).await;
    while first.is_err() {
        sleep(LATE_WRITE_BOUND).await;
        first = sweep.pass(|_| false).await;
    }
    assert_eq!(first, Ok(0), "nothing was seen since the outage");
}

#[tokio::test]
async fn a_process_taken_for_dead_takes_no_swept_row_as_a_proof() {
    let store = start_store(platform::Settings::default()).await;
    let proxy = network::bind(SocketAddr::from(([127, 0, 0, 1], 0)), store.address()).await.unwrap();
    let paused = open_client_with(proxy.address(), 1, Duration::from_secs(1));
    proxy.set(Faults { silent_to_caller: true, ..Faults::default() });
    let (id, outcome) = put(&paused).await;
    assert_eq!(outcome, Outcome::Unknown);
    assert!(store.ledger_after(0).iter().any(|entry| entry.write_id == id), "the write took effect");
    let sweeper = open_sweeper(&store);
    put(&sweeper).await;
    let mut sweep = sweep::open(sweeper);
    sweep.pass(|_| false).await.unwrap();
    sleep(LATE_WRITE_BOUND).await;
    assert_eq!(sweep.pass(|_| false).await, Ok(1));
    proxy.set(Faults::default());
    let resolution = timeout(RESOLVE_TIMEOUT, paused.resolve(id, &Arc::from("row"))).await.unwrap();
    assert_eq!(resolution, Resolution::Forgotten);
}

//! Client behind a faulty network, checked against the ledger of the platform stand-in.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_standins::network::{self, Faults};
use chervilledge_standins::platform::{Handle, Settings};
use chervilledge_store::client::{Client, Resolution};
use chervilledge_store::error::Outcome;
use chervilledge_store::table::{Expect, Write, WriteId};
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use support::{open_client_with, start_store};

/// Long enough for a call on a busy machine, short enough for a test to wait until it expires.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of idle connections that stop delivering data.
const CONNECTIONS: usize = 8;
const RESOLVE_TIMEOUT: Duration = Duration::from_mins(1);

async fn start() -> (Handle, network::Handle, Client) {
    let store = start_store(Settings::default()).await;
    let proxy = network::bind(SocketAddr::from(([127, 0, 0, 1], 0)), store.address()).await.unwrap();
    let client = open_client_with(proxy.address(), 1, CALL_TIMEOUT);
    assert_eq!(client.read_one("row").await, Ok(None), "a connection is open");
    (store, proxy, client)
}

async fn put(client: &Client) -> (WriteId, Outcome) {
    let id = client.next_write_id();
    (id, client.commit(id, vec![Write::put("row", Expect::Any, json!(1))]).await)
}

fn took_effect(store: &Handle, id: WriteId) -> bool {
    store.ledger_after(0).iter().any(|entry| entry.write_id == id)
}

#[rstest]
#[case::to_platform(Faults { silent_to_target: true, ..Faults::default() }, false)]
#[case::from_platform(Faults { silent_to_caller: true, ..Faults::default() }, true)]
#[tokio::test]
async fn a_write_into_silence_is_unknown_and_resolved_on_a_new_connection(#[case] faults: Faults, #[case] done: bool) {
    let (store, proxy, client) = start().await;
    proxy.set(faults);
    let (id, outcome) = put(&client).await;
    assert_eq!(outcome, Outcome::Unknown);
    proxy.set(Faults::default());
    let resolved = tokio::time::timeout(RESOLVE_TIMEOUT, client.resolve(id, &Arc::from("row"))).await.unwrap();
    assert_eq!((resolved != Resolution::NotDone, took_effect(&store, id)), (done, done));
}

#[tokio::test]
async fn a_connection_that_went_silent_is_used_for_one_call_only() {
    let (store, proxy, client) = start().await;
    proxy.half_open();
    let (lost, outcome) = put(&client).await;
    assert_eq!((outcome, took_effect(&store, lost)), (Outcome::Unknown, false));
    let (id, outcome) = put(&client).await;
    assert!(matches!(outcome, Outcome::Done(_)) && took_effect(&store, id), "{outcome:?}");
}

/// Guards against losing one call for each idle connection that stopped delivering data.
#[tokio::test]
async fn unused_connections_that_went_silent_cost_one_call() {
    let (store, proxy, client) = start().await;
    proxy.set(Faults { delay: Duration::from_millis(50), ..Faults::default() });
    let opened = join_all((0..CONNECTIONS).map(|_| client.read_one("row"))).await;
    assert!(opened.iter().all(Result::is_ok), "{opened:?}");
    proxy.set(Faults::default());
    proxy.half_open();
    let (lost, outcome) = put(&client).await;
    assert_eq!((outcome, took_effect(&store, lost)), (Outcome::Unknown, false));
    let (id, outcome) = put(&client).await;
    assert!(matches!(outcome, Outcome::Done(_)) && took_effect(&store, id), "{outcome:?}");
}

#[tokio::test]
async fn a_cut_connection_is_replaced() {
    let (store, proxy, client) = start().await;
    proxy.cut();
    let (id, outcome) = put(&client).await;
    // The client may or may not have detected the closed connection before it sent the request.
    assert_eq!(matches!(outcome, Outcome::Done(_)), took_effect(&store, id), "{outcome:?}");
    let (id, outcome) = put(&client).await;
    assert!(matches!(outcome, Outcome::Done(_)) && took_effect(&store, id), "{outcome:?}");
}

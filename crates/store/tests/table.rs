//! Reads, scans and conditional transactions.

mod support;

use std::sync::Arc;

use chervilledge_standins::platform;
use chervilledge_store::client::Client;
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::table::{Expect, Write};
use rstest::rstest;
use serde_json::json;
use support::{open_client, start_store};

async fn start() -> (platform::Handle, Client) {
    let store = start_store(platform::Settings::default()).await;
    let client = open_client(&store, 7);
    (store, client)
}

#[tokio::test]
async fn committed_rows_are_read_back_with_their_write_id() {
    let (_store, client) = start().await;
    let id = client.next_write_id();
    let outcome = client.commit(id, vec![Write::put("job/1", Expect::Absent, json!({"state": "queued"}))]).await;
    let Outcome::Done(versions) = outcome else { panic!("{outcome:?}") };
    let row = client.read_one("job/1").await.unwrap().unwrap();
    assert_eq!((row.version, row.write_id, row.value), (versions[0], id, json!({"state": "queued"})));
}

#[rstest]
#[case::absent(Expect::Absent)]
#[case::old_version(Expect::Version(999))]
#[tokio::test]
async fn one_conflict_leaves_every_row_of_the_transaction(#[case] expect: Expect) {
    let (_store, client) = start().await;
    client.commit(client.next_write_id(), vec![Write::put("a", Expect::Any, json!(1))]).await;
    let writes = vec![Write::put("b", Expect::Absent, json!(2)), Write::put("a", expect, json!(3))];
    let outcome = client.commit(client.next_write_id(), writes).await;
    let Outcome::NotDone(Reason::Conflict(conflict)) = outcome else { panic!("{outcome:?}") };
    assert_eq!((&*conflict.key, conflict.current.unwrap().value), ("a", json!(1)));
    assert_eq!(client.read_one("b").await.unwrap(), None);
}

#[tokio::test]
async fn scan_pages_through_a_prefix_in_order() {
    let (_store, client) = start().await;
    let keys = ["task/1", "task/2", "task/3", "tasks", "job/1"];
    let writes = keys.iter().map(|key| Write::put(*key, Expect::Absent, json!(key))).collect();
    client.commit(client.next_write_id(), writes).await;
    let first = client.scan("task/", None, 2).await.unwrap();
    let second = client.scan("task/", Some(Arc::clone(&first[1].key)), 2).await.unwrap();
    let found: Vec<&str> = first.iter().chain(&second).map(|row| &*row.key).collect();
    assert_eq!(found, ["task/1", "task/2", "task/3"]);
}

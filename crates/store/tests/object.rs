//! Objects: create, read and delete, and retries after lost requests and replies.

mod support;

use bytes::Bytes;
use chervilledge_standins::platform::{Faults, Settings};
use chervilledge_store::object::{InvalidKey, Key, Put};
use rstest::rstest;
use support::{open_client, start_store};

#[tokio::test]
async fn a_checkpoint_is_read_back_until_it_is_deleted() {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    let key = Key::checkpoint("task-1", 3, 0).unwrap();
    assert_eq!(client.get_object(&key).await, Ok(None));
    assert_eq!(client.put_object(&key, Bytes::from("progress")).await, Ok(Put::Created));
    assert_eq!(client.put_object(&key, Bytes::from("other")).await, Ok(Put::Exists));
    assert_eq!(client.get_object(&key).await, Ok(Some(Bytes::from("progress"))));
    assert_eq!(client.delete_object(&key).await, Ok(()));
    assert_eq!(client.delete_object(&key).await, Ok(()));
    assert_eq!(client.get_object(&key).await, Ok(None));
}

#[rstest]
#[case::reply_lost(Faults { lose_reply_next: 1, ..Faults::default() }, Put::Exists)]
#[case::request_lost(Faults { lose_request_next: 1, ..Faults::default() }, Put::Created)]
#[tokio::test]
async fn a_put_is_repeated_until_it_is_answered(#[case] faults: Faults, #[case] put: Put) {
    let store = start_store(Settings::default()).await;
    let client = open_client(&store, 1);
    let key = Key::checkpoint("task-1", 3, 0).unwrap();
    store.control(faults);
    assert_eq!(client.put_object(&key, Bytes::from("progress")).await, Ok(put));
    assert_eq!(client.get_object(&key).await, Ok(Some(Bytes::from("progress"))));
}

#[test]
fn epochs_keep_the_keys_of_one_task_apart() {
    assert_ne!(Key::checkpoint("t", 1, 11), Key::checkpoint("t", 11, 1));
    assert_eq!(Key::checkpoint("t/../x?", 1, 1), Err(InvalidKey('?')));
}

//! Rates, faults and objects of the platform's stand-in, over HTTP.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilledge_standins::platform::{self, Handle, Settings};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use serde_json::{Value, json};
use support::{any_port, call, http_client, send};

async fn start(settings: Settings) -> Handle {
    platform::bind(any_port(), settings).await.unwrap()
}

fn commit_body(number: u64) -> Value {
    let write = json!({ "key": format!("row/{number:04}"), "expect": "any", "value": number });
    json!({ "write_id": format!("1-{number:x}"), "writes": [write] })
}

async fn commit(address: SocketAddr, number: u64) -> StatusCode {
    call(address, Method::POST, "/table/commit", &commit_body(number)).await.0
}

async fn scan(address: SocketAddr) -> StatusCode {
    call(address, Method::POST, "/table/scan", &json!({ "prefix": "", "after": null, "limit": 1_000 })).await.0
}

#[tokio::test]
async fn writes_are_carried_no_faster_than_the_rate() {
    let handle = start(Settings { writes_per_s: 100, wait_limit: Duration::from_mins(1), ..Settings::default() }).await;
    let begin = Instant::now();
    let commits: Vec<_> = (0..50).map(|number| tokio::spawn(commit(handle.address(), number))).collect();
    for commit in commits {
        assert_eq!(commit.await.unwrap(), StatusCode::OK);
    }
    assert!(begin.elapsed() >= Duration::from_millis(490), "{:?}", begin.elapsed());
    assert_eq!((handle.counts().writes, handle.counts().refused), (50, 0));
}

#[tokio::test]
async fn a_transaction_counts_once_however_many_rows_it_writes() {
    let handle = start(Settings { writes_per_s: 1, wait_limit: Duration::ZERO, ..Settings::default() }).await;
    let row = |number| json!({ "key": format!("row/{number}"), "expect": "absent", "value": 1 });
    let body = json!({ "write_id": "1-1", "writes": (0..500).map(row).collect::<Vec<_>>() });
    assert_eq!(call(handle.address(), Method::POST, "/table/commit", &body).await.0, StatusCode::OK);
    assert_eq!(handle.counts().writes, 1);
}

#[rstest]
#[case::writes(Settings { writes_per_s: 1, wait_limit: Duration::ZERO, ..Settings::default() }, true)]
#[case::reads(Settings { reads_per_s: 1, wait_limit: Duration::ZERO, ..Settings::default() }, false)]
#[tokio::test]
async fn calls_beyond_the_rate_are_refused_with_a_time_to_wait(#[case] settings: Settings, #[case] writes: bool) {
    let handle = start(settings).await;
    let (path, body) = if writes { ("/table/commit", commit_body(1)) } else { ("/table/read", json!({ "keys": [] })) };
    let client = http_client();
    let begin = Instant::now();
    loop {
        let request = Request::post(format!("http://{}{path}", handle.address()));
        let answer = client.request(request.body(Full::from(body.to_string())).unwrap()).await.unwrap();
        if answer.status() == StatusCode::TOO_MANY_REQUESTS {
            assert_eq!(answer.headers()["retry-after"], "1");
            break;
        }
        assert!(begin.elapsed() < Duration::from_mins(1));
    }
    assert!(handle.counts().refused >= 1);
}

#[tokio::test]
async fn a_scan_of_many_rows_costs_several_reads() {
    let handle = start(Settings { reads_per_s: 1, wait_limit: Duration::ZERO, ..Settings::default() }).await;
    let row = |number: u64| json!({ "key": format!("row/{number:04}"), "expect": "absent", "value": 1 });
    let body = json!({ "write_id": "1-1", "writes": (0..1_000).map(row).collect::<Vec<_>>() });
    assert_eq!(call(handle.address(), Method::POST, "/table/commit", &body).await.0, StatusCode::OK);
    assert_eq!(scan(handle.address()).await, StatusCode::OK);
    let request = Request::post(format!("http://{}/table/read", handle.address()));
    let answer = http_client().request(request.body(Full::from(r#"{"keys":[]}"#)).unwrap()).await.unwrap();
    assert_eq!(answer.status(), StatusCode::TOO_MANY_REQUESTS);
    let retry_after_ms: u64 = answer.headers()["retry-after-ms"].to_str().unwrap().parse().unwrap();
    assert!(retry_after_ms > 2_000, "ten reads a second, of which {retry_after_ms} ms are left");
}

#[tokio::test]
async fn faults_and_ledger_are_reached_over_http() {
    let handle = start(Settings::default()).await;
    let address = handle.address();
    let control = async |faults: Value| call(address, Method::POST, "/control", &faults).await.0;
    assert_eq!(control(json!({ "lose_reply_next": 1 })).await, StatusCode::NO_CONTENT);
    let request = Request::post(format!("http://{address}/table/commit"));
    assert_eq!(send(request.body(Full::from(commit_body(1).to_string())).unwrap()).await, None);
    assert_eq!(commit(address, 2).await, StatusCode::OK);
    let (_, ledger) = call(address, Method::GET, "/ledger?after=0", &Value::Null).await;
    assert_eq!((&ledger[0]["write_id"], &ledger[1]["number"]), (&json!("0000000000000001-1"), &json!(2)));
    assert_eq!(call(address, Method::GET, "/ledger?after=1", &Value::Null).await.1.as_array().unwrap().len(), 1);
    assert_eq!(control(json!({ "on_fire": true })).await, StatusCode::BAD_REQUEST);
    assert_eq!(control(json!({ "down": true })).await, StatusCode::NO_CONTENT);
    let request = Request::get(format!("http://{address}/objects/a"));
    assert_eq!(send(request.body(Full::default()).unwrap()).await, None);
    assert_eq!(control(json!({})).await, StatusCode::NO_CONTENT);
    assert_eq!(scan(address).await, StatusCode::OK);
}

#[rstest]
#[case::not_json(b"{" as &[u8])]
#[case::key_twice(
    br#"{"write_id":"1-1","writes":[{"key":"a","expect":"any","value":1},{"key":"a","expect":"any","value":2}]}"#
)]
#[case::unknown_condition(br#"{"write_id":"1-1","writes":[{"key":"a","expect":"maybe","value":1}]}"#)]
#[tokio::test]
async fn a_malformed_commit_is_refused_whole(#[case] body: &'static [u8]) {
    let handle = start(Settings::default()).await;
    let request = Request::post(format!("http://{}/table/commit", handle.address()));
    let (status, _) = send(request.body(Full::from(body)).unwrap()).await.unwrap();
    assert_eq!((status, handle.ledger_after(0).len()), (StatusCode::BAD_REQUEST, 0));
}

#[tokio::test]
async fn an_object_is_stored_once_when_it_must_be_absent() {
    let handle = start(Settings::default()).await;
    let uri = format!("http://{}/objects/checkpoint/t/1/0", handle.address());
    let put = |body: &'static str| {
        let request = Request::put(&uri).header("if-none-match", "*");
        send(request.body(Full::from(body)).unwrap())
    };
    assert_eq!(put("first").await.unwrap().0, StatusCode::CREATED);
    assert_eq!(put("second").await.unwrap().0, StatusCode::PRECONDITION_FAILED);
    let stored = send(Request::get(&uri).body(Full::default()).unwrap()).await.unwrap();
    assert_eq!(stored, (StatusCode::OK, Bytes::from("first")));
}

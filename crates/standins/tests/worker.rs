//! Backend server of the worker's stand-in.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilledge_policy::capacity::Capacity;
use chervilledge_policy::id::Name;
use chervilledge_standins::worker::{self, Echo, Faults, Handle, Settings, What, answer_bytes, checksum};
use http::{Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use support::{any_port, send, wait_until};

async fn start(settings: Settings) -> Handle {
    worker::bind(any_port(), settings).await.unwrap()
}

fn request(handle: &Handle, id: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let uri = format!("http://{}/quote?x=1", handle.address());
    let builder = Request::post(uri).header("x-request-id", id);
    let builder = headers.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
    builder.body(Full::from("mesh")).unwrap()
}

fn ends(handle: &Handle) -> Vec<(String, Option<u16>)> {
    let end = |what| match what {
        What::RequestEnded { request_id, status } => Some((request_id.to_string(), status)),
        _ => None,
    };
    handle.ledger().into_iter().filter_map(|event| end(event.what)).collect()
}

#[tokio::test]
async fn answer_echoes_the_identity_of_the_request() {
    let handle = start(Settings::default()).await;
    let (_, body) = send(request(&handle, "r-1", &[("idempotency-key", "k-1")])).await.unwrap();
    let echo: Echo = serde_json::from_slice(&body).unwrap();
    assert_eq!((echo.request_id.as_str(), echo.path.as_str()), ("r-1", "/quote?x=1"));
    assert_eq!((echo.body_length_bytes, echo.body_checksum), (4, checksum(b"mesh")));
    let key = Some(Name::from("k-1"));
    let path = Name::from("/quote?x=1");
    let started = What::RequestStarted { request_id: Name::from("r-1"), idempotency_key: key, path };
    assert_eq!(handle.ledger()[0].what, started);
    wait_until(|| ends(&handle) == [("r-1".to_owned(), Some(200))]).await;
}

#[tokio::test]
async fn answer_has_the_length_that_the_request_asks_for() {
    let handle = start(Settings::default()).await;
    let (_, body) = send(request(&handle, "r-1", &[("x-answer-bytes", "100001")])).await.unwrap();
    assert_eq!(body, answer_bytes("r-1", 100_001));
    assert_ne!(body, answer_bytes("r-2", 100_001));
}

#[rstest]
#[case::status("500", Some(StatusCode::INTERNAL_SERVER_ERROR))]
#[case::reset("reset", None)]
#[case::short("short", None)]
#[tokio::test]
async fn a_request_fails_as_it_asks(#[case] fail: &str, #[case] status: Option<StatusCode>) {
    let handle = start(Settings::default()).await;
    let answer = send(request(&handle, "r-1", &[("x-fail", fail)])).await;
    assert_eq!(answer.map(|(status, _)| status), status);
    wait_until(|| ends(&handle).len() == 1).await;
}

#[tokio::test]
async fn requests_over_the_slots_run_and_are_recorded() {
    let capacity = Capacity { slots: 2, connections: 2, ..Settings::default().capacity };
    let handle = start(Settings { capacity, ..Settings::default() }).await;
    let headers = [("x-work-ms", "1000")];
    let requests = ["r-1", "r-2", "r-3"].map(|id| tokio::spawn(send(request(&handle, id, &headers))));
    for request in requests {
        assert!(request.await.unwrap().is_some());
    }
    let ledger = handle.ledger();
    assert!(ledger.iter().any(|event| event.what == What::OverSlots { in_progress: 3 }), "{ledger:?}");
    assert!(ledger.iter().any(|event| event.what == What::OverConnections { open: 3 }), "{ledger:?}");
}

#[tokio::test]
async fn a_request_whose_caller_left_ends_without_a_status() {
    let handle = start(Settings::default()).await;
    let task = tokio::spawn(send(request(&handle, "r-1", &[("x-work-ms", "60000")])));
    wait_until(|| !handle.ledger().is_empty()).await;
    task.abort();
    wait_until(|| ends(&handle) == [("r-1".to_owned(), None)]).await;
}

#[tokio::test]
async fn faults_slow_and_fail_requests() {
    let handle = start(Settings::default()).await;
    handle.control(Faults { slow_factor: 10.0, ..Faults::default() });
    let begin = Instant::now();
    send(request(&handle, "r-1", &[("x-work-ms", "20")])).await.unwrap();
    assert!(begin.elapsed() >= Duration::from_millis(200));
    handle.control(Faults { fail_all: true, ..Faults::default() });
    let (status, _) = send(request(&handle, "r-2", &[])).await.unwrap();
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
}

//! Task runtime of the worker's stand-in.

mod support;

use std::time::{Duration, Instant};

use chervilledge_standins::worker::{self, Faults, Handle, Settings, Suspension, What};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use serde_json::{Value, json};
use support::{any_port, call, send, wait_until};

const LONG_MS: u64 = 600_000;

async fn start() -> Handle {
    worker::bind(any_port(), Settings::default()).await.unwrap()
}

fn task(run_ms: u64, lease_ms: u64) -> Value {
    json!({
        "task": "t", "epoch": 3, "kind": "quotes", "run_ms": run_ms, "lease_end_ms_from_now": lease_ms,
        "resources": { "processor_millicores": 10_000, "memory_bytes": 1 << 30, "accelerators": 0 },
    })
}

async fn post(handle: &Handle, path: &str, body: &Value) -> (StatusCode, Value) {
    call(handle.address(), Method::POST, path, body).await
}

async fn listed(handle: &Handle) -> Value {
    call(handle.address(), Method::GET, "/tasks", &Value::Null).await.1
}

fn count(handle: &Handle, matches: impl Fn(&What) -> bool) -> usize {
    handle.ledger().iter().filter(|event| matches(&event.what)).count()
}

fn lapses(handle: &Handle) -> usize {
    count(handle, |what| matches!(what, What::TaskSuspended { reason: Suspension::LeaseEnd, .. }))
}

fn effects(handle: &Handle) -> usize {
    count(handle, |what| matches!(what, What::TaskEffect { epoch: 3, .. }))
}

#[tokio::test]
async fn a_task_completes_with_one_effect() {
    let handle = start().await;
    assert_eq!(post(&handle, "/tasks", &task(50, LONG_MS)).await.0, StatusCode::CREATED);
    wait_until(|| effects(&handle) == 1).await;
    assert_eq!(listed(&handle).await[0]["state"], "complete");
    let begin = handle.ledger()[0].at;
    assert!(handle.ledger().iter().all(|event| event.at == begin || event.at >= begin + Duration::from_millis(50)));
    assert_eq!(post(&handle, "/tasks/t/stop", &Value::Null).await.0, StatusCode::OK);
    assert_eq!(listed(&handle).await, json!([]));
    assert_eq!(effects(&handle), 1);
}

#[tokio::test]
async fn the_worker_itself_suspends_a_task_at_the_end_of_its_lease() {
    let handle = start().await;
    post(&handle, "/tasks", &task(LONG_MS, 200)).await;
    wait_until(|| lapses(&handle) == 1).await;
    let ledger = handle.ledger();
    assert_eq!(ledger[1].at, ledger[0].at + Duration::from_millis(200));
    let (status, refusal) = post(&handle, "/tasks/t/resume", &Value::Null).await;
    assert_eq!((status, refusal), (StatusCode::CONFLICT, json!("lease_ended")));
    let renewal = json!({ "epoch": 3, "lease_end_ms_from_now": LONG_MS });
    assert_eq!(post(&handle, "/tasks/t/lease", &renewal).await.1["state"], "lapsed");
    assert_eq!(post(&handle, "/tasks/t/resume", &Value::Null).await.1["state"], "running");
    assert_eq!(listed(&handle).await[0]["progress_ms"].as_u64().map(|progress| progress >= 200), Some(true));
}

#[tokio::test]
async fn a_frozen_worker_executes_nothing_and_lets_the_lease_end() {
    let handle = start().await;
    post(&handle, "/tasks", &task(700, 300)).await;
    let begin = Instant::now();
    handle.control(Faults { freeze: Duration::from_secs(1), ..Faults::default() });
    let tasks = listed(&handle).await;
    assert!(begin.elapsed() >= Duration::from_secs(1), "nothing is answered while frozen");
    assert_eq!((&tasks[0]["state"], effects(&handle)), (&json!("lapsed"), 0));
}

#[tokio::test]
async fn a_renewal_that_is_read_late_is_bounded_by_the_monotonic_clock() {
    let handle = start().await;
    post(&handle, "/tasks", &task(LONG_MS, 300)).await;
    let renewal = json!({ "lease_end_ms_from_now": LONG_MS, "lease_end_monotonic_ms": 1 });
    assert_eq!(post(&handle, "/tasks/t/lease", &renewal).await.1["lease_left_ms"], 0);
    wait_until(|| lapses(&handle) == 1).await;
}

#[tokio::test]
async fn a_task_throttled_to_zero_makes_no_progress() {
    let handle = start().await;
    post(&handle, "/tasks", &task(LONG_MS, LONG_MS)).await;
    let before = post(&handle, "/tasks/t/throttle", &json!({ "share_percent": 0 })).await.1;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let after = post(&handle, "/tasks/t/checkpoint", &Value::Null).await.1;
    assert_eq!(before["progress_ms"], after["progress_ms"]);
}

#[tokio::test]
async fn a_checkpoint_is_gone_on_from() {
    let handle = start().await;
    let mut start = task(LONG_MS, LONG_MS);
    start["checkpoint"] = json!(LONG_MS - 50);
    post(&handle, "/tasks", &start).await;
    wait_until(|| effects(&handle) == 1).await;
}

#[rstest]
#[case::same_task("/tasks", task(1, LONG_MS), StatusCode::CONFLICT)]
#[case::other_epoch("/tasks/t/stop", json!({ "epoch": 2 }), StatusCode::CONFLICT)]
#[case::unknown_task("/tasks/u/stop", Value::Null, StatusCode::NOT_FOUND)]
#[case::share("/tasks/t/throttle", json!({ "share_percent": 101 }), StatusCode::BAD_REQUEST)]
#[case::unknown_command("/tasks/t/paint", Value::Null, StatusCode::NOT_FOUND)]
#[case::malformed("/tasks", json!({ "task": 1 }), StatusCode::BAD_REQUEST)]
#[tokio::test]
async fn wrong_commands_are_refused(#[case] path: &str, #[case] body: Value, #[case] status: StatusCode) {
    let handle = start().await;
    post(&handle, "/tasks", &task(LONG_MS, LONG_MS)).await;
    assert_eq!(post(&handle, path, &body).await.0, status);
    assert_eq!(listed(&handle).await[0]["state"], "running");
}

#[tokio::test]
async fn more_resources_than_the_worker_has_are_recorded_and_reported_with_a_lag() {
    let settings = Settings { usage_lag: Duration::from_millis(300), ..Settings::default() };
    let handle = worker::bind(any_port(), settings).await.unwrap();
    let begin = Instant::now();
    for name in ["t", "u"] {
        let mut start = task(LONG_MS, LONG_MS);
        start["task"] = json!(name);
        post(&handle, "/tasks", &start).await;
    }
    assert_eq!(count(&handle, |what| matches!(what, What::OverResources { .. })), 1);
    let usage = async || call(handle.address(), Method::GET, "/usage", &Value::Null).await.1;
    while usage().await["resources"]["processor_millicores"] != 20_000 {
        assert!(begin.elapsed() < Duration::from_mins(1));
    }
    assert!(begin.elapsed() >= Duration::from_millis(300), "the usage lags");
}

#[tokio::test]
async fn tasks_slow_down_the_requests_beside_them_by_kind_and_share() {
    let slowdowns = [("heavy".into(), 1_000.0), ("light".into(), 10.0)].into();
    let handle = worker::bind(any_port(), Settings { slowdowns, ..Settings::default() }).await.unwrap();
    for kind in ["heavy", "light"] {
        let mut start = task(LONG_MS, LONG_MS);
        (start["task"], start["kind"]) = (json!(kind), json!(kind));
        post(&handle, "/tasks", &start).await;
    }
    post(&handle, "/tasks/heavy/throttle", &json!({ "share_percent": 0 })).await;
    let begin = Instant::now();
    let request = Request::get(format!("http://{}/quote", handle.address())).header("x-work-ms", "20");
    send(request.body(Full::default()).unwrap()).await.unwrap();
    let elapsed = begin.elapsed();
    assert!(elapsed >= Duration::from_millis(200), "{elapsed:?}, although a light task runs beside");
    assert!(elapsed < Duration::from_secs(20), "{elapsed:?}, although the heavy task is throttled to zero");
}

#[tokio::test]
async fn starts_fail_on_command() {
    let handle = start().await;
    handle.control(Faults { fail_starts: true, ..Faults::default() });
    assert_eq!(post(&handle, "/tasks", &task(1, LONG_MS)).await.0, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(listed(&handle).await, json!([]));
}

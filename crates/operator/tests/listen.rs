//! Operators' listener over real connections.

#[path = "support/http.rs"]
mod exchange;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervilledge_operator::listen::{self, Failure, Handle, Routes, Settings};
use chervilledge_operator::metrics::Reader;
use chervilledge_operator::secret::Secrets;
use chervilledge_policy::code::Code;
use exchange::{exchange, parse, raw};
use http::{Method, StatusCode};
use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time;

const OLD: &str = "old-secret-0123456789";
const NEW: &str = "new-secret-0123456789";

fn settings() -> Settings {
    let secrets = Secrets::new(vec![NEW.to_owned(), OLD.to_owned()]).expect("well-formed secrets");
    Settings { body_limit_bytes: 1024, head_timeout_ms: Duration::from_millis(200), ..Settings::new(secrets) }
}

fn routes() -> Routes {
    Routes::new()
        .state(|| json!({ "role": "entry" }))
        .route(Method::POST, "/drain/", |request| async move { Ok(json!({ "worker": request.rest })) })
        .route(Method::POST, "/echo", |request| async move {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            Ok(json!({ "body": text, "query": request.query }))
        })
        .route(Method::GET, "/fail", |_| async {
            Err(Failure::with_detail(StatusCode::CONFLICT, Code::PlanConflict, json!({ "winner": 7 })))
        })
        .route(Method::GET, "/slow", |_| async {
            time::sleep(Duration::from_millis(300)).await;
            Ok(json!("done"))
        })
}

async fn bind(settings: Settings, routes: Routes) -> Handle {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    listen::bind(address, settings, routes).await.expect("a free port")
}

#[rstest]
#[case::newest(NEW, 200)]
#[case::oldest_still_valid(OLD, 200)]
#[case::wrong("wrong-secret-0123456789", 401)]
#[case::prefix("new-secret-012345678", 401)]
#[case::absent("", 401)]
#[tokio::test]
async fn only_valid_secrets_are_answered(#[case] secret: &str, #[case] expected: u16) {
    let handle = bind(settings(), routes()).await;
    let (status, body) = exchange(handle.address(), "GET /state", secret, "").await;
    assert_eq!(status, expected, "{body}");
    if expected == 401 {
        assert_eq!(parse(&body)["code"], Code::OperatorSecret.number());
    }
}

#[rstest]
#[case::prefix("POST /drain/worker-3", 200, json!({ "worker": "worker-3" }))]
#[case::prefix_needs_a_rest("POST /drain/", 404, json!(6004))]
#[case::whole_path("POST /echo?dry=1", 200, json!({ "body": "hello", "query": "dry=1" }))]
#[case::longer_path("POST /echo/more", 404, json!(6004))]
#[case::other_method("GET /echo", 405, json!(6005))]
#[case::failure("GET /fail", 409, json!(4002))]
#[tokio::test]
async fn routes_answer_their_paths(#[case] head: &str, #[case] expected: u16, #[case] answer: Value) {
    let handle = bind(settings(), routes()).await;
    let (status, body) = exchange(handle.address(), head, NEW, "hello").await;
    assert_eq!(status, expected, "{body}");
    let body = parse(&body);
    let seen = if status == 200 { body } else { body["code"].clone() };
    assert_eq!(seen, answer);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let handle = bind(settings(), routes()).await;
    let (status, body) = exchange(handle.address(), "POST /echo", NEW, &"x".repeat(1025)).await;
    assert_eq!((status, parse(&body)["code"].clone()), (413, json!(6006)));
    let (status, _) = exchange(handle.address(), "POST /echo", NEW, &"x".repeat(1024)).await;
    assert_eq!(status, 200);
}

#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    let handle = bind(settings(), routes()).await;
    let path = format!("GET /{}", "x".repeat(64 * 1024));
    let (status, _) = exchange(handle.address(), &path, NEW, "").await;
    assert!(status == 431 || status == 0, "answered {status}");
}

#[tokio::test]
async fn a_head_that_never_ends_is_cut_off() {
    let handle = bind(settings(), routes()).await;
    let cut = time::timeout(Duration::from_secs(5), raw(handle.address(), b"GET /state HTTP/1.1\r\n")).await;
    assert!(cut.is_ok(), "the connection stayed open");
}

#[tokio::test]
async fn a_slow_handler_is_answered_with_a_timeout() {
    let settings = Settings { request_timeout_ms: Duration::from_millis(50), ..settings() };
    let handle = bind(settings, routes()).await;
    let (status, body) = exchange(handle.address(), "GET /slow", NEW, "").await;
    assert_eq!((status, parse(&body)["code"].clone()), (408, json!(6007)));
}

#[tokio::test]
async fn a_connection_ends_with_its_lifetime() {
    let settings = Settings { connection_lifetime_ms: Duration::from_millis(50), ..settings() };
    let handle = bind(settings, routes()).await;
    let (status, _) = exchange(handle.address(), "GET /slow", NEW, "").await;
    assert_eq!(status, 0, "the connection outlived its time");
}

#[tokio::test]
async fn a_connection_carries_one_request() {
    let settings = Settings { head_timeout_ms: Duration::from_mins(1), ..settings() };
    let handle = bind(settings, routes()).await;
    let request = format!("GET /state HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {NEW}\r\n\r\n");
    let answer = time::timeout(Duration::from_secs(5), raw(handle.address(), request.as_bytes())).await;
    assert!(answer.is_ok_and(|answer| answer.contains("connection: close")), "the connection stayed open");
}

#[tokio::test]
async fn shutdown_lets_a_request_finish() {
    let finished = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&finished);
    let slow_routes = Routes::new().route(Method::GET, "/slow", move |_| {
        let finished = Arc::clone(&finished);
        async move {
            time::sleep(Duration::from_millis(300)).await;
            finished.store(true, Ordering::SeqCst);
            Ok(json!("done"))
        }
    });
    let handle = bind(settings(), slow_routes).await;
    let address = handle.address();
    let slow = tokio::spawn(async move { exchange(address, "GET /slow", NEW, "").await });
    time::sleep(Duration::from_millis(100)).await;
    handle.shutdown().await;
    assert!(seen.load(Ordering::SeqCst), "the shutdown didn't wait for the request");
    assert_eq!(slow.await.expect("no panic"), (200, "\"done\"".to_owned()));
    assert!(TcpStream::connect(address).await.is_err(), "the port is still open");
}

#[tokio::test]
async fn metrics_are_rendered_as_text() {
    let reader = Reader::new();
    let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
    let meter = provider.meter("test");
    let requests = meter.u64_counter("requests").with_description("Requests by result.").build();
    requests.add(3, &[KeyValue::new("result", "not \"run\"")]);
    meter.i64_up_down_counter("queue.length").build().add(-2, &[]);
    meter.f64_gauge("load").build().record(0.5, &[]);
    let latency = meter.f64_histogram("latency_ms").with_boundaries(vec![1.0, 10.0]).build();
    for ms in [0.5, 5.0, 50.0] {
        latency.record(ms, &[]);
    }

    let handle = bind(settings(), routes().metrics(reader)).await;
    let (status, body) = exchange(handle.address(), "GET /metrics", NEW, "").await;
    assert_eq!(status, 200);
    for line in [
        "# HELP requests_total Requests by result.",
        "# TYPE requests_total counter",
        "requests_total{result=\"not \\\"run\\\"\"} 3",
        "# TYPE queue_length gauge",
        "queue_length -2",
        "load 0.5",
        "latency_ms_bucket{le=\"1\"} 1",
        "latency_ms_bucket{le=\"10\"} 2",
        "latency_ms_bucket{le=\"+Inf\"} 3",
        "latency_ms_sum 55.5",
        "latency_ms_count 3",
    ] {
        assert!(body.lines().any(|seen| seen == line), "{line} is missing from\n{body}");
    }
}

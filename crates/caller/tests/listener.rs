//! What clients of a listener may do, and for how long.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_caller::answer::{Body, full};
use chervilledge_caller::body;
use chervilledge_caller::budget::{self, Budget, Limits};
use chervilledge_caller::listener::{self, HeadLimits, Listener};
use chervilledge_policy::clock::Clock;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

const HEAD_LIMITS: HeadLimits = HeadLimits { bytes_max: 16 * 1024, timeout: Duration::from_secs(3) };
const BODY_BYTES_MAX: usize = 64 * 1024;
/// More than the kernel buffers for a client that reads nothing.
const LARGE_ANSWER_BYTES: usize = 32 << 20;

fn open_budget() -> Budget {
    let origin = Instant::now();
    budget::open(Limits::default(), Clock::new(move || origin.elapsed()))
}

/// Answers with the length of the body, or with as many bytes as the path names.
async fn answer(request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/large" {
        return Response::new(full(vec![0; LARGE_ANSWER_BYTES].into()));
    }
    let (status, text) = match body::read_whole(body, &parts, BODY_BYTES_MAX).await {
        Ok(body) => (StatusCode::OK, body.len().to_string()),
        Err(body::Error::TimedOut) => (StatusCode::REQUEST_TIMEOUT, String::new()),
        Err(body::Error::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, String::new()),
        Err(body::Error::Broken(_) | body::Error::Full) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
    };
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

async fn bind(budget: &Budget) -> Listener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    listener::bind(any, budget, || HEAD_LIMITS, answer).await.expect("a free port")
}

async fn read_status(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 1024];
    let length = stream.read(&mut bytes).await.expect("an answer");
    let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test(start_paused = true)]
async fn body_without_progress_ends() {
    let listener = bind(&open_budget()).await;
    let mut client = TcpStream::connect(listener.address()).await.expect("a connection");
    client.write_all(b"PUT / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nhalf").await.expect("sent");
    assert_eq!(read_status(&mut client).await, "HTTP/1.1 408 Request Timeout");
}

#[tokio::test(start_paused = true)]
async fn body_that_trickles_ends() {
    let listener = bind(&open_budget()).await;
    let mut client = TcpStream::connect(listener.address()).await.expect("a connection");
    client.write_all(b"PUT / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n").await.expect("sent");
    let (mut reading, mut writing) = client.split();
    let mut first_bytes = [0; 12];
    let trickle = async {
        loop {
            sleep(Duration::from_secs(5)).await;
            if writing.write_all(b"x").await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::select! {
        read = reading.read_exact(&mut first_bytes) => drop(read.expect("an answer")),
        () = trickle => {}
    }
    assert_eq!(&first_bytes, b"HTTP/1.1 408");
}

#[tokio::test(start_paused = true)]
async fn slow_but_steady_body_is_served() {
    let listener = bind(&open_budget()).await;
    let mut client = TcpStream::connect(listener.address()).await.expect("a connection");
    client.write_all(b"PUT / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n").await.expect("sent");
    for _ in 0..10 {
        sleep(Duration::from_secs(5)).await;
        client.write_all(b"x").await.expect("sent");
    }
    assert_eq!(read_status(&mut client).await, "HTTP/1.1 200 OK");
}

#[tokio::test(start_paused = true)]
async fn unread_answer_ends_the_connection() {
    let budget = open_budget();
    let listener = bind(&budget).await;
    let mut client = TcpStream::connect(listener.address()).await.expect("a connection");
    client.write_all(b"GET /large HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("sent");
    while budget.connections() == 0 {
        tokio::task::yield_now().await;
    }
    sleep(Duration::from_secs(70)).await;
    assert_eq!(budget.connections(), 0);
}

#[tokio::test]
async fn changed_limit_on_heads_applies_to_new_connections() {
    let bytes_max = Arc::new(AtomicUsize::new(8 * 1024));
    let limit = Arc::clone(&bytes_max);
    let heads = move || HeadLimits { bytes_max: limit.load(Ordering::Relaxed), ..HEAD_LIMITS };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = listener::bind(any, &open_budget(), heads, answer).await.expect("a free port");
    let head = format!("GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "x".repeat(12 * 1024));
    for (bytes, status) in [(8, "HTTP/1.1 431 Request Header Fields Too Large"), (32, "HTTP/1.1 200 OK")] {
        bytes_max.store(bytes * 1024, Ordering::Relaxed);
        let mut client = TcpStream::connect(listener.address()).await.expect("a connection");
        client.write_all(head.as_bytes()).await.expect("sent");
        assert_eq!(read_status(&mut client).await, status);
    }
}

//! Connections that go silent for good while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilledge_client::{Bounds, Client, Failure, Patience};
use futures_util::future::join_all;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Connections that are open and unused when they go silent.
const OPEN: usize = 8;
/// Time for an answer; each call that meets a silent connection takes as long.
const TIMEOUT: Duration = Duration::from_millis(600);
const BOUNDS: Bounds = Bounds { connect_timeout: TIMEOUT, answer_bytes_max: 1 << 20 };
/// Time that the server takes, so that calls sent together need a connection each.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// Serves each connection until so many have gone silent.
async fn serve(listener: TcpListener, silent: Arc<AtomicUsize>) {
    for number in 1.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        tokio::spawn(serve_one(stream, number, Arc::clone(&silent)));
    }
}

async fn serve_one(mut stream: TcpStream, number: usize, silent: Arc<AtomicUsize>) {
    let mut bytes = [0; 4_096];
    while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {
        tokio::time::sleep(ANSWER_TIME).await;
        if number > silent.load(Ordering::SeqCst) {
            let sent = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await;
            sent.expect("the caller reads");
        }
    }
}

async fn call(client: &Client, address: SocketAddr) -> Result<(), Failure> {
    client.call(address, Method::GET, "/", HeaderMap::new(), Bytes::new(), Patience::at_once(TIMEOUT)).await.map(drop)
}

/// Each unused connection that has gone silent must not cost a timeout of its own.
#[tokio::test]
async fn one_silent_call_is_enough_to_leave_silent_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let silent = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve(listener, Arc::clone(&silent)));
    let client = chervilledge_client::open(BOUNDS);
    let opened = join_all((0..OPEN).map(|_| call(&client, address))).await;
    assert!(opened.iter().all(Result::is_ok), "{opened:?}");
    silent.store(OPEN, Ordering::SeqCst);
    assert_eq!(call(&client, address).await, Err(Failure::Silent));
    let began = Instant::now();
    assert_eq!(call(&client, address).await, Ok(()));
    assert!(began.elapsed() < TIMEOUT / 2, "took {:?}", began.elapsed());
}

/// Sends an answer in parts, as a narrow link delivers it, and stops after so many of them.
async fn answer_in_parts(listener: TcpListener, parts: usize, sent: usize) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 1024];
    let _length = stream.read(&mut request).await.expect("a request");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", parts * PART.len());
    stream.write_all(head.as_bytes()).await.expect("open");
    for _ in 0..sent {
        tokio::time::sleep(PART_INTERVAL).await;
        stream.write_all(PART).await.expect("open");
    }
    std::future::pending::<()>().await;
}

/// Part of an answer.
const PART: &[u8] = &[b'x'; 100];
/// Interval at which parts come.
const PART_INTERVAL: Duration = Duration::from_millis(100);

/// A timeout bounds the time without any part of an answer, not that of the whole answer.
#[tokio::test]
async fn an_answer_that_comes_slowly_is_read_whole() {
    const PARTS: usize = 12;
    let patience = Patience::at_once(PART_INTERVAL * 4);
    for (sent, expected) in [(PARTS, Ok(PARTS * PART.len())), (PARTS / 2, Err(Failure::Silent))] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("address");
        let server = tokio::spawn(answer_in_parts(listener, PARTS, sent));
        let client = chervilledge_client::open(BOUNDS);
        let answer = client.call(address, Method::GET, "/", HeaderMap::new(), Bytes::new(), patience).await;
        assert_eq!(answer.map(|answer| answer.body.len()), expected);
        server.abort();
    }
}

//! Malformed input is refused with a numbered error and disturbs nobody else.

mod harness;

use std::net::SocketAddr;

use chervilledge_link::connection;
use chervilledge_link::message::{Hello, ToAgent, ToEntry, VERSION};
use chervilledge_policy::capacity::Capacity;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::BootId;
use chervilledge_policy::membership::{Announcement, Load};
use harness::cluster::{self, Cluster};
use harness::{LINK_SECRET, PATIENCE, send, state};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Writes bytes and the end of the stream on a connection of its own, and gives everything that comes back.
async fn write_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    // The peer may close the connection before it has read everything.
    drop(stream.write_all(bytes).await);
    drop(stream.shutdown().await);
    read_all(stream).await
}

async fn read_all(mut stream: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
    drop(read.expect("the connection ends"));
    answer
}

/// Asserts that the entry goes on as if nothing had happened.
async fn assert_unharmed(cluster: &Cluster) {
    let answer = send(cluster.entries[0].callers(), "POST", "/portal/after", &[], Vec::new()).await.expect("answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    let workers = state(cluster.entries[0].process.address("operators_address")).await;
    let workers = workers["entry"]["fleet"]["workers"].as_array().cloned().unwrap_or_default();
    assert_eq!(workers.len(), 1, "nobody else was announced: {workers:?}");
}

fn long_head() -> Vec<u8> {
    let mut head = b"GET /portal/x HTTP/1.1\r\nhost: a\r\nx-long: ".to_vec();
    head.extend(std::iter::repeat_n(b'a', 200_000));
    head.extend(b"\r\n\r\n");
    head
}

#[rstest]
#[case::long_head(long_head(), "431")]
#[case::not_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(), "400")]
#[case::bad_version(b"GET /portal/x HTTP/9.9\r\n\r\n".to_vec(), "400")]
#[case::bad_length(b"POST /portal/x HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n".to_vec(), "400")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_is_refused(#[case] bytes: Vec<u8>, #[case] status: &str) {
    let cluster = cluster::start(1, 1).await;
    let answer = write_raw(cluster.entries[0].callers(), &bytes).await;

    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(cluster.executed().is_empty());
    assert_unharmed(&cluster).await;
}

#[rstest]
#[case::timeout_isnt_a_number(&[("x-timeout-ms", "soon")], 1007)]
#[case::empty_key(&[("idempotency-key", "")], 1007)]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_header_field_is_refused(#[case] headers: &[(&str, &str)], #[case] code: u64) {
    let cluster = cluster::start(1, 1).await;
    let answer = send(cluster.entries[0].callers(), "POST", "/portal/x", headers, Vec::new()).await.expect("answer");

    assert_eq!((answer.status, answer.json()["code"].as_u64()), (400, Some(code)), "{answer:?}");
    assert_eq!(answer.outcome(), Some("not-run"));
    assert!(cluster.executed().is_empty());
    assert_unharmed(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body_above_the_limit_is_not_run() {
    let cluster = cluster::start_with(1, 1, |entry| entry["bounds"]["body_bytes_max"] = 100_000.into(), |_| {}).await;
    let callers = cluster.entries[0].callers();
    let answer = send(callers, "POST", "/portal/x", &[], vec![0; 100_001]).await.expect("answer");

    assert_eq!((answer.status, answer.json()["code"].as_u64()), (413, Some(1006)), "{answer:?}");
    assert_eq!(answer.outcome(), Some("not-run"));
    assert!(cluster.executed().is_empty());
    assert_unharmed(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_body_above_the_limit_is_cut_off() {
    let cluster = cluster::start_with(1, 1, |entry| entry["bounds"]["body_bytes_max"] = 100_000.into(), |_| {}).await;
    let head = "POST /portal/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n186a1\r\n";
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend(std::iter::repeat_n(b'a', 100_001));
    bytes.extend(b"\r\n0\r\n\r\n");
    let mut stream = TcpStream::connect(cluster.entries[0].callers()).await.expect("connect");
    stream.write_all(&bytes).await.expect("write");
    let answer = read_all(stream).await;

    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("\"code\":1006"), "{answer}");
    assert!(cluster.executed().is_empty());
    assert_unharmed(&cluster).await;
}

#[rstest]
#[case::with_a_length("content-length: 2\r\n\r\na")]
#[case::in_chunks("transfer-encoding: chunked\r\n\r\n1\r\na\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn body_that_stops_short_is_refused_at_the_time_limit(#[case] rest: &str) {
    let cluster = cluster::start(1, 1).await;
    let head = "POST /portal/x HTTP/1.1\r\nhost: a\r\nx-timeout-ms: 300\r\n";
    let mut stream = TcpStream::connect(cluster.entries[0].callers()).await.expect("connect");
    stream.write_all(format!("{head}{rest}").as_bytes()).await.expect("write");
    let answer = read_all(stream).await;

    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    for promised in ["\"code\":1004", "retry-after: 1\r\n", "x-chervilledge-outcome: not-run\r\n"] {
        assert!(answer.contains(promised), "{answer}");
    }
    assert!(cluster.executed().is_empty());
    assert_unharmed(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body_that_breaks_off_is_never_passed_off_as_whole() {
    let cluster = cluster::start(1, 1).await;
    let mut bytes = b"POST /portal/x HTTP/1.1\r\nhost: a\r\ncontent-length: 500000\r\n\r\n".to_vec();
    bytes.extend(std::iter::repeat_n(b'a', 300_000));
    write_raw(cluster.entries[0].callers(), &bytes).await;

    // The backend server counts a request as begun once it has the whole body.
    assert!(cluster.executed().is_empty());
    assert_unharmed(&cluster).await;
}

fn hello(version: u16) -> ToEntry {
    let announcement = Announcement {
        agent_boot: BootId(1),
        capacity: Capacity::default(),
        failure_domain: "hobart-1".into(),
        link: 1,
        queue: 0,
        rack: "rack-1".into(),
        service: "portal".into(),
        worker: "stranger".into(),
    };
    ToEntry::Hello(Box::new(Hello { version, announcement, load: Load::default(), enforced: None }))
}

fn links_of(cluster: &Cluster) -> SocketAddr {
    cluster.entries[0].network.address()
}

#[tokio::test(flavor = "multi_thread")]
async fn stranger_without_a_secret_announces_nobody() {
    let cluster = cluster::start(1, 1).await;
    let refused = connection::open(links_of(&cluster), "a wrong secret, long enough").await.expect_err("refused");

    assert_eq!(refused.code(), Code::LinkSecret, "{refused}");
    assert_unharmed(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_version_of_a_link_is_refused_by_its_code() {
    let cluster = cluster::start(1, 1).await;
    let (sender, mut receiver) = connection::open(links_of(&cluster), LINK_SECRET).await.expect("link");
    sender.send(hello(VERSION + 1)).await.expect("send");

    let answer = receiver.receive::<ToAgent>(PATIENCE).await.expect("answer");
    assert!(matches!(answer, ToAgent::Refused(Code::LinkVersion)), "{answer:?}");
    assert_unharmed(&cluster).await;
}

/// WebSocket handshake with the secret of the tests.
fn handshake() -> Vec<u8> {
    format!(
        "GET /link HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n\
         sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\nauthorization: Bearer {LINK_SECRET}\r\n\r\n"
    )
    .into_bytes()
}

/// Frame header of a masked binary message of the length that it states, with a mask of zeros.
fn frame(stated_bytes: u64, content: &[u8]) -> Vec<u8> {
    let mut frame = vec![0x82, 0xff];
    frame.extend(stated_bytes.to_be_bytes());
    frame.extend([0; 4]);
    frame.extend(content);
    frame
}

#[rstest]
#[case::garbage_instead_of_a_handshake(b"\x00\x01garbage\r\n\r\n".to_vec())]
#[case::garbage_in_a_frame([handshake(), frame(8, &[0xff; 8])].concat())]
#[case::frame_longer_than_stated([handshake(), frame(2, &[0x61; 64])].concat())]
#[case::frame_shorter_than_stated([handshake(), frame(1_000, &[0x61; 8])].concat())]
#[case::frame_above_the_limit([handshake(), frame(1 << 40, &[0x61; 64])].concat())]
#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_a_link_ends_that_link_alone(#[case] bytes: Vec<u8>) {
    let cluster = cluster::start(1, 1).await;
    write_raw(links_of(&cluster), &bytes).await;
    let operators = cluster.entries[0].process.address("operators_address");
    harness::wait_until("the link is counted as refused", || async {
        state(operators).await["entry"]["fleet"]["links_refused"] == 1
    })
    .await;
    assert_unharmed(&cluster).await;
}

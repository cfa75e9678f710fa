//! Faults of the network proxy.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chervilledge_standins::network::{self, Faults, Handle};
use rstest::rstest;
use support::{any_port, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_mins(1);
/// Time in which nothing must come.
const QUIET: Duration = Duration::from_millis(200);

/// Starts a server that sends back what it gets, and a proxy in front of it.
async fn start() -> Handle {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    network::bind(any_port(), target).await.unwrap()
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

async fn echoes(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).await.unwrap();
    let mut answer = vec![0; text.len()];
    timeout(PATIENCE, stream.read_exact(&mut answer)).await.expect("an answer").unwrap();
    assert_eq!(answer, text);
}

async fn is_quiet(stream: &mut TcpStream) -> bool {
    timeout(QUIET, stream.read(&mut [0; 16])).await.is_err()
}

/// Tells whether the connection ended, by a close or a reset.
async fn has_ended(stream: &mut TcpStream) -> bool {
    matches!(timeout(PATIENCE, stream.read(&mut [0; 16])).await, Ok(Ok(0) | Err(_)))
}

#[tokio::test]
async fn bytes_and_their_end_pass_without_faults() {
    let proxy = start().await;
    let mut stream = connect(proxy.address()).await;
    let sent: Vec<u8> = (0..1_000_000_u32).map(|number| number.to_le_bytes()[0]).collect();
    let (mut reader, mut writer) = stream.split();
    let write = async {
        writer.write_all(&sent).await.unwrap();
        writer.shutdown().await.unwrap();
    };
    let mut received = Vec::new();
    let (read, ()) = tokio::join!(timeout(PATIENCE, reader.read_to_end(&mut received)), write);
    read.expect("an end").unwrap();
    assert!(received == sent, "{} of {} bytes came back", received.len(), sent.len());
    let carried = proxy.carried();
    assert_eq!((carried.connections, carried.to_target_bytes, carried.to_caller_bytes), (1, 1_000_000, 1_000_000));
}

#[tokio::test]
async fn delay_counts_in_both_directions() {
    let proxy = start().await;
    proxy.set(Faults { delay: Duration::from_millis(100), ..Faults::default() });
    let mut stream = connect(proxy.address()).await;
    let begin = Instant::now();
    echoes(&mut stream, b"hello").await;
    assert!(begin.elapsed() >= QUIET);
}

#[tokio::test]
async fn cut_ends_open_connections_only() {
    let proxy = start().await;
    let mut stream = connect(proxy.address()).await;
    echoes(&mut stream, b"before").await;
    proxy.cut();
    assert!(has_ended(&mut stream).await);
    echoes(&mut connect(proxy.address()).await, b"after").await;
}

#[rstest]
#[case::to_target(Faults { silent_to_target: true, ..Faults::default() }, 0)]
#[case::to_caller(Faults { silent_to_caller: true, ..Faults::default() }, 4)]
#[tokio::test]
async fn one_way_silence_loses_bytes_of_one_direction(#[case] faults: Faults, #[case] delivered_bytes: u64) {
    let proxy = start().await;
    let mut stream = connect(proxy.address()).await;
    echoes(&mut stream, b"before").await;
    let before = proxy.carried();
    proxy.set(faults);
    stream.write_all(b"lost").await.unwrap();
    wait_until(|| proxy.carried().to_target_bytes == before.to_target_bytes + delivered_bytes).await;
    assert!(is_quiet(&mut stream).await);
    assert_eq!(proxy.carried().to_caller_bytes, before.to_caller_bytes);
    proxy.set(Faults::default());
    stream.write_all(b"still lost").await.unwrap();
    assert!(is_quiet(&mut stream).await, "a stream with a gap isn't delivered");
}

#[tokio::test]
async fn half_open_silences_old_connections_while_new_ones_work() {
    let proxy = start().await;
    let mut old = connect(proxy.address()).await;
    echoes(&mut old, b"before").await;
    proxy.half_open();
    let mut new = connect(proxy.address()).await;
    echoes(&mut new, b"new").await;
    old.write_all(b"lost").await.unwrap();
    assert!(is_quiet(&mut old).await);
    echoes(&mut new, b"still new").await;
}

#[tokio::test]
async fn trickle_slows_bytes_and_loses_none() {
    let proxy = start().await;
    proxy.set(Faults { bytes_per_s: Some(1_000), ..Faults::default() });
    let mut stream = connect(proxy.address()).await;
    let begin = Instant::now();
    echoes(&mut stream, &[7; 500]).await;
    assert!(begin.elapsed() >= Duration::from_millis(400));
}

#[tokio::test]
async fn refused_connections_end_while_open_ones_work() {
    let proxy = start().await;
    let mut old = connect(proxy.address()).await;
    echoes(&mut old, b"before").await;
    proxy.set(Faults { refuse_new: true, ..Faults::default() });
    let mut refused = connect(proxy.address()).await;
    assert!(has_ended(&mut refused).await);
    echoes(&mut old, b"after").await;
}
